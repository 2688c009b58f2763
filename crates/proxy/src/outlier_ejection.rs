//! Servers that a proxy keeps away from for a while, by its own failures alone.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    failures: u32,
    until: f64,
}

/// Keeps away from a server at which so many of the proxy's own tries in a row failed; 0: never.
#[derive(Clone, Debug)]
pub struct OutlierEjector {
    strikes: u32,
    for_ms: f64,
    servers: BTreeMap<usize, Seen>,
}

impl OutlierEjector {
    pub fn new(strikes: u32, for_ms: f64) -> OutlierEjector {
        OutlierEjector {
            strikes,
            for_ms,
            servers: BTreeMap::new(),
        }
    }

    /// A try ended. Tells whether the server is shunned from now on.
    pub fn record_try(&mut self, now: f64, server: usize, good: bool) -> bool {
        if good {
            // A good answer ends the run; one that is under way when the shunning begins does not end that.
            if let Some(seen) = self.servers.get_mut(&server) {
                seen.failures = 0;
                if seen.until <= now {
                    self.servers.remove(&server);
                }
            }
            return false;
        }
        let seen = self.servers.entry(server).or_default();
        seen.failures += 1;
        let shuns = self.strikes > 0 && seen.failures >= self.strikes && seen.until <= now;
        if shuns {
            // Admitted again afterwards with a clean record.
            *seen = Seen {
                failures: 0,
                until: now + self.for_ms,
            };
        }
        shuns
    }

    pub fn is_ejected(&self, now: f64, server: usize) -> bool {
        self.servers.get(&server).is_some_and(|s| s.until > now)
    }

    /// Forgets servers that are in no table any more.
    pub fn retain(&mut self, is_there: impl Fn(usize) -> bool) {
        self.servers.retain(|server, _| is_there(*server));
    }

    /// Picks with what is shunned left out, unless that would leave nothing.
    pub fn pick<T>(
        &self,
        now: f64,
        mut pick: impl FnMut(&dyn Fn(usize) -> bool) -> Option<T>,
    ) -> Option<T> {
        pick(&|server| !self.is_ejected(now, server)).or_else(|| pick(&|_| true))
    }
}
