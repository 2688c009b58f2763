//! What comes to the controller's address (PROTOCOL, "At the controller's address").

use crate::words::{Fault, split};
use dahliapoint_opening::Deployment;

/// A message holds at most this many bytes (PROTOCOL, "At the controller's address").
pub const MOST_BYTES: usize = 1 << 20;

/// Reports cover at most this long (ms): the newest 16 periods are all that is remembered of any, so
/// what says more is spoilt.
const LONGEST_MS: f64 = 120_000.0;

/// More tries than this in one line are no count of visits.
const MOST_TRIES: u64 = 100_000_000;

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Probe,
    /// A collector names the zone it is of.
    Agent {
        zone: usize,
    },
    Report(Report),
}

/// A line that a collector forwards.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    Outcomes {
        zone: usize,
        server: String,
        tries: f64,
        failed: f64,
        mean_ms: f64,
        span_ms: f64,
    },
    Demand {
        proxy: usize,
        class: usize,
        visits: f64,
        span_ms: f64,
    },
}

/// Reads a line.
///
/// # Errors
/// What is wrong with it.
pub fn read(line: &[u8], told: &Deployment) -> Result<Said, Fault> {
    let (kind, words) = split(line)?;
    match kind {
        "probe" => Ok(Said::Probe),
        "agent" => Ok(Said::Agent {
            zone: words.among("zone", &told.zones)?,
        }),
        "outcomes" => {
            let (tries, failed): (u64, u64) = (words.whole("tries")?, words.whole("failed")?);
            if tries > MOST_TRIES {
                return Err(Fault::Spoilt("tries"));
            }
            if failed > tries {
                return Err(Fault::Spoilt("failed"));
            }
            Ok(Said::Report(Report::Outcomes {
                zone: words.among("zone", &told.zones)?,
                server: words.text("server")?.to_string(),
                tries: tries as f64,
                failed: failed as f64,
                mean_ms: words.number("mean_ms", LONGEST_MS)?,
                span_ms: span(&words)?,
            }))
        }
        "demand" => {
            let proxy: usize = words.whole("proxy")?;
            if proxy >= told.proxy_count {
                return Err(Fault::Spoilt("proxy"));
            }
            let (tries, failed): (u64, u64) = (words.whole("tries")?, words.whole("failed")?);
            if tries > MOST_TRIES {
                return Err(Fault::Spoilt("tries"));
            }
            // What could not be served may have come in the period before: more than came is no fault.
            if failed > MOST_TRIES {
                return Err(Fault::Spoilt("failed"));
            }
            Ok(Said::Report(Report::Demand {
                proxy,
                class: words.among("class", &told.classes)?,
                visits: tries as f64,
                span_ms: span(&words)?,
            }))
        }
        _ => Err(Fault::Unreadable),
    }
}

fn span(words: &crate::words::Words<'_>) -> Result<f64, Fault> {
    let span = words.number("span_ms", LONGEST_MS)?;
    (span > 0.0).then_some(span).ok_or(Fault::Spoilt("span_ms"))
}
