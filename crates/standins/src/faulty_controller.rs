//! Controllers with an injected fault that breaks one rule, to test the checkers. The real engine and xDS
//! front run with the fault injected between them, into what the engine puts out. With `in_module` the fault
//! is injected between planner and guard instead, as if the planner were wrong; the guard must then keep the
//! rules.

use dahliapoint::{self as planner, Orders};
use dahliapoint_control::{Input, LineState, Message, Output, RetryPolicy, Scope};
use dahliapoint_daemon::controller_thread::{Clock, ControllerThread};
use dahliapoint_daemon::deployment;
use dahliapoint_daemon::roster::{PollResult, RosterWatcher};
use dahliapoint_grpc::{Limits, Server};
use dahliapoint_xds::{ControllerHandle, ServiceConfig, XdsService};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum ControllerFault {
    /// Injects nothing: the same setup must keep all rules.
    #[value(name = "nothing")]
    NoFault,
    /// Withdrawals are never sent.
    IgnoresDrains,
    /// Servers that have just started get very large weights.
    #[value(name = "floods-the-cold")]
    OverloadsColdServers,
    /// Every class is retried after failures, also those that are not idempotent.
    #[value(name = "retries-all")]
    RetriesEverything,
    /// After 2 s every line is removed from the tables.
    EmptiesTables,
    /// The same lines are written again and again with changed weights.
    #[value(name = "floods-the-channel")]
    FloodsChannel,
}

/// Runs a faulty controller until the process is killed. With `in_module` the fault is in the planner's
/// orders, before the guard checks them.
///
/// # Errors
/// If the deployment or the roster cannot be read, or the server cannot start.
pub fn run(
    (fault, in_module): (ControllerFault, bool),
    file: &Path,
    listen: SocketAddr,
    address_file: &Path,
) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let name = file.display().to_string();
    let deployment = deployment::parse(&name, &text).map_err(|f| f.to_string())?;
    dahliapoint_daemon::cli::init_logging(&deployment);
    let settings = deployment.settings.clone();
    let seed = deployment.seed.unwrap_or(1);
    let engine = ControllerThread::new(Clock::start(), seed, settings.report_interval_ms);
    let owner: Arc<dyn ControllerHandle> = Arc::new(engine.clone());
    let shape = ServiceConfig::from_settings(&settings, deployment.connect_timeout_ms);
    let front = XdsService::new(shape, owner.clone(), 1);
    let server =
        Server::start(listen, Limits::default(), front.clone()).map_err(|e| e.to_string())?;
    let started_at = Instant::now();
    if in_module {
        let mut planner_faults = PlannerFaults::new(fault, settings.classes.len());
        engine.inject_faults(Box::new(move |now, orders| {
            planner_faults.apply(now, orders)
        }));
    }
    let fault = if in_module {
        ControllerFault::NoFault
    } else {
        fault
    };
    let output_faults = Mutex::new(OutputFaults {
        fault,
        started_at,
        serial: 1 << 40,
        seen: BTreeMap::new(),
    });
    let output_front = front.clone();
    let output_handler = Box::new(move |output: Output| {
        let mut output_faults = output_faults.lock().unwrap_or_else(|e| e.into_inner());
        if let Output::Probe { server, .. } = output {
            // Reports every probe as successful without sending one.
            let owner = owner.clone();
            dahliapoint_fibers::spawn(move || {
                owner.send(Input::Probed {
                    server,
                    healthy: true,
                    took_ms: 1.0,
                })
            });
            return None;
        }
        for output in output_faults.apply(output) {
            output_front.handle_output(output);
        }
        None
    });
    let mut watch = RosterWatcher::new(
        &deployment.roster_path,
        &deployment.roster_format,
        &settings.zones,
    );
    let PollResult::Changed(entries) = watch.poll() else {
        return Err("no roster".into());
    };
    let first = vec![Input::Roster(entries)];
    let running = engine.run(seed, settings, None, first, output_handler, None);
    running.map_err(|e| e.to_string())?;
    std::fs::write(address_file, server.address().to_string()).map_err(|e| e.to_string())?;
    loop {
        std::thread::sleep(Duration::from_millis(50));
        if let PollResult::Changed(mut entries) = watch.poll() {
            if fault == ControllerFault::OverloadsColdServers {
                entries.iter_mut().for_each(|e| e.started = None);
                // Long enough that every proxy must know of the start.
                std::thread::sleep(Duration::from_millis(250));
            }
            engine.send(Input::Roster(entries));
        }
    }
}

/// Injects the fault into the planner's orders before the guard checks them.
struct PlannerFaults {
    fault: ControllerFault,
    classes: usize,
    start_ms: Option<f64>,
    /// Part and server of every line ordered so far.
    seen: BTreeSet<(usize, usize)>,
    /// When each server that had been withdrawn came back.
    returned_ms: BTreeMap<usize, f64>,
    /// Counts the rounds of changed weights.
    iteration: u32,
}

impl PlannerFaults {
    fn new(fault: ControllerFault, classes: usize) -> PlannerFaults {
        PlannerFaults {
            fault,
            classes,
            start_ms: None,
            seen: BTreeSet::new(),
            returned_ms: BTreeMap::new(),
            iteration: 0,
        }
    }

    fn apply(&mut self, now: f64, orders: &mut Orders) {
        let start_ms = *self.start_ms.get_or_insert(now);
        self.seen.extend(orders.lines.iter().map(|l| (l.0, l.1)));
        match self.fault {
            ControllerFault::NoFault => {}
            ControllerFault::IgnoresDrains => {
                orders.withdrawals.retain(|(_, shut)| !shut);
                orders.lines.retain(|l| l.2 > 0.0);
            }
            ControllerFault::OverloadsColdServers => {
                let returned = orders.withdrawals.iter().filter(|(_, shut)| !shut);
                self.returned_ms.extend(returned.map(|(s, _)| (*s, now)));
                // Long enough that every proxy must know of the start.
                let late = |s: usize| self.returned_ms.get(&s).is_some_and(|at| now - at > 500.0);
                let lines = orders.lines.iter_mut();
                let flood = lines.filter(|l| l.2 > 0.0 && late(l.1));
                flood.for_each(|l| l.2 = 300.0);
                let ordered: BTreeSet<usize> = orders.lines.iter().map(|l| l.1).collect();
                let more = self
                    .seen
                    .iter()
                    .filter(|(_, s)| late(*s) && !ordered.contains(s));
                orders.lines.extend(more.map(|(p, s)| (*p, *s, 300.0)));
            }
            ControllerFault::RetriesEverything => {
                let parts: BTreeSet<usize> = orders.bindings.iter().map(|b| b.1).collect();
                for part in parts {
                    let all =
                        (0..self.classes).map(|c| (part, c, 1.0, planner::RetryPolicy::OnFailure));
                    orders.levels.extend(all);
                }
                orders
                    .levels
                    .iter_mut()
                    .for_each(|l| l.3 = planner::RetryPolicy::OnFailure);
            }
            ControllerFault::EmptiesTables => {
                if now - start_ms > 2_000.0 {
                    orders.lines = self.seen.iter().map(|(p, s)| (*p, *s, 0.0)).collect();
                }
            }
            ControllerFault::FloodsChannel => {
                if now - start_ms > 1_000.0 {
                    self.iteration += 1;
                    let weight = 1.0 + f64::from(self.iteration % 7) / 10.0;
                    orders.lines = self.seen.iter().map(|(p, s)| (*p, *s, weight)).collect();
                    orders.wake_at = Some(now + 2.0);
                }
            }
        }
    }
}

/// Injects the fault into what the engine puts out.
struct OutputFaults {
    fault: ControllerFault,
    started_at: Instant,
    serial: u64,
    /// All lines written so far, by session.
    seen: BTreeMap<u64, Vec<dahliapoint_control::Line>>,
}

impl OutputFaults {
    fn apply(&mut self, output: Output) -> Vec<Output> {
        let Output::Write(sessions, message) = output else {
            return vec![output];
        };
        let mut m = (*message).clone();
        match self.fault {
            ControllerFault::NoFault => {}
            ControllerFault::IgnoresDrains => m.lines.retain(|l| l.state == LineState::Open),
            ControllerFault::OverloadsColdServers => {
                for l in &mut m.lines {
                    l.weight = if l.weight < 0.9 { 300.0 } else { 1.0 };
                }
            }
            ControllerFault::RetriesEverything => {
                m.policies
                    .iter_mut()
                    .for_each(|w| w.1.retry = RetryPolicy::OnFailure);
            }
            ControllerFault::EmptiesTables => {
                let late = self.started_at.elapsed() > Duration::from_secs(2);
                for s in &sessions {
                    let seen = self.seen.entry(*s).or_default();
                    seen.extend(m.lines.iter().cloned());
                    if late {
                        m.lines = seen.clone();
                        m.lines
                            .iter_mut()
                            .for_each(|l| l.state = LineState::Removed);
                    }
                }
            }
            ControllerFault::FloodsChannel => {
                if m.scope == Scope::Unbound {
                    return vec![Output::Write(sessions, message)];
                }
                // Repeats the same lines with slightly different weights.
                let again = (0..300).map(|i| {
                    self.serial += 1;
                    let mut m = Message {
                        serial: self.serial,
                        ..m.clone()
                    };
                    for l in &mut m.lines {
                        l.weight *= 1.0 + f64::from(i % 7) / 10.0;
                    }
                    Output::Write(sessions.clone(), Arc::new(m))
                });
                let mut all: Vec<Output> = again.collect();
                all.push(Output::Write(sessions.clone(), Arc::new(m.clone())));
                return all;
            }
        }
        vec![Output::Write(sessions, Arc::new(m))]
    }
}
