//! The life of a daemon: its parts wired, started and ended in order.

use crate::controller_thread::{Clock, ControllerThread};
use crate::deployment::Deployment;
use crate::dns::DnsResolver;
use crate::hook_runner::HookRunner;
use crate::memory;
use crate::probe::Prober;
use crate::roster::{PollResult, RosterWatcher};
use dahliapoint_control::{ControllerHandle, Input, Output, RosterEntry};
use dahliapoint_files::front::{self as files, Place};
use dahliapoint_files::reach::Promise;
use dahliapoint_grpc::{Call, Handler, Limits, Server};
use dahliapoint_memory::clock;
use dahliapoint_memory::facts::{Change, ChangeTracker, Facts};
use dahliapoint_memory::restore::{self, Restored};
use dahliapoint_memory::writer::JournalWriter;
use dahliapoint_peer::merge::merge_facts;
use dahliapoint_peer::service::{PeerService, SharedFacts};
use dahliapoint_peer::{client, messages};
use dahliapoint_xds::{Front, Shape};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{error, info, warn};

/// Sessions of the front of files are numbered from here, those of streams below.
const FILES: u64 = 1 << 40;

/// How often it is asked whether a lookup is due.
const LOOK_UP: Duration = Duration::from_millis(50);

/// Where the servers come from.
pub enum RosterSource {
    /// The deployment's roster file, watched.
    File,
    /// These, for good.
    Fixed(Vec<RosterEntry>),
}

/// A running controller.
pub struct Daemon {
    server: Server,
    front: Arc<Front>,
    controller: ControllerThread,
    owner: JoinHandle<()>,
    ending: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
    resolver: Option<JoinHandle<()>>,
    files: Option<(Arc<files::Front>, JoinHandle<()>)>,
    memory: Option<(Arc<JournalWriter>, JoinHandle<()>)>,
    hooks: Option<(Arc<HookRunner>, JoinHandle<()>)>,
}

impl Daemon {
    /// Starts all parts; the roster must be good at the start.
    ///
    /// # Errors
    /// What is wrong, in words for an operator.
    pub fn start(
        deployment: &Deployment,
        source: RosterSource,
        record: Option<PathBuf>,
    ) -> Result<Daemon, String> {
        let terms = deployment.settings.clone();
        let (memory, facts) = match &deployment.memory {
            None => (None, Facts::default()),
            Some((dir, key)) => {
                let (store, facts, found) = memory::open(dir, key.as_deref())?;
                info!(dir = %dir.display(), servers = facts.servers.len(), ?found, "what was known is read");
                for passed in &found.passed_over {
                    warn!("memory: {passed}");
                }
                let kept = facts.clone();
                let started = JournalWriter::start(store, kept, found);
                let started = started.map_err(|e| format!("{}: {e}", dir.display()))?;
                (Some(started), facts)
            }
        };
        let kept = facts;
        let facts = learned(deployment, kept.clone());
        if let Some((keeper, _)) = &memory {
            // What was learned is remembered with the age that it has.
            let news = facts
                .servers
                .values()
                .filter(|f| kept.servers.get(&f.name) != Some(f));
            let news: Vec<Change> = news.cloned().map(Change::Server).collect();
            if !news.is_empty() && !keeper.offer(news) {
                warn!("memory: what was learned is not kept yet");
            }
        }
        let mut watch = RosterWatcher::new(
            &deployment.roster_path,
            &deployment.roster_format,
            &terms.zones,
        );
        let (entries, watched) = match source {
            RosterSource::Fixed(entries) => (entries, false),
            RosterSource::File => match watch.poll() {
                PollResult::Changed(entries) => (entries, true),
                PollResult::Refused(why) if !facts.servers.is_empty() => {
                    warn!("the roster is refused, the last one that is remembered stands: {why}");
                    (facts.entries(), true)
                }
                PollResult::Refused(why) => return Err(why),
                PollResult::Unchanged => return Err("the roster was not read".into()),
            },
        };
        let resolving = deployment.dns.clone().map(|place| {
            let keeper = memory.as_ref().map(|(keeper, _)| keeper.clone());
            let before = facts.servers.values();
            let before = before.map(|f| (f.name.clone(), f.address.clone()));
            DnsResolver::new(place, keeper, &facts.kept, before)
        });
        let entries = match &resolving {
            None => entries,
            Some(resolving) => {
                // What DNS says at the start is listed at the start.
                let alone = resolving.roster(entries);
                if resolving.refresh() {
                    resolving.merged_roster()
                } else {
                    alone
                }
            }
        };
        let clock = Clock::start();
        let seed = deployment.seed.unwrap_or_else(|| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            now.map_or(1, |d| d.as_nanos() as u64)
        });
        let controller = ControllerThread::new(clock, seed, terms.report_interval_ms);
        let shared: Arc<dyn ControllerHandle> = Arc::new(controller.clone());
        let shape = Shape::of(&terms, deployment.connect_timeout_ms);
        let front = Front::new(shape, shared.clone(), 1);
        let patience = Duration::from_secs_f64(deployment.ping_timeout_ms / 1e3);
        let limits = Limits {
            patience,
            keepalive: patience / 2,
            ..Limits::default()
        };
        let known = SharedFacts::default();
        let ways = Arc::new(Ways {
            front: front.clone(),
            teller: deployment.answers_peers.then(|| {
                controller.share_facts(known.clone(), &facts);
                PeerService::new(&terms.service, known, clock::now)
            }),
        });
        let server = Server::start(deployment.listen, limits, ways)
            .map_err(|e| format!("cannot listen on {}: {e}", deployment.listen))?;
        let files = match &deployment.files {
            None => None,
            Some(f) => {
                if let Promise::Narrow(why) = f.reach.promise() {
                    warn!("files: {why}");
                }
                let keys = f.keys.as_deref().map(files::keys).transpose()?;
                let place = Place {
                    dir: f.dir.clone(),
                    forms: f.formats.clone(),
                    keys: keys.unwrap_or_default(),
                    every_ms: f.reach.every_ms,
                    valid_ms: f.valid_ms,
                };
                let started = files::Front::start(place, shared.clone(), FILES, &terms);
                let started = started.map_err(|e| format!("{}: {e}", f.dir.display()))?;
                let shown = started.0.clone();
                controller.add_status_view("files", Box::new(move || shown.view()));
                Some(started)
            }
        };
        let prober = Prober::new(&deployment.probe_path, deployment.probe_timeout_ms, shared);
        let hand = {
            let front = front.clone();
            let filed = files.as_ref().map(|(front, _)| front.clone());
            Box::new(move |output| match output {
                Output::Probe { server, address } => {
                    prober.send(server, &address);
                    None
                }
                other => front.carry_out(other).and_then(|rest| match &filed {
                    Some(filed) => filed.carry_out(rest),
                    None => Some(rest),
                }),
            })
        };
        let servers = entries.len();
        let mut first = Vec::new();
        if !facts.servers.is_empty() {
            // What is remembered goes before what is: it enters as any day's events do.
            let now = clock::now();
            let (told, how) = restore::restore_roster(&now, &facts, &entries, terms.warm_up_ms);
            let doubted = how.iter().filter(|r| **r != Restored::AsListed).count();
            info!(
                servers,
                doubted, "what was known is told to the planner first"
            );
            first.push(Input::Roster(told));
        }
        first.push(Input::Roster(entries));
        let kept = memory.as_ref();
        let kept = kept.map(|(keeper, _)| (keeper.clone(), ChangeTracker::from_facts(&facts)));
        if let Some((keeper, _)) = kept.clone() {
            controller.add_status_view("memory", Box::new(move || keeper.status()));
        }
        if let Some(resolving) = resolving.clone() {
            controller.add_status_view("dns", Box::new(move || resolving.status()));
        }
        let hooking = deployment.hooks.clone().map(HookRunner::new);
        let listed = entries_of(&first);
        if let Some(hooking) = &hooking {
            // Whatever is wrong with a hook is told before anything runs.
            crate::hook_runner::load(
                &deployment
                    .hooks
                    .as_ref()
                    .map_or(PathBuf::new(), |p| p.dir.clone()),
            )?;
            controller.set_hooks(hooking.clone());
            let shown = hooking.clone();
            controller.add_status_view("hooks", Box::new(move || shown.status()));
        }
        let owner = controller
            .run(seed, terms, record.as_deref(), first, hand, kept)
            .map_err(|e| format!("the controller cannot start: {e}"))?;
        let hooks = match hooking {
            None => None,
            Some(hooking) => {
                let keeper = memory.as_ref().map(|(keeper, _)| keeper.clone());
                let thread =
                    hooking.start(controller.clone(), listed, keeper, facts.kept.clone())?;
                Some((hooking, thread))
            }
        };
        let ending = Arc::new(AtomicBool::new(false));
        let every = Duration::from_secs_f64(deployment.roster_poll_interval_ms / 1e3);
        let deliver = Delivery {
            controller: controller.clone(),
            hooks: hooks.as_ref().map(|(h, _)| h.clone()),
            resolving: resolving.clone(),
            order: Arc::default(),
        };
        let watcher = watched.then(|| watching(watch, every, deliver.clone(), ending.clone()));
        let resolver = resolving.and_then(|r| looking_up(r, deliver, ending.clone()));
        info!(xds = %server.address(), servers, service = %deployment.settings.service, "running");
        Ok(Daemon {
            server,
            front,
            controller,
            owner,
            ending,
            watcher: watcher.flatten(),
            resolver,
            files,
            memory,
            hooks,
        })
    }

    /// Where proxies connect.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn controller(&self) -> &ControllerThread {
        &self.controller
    }

    /// Ends orderly: streams are told to go elsewhere, what waits is decided, then all is closed. Tells
    /// whether every connection had ended in time.
    pub fn end(self, within: Duration) -> bool {
        self.ending.store(true, Ordering::SeqCst);
        self.front.end();
        let all = self.server.end(Instant::now() + within);
        if let Some((hooking, thread)) = self.hooks {
            hooking.end();
            let _ = thread.join();
        }
        self.controller.close();
        let _ = self.owner.join();
        if let Some((front, thread)) = self.files {
            front.end();
            let _ = thread.join();
        }
        if let Some((keeper, thread)) = self.memory {
            keeper.stop();
            let _ = thread.join();
        }
        for thread in [self.watcher, self.resolver].into_iter().flatten() {
            let _ = thread.join();
        }
        info!(all_streams_ended = all, "ended");
        all
    }
}

/// Calls of proxies and people, and of newcomers.
struct Ways {
    front: Arc<Front>,
    teller: Option<Arc<PeerService>>,
}

impl Handler for Ways {
    fn call(&self, call: Call) {
        match &self.teller {
            Some(teller) if call.path.starts_with(messages::SERVICE_PREFIX) => teller.call(call),
            _ => self.front.call(call),
        }
    }
}

/// What was kept, and what peers know, whichever is fresher. Whatever peers do, this ends in time.
fn learned(deployment: &Deployment, kept: Facts) -> Facts {
    if deployment.peers.is_empty() {
        return kept;
    }
    let within = Duration::from_secs_f64(deployment.peers_timeout_ms / 1e3);
    let service = &deployment.settings.service;
    let Some(learned) = client::query_all(&deployment.peers, service, clock::now, within) else {
        warn!("no peer told anything: this starts on what it has itself");
        return kept;
    };
    let (facts, counted) = merge_facts(
        &clock::now(),
        &kept,
        &learned,
        deployment.settings.warm_up_ms,
    );
    info!(
        ?counted,
        whole = learned.complete,
        "what peers know is weighed against what was kept"
    );
    facts
}

/// The roster that the owner begins with.
fn entries_of(first: &[Input]) -> Vec<RosterEntry> {
    let mut rosters = first.iter().rev().filter_map(|i| match i {
        Input::Roster(entries) => Some(entries.clone()),
        _ => None,
    });
    rosters.next().unwrap_or_default()
}

/// The way of a roster to the owner: DNS adds to it, hooks see it.
#[derive(Clone)]
struct Delivery {
    controller: ControllerThread,
    hooks: Option<Arc<HookRunner>>,
    resolving: Option<Arc<DnsResolver>>,
    /// Held from when a list is made until it is put: of two threads that make one, the later list is put last.
    order: Arc<Mutex<()>>,
}

impl Delivery {
    fn roster(&self, entries: Vec<RosterEntry>) {
        let _order = self.order.lock().unwrap_or_else(|e| e.into_inner());
        self.put(match &self.resolving {
            Some(resolving) => resolving.roster(entries),
            None => entries,
        });
    }

    fn put(&self, entries: Vec<RosterEntry>) {
        match &self.hooks {
            Some(hooks) => hooks.roster(entries),
            None => {
                self.controller.send(Input::Roster(entries));
            }
        }
    }
}

fn looking_up(
    resolving: Arc<DnsResolver>,
    deliver: Delivery,
    ending: Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let look = move || {
        while !ending.load(Ordering::SeqCst) {
            std::thread::sleep(LOOK_UP);
            if resolving.refresh() {
                let _order = deliver.order.lock().unwrap_or_else(|e| e.into_inner());
                deliver.put(resolving.merged_roster());
            }
        }
    };
    let started = std::thread::Builder::new().name("dns".into()).spawn(look);
    started
        .map_err(|e| error!(error = %e, "DNS cannot be looked up"))
        .ok()
}

fn watching(
    mut watch: RosterWatcher,
    every: Duration,
    deliver: Delivery,
    ending: Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let look = move || {
        while !ending.load(Ordering::SeqCst) {
            std::thread::sleep(every);
            match watch.poll() {
                PollResult::Unchanged => {}
                PollResult::Changed(entries) => {
                    info!(servers = entries.len(), "a new roster is taken");
                    deliver.controller.set_roster_fault(None);
                    deliver.roster(entries);
                }
                PollResult::Refused(why) => {
                    warn!("the roster is refused, the last good one stands: {why}");
                    deliver.controller.set_roster_fault(Some(why));
                }
            }
        }
    };
    let started = std::thread::Builder::new()
        .name("roster".into())
        .spawn(look);
    started
        .map_err(|e| error!(error = %e, "the roster cannot be watched"))
        .ok()
}
