//! The script of a day, as YAML.

use dahliapoint_daemon::deployment::{self, Deployment, Idempotency};
use dahliapoint_proxy::load_balancing::BalancingPolicy;
use dahliapoint_yaml::{At, read};
use std::path::{Path, PathBuf};

use crate::proxy::ClassPlay;

/// What happens at some time, to whom, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at_ms: f64,
    pub what: What,
    /// Servers or proxies concerned.
    pub whom: Vec<usize>,
    pub for_ms: f64,
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    Drain,
    Restart,
    Vanish,
    Hang,
    Fail,
    Slow,
    Pause,
    FailClass,
    StaleLoad,
    WrongRoster,
    FlapRoster,
    BreakRoster,
    FreezeRoster,
    KillController,
    SlowChannel,
    CutZone,
    StallZone,
    Refuse,
    Deaf,
    Flood,
    CrashProxy,
    BreakStreams,
}

pub const WORDS: [(&str, What); 22] = [
    ("drain", What::Drain),
    ("restart", What::Restart),
    ("vanish", What::Vanish),
    ("hang", What::Hang),
    ("fail", What::Fail),
    ("slow", What::Slow),
    ("pause", What::Pause),
    ("fail_class", What::FailClass),
    ("stale_load", What::StaleLoad),
    ("wrong_roster", What::WrongRoster),
    ("flap_roster", What::FlapRoster),
    ("break_roster", What::BreakRoster),
    ("freeze_roster", What::FreezeRoster),
    ("kill_controller", What::KillController),
    ("slow_channel", What::SlowChannel),
    ("cut_zone", What::CutZone),
    ("stall_zone", What::StallZone),
    ("refuse", What::Refuse),
    ("deaf", What::Deaf),
    ("flood", What::Flood),
    ("crash_proxy", What::CrashProxy),
    ("break_streams", What::BreakStreams),
];

/// How obedient proxies get their tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fronts {
    Streams,
    Files,
    /// Every other one.
    Both,
}

/// All of a day.
#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub deployment: Deployment,
    pub deployment_text: String,
    pub lasts_ms: f64,
    pub seed: u64,
    pub servers: usize,
    pub cores: usize,
    pub speeds: (f64, f64),
    pub queue: usize,
    pub proxies: usize,
    pub pace: f64,
    /// By the obedient proxy, or by the scripted one.
    pub obedient: bool,
    pub way: BalancingPolicy,
    pub front: Fronts,
    pub strikes: u32,
    pub shun_ms: f64,
    pub apply_us: f64,
    pub classes: Vec<ClassPlay>,
    pub falls_in_ms: f64,
    pub bare_ms: f64,
    pub roster_late_ms: f64,
    /// How often the controller's estimates are set against what was really tried; 0: never.
    pub watch_ms: f64,
    /// The controller keeps what it knows over its restarts.
    pub memory: bool,
    pub events: Vec<Event>,
}

/// Reads a day and the deployment that it names.
///
/// # Errors
/// All that is wrong, with lines.
pub fn load(path: &Path) -> Result<Day, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let name = path.display().to_string();
    let file = read(&name, &text, |at| at.field("deployment").text(None));
    let file: PathBuf = folder.join(file.map_err(|f| f.to_string())?);
    let shown = file.display().to_string();
    let deployed = std::fs::read_to_string(&file).map_err(|e| format!("{shown}: {e}"))?;
    let deployment = deployment::parse(&shown, &deployed).map_err(|f| f.to_string())?;
    read(&name, &text, |at| day(at, deployment.clone(), &deployed)).map_err(|f| f.to_string())
}

fn day(at: &At, deployment: Deployment, deployed: &str) -> Day {
    at.field("deployment");
    let servers = at.field("servers");
    let count = servers.field("count").number(1.0..=10_000.0, None) as usize;
    let cores = servers.field("cores").number(1.0..=64.0, Some(2.0)) as usize;
    let slowest = servers.field("slowest").number(0.01..=100.0, Some(1.0));
    let fastest = servers.field("fastest").number(0.01..=100.0, Some(1.0));
    let queue = servers.field("queue").number(0.0..=1e6, Some(100.0)) as usize;
    servers.close();
    let proxies = at.field("proxies");
    let proxy_count = proxies.field("count").number(1.0..=10_000.0, None) as usize;
    let pace = proxies.field("pace").number(0.0..=10_000.0, None);
    let kinds = [("obedient", true), ("scripted", false)];
    let obedient = proxies.field("kind").choice(&kinds, Some(false));
    let ways = [
        ("rotate", BalancingPolicy::WeightedRoundRobin),
        ("random", BalancingPolicy::WeightedRandom),
        ("two", BalancingPolicy::TwoChoices),
    ];
    let way = proxies
        .field("picks")
        .choice(&ways, Some(BalancingPolicy::WeightedRandom));
    let fronts = [
        ("streams", Fronts::Streams),
        ("files", Fronts::Files),
        ("both", Fronts::Both),
    ];
    let front = proxies
        .field("front")
        .choice(&fronts, Some(Fronts::Streams));
    let strikes = proxies.field("strikes").number(0.0..=1000.0, Some(5.0)) as u32;
    let shun_ms = proxies.field("shun").time(0.0..=600_000.0, Some(3_000.0));
    let apply_us = proxies.field("apply").time(0.0..=1000.0, Some(0.04)) * 1e3;
    proxies.close();
    let (work, shares) = (at.field("work"), at.field("shares"));
    let terms = &deployment.settings;
    let classes = terms.classes.iter().enumerate().map(|(i, c)| ClassPlay {
        name: c.name.clone(),
        share: shares.field(&c.name).number(0.0..=1.0, Some(1.0)),
        work_ms: work.field(&c.name).time(0.001..=60_000.0, Some(20.0)),
        soft_ms: c.soft_limit_ms,
        hard_ms: deployment.hard_limits_ms[i],
        earnings: c.earnings,
        never_twice: deployment.idempotency[i] == Idempotency::Never,
    });
    let classes: Vec<ClassPlay> = classes.collect();
    work.close();
    shares.close();
    let roster = at.field("roster");
    let roster_late_ms = roster.field("late").time(0.0..=60_000.0, Some(300.0));
    roster.close();
    let events = at.field("events").list();
    let events = events.iter().map(|e| event(e, count, proxy_count));
    let events = events.collect();
    let out = Day {
        name: at.field("name").text(None),
        deployment_text: deployed.to_string(),
        lasts_ms: at.field("lasts").time(1000.0..=3.6e6, None),
        seed: at.field("seed").number(0.0..=1e15, Some(1.0)) as u64,
        servers: count,
        cores,
        speeds: (slowest, fastest),
        queue,
        proxies: proxy_count,
        pace,
        obedient,
        way,
        front,
        strikes,
        shun_ms,
        apply_us,
        classes,
        falls_in_ms: at.field("falls_in").time(100.0..=60_000.0, Some(2_000.0)),
        bare_ms: at.field("bare").time(100.0..=60_000.0, Some(4_000.0)),
        roster_late_ms,
        watch_ms: at.field("watch_estimates").time(0.0..=60_000.0, Some(0.0)),
        memory: at.field("memory").flag(Some(false)),
        events,
        deployment,
    };
    at.close();
    out
}

fn event(at: &At, servers: usize, proxies: usize) -> Event {
    let what = at.field("do").choice(&WORDS, None);
    let of_proxies = matches!(
        what,
        What::Refuse | What::Deaf | What::Flood | What::CrashProxy
    );
    let many = if of_proxies { proxies } else { servers };
    let listed = at.field("whom");
    let mut whom: Vec<usize> = listed
        .list()
        .iter()
        .map(|w| w.number(0.0..=(many - 1) as f64, None) as usize)
        .collect();
    // A share: every so manieth, so that zones are struck alike.
    let share = at.field("share");
    if share.is_there() {
        let share = share.number(0.0..=1.0, None);
        let wanted = (share * many as f64).round() as usize;
        let picked = |i: &usize| i * wanted / many != (i + 1) * wanted / many;
        whom.extend((0..many).filter(picked));
    }
    let event = Event {
        at_ms: at.field("at").time(0.0..=3.6e6, None),
        what,
        whom,
        for_ms: at.field("for").time(0.0..=3.6e6, Some(0.0)),
        size: at.field("size").number(0.0..=1e6, Some(1.0)),
    };
    at.close();
    event
}
