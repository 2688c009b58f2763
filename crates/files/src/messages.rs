//! Messages that a proxy writes into its spool: JSON on one line, its integrity tag on the next ([`crate::integrity`]).

use dahliapoint_control::{LoadReport, ReportLine, report_error};
use serde::{Deserialize, Serialize};

/// The heartbeat file `beat`, replaced each time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub proxy: String,
    pub zone: String,
    /// Visits per second that the proxy usually receives, if it knows.
    #[serde(default, rename = "pace")]
    pub visits_per_s: Option<f64>,
    /// A number for each start of the proxy.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Grows with each heartbeat of one incarnation.
    #[serde(rename = "count")]
    pub sequence: u64,
    /// The generation in use.
    #[serde(default, rename = "holds")]
    pub applied_generation: Option<u64>,
    /// The proxy shuts down in order and deregisters.
    #[serde(default, rename = "leaves")]
    pub leaving: bool,
}

/// Whether a generation was applied or refused: `ack-<number>`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ack {
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub generation: u64,
    /// Why it was refused; `None`: it is in use.
    #[serde(default)]
    pub refused: Option<String>,
}

/// Results of the visits of one class at one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStats {
    /// The server's address.
    pub server: String,
    #[serde(rename = "good")]
    pub successes: u64,
    #[serde(rename = "failed")]
    pub failures: u64,
    /// Summed time of the successful visits, in milliseconds.
    #[serde(rename = "good_ms")]
    pub success_ms_sum: f64,
    #[serde(default)]
    pub in_flight: u64,
    /// Responses in which the server reported its own load.
    #[serde(default, rename = "words")]
    pub load_samples: u64,
    /// Sum of the queue lengths in them.
    #[serde(default, rename = "own_queue")]
    pub queue_sum: f64,
    /// Sum of the service times in them, in milliseconds.
    #[serde(default, rename = "own_ms")]
    pub service_ms_sum: f64,
}

/// Visits of one class during the window of a report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassReport {
    pub class: String,
    /// Visits that arrived, admitted or not.
    #[serde(rename = "came")]
    pub arrivals: u64,
    #[serde(rename = "met")]
    pub servers: Vec<ServerStats>,
}

/// A load report over a window of time: `report-<number>`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub window_ms: f64,
    pub classes: Vec<ClassReport>,
}

impl Report {
    /// Converts it to the controller's load report.
    ///
    /// # Errors
    /// Which class is unknown, or which value is out of range.
    pub fn to_load_report(&self, classes: &[String]) -> Result<LoadReport, String> {
        let mut report = LoadReport {
            window_ms: self.window_ms,
            ..LoadReport::default()
        };
        for entry in &self.classes {
            let class = classes.iter().position(|c| *c == entry.class);
            let class = class.ok_or_else(|| format!("no class {:?}", entry.class))?;
            let arrivals = entry.arrivals as f64;
            report.arrivals.push((entry.class.clone(), arrivals));
            report
                .lines
                .extend(entry.servers.iter().map(|s| ReportLine {
                    server: s.server.clone(),
                    class,
                    tries: (s.successes + s.failures) as f64,
                    failed: s.failures as f64,
                    success_ms: s.success_ms_sum,
                    variance: 0.0,
                    load_samples: s.load_samples as f64,
                    queue_sum: s.queue_sum,
                    service_ms_sum: s.service_ms_sum,
                    in_flight: s.in_flight as f64,
                }));
        }
        match report_error(&report) {
            Some(why) => Err(why),
            None => Ok(report),
        }
    }
}

#[cfg(test)]
mod tests;
