//! Whether files can keep the drain rule, free of I/O: asked once, before anything starts.

/// Writing and syncing a table takes so long at the most, on a disk that is not broken.
const WRITING_MS: f64 = 100.0;
/// Up to this share of the grace a drain by files is as good as one by a stream.
const WELL: f64 = 0.5;

/// How far files reach.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reach {
    /// How often the front looks and writes, how often readers look, and the drain rule's grace.
    pub every_ms: f64,
    pub read_every_ms: f64,
    pub grace_ms: f64,
}

/// What can be promised about drains.
#[derive(Clone, Debug, PartialEq)]
pub enum Promise {
    Kept,
    /// Kept, with little to spare.
    Narrow(String),
    Broken(String),
}

impl Reach {
    /// From a drain in the roster to the last reader, at the worst. Withdrawals do not wait for the
    /// front's own round; a reader has just looked when one is written, and looks again a period later.
    pub fn worst_ms(&self) -> f64 {
        WRITING_MS + self.read_every_ms
    }

    /// Guards against a deployment whose drains are broken by the reader's own slowness, whatever the
    /// controller does. May harm one whose readers are told of writes: they are to state that period.
    pub fn promise(&self) -> Promise {
        let worst = self.worst_ms();
        let text = format!(
            "readers look each {:.0} ms: a drain takes up to {worst:.0} ms of its grace of {:.0} ms",
            self.read_every_ms, self.grace_ms
        );
        if worst > self.grace_ms {
            Promise::Broken(text)
        } else if worst > WELL * self.grace_ms {
            Promise::Narrow(text)
        } else {
            Promise::Kept
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grace_shorter_than_the_readers_period_is_refused() {
        let promise = |read, grace| {
            let reach = Reach {
                every_ms: 200.0,
                read_every_ms: read,
                grace_ms: grace,
            };
            reach.promise()
        };
        assert_eq!(promise(500.0, 3_000.0), Promise::Kept);
        assert!(matches!(promise(1_500.0, 3_000.0), Promise::Narrow(_)));
        assert!(matches!(promise(2_950.0, 3_000.0), Promise::Broken(_)));
    }
}
