//! Controllers that break a rule on purpose, so that the checkers can be checked: the true engine and front,
//! with a hand in between that spoils what is ordered. Or the hand is between planner and guard, as if the
//! module itself were wrong: then the guard is what keeps the rules.

use dahliapoint::{self as planner, Orders};
use dahliapoint_control::{Input, LineState, Message, Output, RetryPolicy, Scope};
use dahliapoint_daemon::controller_thread::{Clock, ControllerThread};
use dahliapoint_daemon::deployment;
use dahliapoint_daemon::roster::{PollResult, RosterWatcher};
use dahliapoint_grpc::{Limits, Server};
use dahliapoint_xds::{ControllerHandle, Front, Shape};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Wrong {
    /// Nothing: the same parts must pass.
    Nothing,
    IgnoresDrains,
    FloodsTheCold,
    RetriesAll,
    EmptiesTables,
    FloodsTheChannel,
}

/// Runs it until it is killed; `module`: it is the module that is wrong.
///
/// # Errors
/// Why it cannot run.
pub fn run(
    (wrong, module): (Wrong, bool),
    file: &Path,
    listen: SocketAddr,
    address_file: &Path,
) -> Result<(), String> {
    let text = std::fs::read_to_string(file).map_err(|e| e.to_string())?;
    let name = file.display().to_string();
    let deployment = deployment::parse(&name, &text).map_err(|f| f.to_string())?;
    dahliapoint_daemon::cli::init_logging(&deployment);
    let terms = deployment.settings.clone();
    let seed = deployment.seed.unwrap_or(1);
    let engine = ControllerThread::new(Clock::start(), seed, terms.report_interval_ms);
    let owner: Arc<dyn ControllerHandle> = Arc::new(engine.clone());
    let shape = Shape::of(&terms, deployment.connect_timeout_ms);
    let front = Front::new(shape, owner.clone(), 1);
    let server =
        Server::start(listen, Limits::default(), front.clone()).map_err(|e| e.to_string())?;
    let begun = Instant::now();
    if module {
        let mut spoiled = Spoiled::new(wrong, terms.classes.len());
        engine.inject_faults(Box::new(move |now, orders| spoiled.spoil(now, orders)));
    }
    let wrong = if module { Wrong::Nothing } else { wrong };
    let spoiler = Mutex::new(Spoiler {
        wrong,
        begun,
        serial: 1 << 40,
        seen: BTreeMap::new(),
    });
    let spoil_front = front.clone();
    let hand = Box::new(move |output: Output| {
        let mut spoiler = spoiler.lock().unwrap_or_else(|e| e.into_inner());
        if let Output::Probe { server, .. } = output {
            // Every probe is fine, which is a lie too.
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
        for output in spoiler.spoil(output) {
            spoil_front.carry_out(output);
        }
        None
    });
    let mut watch = RosterWatcher::new(
        &deployment.roster_path,
        &deployment.roster_format,
        &terms.zones,
    );
    let PollResult::Changed(entries) = watch.poll() else {
        return Err("no roster".into());
    };
    let first = vec![Input::Roster(entries)];
    let running = engine.run(seed, terms, None, first, hand, None);
    running.map_err(|e| e.to_string())?;
    std::fs::write(address_file, server.address().to_string()).map_err(|e| e.to_string())?;
    loop {
        std::thread::sleep(Duration::from_millis(50));
        if let PollResult::Changed(mut entries) = watch.poll() {
            if wrong == Wrong::FloodsTheCold {
                entries.iter_mut().for_each(|e| e.started = None);
                // So late that no proxy can be excused for not having known.
                std::thread::sleep(Duration::from_millis(250));
            }
            engine.send(Input::Roster(entries));
        }
    }
}

/// The module's orders, spoiled before the guard sees them.
struct Spoiled {
    wrong: Wrong,
    classes: usize,
    begun: Option<f64>,
    seen: BTreeSet<(usize, usize)>,
    /// Servers that were withdrawn and have come back, since when.
    back: BTreeMap<usize, f64>,
    turn: u32,
}

impl Spoiled {
    fn new(wrong: Wrong, classes: usize) -> Spoiled {
        Spoiled {
            wrong,
            classes,
            begun: None,
            seen: BTreeSet::new(),
            back: BTreeMap::new(),
            turn: 0,
        }
    }

    fn spoil(&mut self, now: f64, orders: &mut Orders) {
        let begun = *self.begun.get_or_insert(now);
        self.seen.extend(orders.lines.iter().map(|l| (l.0, l.1)));
        match self.wrong {
            Wrong::Nothing => {}
            Wrong::IgnoresDrains => {
                orders.withdrawals.retain(|(_, shut)| !shut);
                orders.lines.retain(|l| l.2 > 0.0);
            }
            Wrong::FloodsTheCold => {
                let back = orders.withdrawals.iter().filter(|(_, shut)| !shut);
                self.back.extend(back.map(|(s, _)| (*s, now)));
                // So late that no proxy can be excused for not having known.
                let late = |s: usize| self.back.get(&s).is_some_and(|at| now - at > 500.0);
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
            Wrong::RetriesAll => {
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
            Wrong::EmptiesTables => {
                if now - begun > 2_000.0 {
                    orders.lines = self.seen.iter().map(|(p, s)| (*p, *s, 0.0)).collect();
                }
            }
            Wrong::FloodsTheChannel => {
                if now - begun > 1_000.0 {
                    self.turn += 1;
                    let weight = 1.0 + f64::from(self.turn % 7) / 10.0;
                    orders.lines = self.seen.iter().map(|(p, s)| (*p, *s, weight)).collect();
                    orders.wake_at = Some(now + 2.0);
                }
            }
        }
    }
}

struct Spoiler {
    wrong: Wrong,
    begun: Instant,
    serial: u64,
    /// Lines written to each session.
    seen: BTreeMap<u64, Vec<dahliapoint_control::Line>>,
}

impl Spoiler {
    fn spoil(&mut self, output: Output) -> Vec<Output> {
        let Output::Write(sessions, message) = output else {
            return vec![output];
        };
        let mut m = (*message).clone();
        match self.wrong {
            Wrong::Nothing => {}
            Wrong::IgnoresDrains => m.lines.retain(|l| l.state == LineState::Open),
            Wrong::FloodsTheCold => {
                for l in &mut m.lines {
                    l.weight = if l.weight < 0.9 { 300.0 } else { 1.0 };
                }
            }
            Wrong::RetriesAll => {
                m.policies
                    .iter_mut()
                    .for_each(|w| w.1.retry = RetryPolicy::OnFailure);
            }
            Wrong::EmptiesTables => {
                let late = self.begun.elapsed() > Duration::from_secs(2);
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
            Wrong::FloodsTheChannel => {
                if m.scope == Scope::Unbound {
                    return vec![Output::Write(sessions, message)];
                }
                // The same lines again and again, each time a little different.
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
