//! The owner: the one thread that holds the core. What comes within a tick is one moment.

use crate::probes::Probe;
use crate::reach::Shared;
use dahliapoint_fibers::{Queue, Received};
use dahliapoint_platform::core::{Core, Effects, Input};
use dahliapoint_platform::delivery::{Call, Outcome};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

pub struct Owner {
    pub reach: Shared,
    pub core: Core,
    pub calls: Queue<Call>,
    pub probes: Queue<Probe>,
}

impl Owner {
    /// Decides for good; returns only if the queue is closed.
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
                Received::Nothing => {}
                Received::Some(first) => {
                    inputs.extend(first.into_iter().flatten());
                    let end = Instant::now() + tick;
                    while let Received::Some(more) = self.reach.inbox.take_all(Some(end)) {
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
        self.reach.index.store(self.core.index(), Ordering::Release);
        effects
    }

    /// For the operators' debug log: what came at this moment, what it leads to, what is believed.
    fn trace(&self, came: usize, reports: usize, effects: &Effects) {
        let call = effects.call.as_ref().map_or("", |c| c.text.trim_end());
        tracing::debug!(came, reports, probes = effects.probes.len(), call, "moment");
        if reports > 0 {
            for line in self.core.beliefs() {
                tracing::debug!("{line}");
            }
        }
    }

    /// Does what is to be done, and tells when to wake.
    fn perform(&mut self, mut effects: Effects) -> Option<Instant> {
        for note in effects.notes.drain(..) {
            self.reach.teller.note(&note);
        }
        let mut back = Vec::new();
        for probe in effects.probes.drain(..) {
            if let Err((probe, _)) = self.probes.offer(probe) {
                self.reach
                    .teller
                    .fault("probes", || "too many wait: one is not sent".into());
                back.push(Input::Unasked(probe));
            }
        }
        if let Some(call) = effects.call
            && let Err(call) = self.calls.offer(call)
        {
            // One call is under way at a time, so there is always room; if not, it was not sent.
            back.push(Input::Called {
                number: call.number,
                outcome: Outcome::NotSent,
            });
        }
        if !back.is_empty() {
            let again = self.step(back);
            return self.perform(again);
        }
        effects.wake_at.map(|at| self.reach.clock.at(at))
    }
}
