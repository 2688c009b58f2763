//! Messages that arrive at the controller's address (PROTOCOL, "At the controller's address").

use crate::fields::{Fields, LineError, split_kind};
use dahliapoint_opening::Deployment;

/// Limit of one message, in bytes (PROTOCOL, "At the controller's address").
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Longest time that a report may cover, and longest mean that it may state. Only the newest 16
/// reporting periods are kept, so a longer report is invalid.
const MAX_DURATION_MS: f64 = 120_000.0;

/// Limit of the counts in one line; a larger one is invalid.
const MAX_COUNT: u64 = 100_000_000;

/// One parsed message.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks whether the controller is alive.
    Probe,
    /// A collector joins and names its zone.
    Agent { zone: usize },
    /// A report forwarded by a collector.
    Report(Report),
}

/// A report line that a collector forwards.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// Tries that the proxies of a zone made at a server.
    Outcomes {
        zone: usize,
        server: String,
        tries: f64,
        failed: f64,
        /// Mean duration of the tries.
        mean_ms: f64,
        /// Time that the report covers.
        span_ms: f64,
    },
    /// Visits of a class that arrived at a proxy.
    Demand {
        proxy: usize,
        class: usize,
        visits: f64,
        /// Time that the report covers.
        span_ms: f64,
    },
}

/// Parses a message.
///
/// # Errors
/// [`LineError`] tells what is wrong with the line.
pub fn parse(line: &[u8], deployment: &Deployment) -> Result<Message, LineError> {
    let (kind, fields) = split_kind(line)?;
    match kind {
        "probe" => Ok(Message::Probe),
        "agent" => Ok(Message::Agent {
            zone: fields.index_in("zone", &deployment.zones)?,
        }),
        "outcomes" => {
            let (tries, failed): (u64, u64) = (fields.integer("tries")?, fields.integer("failed")?);
            if tries > MAX_COUNT {
                return Err(LineError::InvalidField("tries"));
            }
            if failed > tries {
                return Err(LineError::InvalidField("failed"));
            }
            Ok(Message::Report(Report::Outcomes {
                zone: fields.index_in("zone", &deployment.zones)?,
                server: fields.text("server")?.to_string(),
                tries: tries as f64,
                failed: failed as f64,
                mean_ms: fields.number("mean_ms", MAX_DURATION_MS)?,
                span_ms: parse_span(&fields)?,
            }))
        }
        "demand" => {
            let proxy: usize = fields.integer("proxy")?;
            if proxy >= deployment.proxy_count {
                return Err(LineError::InvalidField("proxy"));
            }
            let (tries, failed): (u64, u64) = (fields.integer("tries")?, fields.integer("failed")?);
            if tries > MAX_COUNT {
                return Err(LineError::InvalidField("tries"));
            }
            // `failed` may exceed `tries`: a visit that fails now may have arrived in the previous period.
            if failed > MAX_COUNT {
                return Err(LineError::InvalidField("failed"));
            }
            Ok(Message::Report(Report::Demand {
                proxy,
                class: fields.index_in("class", &deployment.classes)?,
                visits: tries as f64,
                span_ms: parse_span(&fields)?,
            }))
        }
        _ => Err(LineError::Malformed),
    }
}

fn parse_span(fields: &Fields<'_>) -> Result<f64, LineError> {
    let span = fields.number("span_ms", MAX_DURATION_MS)?;
    (span > 0.0)
        .then_some(span)
        .ok_or(LineError::InvalidField("span_ms"))
}
