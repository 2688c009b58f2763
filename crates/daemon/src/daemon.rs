//! Creates the components of a controller, connects them, and starts and ends them in order.

use crate::controller_thread::{Clock, ControllerThread};
use crate::deployment::Deployment;
use crate::dns::DnsResolver;
use crate::hook_runner::HookRunner;
use crate::memory;
use crate::probe::Prober;
use crate::roster::{PollResult, RosterWatcher};
use dahliapoint_control::{ControllerHandle, Input, Output, RosterEntry};
use dahliapoint_files::drain_timing::DrainCheck;
use dahliapoint_files::transport::{self as files, FileSettings};
use dahliapoint_grpc::{Call, Handler, Limits, Server};
use dahliapoint_memory::clock;
use dahliapoint_memory::facts::{Change, ChangeTracker, Facts};
use dahliapoint_memory::restore::{self, Restored};
use dahliapoint_memory::writer::JournalWriter;
use dahliapoint_peer::merge::merge_facts;
use dahliapoint_peer::service::{PeerService, SharedFacts};
use dahliapoint_peer::{client, messages};
use dahliapoint_xds::{ServiceConfig, XdsService};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{error, info, warn};

/// First session number of the front of files; streams have numbers below it.
const FIRST_FILE_SESSION: u64 = 1 << 40;

/// Interval at which the resolver's thread checks whether a lookup is due.
const DNS_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Where the roster comes from.
pub enum RosterSource {
    /// The roster file of the deployment, which is watched for changes.
    File,
    /// These entries, for as long as the daemon runs.
    Fixed(Vec<RosterEntry>),
}

/// A running controller.
pub struct Daemon {
    server: Server,
    front: Arc<XdsService>,
    controller: ControllerThread,
    controller_thread: JoinHandle<()>,
    ending: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
    resolver: Option<JoinHandle<()>>,
    files: Option<(Arc<files::FileTransport>, JoinHandle<()>)>,
    memory: Option<(Arc<JournalWriter>, JoinHandle<()>)>,
    hooks: Option<(Arc<HookRunner>, JoinHandle<()>)>,
}

impl Daemon {
    /// Starts all components. Inputs are recorded in the file `record`, if one is given.
    ///
    /// # Errors
    /// Returns what is wrong, for an operator, if the settings cannot be used or the roster cannot be read and
    /// memory holds none.
    pub fn start(
        deployment: &Deployment,
        source: RosterSource,
        record: Option<PathBuf>,
    ) -> Result<Daemon, String> {
        let settings = deployment.settings.clone();
        let (memory, facts) = match &deployment.memory {
            None => (None, Facts::default()),
            Some((dir, key)) => {
                let (store, facts, found) = memory::open(dir, key.as_deref())?;
                info!(dir = %dir.display(), servers = facts.servers.len(), ?found, "memory is read");
                for passed in &found.passed_over {
                    warn!("memory: {passed}");
                }
                let stored = facts.clone();
                let started = JournalWriter::start(store, stored, found);
                let started = started.map_err(|e| format!("{}: {e}", dir.display()))?;
                (Some(started), facts)
            }
        };
        let stored = facts;
        let facts = merge_with_peers(deployment, stored.clone());
        if let Some((journal, _)) = &memory {
            // Facts that peers know better are stored with their own age.
            let changes = facts
                .servers
                .values()
                .filter(|f| stored.servers.get(&f.name) != Some(f));
            let changes: Vec<Change> = changes.cloned().map(Change::Server).collect();
            if !changes.is_empty() && !journal.offer(changes) {
                warn!("memory: the facts learned from peers are not stored yet: the queue is full");
            }
        }
        let mut watcher = RosterWatcher::new(
            &deployment.roster_path,
            &deployment.roster_format,
            &settings.zones,
        );
        let (entries, watched) = match source {
            RosterSource::Fixed(entries) => (entries, false),
            RosterSource::File => match watcher.poll() {
                PollResult::Changed(entries) => (entries, true),
                PollResult::Refused(why) if !facts.servers.is_empty() => {
                    warn!("the roster is refused, the one in memory is used: {why}");
                    (facts.entries(), true)
                }
                PollResult::Refused(why) => return Err(why),
                PollResult::Unchanged => return Err("the roster changed while it was read".into()),
            },
        };
        let resolver = deployment.dns.clone().map(|dns| {
            let journal = memory.as_ref().map(|(journal, _)| journal.clone());
            let previous = facts.servers.values();
            let previous = previous.map(|f| (f.name.clone(), f.address.clone()));
            DnsResolver::new(dns, journal, &facts.kept, previous)
        });
        let entries = match &resolver {
            None => entries,
            Some(resolver) => {
                // The first lookup is done before the start, so that its servers are in the first roster.
                let listed = resolver.roster(entries);
                if resolver.refresh() {
                    resolver.merged_roster()
                } else {
                    listed
                }
            }
        };
        let clock = Clock::start();
        let seed = deployment.seed.unwrap_or_else(|| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            now.map_or(1, |d| d.as_nanos() as u64)
        });
        let controller = ControllerThread::new(clock, seed, settings.report_interval_ms);
        let shared: Arc<dyn ControllerHandle> = Arc::new(controller.clone());
        let shape = ServiceConfig::from_settings(&settings, deployment.connect_timeout_ms);
        let front = XdsService::new(shape, shared.clone(), 1);
        let ping_timeout = Duration::from_secs_f64(deployment.ping_timeout_ms / 1e3);
        let limits = Limits {
            peer_timeout: ping_timeout,
            keepalive_interval: ping_timeout / 2,
            ..Limits::default()
        };
        let shared_facts = SharedFacts::default();
        let router = Arc::new(CallRouter {
            front: front.clone(),
            peers: deployment.answers_peers.then(|| {
                controller.share_facts(shared_facts.clone(), &facts);
                PeerService::new(&settings.service, shared_facts, clock::now)
            }),
        });
        let server = Server::start(deployment.listen, limits, router)
            .map_err(|e| format!("cannot listen on {}: {e}", deployment.listen))?;
        let files = match &deployment.files {
            None => None,
            Some(f) => {
                if let DrainCheck::Tight(why) = f.reach.check() {
                    warn!("files: {why}");
                }
                let keys = f.keys.as_deref().map(files::read_keys).transpose()?;
                let paths = FileSettings {
                    dir: f.dir.clone(),
                    formats: f.formats.clone(),
                    keys: keys.unwrap_or_default(),
                    interval_ms: f.reach.write_interval_ms,
                    valid_ms: f.valid_ms,
                };
                let started = files::FileTransport::start(
                    paths,
                    shared.clone(),
                    FIRST_FILE_SESSION,
                    &settings,
                );
                let started = started.map_err(|e| format!("{}: {e}", f.dir.display()))?;
                let view_source = started.0.clone();
                controller.add_status_view("files", Box::new(move || view_source.status()));
                Some(started)
            }
        };
        let prober = Prober::new(&deployment.probe_path, deployment.probe_timeout_ms, shared);
        let output_handler = {
            let front = front.clone();
            let file_front = files.as_ref().map(|(front, _)| front.clone());
            Box::new(move |output| match output {
                Output::Probe { server, address } => {
                    prober.send(server, &address);
                    None
                }
                other => front
                    .handle_output(other)
                    .and_then(|rest| match &file_front {
                        Some(file_front) => file_front.handle_output(rest),
                        None => Some(rest),
                    }),
            })
        };
        let servers = entries.len();
        let mut first = Vec::new();
        if !facts.servers.is_empty() {
            // The roster as memory has it is handled first, then the present one as a change of it.
            let now = clock::now();
            let (restored, restorations) =
                restore::restore_roster(&now, &facts, &entries, settings.warm_up_ms);
            let doubted = restorations
                .iter()
                .filter(|r| **r != Restored::AsListed)
                .count();
            info!(
                servers,
                doubted, "the planner starts with the roster from memory"
            );
            first.push(Input::Roster(restored));
        }
        first.push(Input::Roster(entries));
        let stored = memory.as_ref();
        let stored =
            stored.map(|(journal, _)| (journal.clone(), ChangeTracker::from_facts(&facts)));
        if let Some((journal, _)) = stored.clone() {
            controller.add_status_view("memory", Box::new(move || journal.status()));
        }
        if let Some(resolver) = resolver.clone() {
            controller.add_status_view("dns", Box::new(move || resolver.status()));
        }
        let hook_runner = deployment.hooks.clone().map(HookRunner::new);
        let initial_roster = last_roster(&first);
        if let Some(hook_runner) = &hook_runner {
            // A fault in a hook is found before the controller runs.
            crate::hook_runner::load(
                &deployment
                    .hooks
                    .as_ref()
                    .map_or(PathBuf::new(), |p| p.dir.clone()),
            )?;
            controller.set_hooks(hook_runner.clone());
            let view_source = hook_runner.clone();
            controller.add_status_view("hooks", Box::new(move || view_source.status()));
        }
        let controller_thread = controller
            .run(
                seed,
                settings,
                record.as_deref(),
                first,
                output_handler,
                stored,
            )
            .map_err(|e| format!("cannot start the controller: {e}"))?;
        let hooks = match hook_runner {
            None => None,
            Some(hook_runner) => {
                let journal = memory.as_ref().map(|(journal, _)| journal.clone());
                let thread = hook_runner.start(
                    controller.clone(),
                    initial_roster,
                    journal,
                    facts.kept.clone(),
                )?;
                Some((hook_runner, thread))
            }
        };
        let ending = Arc::new(AtomicBool::new(false));
        let interval = Duration::from_secs_f64(deployment.roster_poll_interval_ms / 1e3);
        let sink = RosterSink {
            controller: controller.clone(),
            hooks: hooks.as_ref().map(|(h, _)| h.clone()),
            resolver: resolver.clone(),
            order: Arc::default(),
        };
        let watcher =
            watched.then(|| spawn_watcher(watcher, interval, sink.clone(), ending.clone()));
        let resolver = resolver.and_then(|r| spawn_resolver(r, sink, ending.clone()));
        info!(xds = %server.address(), servers, service = %deployment.settings.service, "running");
        Ok(Daemon {
            server,
            front,
            controller,
            controller_thread,
            ending,
            watcher: watcher.flatten(),
            resolver,
            files,
            memory,
            hooks,
        })
    }

    /// Address that proxies connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Handle of the controller's thread.
    pub fn controller(&self) -> &ControllerThread {
        &self.controller
    }

    /// Shuts down: asks streams to reconnect elsewhere, handles the queued inputs, then ends all threads. Returns
    /// whether all connections had ended within the timeout.
    pub fn end(self, timeout: Duration) -> bool {
        self.ending.store(true, Ordering::SeqCst);
        self.front.shut_down();
        let all_ended = self.server.shut_down(Instant::now() + timeout);
        if let Some((hook_runner, thread)) = self.hooks {
            hook_runner.end();
            let _ = thread.join();
        }
        self.controller.close();
        let _ = self.controller_thread.join();
        if let Some((front, thread)) = self.files {
            front.stop();
            let _ = thread.join();
        }
        if let Some((journal, thread)) = self.memory {
            journal.stop();
            let _ = thread.join();
        }
        for thread in [self.watcher, self.resolver].into_iter().flatten() {
            let _ = thread.join();
        }
        info!(all_streams_ended = all_ended, "ended");
        all_ended
    }
}

/// Routes calls: those of starting peers to the peer service, all others to the front.
struct CallRouter {
    front: Arc<XdsService>,
    peers: Option<Arc<PeerService>>,
}

impl Handler for CallRouter {
    fn call(&self, call: Call) {
        match &self.peers {
            Some(peers) if call.path.starts_with(messages::SERVICE_PREFIX) => peers.call(call),
            _ => self.front.call(call),
        }
    }
}

/// Facts from memory and from the peers, the fresher ones of each. Returns after the timeout at the latest,
/// whatever peers do.
fn merge_with_peers(deployment: &Deployment, stored: Facts) -> Facts {
    if deployment.peers.is_empty() {
        return stored;
    }
    let timeout = Duration::from_secs_f64(deployment.peers_timeout_ms / 1e3);
    let service = &deployment.settings.service;
    let Some(learned) = client::query_all(&deployment.peers, service, clock::now, timeout) else {
        warn!("no peer told anything: this starts on what it has itself");
        return stored;
    };
    let (facts, counted) = merge_facts(
        &clock::now(),
        &stored,
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

/// The last roster among inputs.
fn last_roster(first: &[Input]) -> Vec<RosterEntry> {
    let mut rosters = first.iter().rev().filter_map(|i| match i {
        Input::Roster(entries) => Some(entries.clone()),
        _ => None,
    });
    rosters.next().unwrap_or_default()
}

/// Passes rosters on to the controller: DNS adds servers to them, hooks see them first.
#[derive(Clone)]
struct RosterSink {
    controller: ControllerThread,
    hooks: Option<Arc<HookRunner>>,
    resolver: Option<Arc<DnsResolver>>,
    /// Held while a roster is merged and sent, so that rosters of two threads are sent in the order in which they
    /// were merged.
    order: Arc<Mutex<()>>,
}

impl RosterSink {
    /// Merges a roster with the servers of DNS and sends it.
    fn merge_and_send(&self, entries: Vec<RosterEntry>) {
        let _order = self.order.lock().unwrap_or_else(|e| e.into_inner());
        self.send(match &self.resolver {
            Some(resolver) => resolver.roster(entries),
            None => entries,
        });
    }

    fn send(&self, entries: Vec<RosterEntry>) {
        match &self.hooks {
            Some(hooks) => hooks.roster(entries),
            None => {
                self.controller.send(Input::Roster(entries));
            }
        }
    }
}

/// Starts the thread that looks up DNS until `ending` is set.
fn spawn_resolver(
    resolver: Arc<DnsResolver>,
    sink: RosterSink,
    ending: Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let run = move || {
        while !ending.load(Ordering::SeqCst) {
            std::thread::sleep(DNS_POLL_INTERVAL);
            if resolver.refresh() {
                let _order = sink.order.lock().unwrap_or_else(|e| e.into_inner());
                sink.send(resolver.merged_roster());
            }
        }
    };
    let started = std::thread::Builder::new().name("dns".into()).spawn(run);
    started
        .map_err(|e| error!(error = %e, "cannot start the thread that looks up DNS"))
        .ok()
}

/// Starts the thread that watches the roster file until `ending` is set.
fn spawn_watcher(
    mut watcher: RosterWatcher,
    interval: Duration,
    sink: RosterSink,
    ending: Arc<AtomicBool>,
) -> Option<JoinHandle<()>> {
    let run = move || {
        while !ending.load(Ordering::SeqCst) {
            std::thread::sleep(interval);
            match watcher.poll() {
                PollResult::Unchanged => {}
                PollResult::Changed(entries) => {
                    info!(servers = entries.len(), "the roster has changed");
                    sink.controller.set_roster_fault(None);
                    sink.merge_and_send(entries);
                }
                PollResult::Refused(why) => {
                    warn!("the roster is refused, the last valid one stays in force: {why}");
                    sink.controller.set_roster_fault(Some(why));
                }
            }
        }
    };
    let started = std::thread::Builder::new().name("roster".into()).spawn(run);
    started
        .map_err(|e| error!(error = %e, "cannot start the thread that watches the roster"))
        .ok()
}
