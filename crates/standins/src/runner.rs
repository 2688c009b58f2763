//! Runs a scenario: servers, proxies and links as coroutines, the controller as a process of its own, the
//! roster as a file.

use crate::faulty_link::{FaultyLink, LinkState};
use crate::real_proxy::RealProxy;
use crate::rule_checker::{RuleChecker, RuleLimits};
use crate::run_state::{ListedState, ProxyConnection, RunState, lock};
use crate::scenario::{Action, Event, Scenario, TableSource};
use crate::scripted_proxy::{
    ControllerChannel, ProxyContext, ProxyFault, ScriptedProxy, TestProxy,
};
use crate::test_server::{ColdModel, TestServer};
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

/// The settings for tables by files, appended to the deployment; the proxies get the same intervals.
const FILE_SETTINGS: &str =
    "\nfiles: {dir: files, every: 100ms, read_every: 250ms, beat: 500ms, forms: [balancer]}\n";
const FILE_POLL_MS: f64 = 250.0;
const HEARTBEAT_MS: f64 = 500.0;

/// How often steps are run and rule 1 is checked.
const STEP_INTERVAL_MS: f64 = 50.0;
/// Added to the period at which the controller reads the roster, for the time that reading takes.
const ROSTER_READ_MARGIN_MS: f64 = 30.0;

/// The controller as a process of its own.
pub struct ControllerProcess {
    folder: PathBuf,
    arguments: Vec<String>,
    address: Option<SocketAddr>,
    child: Option<Child>,
    /// How often it was started.
    pub starts: u32,
}

impl ControllerProcess {
    /// A process of this same program; `arguments` go before the deployment file.
    pub fn new(folder: &Path, arguments: Vec<String>) -> ControllerProcess {
        ControllerProcess {
            folder: folder.to_path_buf(),
            arguments,
            address: None,
            child: None,
            starts: 0,
        }
    }

    /// Starts the controller and waits until it listens. Every start uses the address of the first.
    pub fn start(&mut self) -> Result<SocketAddr, String> {
        let address_file = self.folder.join("address");
        let _ = std::fs::remove_file(&address_file);
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
            .arg(&address_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("the controller cannot be started: {e}"))?;
        self.child = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if let Ok(text) = std::fs::read_to_string(&address_file)
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

    /// Kills it with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// CPU time and peak memory since the last start.
    fn resource_usage(&self) -> Option<ResourceUsage> {
        resource_usage_of(self.child.as_ref()?.id())
    }

    /// Sends SIGTERM by the `kill` command and waits up to 10 s, then kills it. Returns whether it ended
    /// successfully.
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

/// What a process has used.
struct ResourceUsage {
    cpu_ms: f64,
    peak_memory_mib: f64,
}

/// The resource usage of a process, from `/proc`.
fn resource_usage_of(pid: u32) -> Option<ResourceUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(") ").next()?.split(' ').collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let peak_kib = peak.trim().trim_end_matches(" kB").parse::<f64>().ok()?;
    Some(ResourceUsage {
        cpu_ms: ticks * 10.0,
        peak_memory_mib: peak_kib / 1024.0,
    })
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The roster file, which may list changes late or wrongly.
struct RosterFile {
    path: PathBuf,
    run_state: Arc<RunState>,
    /// The actual state and start of each server.
    actual: Vec<(&'static str, Option<f64>)>,
    /// States that are listed in place of the actual ones.
    state_overrides: HashMap<usize, &'static str>,
    /// The file is not written.
    frozen: bool,
    /// The file ends in an incomplete entry.
    broken: bool,
}

impl RosterFile {
    /// Writes the file unless it is frozen, and records what it lists unless it is broken.
    fn write(&self, servers: &[Arc<TestServer>]) -> Result<(), String> {
        if self.frozen {
            return Ok(());
        }
        let wall_s = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_s = wall_s.map_or(0.0, |d| d.as_secs_f64());
        let now = self.run_state.now_ms();
        let mut text = String::from("servers:\n");
        let state = |i: usize| {
            self.state_overrides
                .get(&i)
                .copied()
                .unwrap_or(self.actual[i].0)
        };
        for s in servers {
            let mut line = format!(
                "- {{name: {}, address: '{}', zone: {}, state: {}",
                s.name,
                s.address,
                self.run_state.zones[s.zone],
                state(s.index)
            );
            if let Some(at) = self.actual[s.index].1 {
                let _ = write!(line, ", started: {:.3}", wall_s - (now - at) / 1e3);
            }
            text.push_str(&line);
            text.push_str("}\n");
        }
        if self.broken {
            text.push_str("- {name: half a li");
        }
        let temporary = self.path.with_extension("aside");
        std::fs::write(&temporary, text).map_err(|e| e.to_string())?;
        std::fs::rename(&temporary, &self.path).map_err(|e| e.to_string())?;
        if !self.broken {
            let now = self.run_state.now_ms();
            let mut listed = lock(&self.run_state.listed);
            for (i, listed) in listed.iter_mut().enumerate() {
                let (state, started) = (state(i), self.actual[i].1);
                if listed.state != state || listed.started_ms != started {
                    *listed = ListedState {
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

/// A step of the run.
#[derive(Clone, Debug)]
enum Step {
    StartEvent(Event),
    EndEvent(Event),
    /// Writes the roster with the actual states.
    WriteRoster,
    /// Starts the processes of stopped servers.
    StartServers(Vec<usize>),
}

/// A run of a scenario.
struct Runner<'a> {
    scenario: &'a Scenario,
    run_state: Arc<RunState>,
    context: Arc<ProxyContext>,
    proxies: Vec<Arc<dyn TestProxy>>,
    process: &'a mut ControllerProcess,
    roster: RosterFile,
    /// Steps with their times, in no order.
    steps: Vec<(f64, Step)>,
    /// When the controller was killed or its streams broken, until every proxy is bound again.
    killed_ms: Option<f64>,
    ended_orderly: bool,
    controller: SocketAddr,
    next_estimate_check: f64,
    estimate_check: Arc<Mutex<EstimateCheck>>,
}

/// Compares the controller's estimates with the tries counted.
#[derive(Default)]
struct EstimateCheck {
    /// Relative errors of the estimates, for servers with enough tries.
    errors: Vec<f64>,
    /// How many estimates were within their stated bound plus two standard deviations of the count itself.
    bounded: usize,
    /// Flags on servers whose reports were not stale.
    false_flags: usize,
    /// How long it took until each server with stale reports was flagged.
    flagged: HashMap<usize, f64>,
    /// Requests for the overview that failed.
    unanswered: usize,
}

/// The estimate of a server is compared only if it had this many tries in the window.
const MIN_TRIES: f64 = 60.0;
/// The window that estimates cover.
const ESTIMATE_WINDOW_MS: f64 = 5_000.0;
/// How long reports take to reach the estimates.
const REPORT_DELAY_MS: f64 = 1_000.0;

impl EstimateCheck {
    /// Compares the estimates of an overview, which was asked for at `asked`.
    fn compare(&mut self, run_state: &RunState, asked: f64, overview: &Value) {
        for server in overview["servers"].as_array().into_iter().flatten() {
            let name = server["name"].as_str().unwrap_or_default();
            let index = name
                .strip_prefix("server-")
                .and_then(|n| n.parse::<usize>().ok());
            let (Some(index), estimate) = (index, &server["estimate"]) else {
                continue;
            };
            let number = |field: &str| estimate[field].as_f64().unwrap_or(0.0);
            let to = asked - REPORT_DELAY_MS;
            let true_tries = run_state.tries_between(index, to - ESTIMATE_WINDOW_MS, to);
            if true_tries >= MIN_TRIES {
                let estimated = number("tries_per_s") * ESTIMATE_WINDOW_MS / 1e3;
                self.errors.push((estimated / true_tries - 1.0).abs());
                let bound =
                    number("error_per_s") * ESTIMATE_WINDOW_MS / 1e3 + 2.0 * true_tries.sqrt();
                self.bounded += usize::from((estimated - true_tries).abs() <= bound);
            }
            let flagged = estimate["stale"] == json!(true);
            let since = lock(&run_state.stale_since).get(&index).copied();
            match (flagged, since) {
                (true, None) => self.false_flags += 1,
                (true, Some(at)) => {
                    self.flagged.entry(index).or_insert(asked - at);
                }
                (false, _) => {}
            }
        }
    }

    /// The result as JSON.
    fn report(&self, run_state: &RunState) -> Value {
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
            "checked": errors.len(), "tries_wanted": MIN_TRIES,
            "median_error": at(0.5), "p99_error": at(0.99), "worst_error": at(1.0),
            "within_bound": self.bounded as f64 / errors.len().max(1) as f64,
            "stale_servers": lock(&run_state.stale_since).len(), "flagged": flagged.len(),
            "flagged_after_ms": flagged, "false_flags": self.false_flags,
            "unanswered": self.unanswered,
        })
    }
}

/// Runs a scenario to its end and returns the report.
///
/// # Errors
/// If the scenario could not be run.
pub fn run(
    scenario: &Scenario,
    process: &mut ControllerProcess,
    folder: &Path,
) -> Result<Value, String> {
    let settings = &scenario.deployment.settings;
    let limits = RuleLimits {
        max_no_server_ms: scenario.max_no_server_ms,
        drain_grace_ms: settings.drain_grace_ms,
        max_queued_lines: settings.max_queued_lines,
        max_messages: settings.max_messages as usize,
        message_window_ms: settings.message_window_ms,
    };
    let checker = RuleChecker::new(limits, scenario.classes.len());
    let roster_lag_ms = scenario.deployment.roster_poll_interval_ms + ROSTER_READ_MARGIN_MS;
    let run_state = RunState::new(
        settings.zones.clone(),
        scenario.servers,
        checker,
        roster_lag_ms,
    );
    let run_state = Arc::new(run_state);
    let cold = ColdModel {
        capacity_share: settings.cold_capacity_share,
        warm_up_ms: settings.warm_up_ms,
        overload_multiple: settings.overload_multiple,
        overload_window_ms: scenario.overload_window_ms,
    };
    let non_idempotent: Vec<bool> = scenario.classes.iter().map(|c| c.non_idempotent).collect();
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let zones = settings.zones.len();
    let mut servers = Vec::new();
    for i in 0..scenario.servers {
        let speed =
            scenario.speeds.0 + (scenario.speeds.1 - scenario.speeds.0) * rng.random::<f64>();
        let non_idempotent = non_idempotent.clone();
        let started = TestServer::start(
            &run_state,
            i,
            i % zones,
            scenario.cores,
            speed,
            scenario.queue,
            cold,
            non_idempotent,
        );
        servers.push(started.map_err(|e| format!("a server cannot be started: {e}"))?);
    }
    // The deployment as given, with its roster in the folder of the run.
    let name = scenario
        .deployment
        .roster_path
        .file_name()
        .unwrap_or_default();
    let roster = RosterFile {
        path: folder.join(name),
        run_state: run_state.clone(),
        actual: vec![("ready", None); scenario.servers],
        state_overrides: HashMap::new(),
        frozen: false,
        broken: false,
    };
    let mut text = scenario.deployment_text.clone();
    if scenario.table_source != TableSource::Streams {
        text.push_str(FILE_SETTINGS);
    }
    if scenario.memory {
        text.push_str("\nmemory: {dir: memory}\n");
    }
    let written = std::fs::write(folder.join("deployment.yaml"), text);
    written.map_err(|e| format!("{}: {e}", folder.display()))?;
    roster.write(&servers)?;
    let controller = process.start()?;
    let links: Result<Vec<_>, _> = (0..zones).map(|_| FaultyLink::start(controller)).collect();
    let by_address = servers.iter().map(|b| (b.address.to_string(), b.index));
    let context = Arc::new(ProxyContext {
        run_state: run_state.clone(),
        service: settings.service.clone(),
        classes: scenario.classes.clone(),
        repeat_policies: scenario.deployment.idempotency.clone(),
        balancing: scenario.balancing,
        by_address: by_address.collect(),
        servers,
        links: links.map_err(|e| format!("a relay cannot be started: {e}"))?,
        channel: ControllerChannel::new(settings.lines_per_s, settings.message_latency_ms),
        ejection_failures: scenario.ejection_failures,
        ejection_ms: scenario.ejection_ms,
        apply_us_per_line: scenario.apply_us_per_line,
        initial_server_count: settings.initial_servers as usize,
        connect_ms: scenario.deployment.connect_timeout_ms,
        idle_ms: settings.idle_timeout_ms,
        message_lines: settings.message_overhead_lines,
        roster_lag_ms,
        seed: scenario.seed,
        visits: AtomicU64::new(0),
    });
    let connection = |i: usize| ProxyConnection {
        zone: i % zones,
        ..ProxyConnection::default()
    };
    *lock(&run_state.connections) = (0..scenario.proxies).map(connection).collect();
    let proxies: Vec<Arc<dyn TestProxy>> = (0..scenario.proxies)
        .map(|i| -> Arc<dyn TestProxy> {
            match scenario.uses_real_proxy {
                true => {
                    let uses_files = match scenario.table_source {
                        TableSource::Streams => false,
                        TableSource::Files => true,
                        TableSource::Both => i % 2 == 1,
                    };
                    let files = uses_files.then(|| FileSettings {
                        dir: folder.join("files"),
                        keys: None,
                        poll_interval_ms: FILE_POLL_MS,
                        heartbeat_interval_ms: HEARTBEAT_MS,
                    });
                    RealProxy::new(&context, i, i % zones, scenario.visits_per_s, files)
                }
                false => ScriptedProxy::new(&context, i, i % zones, scenario.visits_per_s),
            }
        })
        .collect();
    proxies.iter().for_each(|p| p.clone().start());
    let start_ms = run_state.now_ms();
    let begin = |e: &Event| (start_ms + e.at_ms, Step::StartEvent(e.clone()));
    let mut runner = Runner {
        scenario,
        run_state: run_state.clone(),
        context,
        proxies,
        process,
        roster,
        steps: scenario.events.iter().map(begin).collect(),
        killed_ms: None,
        ended_orderly: false,
        controller,
        // Estimates cover a window; before it has passed there is nothing to compare.
        next_estimate_check: start_ms
            + ESTIMATE_WINDOW_MS
            + 2.0 * REPORT_DELAY_MS
            + scenario.estimate_check_ms,
        estimate_check: Arc::default(),
    };
    let result = runner.run_steps(start_ms);
    let usage = runner.process.resource_usage();
    // The controller's own figures go into the report; no rule is checked by them.
    let fetched = match result {
        Ok(()) => dahliapoint_daemon::status::fetch(controller).ok(),
        Err(_) => None,
    };
    let overview = fetched.map(|(overview, _)| overview).unwrap_or_default();
    if result.is_ok() {
        runner.ended_orderly = runner.process.end();
    }
    run_state.end();
    result?;
    let classes: Vec<_> = scenario
        .classes
        .iter()
        .map(|c| (c.name.clone(), c.earnings))
        .collect();
    let mut report = run_state.checker.report(&classes);
    if scenario.estimate_check_ms > 0.0 {
        report["estimates"] = lock(&runner.estimate_check).report(&run_state);
    }
    // The usage of this process: all servers, proxies, clients and links.
    report["standins"] = json!({
        "proxies": if scenario.uses_real_proxy { "obedient" } else { "scripted" },
        "cpu_ms": resource_usage_of(std::process::id()).map(|u| u.cpu_ms),
        "peak_memory_mib": resource_usage_of(std::process::id()).map(|u| u.peak_memory_mib),
    });
    report["day"] = json!(scenario.name);
    report["size"] = json!({"servers": scenario.servers, "proxies": scenario.proxies, "seconds": scenario.duration_ms / 1e3});
    report["controller"] = json!({
        "starts": runner.process.starts,
        "ended_orderly": runner.ended_orderly,
        "cpu_ms_since_last_start": usage.as_ref().map(|u| u.cpu_ms),
        "peak_memory_mib": usage.as_ref().map(|u| u.peak_memory_mib),
        "deciding": overview["deciding"],
        "intake": overview["intake"],
        "files": overview["files"],
        "memory": overview["memory"],
        "guard": overview["guard"],
        "hooks": overview["hooks"],
    });
    report["kept"] = json!(!run_state.checker.is_broken());
    Ok(report)
}

impl Runner<'_> {
    /// Runs each step when it is due, until the end of the run.
    fn run_steps(&mut self, start_ms: f64) -> Result<(), String> {
        let end = start_ms + self.scenario.duration_ms;
        loop {
            let now = self.run_state.now_ms();
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
                self.run_step(step)?;
            }
            self.check_proxies(now);
            if self.scenario.estimate_check_ms > 0.0 && now >= self.next_estimate_check {
                self.next_estimate_check = now + self.scenario.estimate_check_ms;
                self.check_estimates();
            }
            if now >= end {
                return Ok(());
            }
            std::thread::sleep(Duration::from_secs_f64(STEP_INTERVAL_MS / 1e3));
        }
    }

    /// Checks rule 1 at every proxy, and whether all are bound again after a kill.
    fn check_proxies(&mut self, now: f64) {
        let warm_up_ms = self.scenario.deployment.settings.warm_up_ms;
        let listed = lock(&self.run_state.listed).clone();
        let is_warm_ready = self.context.servers.iter().any(|server| {
            let entry = &listed[server.index];
            let is_warm = |start: Option<f64>| start.is_none_or(|at| now - at >= warm_up_ms);
            entry.state == "ready"
                && is_warm(entry.started_ms)
                && is_warm(server.started_ms())
                && server.is_up()
        });
        self.proxies
            .iter()
            .for_each(|p| p.check_no_server(now, is_warm_ready));
        let is_reachable = |p: &&Arc<dyn TestProxy>| p.is_reachable();
        if let Some(at) = self.killed_ms
            && self
                .proxies
                .iter()
                .filter(is_reachable)
                .all(|p| p.is_bound_after(at))
        {
            lock(&self.run_state.checker.rebind_ms).push(now - at);
            self.killed_ms = None;
        }
    }

    /// Fetches the controller's estimates on a thread of its own and compares them with the tries counted.
    fn check_estimates(&self) {
        let (run_state, estimate_check, to) = (
            self.run_state.clone(),
            self.estimate_check.clone(),
            self.controller,
        );
        std::thread::spawn(move || {
            let asked = run_state.now_ms();
            match dahliapoint_daemon::status::fetch(to) {
                Ok((overview, _)) => lock(&estimate_check).compare(&run_state, asked, &overview),
                Err(_) => lock(&estimate_check).unanswered += 1,
            }
        });
    }

    /// Schedules a step after so many milliseconds.
    fn schedule(&mut self, ms: f64, step: Step) {
        self.steps.push((self.run_state.now_ms() + ms, step));
    }

    /// Schedules writing the roster after its delay.
    fn write_roster_later(&mut self) {
        self.schedule(self.scenario.roster_late_ms, Step::WriteRoster);
    }

    /// Changes the faults of the servers that an event targets.
    fn set_server_faults(&self, e: &Event, change: impl Fn(&mut crate::test_server::Faults)) {
        for s in &e.targets {
            self.context.servers[*s].set_faults(&change);
        }
    }

    /// The proxies that an event targets.
    fn proxies(&self, e: &Event) -> impl Iterator<Item = &Arc<dyn TestProxy>> {
        e.targets.iter().map(|i| &self.proxies[*i])
    }

    /// Runs one step; an event schedules its own end.
    fn run_step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::WriteRoster => self.roster.write(&self.context.servers)?,
            Step::StartServers(servers) => {
                for s in servers {
                    self.context.servers[s].restart();
                    let started = self.context.servers[s].started_ms();
                    self.roster.actual[s] = ("ready", started);
                }
                self.write_roster_later();
            }
            Step::StartEvent(e) => {
                self.start_event(&e)?;
                if e.duration_ms > 0.0 {
                    let end = Step::EndEvent(e.clone());
                    self.schedule(e.duration_ms, end);
                }
            }
            Step::EndEvent(e) => self.end_event(&e)?,
        }
        Ok(())
    }

    /// Applies an event.
    fn start_event(&mut self, e: &Event) -> Result<(), String> {
        let now = self.run_state.now_ms();
        match e.action {
            Action::Drain => {
                for s in &e.targets {
                    self.roster.actual[*s].0 = "draining";
                }
                self.write_roster_later();
            }
            Action::Restart => {
                for s in &e.targets {
                    self.context.servers[*s].stop();
                    self.roster.actual[*s].0 = "gone";
                }
                self.write_roster_later();
                self.schedule(e.size * 1e3, Step::StartServers(e.targets.clone()));
            }
            Action::Vanish | Action::Hang => self.set_server_faults(e, |f| f.hangs = true),
            Action::Fail => self.set_server_faults(e, |f| f.fail_share = e.size),
            Action::Slow => self.set_server_faults(e, |f| f.slowdown = e.size.max(1.0)),
            Action::Pause => self.set_server_faults(e, |f| f.paused_until_ms = now + e.duration_ms),
            Action::FailClass => {
                self.set_server_faults(e, |f| f.failing_class = Some(e.size as usize))
            }
            Action::StaleLoad => {
                for s in &e.targets {
                    lock(&self.run_state.stale_since).insert(*s, now);
                }
                self.set_server_faults(e, |f| {
                    f.stale_load = true;
                    f.slowdown = e.size.max(1.0);
                });
            }
            Action::WrongRoster | Action::FlapRoster => {
                for s in &e.targets {
                    self.roster.state_overrides.insert(*s, "gone");
                }
                self.roster.write(&self.context.servers)?;
                if e.action == Action::FlapRoster && e.duration_ms > 800.0 {
                    let mut next = e.clone();
                    (next.duration_ms, next.action) = (400.0, Action::WrongRoster);
                    let mut again = e.clone();
                    again.duration_ms -= 800.0;
                    self.schedule(400.0, Step::EndEvent(next));
                    self.schedule(800.0, Step::StartEvent(again));
                }
            }
            Action::BreakRoster => {
                self.roster.broken = true;
                self.roster.write(&self.context.servers)?;
            }
            Action::FreezeRoster => self.roster.frozen = true,
            Action::KillController => {
                self.process.kill();
                self.run_state.controller_run.fetch_add(1, Ordering::SeqCst);
                self.killed_ms = Some(now);
            }
            Action::SlowChannel => self.slow_channel(e.size.max(1.0)),
            Action::CutZone => {
                self.run_state.set_zone_cut(e.size as usize, true);
                self.set_links(e, LinkState::Cut);
            }
            Action::StallZone => self.set_links(e, LinkState::Stalled),
            Action::Refuse => self
                .proxies(e)
                .for_each(|p| p.set_fault(ProxyFault::RejectsMessages, true)),
            Action::Deaf => self
                .proxies(e)
                .for_each(|p| p.set_fault(ProxyFault::StopsReading, true)),
            Action::Flood => self
                .proxies(e)
                .for_each(|p| p.set_fault(ProxyFault::FloodsReports, true)),
            Action::CrashProxy => self
                .proxies(e)
                .for_each(|p| p.clone().restart(e.size * 1e3)),
            Action::BreakStreams => {
                self.killed_ms = Some(now);
                for link in &self.context.links {
                    link.set(LinkState::Cut);
                    link.set(LinkState::Open);
                }
            }
        }
        Ok(())
    }

    /// Undoes an event.
    fn end_event(&mut self, e: &Event) -> Result<(), String> {
        match e.action {
            Action::Drain => {
                for s in &e.targets {
                    self.roster.actual[*s].0 = "ready";
                }
                self.write_roster_later();
            }
            Action::Vanish => {
                for s in &e.targets {
                    self.context.servers[*s].stop();
                }
                self.schedule(200.0, Step::StartServers(e.targets.clone()));
            }
            Action::Hang => self.set_server_faults(e, |f| f.hangs = false),
            Action::Fail => self.set_server_faults(e, |f| f.fail_share = 0.0),
            Action::Slow => self.set_server_faults(e, |f| f.slowdown = 1.0),
            Action::FailClass => self.set_server_faults(e, |f| f.failing_class = None),
            Action::StaleLoad => self.set_server_faults(e, |f| {
                f.stale_load = false;
                f.slowdown = 1.0;
            }),
            Action::WrongRoster | Action::FlapRoster => {
                for s in &e.targets {
                    self.roster.state_overrides.remove(s);
                }
                self.roster.write(&self.context.servers)?;
            }
            Action::BreakRoster => {
                self.roster.broken = false;
                self.roster.write(&self.context.servers)?;
            }
            Action::FreezeRoster => {
                self.roster.frozen = false;
                self.roster.write(&self.context.servers)?;
            }
            Action::KillController => {
                self.process.start()?;
            }
            Action::SlowChannel => self.slow_channel(1.0),
            Action::CutZone => {
                self.run_state.set_zone_cut(e.size as usize, false);
                self.set_links(e, LinkState::Open);
            }
            Action::StallZone => self.set_links(e, LinkState::Open),
            Action::Refuse => self
                .proxies(e)
                .for_each(|p| p.set_fault(ProxyFault::RejectsMessages, false)),
            Action::Deaf => self
                .proxies(e)
                .for_each(|p| p.set_fault(ProxyFault::StopsReading, false)),
            Action::Flood => self
                .proxies(e)
                .for_each(|p| p.set_fault(ProxyFault::FloodsReports, false)),
            Action::Pause | Action::Restart | Action::CrashProxy | Action::BreakStreams => {}
        }
        Ok(())
    }

    /// Divides the rate of the channel by a factor.
    fn slow_channel(&self, factor: f64) {
        let lines_per_s = self.scenario.deployment.settings.lines_per_s;
        *lock(&self.context.channel.lines_per_s) = lines_per_s / factor;
    }

    /// Sets the links that an event on a zone affects. The controller is in the first zone, so cutting that
    /// zone cuts the links of all others.
    fn set_links(&self, e: &Event, state: LinkState) {
        let zone = e.size as usize;
        let is_cut_or_open = state == LinkState::Cut || state == LinkState::Open;
        for (i, link) in self.context.links.iter().enumerate() {
            let is_affected = match zone {
                0 => i != 0 && is_cut_or_open,
                _ => i == zone,
            };
            if is_affected || !is_cut_or_open && i == zone {
                link.set(state);
            }
        }
    }
}

/// The report as text.
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
