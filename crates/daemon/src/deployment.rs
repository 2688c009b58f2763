//! The deployment file: what a controller is told about its service. Read whole and checked whole before
//! anything starts. docs/operators/running.md lists the fields.

use crate::dns::DnsSettings;
use crate::hook_runner::HooksSettings;
use crate::import::{ImportSettings, RosterFormat};
use dahliapoint_control::rollout::GuardMode;
use dahliapoint_control::{ClassSettings, ControllerSettings, RetryPolicy};
use dahliapoint_files::forms::Form;
use dahliapoint_files::reach::{Promise, Reach};
use dahliapoint_hooks::host::Bounds;
use dahliapoint_hooks::run::Allowance;
use dahliapoint_import::Kind;
use dahliapoint_xds::{RESPONSES_BY_JOINING, RESPONSES_BY_MESSAGE};
use dahliapoint_yaml::{At, Faults, read};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A roster waits for hooks no longer than this share of the drains' grace.
const HOOKS_GRACE: f64 = 0.1;

/// What a repeated visit of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it only reads.
    Safe,
    /// Nothing, while servers know its key.
    Keyed,
    /// It must never run twice.
    Never,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

/// All of a deployment file.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub settings: ControllerSettings,
    /// By class.
    pub idempotency: Vec<Idempotency>,
    pub hard_limits_ms: Vec<f64>,
    pub connect_timeout_ms: f64,
    pub roster_path: PathBuf,
    pub roster_format: RosterFormat,
    pub roster_poll_interval_ms: f64,
    pub probe_path: String,
    pub probe_timeout_ms: f64,
    pub listen: SocketAddr,
    pub log_format: LogFormat,
    pub log_level: String,
    /// Where chance starts; drawn from the clock if not given.
    pub seed: Option<u64>,
    /// A proxy's connection is given up after this long without an answer to a ping.
    pub ping_timeout_ms: f64,
    /// The front of files, if there is one.
    pub files: Option<FileFrontSettings>,
    /// Where what is known is kept over restarts, and the key that it is sealed with.
    pub memory: Option<(PathBuf, Option<PathBuf>)>,
    /// SRV records beside the roster.
    pub dns: Option<DnsSettings>,
    /// Controllers that are asked at the start, and for how long.
    pub peers: Vec<SocketAddr>,
    pub peers_timeout_ms: f64,
    /// Who asks is told.
    pub answers_peers: bool,
    /// Where hooks are, and what they may use.
    pub hooks: Option<HooksSettings>,
}

/// The front of files, as a deployment tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct FileFrontSettings {
    pub dir: PathBuf,
    /// Forms that are written beside the table of our own.
    pub formats: Vec<Form>,
    pub reach: Reach,
    pub heartbeat_interval_ms: f64,
    pub valid_ms: f64,
    /// The keys, one or two, that tables and reports are sealed with.
    pub keys: Option<PathBuf>,
}

/// Reads a deployment; paths in it are taken from the folder of the file.
///
/// # Errors
/// All that is wrong with it, with lines.
pub fn parse(file: &str, text: &str) -> Result<Deployment, Faults> {
    let folder = Path::new(file)
        .parent()
        .unwrap_or(Path::new(""))
        .to_path_buf();
    read(file, text, |at| deployment(at, &folder))
}

fn deployment(at: &At, folder: &Path) -> Deployment {
    let service = at.field("service").text(None);
    let zones = names(&at.field("zones"), "zone");
    let (classes, idempotency, hard_limits_ms) = classes(&at.field("classes"));

    let proxies = at.field("proxies");
    let tries = proxies.field("further_try");
    let default_retry_policy = tries.choice(
        &[
            ("never", RetryPolicy::Never),
            ("on_proof", RetryPolicy::OnProof),
            ("on_failure", RetryPolicy::OnFailure),
        ],
        Some(RetryPolicy::OnProof),
    );
    if default_retry_policy == RetryPolicy::OnFailure && idempotency.contains(&Idempotency::Never) {
        tries.wrong("never or on_proof is wanted: a class here must never run twice");
    }
    let admission_control = proxies.field("refuse");
    let admission_control =
        admission_control.choice(&[("share", true), ("nothing", false)], Some(false));
    let idle_timeout_ms = proxies.field("idle").time(1.0..=3.6e6, Some(15_000.0));
    let initial_servers = proxies.field("standing").number(0.0..=10_000.0, Some(10.0));
    let default_visits_per_s = proxies.field("usual_pace").number(0.0..=1e6, Some(0.0));
    let connect_timeout_ms = proxies.field("connect").time(1.0..=60_000.0, Some(250.0));
    let ping_timeout_ms = proxies
        .field("patience")
        .time(100.0..=600_000.0, Some(4_000.0));
    proxies.close();

    let channel = at.field("channel");
    let max_queued_lines = channel
        .field("most_waiting")
        .number(10.0..=1e9, Some(20_000.0));
    let lines_per_s = channel
        .field("lines_per_s")
        .number(1.0..=1e9, Some(15_000.0));
    let message_latency_ms = channel.field("way").time(0.0..=60_000.0, Some(50.0));
    let message_overhead_lines = channel
        .field("message_lines")
        .number(0.0..=1000.0, Some(3.0));
    let most = channel.field("most_messages");
    let max_messages = most.number(0.0..=1e6, Some(0.0));
    let least = RESPONSES_BY_JOINING + 4.0 * RESPONSES_BY_MESSAGE;
    if max_messages > 0.0 && max_messages < least {
        most.wrong(format!(
            "0 for no limit, or at least {least}: a joining takes {RESPONSES_BY_JOINING}"
        ));
    }
    let message_window_ms = channel.field("within").time(1.0..=3.6e6, Some(10_000.0));
    channel.close();

    let reports = at.field("reports");
    let report_interval_ms = reports.field("every").time(50.0..=60_000.0, Some(1_000.0));
    let report_lines_per_s = reports
        .field("lines_per_s")
        .number(1.0..=1e9, Some(100_000.0));
    reports.close();

    let cold = at.field("cold");
    let cold_capacity_share = cold.field("share").number(0.001..=1.0, Some(0.15));
    let warm_up_ms = cold.field("warm_after").time(0.0..=3.6e6, Some(18_000.0));
    let overload_multiple = cold.field("falls_at").number(1.0..=1000.0, Some(3.0));
    cold.close();

    let drains = at.field("drains");
    let grace_ms = drains.field("grace").time(1.0..=3.6e6, Some(3_000.0));
    let keep_unlisted_servers = drains.field("dropped_may_stay").flag(Some(false));
    drains.close();

    let roster = at.field("roster");
    let roster_file = roster.field("file").text(None);
    let roster_poll_interval_ms = roster.field("every").time(10.0..=60_000.0, Some(200.0));
    let roster_format = roster_format(&roster, folder, &zones);
    let dns = roster.field("dns");
    let dns = dns.is_there().then(|| self::dns(&dns, &zones));
    let probe = roster.field("probe");
    let may_probe = probe.is_there();
    let probe_path = probe.field("path").text(Some("/"));
    if !probe_path.starts_with('/') || probe_path.contains(|c: char| c <= ' ' || c > '~') {
        probe
            .field("path")
            .wrong("a path that begins with / is wanted");
    }
    let probe_timeout_ms = probe.field("within").time(1.0..=60_000.0, Some(1_000.0));
    probe.close();
    roster.close();

    let listen = at.field("listen");
    let wanted = "an address such as 127.0.0.1:18000";
    let address = listen.field("xds").parsed(wanted, None, |t| t.parse().ok());
    listen.close();

    let files = at.field("files");
    let files = files
        .is_there()
        .then(|| self::files(&files, folder, grace_ms));

    let memory = at.field("memory");
    let memory = memory.is_there().then(|| {
        let key = memory.field("key");
        let key = key.is_there().then(|| folder.join(key.text(None)));
        let dir = folder.join(memory.field("dir").text(None));
        memory.close();
        (dir, key)
    });

    let peers = at.field("peers");
    let addresses: Vec<Option<SocketAddr>> = peers
        .field("ask")
        .list()
        .iter()
        .map(|p| {
            p.parsed("an address such as 127.0.0.1:18000", None, |t| {
                t.parse().ok()
            })
        })
        .collect();
    let peers_timeout_ms = peers.field("within").time(10.0..=60_000.0, Some(1_000.0));
    let answers_peers = peers.field("tell").flag(Some(true));
    peers.close();

    let hooks = at.field("hooks");
    let hooks = hooks
        .is_there()
        .then(|| self::hooks(&hooks, folder, grace_ms));

    let guard_mode = at.field("guard");
    let modes = [
        ("hold", GuardMode::Enforce),
        ("tell", GuardMode::ReportOnly),
        ("off", GuardMode::Off),
    ];
    let guard_mode = guard_mode.choice(&modes, Some(GuardMode::Enforce));

    let log = at.field("log");
    let forms = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log_format = log.field("form").choice(&forms, Some(LogFormat::Text));
    let levels = ["error", "warn", "info", "debug", "trace"].map(|l| (l, l));
    let log_level = log.field("level").choice(&levels, Some("info")).to_string();
    log.close();

    let seed = at.field("seed");
    let seed = seed
        .is_there()
        .then(|| seed.number(0.0..=9e15, None) as u64);
    at.close();

    Deployment {
        settings: ControllerSettings {
            service,
            zones,
            classes,
            admission_control,
            max_queued_lines,
            lines_per_s,
            message_latency_ms,
            message_overhead_lines,
            max_messages,
            message_window_ms,
            writes_per_message: RESPONSES_BY_MESSAGE,
            writes_per_join: RESPONSES_BY_JOINING,
            idle_timeout_ms,
            initial_servers,
            default_visits_per_s,
            report_interval_ms,
            report_lines_per_s,
            cold_capacity_share,
            warm_up_ms,
            overload_multiple,
            drain_grace_ms: grace_ms,
            keep_unlisted_servers,
            default_retry_policy,
            may_probe,
            heartbeat_interval_ms: files.as_ref().map_or(0.0, |f| f.heartbeat_interval_ms),
            guard_mode,
        },
        idempotency,
        hard_limits_ms,
        connect_timeout_ms,
        roster_path: folder.join(roster_file),
        roster_format,
        roster_poll_interval_ms,
        probe_path,
        probe_timeout_ms,
        listen: address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        log_format,
        log_level,
        seed,
        ping_timeout_ms,
        files,
        memory,
        dns,
        peers: addresses.into_iter().flatten().collect(),
        peers_timeout_ms,
        answers_peers,
        hooks,
    }
}

fn dns(at: &At, zones: &[String]) -> DnsSettings {
    let name = at.field("name");
    let told = name.text(None);
    if let Err(why) = dahliapoint_dns::lookup::name(&told) {
        name.wrong(format!(
            "a name such as _portal._tcp.example.org is wanted: {why}"
        ));
    }
    let wanted = "an address such as 127.0.0.1:53";
    let server = at.field("server").parsed(wanted, None, |t| t.parse().ok());
    let zone = at.field("zone");
    let one = match zones {
        [one] => Some(one.as_str()),
        _ => None,
    };
    let told_zone = zone.text(one);
    if !zones.contains(&told_zone) {
        zone.wrong(format!("one of the zones {} is wanted", zones.join(", ")));
    }
    let place = DnsSettings {
        name: told,
        server: server.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 53))),
        zone: told_zone,
        adds_servers: at.field("adds").flag(Some(false)),
        timeout_ms: at.field("within").time(50.0..=60_000.0, Some(1_000.0)),
    };
    at.close();
    place
}

/// Our own form, or others' files with what is to be known beside them.
fn roster_format(at: &At, folder: &Path, zones: &[String]) -> RosterFormat {
    let kinds = [
        ("yaml", None),
        ("apache", Some(Kind::Apache)),
        ("mod_jk", Some(Kind::Jk)),
    ];
    let Some(kind) = at.field("form").choice(&kinds, Some(None)) else {
        return RosterFormat::Yaml;
    };
    let optional = |name: &str| {
        let field = at.field(name);
        field.is_there().then(|| field.text(None))
    };
    let zone = at.field("zone");
    let one = match zones {
        [one] => Some(one.clone()),
        _ => None,
    };
    let zone = if zone.is_there() {
        let told = zone.text(None);
        if !zones.contains(&told) {
            zone.wrong(format!("one of the zones {} is wanted", zones.join(", ")));
        }
        Some(told)
    } else {
        // Where there is one, it is theirs.
        one
    };
    RosterFormat::Imported(ImportSettings {
        kind,
        balancer: optional("balancer"),
        assumed: at
            .field("assume")
            .list()
            .iter()
            .map(|a| a.text(None))
            .collect(),
        root: optional("root").map(|root| folder.join(root).display().to_string()),
        zone,
    })
}

/// Hooks: what all of them may use is bounded by the grace, since a roster waits for them.
fn hooks(at: &At, folder: &Path, grace_ms: f64) -> HooksSettings {
    let usual = Bounds::default();
    let run = at.field("run");
    let run_timeout_ms = run.time(1.0..=1_000.0, Some(20.0));
    let publication_timeout_ms = at.field("publication").time(0.1..=50.0, Some(2.0));
    let roster = at.field("roster");
    let roster_timeout_ms = roster.time(1.0..=1_000.0, Some(50.0));
    // A roster waits for the run at hand, then for the hooks that see it.
    if run_timeout_ms + roster_timeout_ms > grace_ms * HOOKS_GRACE {
        let most = grace_ms * HOOKS_GRACE;
        roster.wrong(format!(
            "run and roster together are at most {most} ms: a tenth of the drains' grace"
        ));
    }
    let allowance = Allowance {
        steps: at
            .field("steps")
            .number(100.0..=1e9, Some(usual.allowance.steps as f64)) as u64,
        bytes: at.field("memory_kib").number(16.0..=1e6, Some(4096.0)) as usize * 1024,
        ..usual.allowance
    };
    let wishes = at
        .field("wishes_a_minute")
        .number(1.0..=1e6, Some(usual.wishes_a_minute as f64));
    let place = HooksSettings {
        dir: folder.join(at.field("dir").text(None)),
        bounds: Bounds {
            allowance,
            wishes_a_minute: wishes as usize,
        },
        run_timeout_ms,
        publication_timeout_ms,
        roster_timeout_ms,
        poll_interval_ms: at.field("every").time(10.0..=600_000.0, Some(500.0)),
    };
    at.close();
    place
}

/// The front of files.
fn files(at: &At, folder: &Path, grace_ms: f64) -> FileFrontSettings {
    let forms = at.field("forms");
    let mut listed = Vec::new();
    for place in forms.list() {
        let names = Form::ALL.map(|f| (f.name(), f));
        let form = place.choice(&names, None);
        if listed.contains(&form) {
            place.wrong("each form once is wanted");
        }
        listed.push(form);
    }
    let every = at.field("every");
    let poll_interval_ms = every.time(10.0..=600_000.0, Some(200.0));
    let read = at.field("read_every");
    let reach = Reach {
        every_ms: poll_interval_ms,
        read_every_ms: read.time(10.0..=600_000.0, Some(500.0)),
        grace_ms,
    };
    let keys = at.field("keys");
    let keys = keys.is_there().then(|| folder.join(keys.text(None)));
    let files = FileFrontSettings {
        dir: folder.join(at.field("dir").text(None)),
        formats: listed,
        reach,
        heartbeat_interval_ms: at.field("beat").time(50.0..=600_000.0, Some(1_000.0)),
        valid_ms: at.field("valid").time(1_000.0..=8.64e8, Some(600_000.0)),
        keys,
    };
    if let Promise::Broken(why) = reach.promise() {
        read.wrong(why);
    }
    at.close();
    files
}

/// Names, at least one, each once.
fn names(at: &At, what: &str) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for place in at.list() {
        let name = place.text(None);
        if !seen.insert(name.clone()) {
            place.wrong(format!("{name:?} is named twice"));
        }
        names.push(name);
    }
    if names.is_empty() {
        at.wrong(format!("at least one {what} is wanted"));
    }
    names
}

fn classes(at: &At) -> (Vec<ClassSettings>, Vec<Idempotency>, Vec<f64>) {
    let (mut classes, mut idempotency, mut limits) = (Vec::new(), Vec::new(), Vec::new());
    let mut seen = BTreeSet::new();
    for place in at.list() {
        let name = place.field("name").text(None);
        if !seen.insert(name.clone()) {
            place
                .field("name")
                .wrong(format!("{name:?} is named twice"));
        }
        let soft = place.field("soft_limit").time(1.0..=3.6e6, None);
        let words = [
            ("safe", Idempotency::Safe),
            ("keyed", Idempotency::Keyed),
            ("never", Idempotency::Never),
        ];
        let repeat = place
            .field("repeat")
            .choice(&words, Some(Idempotency::Never));
        let hard = place.field("hard_limit");
        let hard_ms = hard.time(1.0..=3.6e6, Some(soft * 3.0));
        if hard_ms < soft {
            hard.wrong("a time no shorter than the soft limit is wanted");
        }
        classes.push(ClassSettings {
            name,
            soft_limit_ms: soft,
            earnings: place.field("earnings").number(0.001..=1e6, Some(1.0)),
            idempotent: repeat != Idempotency::Never,
        });
        idempotency.push(repeat);
        limits.push(hard_ms);
        place.close();
    }
    if classes.is_empty() {
        at.wrong("at least one class is wanted");
    }
    (classes, idempotency, limits)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\n\
        roster: {file: r.yaml}\nlisten: {xds: '127.0.0.1:0'}\n";

    #[test]
    fn a_small_deployment_has_its_defaults() {
        let d = parse("conf/d.yaml", SMALL).unwrap();
        assert_eq!(d.roster_path, PathBuf::from("conf/r.yaml"));
        assert_eq!(
            d.idempotency,
            [Idempotency::Never],
            "nothing is repeated unless it is said"
        );
        assert_eq!(d.hard_limits_ms, [3000.0]);
        assert!(!d.settings.may_probe);
    }

    #[test]
    fn what_contradicts_itself_is_refused_with_its_line() {
        let cases = [
            ("zones: [a]", "zones: [a, a]", 2, "zones[1]"),
            ("zones: [a]", "zones: []", 2, "zones"),
            (
                "soft_limit: 1s",
                "soft_limit: 1s, hard_limit: 900ms",
                3,
                "classes[0].hard_limit",
            ),
            (
                "soft_limit: 1s",
                "soft_limit: 1s, repeat: maybe",
                3,
                "classes[0].repeat",
            ),
            ("127.0.0.1:0", "localhost", 5, "listen.xds"),
            (
                "service: s",
                "proxies: {further_try: on_failure}\nservice: s",
                1,
                "proxies.further_try",
            ),
            (
                "service: s",
                "channel: {most_messages: 5}\nservice: s",
                1,
                "channel.most_messages",
            ),
            (
                "r.yaml}",
                "r.yaml, probe: {path: 'x y'}}",
                4,
                "roster.probe.path",
            ),
        ];
        for (from, to, line, field) in cases {
            let text = SMALL.replace(from, to);
            let faults = parse("d.yaml", &text).unwrap_err();
            let found = faults.0.iter().any(|f| f.line == line && f.field == field);
            assert!(found, "{to}: {faults}");
        }
    }
}
