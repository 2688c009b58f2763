//! What a proxy puts into its spool: JSON on one line, and its seal on the next ([`crate::seal`]).

use dahliapoint_control::{LoadReport, ReportLine, report_error};
use serde::{Deserialize, Serialize};

/// A sign of life, `beat`, written anew each time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    pub proxy: String,
    pub zone: String,
    /// Visits a second that usually come to it, if it says.
    #[serde(default)]
    pub pace: Option<f64>,
    /// A number for each start of the proxy, and one that grows with each beat.
    pub life: u64,
    pub count: u64,
    /// The generation in use.
    #[serde(default)]
    pub holds: Option<u64>,
    /// It leaves in order.
    #[serde(default)]
    pub leaves: bool,
}

/// What became of a generation, `ack-<number>`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    pub life: u64,
    pub generation: u64,
    /// Why it was refused; nothing: it is in use.
    #[serde(default)]
    pub refused: Option<String>,
}

/// What was met at a server with visits of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Met {
    /// Its address.
    pub server: String,
    pub good: u64,
    pub failed: u64,
    /// Summed time of the good ones, in milliseconds.
    pub good_ms: f64,
    #[serde(default)]
    pub in_flight: u64,
    /// The server's own words: answers that carried one, the sums of its queue and its time.
    #[serde(default)]
    pub words: u64,
    #[serde(default)]
    pub own_queue: f64,
    #[serde(default)]
    pub own_ms: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassMet {
    pub class: String,
    /// Visits that came, let in or not.
    pub came: u64,
    pub met: Vec<Met>,
}

/// What was met over a stretch of time, `report-<number>`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub life: u64,
    pub window_ms: f64,
    pub classes: Vec<ClassMet>,
}

impl Told {
    /// As the controller takes it.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn report(&self, classes: &[String]) -> Result<LoadReport, String> {
        let mut report = LoadReport {
            window_ms: self.window_ms,
            ..LoadReport::default()
        };
        for told in &self.classes {
            let class = classes.iter().position(|c| *c == told.class);
            let class = class.ok_or_else(|| format!("no class {:?}", told.class))?;
            report.arrivals.push((told.class.clone(), told.came as f64));
            report.lines.extend(told.met.iter().map(|m| ReportLine {
                server: m.server.clone(),
                class,
                tries: (m.good + m.failed) as f64,
                failed: m.failed as f64,
                success_ms: m.good_ms,
                variance: 0.0,
                load_samples: m.words as f64,
                queue_sum: m.own_queue,
                service_ms_sum: m.own_ms,
                in_flight: m.in_flight as f64,
            }));
        }
        match report_error(&report) {
            Some(why) => Err(why),
            None => Ok(report),
        }
    }
}
