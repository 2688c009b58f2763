//! A scenario (a "bad day"): a YAML file with a deployment, a workload and a list of faults.

use dahliapoint_daemon::deployment::{self, Deployment, Idempotency};
use dahliapoint_proxy::load_balancing::BalancingPolicy;
use dahliapoint_yaml::{FieldReader, read};
use std::path::{Path, PathBuf};

use crate::scripted_proxy::ClassWorkload;

/// An action at a time of the run, its targets and its duration.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at_ms: f64,
    pub action: Action,
    /// Indices of servers, or of proxies, depending on the action.
    pub targets: Vec<usize>,
    /// 0: the action is not undone.
    pub duration_ms: f64,
    /// The amount: a share, a factor, seconds, or the index of a class or zone, depending on the action.
    pub size: f64,
}

/// What an event does; the names in files are in [`ACTIONS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Lists servers as draining; at the end as ready again.
    Drain,
    /// Stops servers, lists them as gone, and starts them again after `size` seconds.
    Restart,
    /// Servers answer nothing; at the end they stop and start again after 200 ms.
    Vanish,
    /// Servers answer nothing.
    Hang,
    /// Servers fail the share `size` of their visits.
    Fail,
    /// Servers are slower by the factor `size`.
    Slow,
    /// Servers do no work.
    Pause,
    /// Servers fail all visits of the class with index `size`.
    FailClass,
    /// Servers are slower by the factor `size` and keep reporting the load from before.
    StaleLoad,
    /// The roster lists running servers as gone.
    WrongRoster,
    /// The roster lists servers as gone and as they are in turn, 400 ms each.
    FlapRoster,
    /// The roster file ends in an incomplete entry.
    BreakRoster,
    /// The roster file is not written.
    FreezeRoster,
    /// Kills the controller; at the end starts it again.
    KillController,
    /// Divides the rate of the controller's channel by `size`.
    SlowChannel,
    /// Cuts off the zone with index `size`.
    CutZone,
    /// The link of the zone with index `size` holds back all bytes.
    StallZone,
    /// Proxies reject messages with lines.
    Refuse,
    /// Proxies do not read their streams.
    Deaf,
    /// Scripted proxies send a load report every 5 ms.
    Flood,
    /// Proxies stop and start again after `size` seconds.
    CrashProxy,
    /// Closes all connections to the controller once.
    BreakStreams,
}

/// The actions by their names in files.
pub const ACTIONS: [(&str, Action); 22] = [
    ("drain", Action::Drain),
    ("restart", Action::Restart),
    ("vanish", Action::Vanish),
    ("hang", Action::Hang),
    ("fail", Action::Fail),
    ("slow", Action::Slow),
    ("pause", Action::Pause),
    ("fail_class", Action::FailClass),
    ("stale_load", Action::StaleLoad),
    ("wrong_roster", Action::WrongRoster),
    ("flap_roster", Action::FlapRoster),
    ("break_roster", Action::BreakRoster),
    ("freeze_roster", Action::FreezeRoster),
    ("kill_controller", Action::KillController),
    ("slow_channel", Action::SlowChannel),
    ("cut_zone", Action::CutZone),
    ("stall_zone", Action::StallZone),
    ("refuse", Action::Refuse),
    ("deaf", Action::Deaf),
    ("flood", Action::Flood),
    ("crash_proxy", Action::CrashProxy),
    ("break_streams", Action::BreakStreams),
];

/// How real proxies get their tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableSource {
    /// By xDS streams.
    Streams,
    /// From files.
    Files,
    /// Every second proxy from files, the others by streams.
    Both,
}

/// A parsed scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub deployment: Deployment,
    pub deployment_text: String,
    pub duration_ms: f64,
    pub seed: u64,
    pub servers: usize,
    /// Cores of each server.
    pub cores: usize,
    /// Speed factors of the slowest and the fastest server; each draws one between them.
    pub speeds: (f64, f64),
    /// Visits that may queue at a server.
    pub queue: usize,
    pub proxies: usize,
    /// Visits that the clients of one proxy send each second.
    pub visits_per_s: f64,
    /// Visits go through real proxies; otherwise through scripted ones.
    pub uses_real_proxy: bool,
    pub balancing: BalancingPolicy,
    pub table_source: TableSource,
    pub ejection_failures: u32,
    pub ejection_ms: f64,
    /// How long a scripted proxy is busy for each line of a message.
    pub apply_us_per_line: f64,
    pub classes: Vec<ClassWorkload>,
    /// How long a cold server must be overloaded before it fails.
    pub overload_window_ms: f64,
    /// Rule 1: how long a proxy may have no server.
    pub max_no_server_ms: f64,
    /// How late the roster lists a change.
    pub roster_late_ms: f64,
    /// How often the controller's estimates are compared with the tries counted; 0: never.
    pub estimate_check_ms: f64,
    /// The controller has its memory on disk, which survives restarts.
    pub memory: bool,
    pub events: Vec<Event>,
}

/// Reads a scenario and the deployment that it names.
///
/// # Errors
/// Every fault in the files, with its line.
pub fn load(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let name = path.display().to_string();
    let file = read(&name, &text, |at| at.field("deployment").string(None));
    let file: PathBuf = folder.join(file.map_err(|f| f.to_string())?);
    let file_name = file.display().to_string();
    let deployment_text =
        std::fs::read_to_string(&file).map_err(|e| format!("{file_name}: {e}"))?;
    let deployment = deployment::parse(&file_name, &deployment_text).map_err(|f| f.to_string())?;
    read(&name, &text, |at| {
        parse_scenario(at, deployment.clone(), &deployment_text)
    })
    .map_err(|f| f.to_string())
}

fn parse_scenario(at: &FieldReader, deployment: Deployment, deployment_text: &str) -> Scenario {
    at.field("deployment");
    let servers = at.field("servers");
    let count = servers.field("count").number(1.0..=10_000.0, None) as usize;
    let cores = servers.field("cores").number(1.0..=64.0, Some(2.0)) as usize;
    let slowest = servers.field("slowest").number(0.01..=100.0, Some(1.0));
    let fastest = servers.field("fastest").number(0.01..=100.0, Some(1.0));
    let queue = servers.field("queue").number(0.0..=1e6, Some(100.0)) as usize;
    servers.deny_unknown_fields();
    let proxies = at.field("proxies");
    let proxy_count = proxies.field("count").number(1.0..=10_000.0, None) as usize;
    let visits_per_s = proxies.field("pace").number(0.0..=10_000.0, None);
    let kinds = [("obedient", true), ("scripted", false)];
    let uses_real_proxy = proxies.field("kind").choice(&kinds, Some(false));
    let policies = [
        ("rotate", BalancingPolicy::WeightedRoundRobin),
        ("random", BalancingPolicy::WeightedRandom),
        ("two", BalancingPolicy::TwoChoices),
    ];
    let balancing = proxies
        .field("picks")
        .choice(&policies, Some(BalancingPolicy::WeightedRandom));
    let sources = [
        ("streams", TableSource::Streams),
        ("files", TableSource::Files),
        ("both", TableSource::Both),
    ];
    let table_source = proxies
        .field("front")
        .choice(&sources, Some(TableSource::Streams));
    let ejection_failures = proxies.field("strikes").number(0.0..=1000.0, Some(5.0)) as u32;
    let ejection_ms = proxies
        .field("shun")
        .duration_ms(0.0..=600_000.0, Some(3_000.0));
    let apply_us_per_line = proxies.field("apply").duration_ms(0.0..=1000.0, Some(0.04)) * 1e3;
    proxies.deny_unknown_fields();
    let (work, shares) = (at.field("work"), at.field("shares"));
    let settings = &deployment.settings;
    let classes = settings
        .classes
        .iter()
        .enumerate()
        .map(|(i, c)| ClassWorkload {
            name: c.name.clone(),
            share: shares.field(&c.name).number(0.0..=1.0, Some(1.0)),
            work_ms: work
                .field(&c.name)
                .duration_ms(0.001..=60_000.0, Some(20.0)),
            soft_ms: c.soft_limit_ms,
            hard_ms: deployment.hard_limits_ms[i],
            earnings: c.earnings,
            non_idempotent: deployment.idempotency[i] == Idempotency::Never,
        });
    let classes: Vec<ClassWorkload> = classes.collect();
    work.deny_unknown_fields();
    shares.deny_unknown_fields();
    let roster = at.field("roster");
    let roster_late_ms = roster
        .field("late")
        .duration_ms(0.0..=60_000.0, Some(300.0));
    roster.deny_unknown_fields();
    let events = at.field("events").list();
    let events = events.iter().map(|e| parse_event(e, count, proxy_count));
    let events = events.collect();
    let scenario = Scenario {
        name: at.field("name").string(None),
        deployment_text: deployment_text.to_string(),
        duration_ms: at.field("lasts").duration_ms(1000.0..=3.6e6, None),
        seed: at.field("seed").number(0.0..=1e15, Some(1.0)) as u64,
        servers: count,
        cores,
        speeds: (slowest, fastest),
        queue,
        proxies: proxy_count,
        visits_per_s,
        uses_real_proxy,
        balancing,
        table_source,
        ejection_failures,
        ejection_ms,
        apply_us_per_line,
        classes,
        overload_window_ms: at
            .field("falls_in")
            .duration_ms(100.0..=60_000.0, Some(2_000.0)),
        max_no_server_ms: at
            .field("bare")
            .duration_ms(100.0..=60_000.0, Some(4_000.0)),
        roster_late_ms,
        estimate_check_ms: at
            .field("watch_estimates")
            .duration_ms(0.0..=60_000.0, Some(0.0)),
        memory: at.field("memory").boolean(Some(false)),
        events,
        deployment,
    };
    at.deny_unknown_fields();
    scenario
}

fn parse_event(at: &FieldReader, servers: usize, proxies: usize) -> Event {
    let action = at.field("do").choice(&ACTIONS, None);
    let targets_proxies = matches!(
        action,
        Action::Refuse | Action::Deaf | Action::Flood | Action::CrashProxy
    );
    let target_limit = if targets_proxies { proxies } else { servers };
    let listed = at.field("whom");
    let mut targets: Vec<usize> = listed
        .list()
        .iter()
        .map(|w| w.number(0.0..=(target_limit - 1) as f64, None) as usize)
        .collect();
    // A share of the targets, evenly spaced, so that all zones are affected alike.
    let share = at.field("share");
    if share.is_present() {
        let share = share.number(0.0..=1.0, None);
        let wanted = (share * target_limit as f64).round() as usize;
        let is_picked = |i: &usize| i * wanted / target_limit != (i + 1) * wanted / target_limit;
        targets.extend((0..target_limit).filter(is_picked));
    }
    let event = Event {
        at_ms: at.field("at").duration_ms(0.0..=3.6e6, None),
        action,
        targets,
        duration_ms: at.field("for").duration_ms(0.0..=3.6e6, Some(0.0)),
        size: at.field("size").number(0.0..=1e6, Some(1.0)),
    };
    at.deny_unknown_fields();
    event
}
