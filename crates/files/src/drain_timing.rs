//! Whether readers of files notice a withdrawal within the drain grace. Free of I/O; checked once, at startup.

/// Upper bound for writing and syncing a table on a healthy disk.
const WRITE_MS: f64 = 100.0;
/// Up to this share of the grace, files drain as well as a stream does.
const COMFORTABLE_SHARE: f64 = 0.5;

/// The intervals that decide how fast a withdrawal reaches a reader.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainTiming {
    /// How often spools are read and tables written.
    pub write_interval_ms: f64,
    /// How often readers look for a new table.
    pub read_interval_ms: f64,
    pub drain_grace_ms: f64,
}

/// Whether drains complete within the grace; with a text that explains it where they are late or nearly so.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainCheck {
    Ok,
    /// Within the grace, with little to spare.
    Tight(String),
    TooSlow(String),
}

impl DrainTiming {
    /// The longest time from a drain in the roster to the last reader. Withdrawals are written at once, without
    /// waiting for the write interval; a reader that has just looked looks again one interval later.
    pub fn worst_drain_ms(&self) -> f64 {
        WRITE_MS + self.read_interval_ms
    }

    /// Guards against a deployment whose readers are too slow to keep the drain grace, whatever the controller
    /// does. Refuses too much where readers are notified of writes: there, configure the period of the notification.
    pub fn check(&self) -> DrainCheck {
        let worst = self.worst_drain_ms();
        let text = format!(
            "readers look each {:.0} ms: a drain takes up to {worst:.0} ms of its grace of {:.0} ms",
            self.read_interval_ms, self.drain_grace_ms
        );
        if worst > self.drain_grace_ms {
            DrainCheck::TooSlow(text)
        } else if worst > COMFORTABLE_SHARE * self.drain_grace_ms {
            DrainCheck::Tight(text)
        } else {
            DrainCheck::Ok
        }
    }
}

#[cfg(test)]
mod tests;
