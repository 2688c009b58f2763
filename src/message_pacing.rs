//! How fast messages can be written to one proxy for any length of time, by those that were written before.

/// A limit on the messages to one proxy within a sliding window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageLimit {
    /// Messages within the window; infinite without a limit.
    pub messages: f64,
    /// Length of the window.
    pub window_ms: f64,
}

/// What a proxy was sent within the window, or the most that any of several proxies was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageUsage {
    /// Messages within the window.
    pub messages: f64,
    /// The shortest interval at which messages can go on after another one now, without exceeding the limit.
    pub interval_after_next_ms: f64,
}

impl MessageUsage {
    /// The usage of a proxy that was sent messages at the times `sent` within the window, the oldest first.
    pub fn of(sent: &[f64], now: f64, limit: MessageLimit) -> MessageUsage {
        let mut with_next = sent.to_vec();
        with_next.push(now);
        MessageUsage {
            messages: sent.len() as f64,
            interval_after_next_ms: limit.sustained_interval_ms(&with_next, now),
        }
    }

    /// The higher usage of two, for each value.
    pub fn max(self, other: MessageUsage) -> MessageUsage {
        MessageUsage {
            messages: self.messages.max(other.messages),
            interval_after_next_ms: self
                .interval_after_next_ms
                .max(other.interval_after_next_ms),
        }
    }
}

impl MessageLimit {
    /// Whether there is none.
    pub fn is_absent(&self) -> bool {
        self.messages.is_infinite()
    }

    /// The shortest interval at which messages can be written from `now` on without ever exceeding the limit,
    /// after those that were written at the times `sent`, the oldest first. Until the n-th of these leaves the
    /// window, as many more can be written as are left now and have left before it.
    pub fn sustained_interval_ms(&self, sent: &[f64], now: f64) -> f64 {
        if self.is_absent() {
            return 0.0;
        }
        let left = self.messages - sent.len() as f64;
        let interval = |(older, at): (usize, &f64)| {
            let leaves_in_ms = (at + self.window_ms - now).max(0.0);
            let available = left + older as f64 + 1.0;
            if available > 0.0 {
                leaves_in_ms / available
            } else {
                f64::INFINITY
            }
        };
        let intervals = sent.iter().enumerate().map(interval);
        intervals.fold(self.window_ms / self.messages, f64::max)
    }
}

#[cfg(test)]
mod tests;
