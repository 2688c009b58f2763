//! The event loop: the single thread that owns the core. Inputs that arrive within one batch window
//! are processed together.

use crate::probes::Probe;
use crate::shared::Shared;
use dahliapoint_fibers::{Queue, Received};
use dahliapoint_platform::core::{Core, Effects, Input};
use dahliapoint_platform::delivery::{Call, CallOutcome};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The target of these log events, by which operators filter the log; independent of the module name.
const LOG_TARGET: &str = "dahliapoint_node::owner";

/// The core with its input queue and the queues of the work that it asks for.
pub struct EventLoop {
    pub shared: Shared,
    pub core: Core,
    /// Calls to the relay.
    pub calls: Queue<Call>,
    /// Probes of servers.
    pub probes: Queue<Probe>,
}

impl EventLoop {
    /// Runs the loop; returns only if the input queue is closed.
    pub fn run(mut self) {
        let window = Duration::from_secs_f64(
            self.shared.deployment.batch_window_ms.clamp(0.5, 50.0) / 1000.0,
        );
        let mut effects = self.step(Vec::new());
        loop {
            let wake_at = self.apply(effects);
            let mut inputs = Vec::new();
            match self.shared.inputs.take_all(wake_at) {
                Received::Closed => return,
                Received::TimedOut => {}
                Received::Items(first_batches) => {
                    inputs.extend(first_batches.into_iter().flatten());
                    let window_end = Instant::now() + window;
                    while let Received::Items(more_batches) =
                        self.shared.inputs.take_all(Some(window_end))
                    {
                        inputs.extend(more_batches.into_iter().flatten());
                        if Instant::now() >= window_end {
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
        let now = self.shared.clock.now_ms();
        let report_count = inputs
            .iter()
            .filter(|i| matches!(i, Input::Report(_)))
            .count();
        let input_count = inputs.len();
        let effects = self.core.step(now, inputs);
        if tracing::enabled!(target: LOG_TARGET, tracing::Level::DEBUG) {
            self.log_batch(input_count, report_count, &effects);
        }
        self.shared
            .list_index
            .store(self.core.discovery_index(), Ordering::Release);
        effects
    }

    /// Writes the debug log for operators: the counts of inputs, the resulting call and, after
    /// reports, the estimates of each server.
    fn log_batch(&self, input_count: usize, report_count: usize, effects: &Effects) {
        let call = effects.call.as_ref().map_or("", |c| c.text.trim_end());
        tracing::debug!(
            target: LOG_TARGET,
            came = input_count, reports = report_count, probes = effects.probes.len(), call,
            "moment"
        );
        if report_count > 0 {
            for line in self.core.state_lines() {
                tracing::debug!(target: LOG_TARGET, "{line}");
            }
        }
    }

    /// Carries out the effects of a step; returns when the core wants to run next.
    fn apply(&mut self, mut effects: Effects) -> Option<Instant> {
        for note in effects.notes.drain(..) {
            self.shared.log.info(&note);
        }
        let mut failed = Vec::new();
        for probe in effects.probes.drain(..) {
            if let Err((probe, _)) = self.probes.try_put(probe) {
                self.shared
                    .log
                    .fault("probes", || "too many queued, one not sent".into());
                failed.push(Input::ProbeNotSent(probe));
            }
        }
        if let Some(call) = effects.call
            && let Err(call) = self.calls.try_put(call)
        {
            // One call is in flight at a time, so there is room; if not, the call counts as not sent.
            failed.push(Input::CallEnded {
                number: call.number,
                outcome: CallOutcome::NotSent,
            });
        }
        if !failed.is_empty() {
            let effects = self.step(failed);
            return self.apply(effects);
        }
        effects.wake_at.map(|at| self.shared.clock.at(at))
    }
}
