//! The event loop: the single thread that owns the core. Inputs of one tick are processed as a batch.

use crate::probes::Probe;
use crate::reach::Shared;
use dahliapoint_fibers::{Queue, Received};
use dahliapoint_platform::core::{Core, Effects, Input};
use dahliapoint_platform::delivery::{Call, CallOutcome};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The core with its input queue and the queues of the work that it asks for.
pub struct Owner {
    pub reach: Shared,
    pub core: Core,
    /// Calls to the relay.
    pub calls: Queue<Call>,
    /// Probes of servers.
    pub probes: Queue<Probe>,
}

impl Owner {
    /// Runs the loop; returns only if the input queue is closed.
    pub fn work(mut self) {
        let tick = Duration::from_secs_f64(
            self.reach.deployment.batch_window_ms.clamp(0.5, 50.0) / 1000.0,
        );
        let mut effects = self.step(Vec::new());
        loop {
            let wake = self.perform(effects);
            let mut inputs = Vec::new();
            match self.reach.inbox.take_all(wake) {
                Received::Closed => return,
                Received::TimedOut => {}
                Received::Items(first) => {
                    inputs.extend(first.into_iter().flatten());
                    let end = Instant::now() + tick;
                    while let Received::Items(more) = self.reach.inbox.take_all(Some(end)) {
                        inputs.extend(more.into_iter().flatten());
                        if Instant::now() >= end {
                            break;
                        }
                    }
                }
            }
            effects = self.step(inputs);
        }
    }

    /// Passes a batch of inputs to the core and publishes the version of its list.
    fn step(&mut self, inputs: Vec<Input>) -> Effects {
        let now = self.reach.clock.now_ms();
        let reports = inputs
            .iter()
            .filter(|i| matches!(i, Input::Report(_)))
            .count();
        let came = inputs.len();
        let effects = self.core.step(now, inputs);
        if tracing::enabled!(tracing::Level::DEBUG) {
            self.trace(came, reports, &effects);
        }
        self.reach
            .index
            .store(self.core.discovery_index(), Ordering::Release);
        effects
    }

    /// Writes the debug log for operators: the counts of inputs, the resulting call and, after
    /// reports, the estimates of each server.
    fn trace(&self, came: usize, reports: usize, effects: &Effects) {
        let call = effects.call.as_ref().map_or("", |c| c.text.trim_end());
        tracing::debug!(came, reports, probes = effects.probes.len(), call, "moment");
        if reports > 0 {
            for line in self.core.state_lines() {
                tracing::debug!("{line}");
            }
        }
    }

    /// Carries out the effects of a step; returns when the core wants to run next.
    fn perform(&mut self, mut effects: Effects) -> Option<Instant> {
        for note in effects.notes.drain(..) {
            self.reach.teller.note(&note);
        }
        let mut back = Vec::new();
        for probe in effects.probes.drain(..) {
            if let Err((probe, _)) = self.probes.try_put(probe) {
                self.reach
                    .teller
                    .fault("probes", || "too many wait: one is not sent".into());
                back.push(Input::ProbeNotSent(probe));
            }
        }
        if let Some(call) = effects.call
            && let Err(call) = self.calls.try_put(call)
        {
            // One call is in flight at a time, so there is room; if not, the call counts as not sent.
            back.push(Input::CallEnded {
                number: call.number,
                outcome: CallOutcome::NotSent,
            });
        }
        if !back.is_empty() {
            let again = self.step(back);
            return self.perform(again);
        }
        effects.wake_at.map(|at| self.reach.clock.at(at))
    }
}
