//! Plays a day: servers, proxies, links and the roster as coroutines, the controller as a process.

use crate::backend::{Backend, Cold};
use crate::day::{Day, Event, Fronts, What};
use crate::obedient::Obedient;
use crate::proxy::{Channel, Layer, Player, Proxy, Trouble};
use crate::relay::{Mode, Relay};
use crate::rules::{Figures, Ledger};
use crate::world::{Heard, Told, World, lock};
use dahliapoint_proxy::settings::FileSettings;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The front of files that a day adds to its deployment, and what its proxies are told of it.
const FILES: &str =
    "\nfiles: {dir: files, every: 100ms, read_every: 250ms, beat: 500ms, forms: [balancer]}\n";
const READ_MS: f64 = 250.0;
const BEAT_MS: f64 = 500.0;

/// How often rule 1 is looked at.
const LOOK_MS: f64 = 50.0;
/// Servers are looked after at their probe; told starts are known after the roster's own period.
const MARGIN_MS: f64 = 30.0;

/// The controller as a process of its own.
pub struct Process {
    folder: PathBuf,
    arguments: Vec<String>,
    address: Option<SocketAddr>,
    child: Option<Child>,
    pub starts: u32,
}

impl Process {
    /// `arguments` go before the deployment file; the program is this one.
    pub fn new(folder: &Path, arguments: Vec<String>) -> Process {
        Process {
            folder: folder.to_path_buf(),
            arguments,
            address: None,
            child: None,
            starts: 0,
        }
    }

    /// Starts it, again at the same address, and waits until it listens.
    pub fn start(&mut self) -> Result<SocketAddr, String> {
        let told = self.folder.join("address");
        let _ = std::fs::remove_file(&told);
        self.starts += 1;
        let log = self.folder.join(format!("controller-{}.log", self.starts));
        let log = File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let listen = self
            .address
            .map_or("127.0.0.1:0".to_string(), |a| a.to_string());
        let child = Command::new(program)
            .args(&self.arguments)
            .arg(self.folder.join("deployment.yaml"))
            .args(["--listen", &listen])
            .arg("--address-file")
            .arg(&told)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("the controller cannot be started: {e}"))?;
        self.child = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if let Ok(text) = std::fs::read_to_string(&told)
                && let Ok(address) = text.parse()
            {
                self.address = Some(address);
                return Ok(address);
            }
            let ended = self
                .child
                .as_mut()
                .and_then(|c| c.try_wait().ok().flatten());
            if let Some(status) = ended {
                return Err(format!(
                    "the controller ended with {status}; see {}",
                    self.folder.display()
                ));
            }
            if Instant::now() > until {
                return Err("the controller does not listen".into());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn used(&self) -> Option<(f64, f64)> {
        used_by(self.child.as_ref()?.id())
    }

    /// Tells it to end (SIGTERM by the shell's own `kill`), and waits; kills it if it does not.
    fn end(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        let _ = Command::new("kill")
            .args(["-TERM", &child.id().to_string()])
            .status();
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        false
    }
}

/// CPU time that a process has used, in milliseconds, and the most memory, in MiB.
fn used_by(pid: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak = peak.trim().trim_end_matches(" kB").parse::<f64>().ok()?;
    Some((ticks * 10.0, peak / 1024.0))
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The roster that others write: what is true, told late, wrong at times.
struct RosterFile {
    path: PathBuf,
    world: Arc<World>,
    /// True state and start of each server; what is told wrongly instead.
    truth: Vec<(&'static str, Option<f64>)>,
    wrong: HashMap<usize, &'static str>,
    frozen: bool,
    broken: bool,
}

impl RosterFile {
    fn write(&self, backends: &[Arc<Backend>]) -> Result<(), String> {
        if self.frozen {
            return Ok(());
        }
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0.0, |d| d.as_secs_f64());
        let now = self.world.now_ms();
        let mut text = String::from("servers:\n");
        let state = |i: usize| self.wrong.get(&i).copied().unwrap_or(self.truth[i].0);
        for b in backends {
            let mut line = format!(
                "- {{name: {}, address: '{}', zone: {}, state: {}",
                b.name,
                b.address,
                self.world.zones[b.zone],
                state(b.index)
            );
            if let Some(at) = self.truth[b.index].1 {
                let _ = write!(line, ", started: {:.3}", wall - (now - at) / 1e3);
            }
            text.push_str(&line);
            text.push_str("}\n");
        }
        if self.broken {
            text.push_str("- {name: half a li");
        }
        let aside = self.path.with_extension("aside");
        std::fs::write(&aside, text).map_err(|e| e.to_string())?;
        std::fs::rename(&aside, &self.path).map_err(|e| e.to_string())?;
        if !self.broken {
            let now = self.world.now_ms();
            let mut told = lock(&self.world.told);
            for (i, told) in told.iter_mut().enumerate() {
                let (state, started) = (state(i), self.truth[i].1);
                if told.state != state || told.started_ms != started {
                    *told = Told {
                        state,
                        since_ms: now,
                        started_ms: started,
                    };
                }
            }
        }
        Ok(())
    }
}

/// A step of the day.
#[derive(Clone, Debug)]
enum Step {
    Begin(Event),
    End(Event),
    /// The roster tells what has become true.
    Tell,
    /// A process comes up again.
    Rise(Vec<usize>),
}

struct Playing<'a> {
    day: &'a Day,
    world: Arc<World>,
    layer: Arc<Layer>,
    proxies: Vec<Arc<dyn Player>>,
    process: &'a mut Process,
    roster: RosterFile,
    steps: Vec<(f64, Step)>,
    killed_ms: Option<f64>,
    ended_well: bool,
    controller: SocketAddr,
    next_watch: f64,
    seen: Arc<Mutex<Seen>>,
}

/// The controller's estimates against what was really tried.
#[derive(Default)]
struct Seen {
    /// Shares by which estimates were off, for servers with enough tries, and how many lay within the
    /// bound that came with them and the chance of the count itself.
    errors: Vec<f64>,
    bounded: usize,
    /// Servers flagged though their word was true; times until stale ones were flagged.
    false_flags: usize,
    flagged: HashMap<usize, f64>,
    unanswered: usize,
}

/// Tries in a stretch from which on a server's estimate is looked at.
const ENOUGH: f64 = 60.0;
/// The stretch that estimates cover, and how long reports are on their way.
const COVERED_MS: f64 = 5_000.0;
const ON_THE_WAY_MS: f64 = 1_000.0;

impl Seen {
    fn look(&mut self, world: &World, asked: f64, overview: &Value) {
        for server in overview["servers"].as_array().into_iter().flatten() {
            let name = server["name"].as_str().unwrap_or_default();
            let index = name
                .strip_prefix("server-")
                .and_then(|n| n.parse::<usize>().ok());
            let (Some(index), estimate) = (index, &server["estimate"]) else {
                continue;
            };
            let number = |field: &str| estimate[field].as_f64().unwrap_or(0.0);
            let to = asked - ON_THE_WAY_MS;
            let true_tries = world.tried_between(index, to - COVERED_MS, to);
            if true_tries >= ENOUGH {
                let said = number("tries_per_s") * COVERED_MS / 1e3;
                self.errors.push((said / true_tries - 1.0).abs());
                let bound = number("error_per_s") * COVERED_MS / 1e3 + 2.0 * true_tries.sqrt();
                self.bounded += usize::from((said - true_tries).abs() <= bound);
            }
            let flagged = estimate["stale"] == json!(true);
            let since = lock(&world.stale).get(&index).copied();
            match (flagged, since) {
                (true, None) => self.false_flags += 1,
                (true, Some(at)) => {
                    self.flagged.entry(index).or_insert(asked - at);
                }
                (false, _) => {}
            }
        }
    }

    fn report(&self, world: &World) -> Value {
        let mut errors = self.errors.clone();
        errors.sort_by(f64::total_cmp);
        let at = |q: f64| {
            errors
                .get(((errors.len() as f64 * q) as usize).min(errors.len().max(1) - 1))
                .copied()
        };
        let mut flagged: Vec<f64> = self.flagged.values().copied().collect();
        flagged.sort_by(f64::total_cmp);
        json!({
            "checked": errors.len(), "tries_wanted": ENOUGH,
            "median_error": at(0.5), "p99_error": at(0.99), "worst_error": at(1.0),
            "within_bound": self.bounded as f64 / errors.len().max(1) as f64,
            "stale_servers": lock(&world.stale).len(), "flagged": flagged.len(),
            "flagged_after_ms": flagged, "false_flags": self.false_flags,
            "unanswered": self.unanswered,
        })
    }
}

/// Plays a day to its end; the report.
///
/// # Errors
/// Why it could not be played.
pub fn play(day: &Day, process: &mut Process, folder: &Path) -> Result<Value, String> {
    let terms = &day.deployment.settings;
    let figures = Figures {
        bare_ms: day.bare_ms,
        grace_ms: terms.drain_grace_ms,
        most_waiting: terms.max_queued_lines,
        most_messages: terms.max_messages as usize,
        span_ms: terms.message_window_ms,
    };
    let ledger = Ledger::new(figures, day.classes.len());
    let knows_after_ms = day.deployment.roster_poll_interval_ms + MARGIN_MS;
    let world = World::new(terms.zones.clone(), day.servers, ledger, knows_after_ms);
    let world = Arc::new(world);
    let cold = Cold {
        share: terms.cold_capacity_share,
        warm_after_ms: terms.warm_up_ms,
        falls_at: terms.overload_multiple,
        falls_in_ms: day.falls_in_ms,
    };
    let never_twice: Vec<bool> = day.classes.iter().map(|c| c.never_twice).collect();
    let mut rng = StdRng::seed_from_u64(day.seed);
    let zones = terms.zones.len();
    let mut backends = Vec::new();
    for i in 0..day.servers {
        let speed = day.speeds.0 + (day.speeds.1 - day.speeds.0) * rng.random::<f64>();
        let never = never_twice.clone();
        let started = Backend::start(
            &world,
            i,
            i % zones,
            day.cores,
            speed,
            day.queue,
            cold,
            never,
        );
        backends.push(started.map_err(|e| format!("a server cannot be started: {e}"))?);
    }
    // The deployment as it is, with its roster in the day's own folder.
    let name = day.deployment.roster_path.file_name().unwrap_or_default();
    let roster = RosterFile {
        path: folder.join(name),
        world: world.clone(),
        truth: vec![("ready", None); day.servers],
        wrong: HashMap::new(),
        frozen: false,
        broken: false,
    };
    let mut text = day.deployment_text.clone();
    if day.front != Fronts::Streams {
        text.push_str(FILES);
    }
    if day.memory {
        text.push_str("\nmemory: {dir: memory}\n");
    }
    let put = std::fs::write(folder.join("deployment.yaml"), text);
    put.map_err(|e| format!("{}: {e}", folder.display()))?;
    roster.write(&backends)?;
    let controller = process.start()?;
    let relays: Result<Vec<_>, _> = (0..zones).map(|_| Relay::start(controller)).collect();
    let by_address = backends.iter().map(|b| (b.address.to_string(), b.index));
    let layer = Arc::new(Layer {
        world: world.clone(),
        service: terms.service.clone(),
        classes: day.classes.clone(),
        repeats: day.deployment.idempotency.clone(),
        way: day.way,
        by_address: by_address.collect(),
        backends,
        relays: relays.map_err(|e| format!("a relay cannot be started: {e}"))?,
        channel: Channel::new(terms.lines_per_s, terms.message_latency_ms),
        strikes: day.strikes,
        shun_ms: day.shun_ms,
        apply_us: day.apply_us,
        standing: terms.initial_servers as usize,
        connect_ms: day.deployment.connect_timeout_ms,
        idle_ms: terms.idle_timeout_ms,
        message_lines: terms.message_overhead_lines,
        knows_after_ms,
        seed: day.seed,
        visits: AtomicU64::new(0),
    });
    let heard = |i: usize| Heard {
        zone: i % zones,
        ..Heard::default()
    };
    *lock(&world.heard) = (0..day.proxies).map(heard).collect();
    let proxies: Vec<Arc<dyn Player>> = (0..day.proxies)
        .map(|i| -> Arc<dyn Player> {
            match day.obedient {
                true => {
                    let by_files = match day.front {
                        Fronts::Streams => false,
                        Fronts::Files => true,
                        Fronts::Both => i % 2 == 1,
                    };
                    let files = by_files.then(|| FileSettings {
                        dir: folder.join("files"),
                        keys: None,
                        poll_interval_ms: READ_MS,
                        heartbeat_interval_ms: BEAT_MS,
                    });
                    Obedient::new(&layer, i, i % zones, day.pace, files)
                }
                false => Proxy::new(&layer, i, i % zones, day.pace),
            }
        })
        .collect();
    proxies.iter().for_each(|p| p.clone().start());
    let begun = world.now_ms();
    let begin = |e: &Event| (begun + e.at_ms, Step::Begin(e.clone()));
    let mut playing = Playing {
        day,
        world: world.clone(),
        layer,
        proxies,
        process,
        roster,
        steps: day.events.iter().map(begin).collect(),
        killed_ms: None,
        ended_well: false,
        controller,
        // An estimate covers some seconds: before these have passed there is nothing to compare.
        next_watch: begun + COVERED_MS + 2.0 * ON_THE_WAY_MS + day.watch_ms,
        seen: Arc::default(),
    };
    let done = playing.go(begun);
    let used = playing.process.used();
    // Its own figure for the time within decisions: a measurement, no rule is checked by it.
    let deciding = match done {
        Ok(()) => dahliapoint_daemon::status::fetch(controller).ok(),
        Err(_) => None,
    };
    let overview = deciding.map(|(overview, _)| overview).unwrap_or_default();
    if done.is_ok() {
        playing.ended_well = playing.process.end();
    }
    world.end();
    done?;
    let classes: Vec<_> = day
        .classes
        .iter()
        .map(|c| (c.name.clone(), c.earnings))
        .collect();
    let mut report = world.ledger.report(&classes);
    if day.watch_ms > 0.0 {
        report["estimates"] = lock(&playing.seen).report(&world);
    }
    // What all stand-ins together have used: servers, proxies, clients, links.
    report["standins"] = json!({
        "proxies": if day.obedient { "obedient" } else { "scripted" },
        "cpu_ms": used_by(std::process::id()).map(|u| u.0),
        "peak_memory_mib": used_by(std::process::id()).map(|u| u.1),
    });
    report["day"] = json!(day.name);
    report["size"] =
        json!({"servers": day.servers, "proxies": day.proxies, "seconds": day.lasts_ms / 1e3});
    report["controller"] = json!({
        "starts": playing.process.starts,
        "ended_orderly": playing.ended_well,
        "cpu_ms_since_last_start": used.map(|u| u.0),
        "peak_memory_mib": used.map(|u| u.1),
        "deciding": overview["deciding"],
        "intake": overview["intake"],
        "files": overview["files"],
        "memory": overview["memory"],
        "guard": overview["guard"],
        "hooks": overview["hooks"],
    });
    report["kept"] = json!(!world.ledger.is_broken());
    Ok(report)
}

impl Playing<'_> {
    fn go(&mut self, begun: f64) -> Result<(), String> {
        let end = begun + self.day.lasts_ms;
        loop {
            let now = self.world.now_ms();
            let mut due: Vec<(f64, Step)> = Vec::new();
            self.steps.retain(|(at, step)| {
                let is_due = *at <= now;
                if is_due {
                    due.push((*at, step.clone()));
                }
                !is_due
            });
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (_, step) in due {
                self.step(step)?;
            }
            self.look(now);
            if self.day.watch_ms > 0.0 && now >= self.next_watch {
                self.next_watch = now + self.day.watch_ms;
                self.watch();
            }
            if now >= end {
                return Ok(());
            }
            std::thread::sleep(Duration::from_secs_f64(LOOK_MS / 1e3));
        }
    }

    fn look(&mut self, now: f64) {
        let warm = self.day.deployment.settings.warm_up_ms;
        let told = lock(&self.world.told).clone();
        let open = self.layer.backends.iter().any(|b| {
            let t = &told[b.index];
            let since = |at: Option<f64>| at.is_none_or(|at| now - at >= warm);
            t.state == "ready" && since(t.started_ms) && since(b.started_ms()) && b.is_up()
        });
        self.proxies.iter().for_each(|p| p.look(now, open));
        let alive = |p: &&Arc<dyn Player>| p.can_be_told();
        if let Some(at) = self.killed_ms
            && self
                .proxies
                .iter()
                .filter(alive)
                .all(|p| p.is_bound_since(at))
        {
            lock(&self.world.ledger.rebound_ms).push(now - at);
            self.killed_ms = None;
        }
    }

    /// Asks the controller what it estimates, aside, and sets that against what was tried.
    fn watch(&self) {
        let (world, seen, to) = (self.world.clone(), self.seen.clone(), self.controller);
        std::thread::spawn(move || {
            let asked = world.now_ms();
            match dahliapoint_daemon::status::fetch(to) {
                Ok((overview, _)) => lock(&seen).look(&world, asked, &overview),
                Err(_) => lock(&seen).unanswered += 1,
            }
        });
    }

    fn later(&mut self, ms: f64, step: Step) {
        self.steps.push((self.world.now_ms() + ms, step));
    }

    fn tell_later(&mut self) {
        self.later(self.day.roster_late_ms, Step::Tell);
    }

    fn servers(&self, e: &Event, change: impl Fn(&mut crate::backend::Faults)) {
        for s in &e.whom {
            self.layer.backends[*s].change(&change);
        }
    }

    fn proxies(&self, e: &Event) -> impl Iterator<Item = &Arc<dyn Player>> {
        e.whom.iter().map(|i| &self.proxies[*i])
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Tell => self.roster.write(&self.layer.backends)?,
            Step::Rise(servers) => {
                for s in servers {
                    self.layer.backends[s].rise();
                    let started = self.layer.backends[s].started_ms();
                    self.roster.truth[s] = ("ready", started);
                }
                self.tell_later();
            }
            Step::Begin(e) => {
                self.begin(&e)?;
                if e.for_ms > 0.0 {
                    let end = Step::End(e.clone());
                    self.later(e.for_ms, end);
                }
            }
            Step::End(e) => self.end(&e)?,
        }
        Ok(())
    }

    fn begin(&mut self, e: &Event) -> Result<(), String> {
        let now = self.world.now_ms();
        match e.what {
            What::Drain => {
                for s in &e.whom {
                    self.roster.truth[*s].0 = "draining";
                }
                self.tell_later();
            }
            What::Restart => {
                for s in &e.whom {
                    self.layer.backends[*s].die();
                    self.roster.truth[*s].0 = "gone";
                }
                self.tell_later();
                self.later(e.size * 1e3, Step::Rise(e.whom.clone()));
            }
            What::Vanish | What::Hang => self.servers(e, |f| f.hang = true),
            What::Fail => self.servers(e, |f| f.fail = e.size),
            What::Slow => self.servers(e, |f| f.slow = e.size.max(1.0)),
            What::Pause => self.servers(e, |f| f.paused_until_ms = now + e.for_ms),
            What::FailClass => self.servers(e, |f| f.class = Some(e.size as usize)),
            What::StaleLoad => {
                for s in &e.whom {
                    lock(&self.world.stale).insert(*s, now);
                }
                self.servers(e, |f| {
                    f.stale_load = true;
                    f.slow = e.size.max(1.0);
                });
            }
            What::WrongRoster | What::FlapRoster => {
                for s in &e.whom {
                    self.roster.wrong.insert(*s, "gone");
                }
                self.roster.write(&self.layer.backends)?;
                if e.what == What::FlapRoster && e.for_ms > 800.0 {
                    let mut next = e.clone();
                    (next.for_ms, next.what) = (400.0, What::WrongRoster);
                    let mut again = e.clone();
                    again.for_ms -= 800.0;
                    self.later(400.0, Step::End(next));
                    self.later(800.0, Step::Begin(again));
                }
            }
            What::BreakRoster => {
                self.roster.broken = true;
                self.roster.write(&self.layer.backends)?;
            }
            What::FreezeRoster => self.roster.frozen = true,
            What::KillController => {
                self.process.kill();
                self.world.era.fetch_add(1, Ordering::SeqCst);
                self.killed_ms = Some(now);
            }
            What::SlowChannel => self.channel(e.size.max(1.0)),
            What::CutZone => {
                self.world.cut(e.size as usize, true);
                self.link(e, Mode::Cut);
            }
            What::StallZone => self.link(e, Mode::Stalled),
            What::Refuse => self
                .proxies(e)
                .for_each(|p| p.trouble(Trouble::Refuses, true)),
            What::Deaf => self.proxies(e).for_each(|p| p.trouble(Trouble::Deaf, true)),
            What::Flood => self
                .proxies(e)
                .for_each(|p| p.trouble(Trouble::Floods, true)),
            What::CrashProxy => self
                .proxies(e)
                .for_each(|p| p.clone().restart(e.size * 1e3)),
            What::BreakStreams => {
                self.killed_ms = Some(now);
                for relay in &self.layer.relays {
                    relay.set(Mode::Cut);
                    relay.set(Mode::Open);
                }
            }
        }
        Ok(())
    }

    fn end(&mut self, e: &Event) -> Result<(), String> {
        match e.what {
            What::Drain => {
                for s in &e.whom {
                    self.roster.truth[*s].0 = "ready";
                }
                self.tell_later();
            }
            What::Vanish => {
                for s in &e.whom {
                    self.layer.backends[*s].die();
                }
                self.later(200.0, Step::Rise(e.whom.clone()));
            }
            What::Hang => self.servers(e, |f| f.hang = false),
            What::Fail => self.servers(e, |f| f.fail = 0.0),
            What::Slow => self.servers(e, |f| f.slow = 1.0),
            What::FailClass => self.servers(e, |f| f.class = None),
            What::StaleLoad => self.servers(e, |f| {
                f.stale_load = false;
                f.slow = 1.0;
            }),
            What::WrongRoster | What::FlapRoster => {
                for s in &e.whom {
                    self.roster.wrong.remove(s);
                }
                self.roster.write(&self.layer.backends)?;
            }
            What::BreakRoster => {
                self.roster.broken = false;
                self.roster.write(&self.layer.backends)?;
            }
            What::FreezeRoster => {
                self.roster.frozen = false;
                self.roster.write(&self.layer.backends)?;
            }
            What::KillController => {
                self.process.start()?;
            }
            What::SlowChannel => self.channel(1.0),
            What::CutZone => {
                self.world.cut(e.size as usize, false);
                self.link(e, Mode::Open);
            }
            What::StallZone => self.link(e, Mode::Open),
            What::Refuse => self
                .proxies(e)
                .for_each(|p| p.trouble(Trouble::Refuses, false)),
            What::Deaf => self
                .proxies(e)
                .for_each(|p| p.trouble(Trouble::Deaf, false)),
            What::Flood => self
                .proxies(e)
                .for_each(|p| p.trouble(Trouble::Floods, false)),
            What::Pause | What::Restart | What::CrashProxy | What::BreakStreams => {}
        }
        Ok(())
    }

    fn channel(&self, slower: f64) {
        let usual = self.day.deployment.settings.lines_per_s;
        *lock(&self.layer.channel.lines_per_s) = usual / slower;
    }

    /// The controller sits in the first zone: its own proxies stay with it in a cut.
    fn link(&self, e: &Event, mode: Mode) {
        let zone = e.size as usize;
        let cut = mode == Mode::Cut || mode == Mode::Open;
        for (i, relay) in self.layer.relays.iter().enumerate() {
            let apart = match zone {
                0 => i != 0 && cut,
                _ => i == zone,
            };
            if apart || !cut && i == zone {
                relay.set(mode);
            }
        }
    }
}

/// The report for a person.
pub fn as_text(report: &Value) -> String {
    let mut out = String::new();
    let number = |v: &Value| {
        v.as_f64().map_or("-".to_string(), |n| {
            format!("{}", (n * 100.0).round() / 100.0)
        })
    };
    let _ = writeln!(out, "day: {}", report["day"].as_str().unwrap_or_default());
    for rule in report["rules"].as_array().into_iter().flatten() {
        let broken = rule["broken"].as_u64().unwrap_or(0);
        let word = if broken == 0 { "kept" } else { "BROKEN" };
        let name = rule["rule"].as_str().unwrap_or_default();
        let _ = writeln!(
            out,
            "  {name:<30} {word:<7} checked {}, broken {broken}",
            rule["checked"]
        );
        for v in rule["violations"].as_array().into_iter().flatten() {
            let text = |f: &str| v[f].as_str().unwrap_or_default().to_string();
            let _ = writeln!(
                out,
                "    at {} ms {} {}: {}",
                number(&v["at_ms"]),
                text("proxy"),
                text("server"),
                text("what")
            );
        }
    }
    let share = report["earnings"]["share"].as_f64().unwrap_or(0.0);
    let _ = writeln!(
        out,
        "  earnings within the soft limit: {:.1}%",
        share * 100.0
    );
    for (title, key) in [
        ("channel", "channel"),
        ("first to last applied", "first_to_last_applied"),
        ("drain to applied", "drain_to_applied"),
        ("kill to all bound, ms", "kill_to_all_bound_ms"),
        ("controller", "controller"),
        ("stand-ins", "standins"),
    ] {
        let _ = writeln!(out, "  {title}: {}", report[key]);
    }
    out
}
