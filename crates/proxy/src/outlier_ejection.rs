//! Leaves a server out for a while after a run of the proxy's own failures there.

use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    /// Failures in a row.
    failures: u32,
    ejected_until: f64,
}

/// Ejects a server after a number of the proxy's own tries there failed in a row.
#[derive(Clone, Debug)]
pub struct OutlierEjector {
    /// Failures in a row that eject a server; 0 turns ejection off.
    max_failures: u32,
    ejection_ms: f64,
    servers: BTreeMap<usize, ServerState>,
}

impl OutlierEjector {
    /// Ejects for `ejection_ms` after `max_failures` failures in a row; never if that is 0.
    pub fn new(max_failures: u32, ejection_ms: f64) -> OutlierEjector {
        OutlierEjector {
            max_failures,
            ejection_ms,
            servers: BTreeMap::new(),
        }
    }

    /// Records the end of a try. Returns whether it ejected the server.
    pub fn record_try(&mut self, now: f64, server: usize, is_success: bool) -> bool {
        if is_success {
            // A success ends the run of failures. It does not end an ejection: its try was under way before.
            if let Some(state) = self.servers.get_mut(&server) {
                state.failures = 0;
                if state.ejected_until <= now {
                    self.servers.remove(&server);
                }
            }
            return false;
        }
        let state = self.servers.entry(server).or_default();
        state.failures += 1;
        let ejects = self.max_failures > 0
            && state.failures >= self.max_failures
            && state.ejected_until <= now;
        if ejects {
            // After the ejection the server starts with no failures.
            *state = ServerState {
                failures: 0,
                ejected_until: now + self.ejection_ms,
            };
        }
        ejects
    }

    /// Returns whether a server is ejected now.
    pub fn is_ejected(&self, now: f64, server: usize) -> bool {
        self.servers
            .get(&server)
            .is_some_and(|s| s.ejected_until > now)
    }

    /// Forgets servers that are no longer in the table.
    pub fn retain(&mut self, is_in_table: impl Fn(usize) -> bool) {
        self.servers.retain(|server, _| is_in_table(*server));
    }

    /// Calls `pick` with a filter that excludes ejected servers, and again without one if that finds nothing.
    pub fn pick<T>(
        &self,
        now: f64,
        mut pick: impl FnMut(&dyn Fn(usize) -> bool) -> Option<T>,
    ) -> Option<T> {
        pick(&|server| !self.is_ejected(now, server)).or_else(|| pick(&|_| true))
    }
}
