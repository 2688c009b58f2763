//! The deployment file: what a controller is told about its service. Read whole and checked whole before
//! anything starts. docs/operators/running.md lists the fields.

use crate::hooking::HooksPlace;
use crate::importing::{Foreign, RosterForm};
use crate::resolving::DnsPlace;
use dahliapoint_control::rollout::GuardMode;
use dahliapoint_control::{ClassSettings, ControllerSettings, RetryPolicy};
use dahliapoint_files::drain_timing::{DrainCheck, DrainTiming};
use dahliapoint_files::formats::Format;
use dahliapoint_hooks::host::Bounds;
use dahliapoint_hooks::run::Allowance;
use dahliapoint_import::ConfigFormat;
use dahliapoint_xds::{MAX_RESPONSES_PER_JOIN, MAX_RESPONSES_PER_MESSAGE};
use dahliapoint_yaml::{Faults, FieldReader, read};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A roster waits for hooks no longer than this share of the drains' grace.
const HOOKS_GRACE: f64 = 0.1;

/// What a repeated visit of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Nothing: it only reads.
    Safe,
    /// Nothing, while servers know its key.
    Keyed,
    /// It must never run twice.
    Never,
}

/// The form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogForm {
    Text,
    Json,
}

/// All of a deployment file.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub terms: ControllerSettings,
    /// By class.
    pub repeats: Vec<Repeat>,
    pub hard_limits_ms: Vec<f64>,
    pub connect_ms: f64,
    pub roster: PathBuf,
    pub roster_form: RosterForm,
    pub roster_every_ms: f64,
    pub probe_path: String,
    pub probe_within_ms: f64,
    pub listen: SocketAddr,
    pub log_form: LogForm,
    pub log_level: String,
    /// Where chance starts; drawn from the clock if not given.
    pub seed: Option<u64>,
    /// A proxy's connection is given up after this long without an answer to a ping.
    pub stream_patience_ms: f64,
    /// The front of files, if there is one.
    pub files: Option<Files>,
    /// Where what is known is kept over restarts, and the key that it is sealed with.
    pub memory: Option<(PathBuf, Option<PathBuf>)>,
    /// SRV records beside the roster.
    pub dns: Option<DnsPlace>,
    /// Controllers that are asked at the start, and for how long.
    pub peers: Vec<SocketAddr>,
    pub peers_within_ms: f64,
    /// Who asks is told.
    pub tells: bool,
    /// Where hooks are, and what they may use.
    pub hooks: Option<HooksPlace>,
}

/// The front of files, as a deployment tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Files {
    pub dir: PathBuf,
    /// Forms that are written beside the table of our own.
    pub forms: Vec<Format>,
    pub reach: DrainTiming,
    pub beat_ms: f64,
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

fn deployment(at: &FieldReader, folder: &Path) -> Deployment {
    let service = at.field("service").string(None);
    let zones = names(&at.field("zones"), "zone");
    let (classes, repeats, hard_limits_ms) = classes(&at.field("classes"));

    let proxies = at.field("proxies");
    let tries = proxies.field("further_try");
    let usual_tries = tries.choice(
        &[
            ("never", RetryPolicy::Never),
            ("on_proof", RetryPolicy::OnProof),
            ("on_failure", RetryPolicy::OnFailure),
        ],
        Some(RetryPolicy::OnProof),
    );
    if usual_tries == RetryPolicy::OnFailure && repeats.contains(&Repeat::Never) {
        tries.add_fault("never or on_proof is wanted: a class here must never run twice");
    }
    let shares = proxies.field("refuse");
    let shares = shares.choice(&[("share", true), ("nothing", false)], Some(false));
    let idle_ms = proxies
        .field("idle")
        .duration_ms(1.0..=3.6e6, Some(15_000.0));
    let standing_lines = proxies.field("standing").number(0.0..=10_000.0, Some(10.0));
    let usual_pace = proxies.field("usual_pace").number(0.0..=1e6, Some(0.0));
    let connect_ms = proxies
        .field("connect")
        .duration_ms(1.0..=60_000.0, Some(250.0));
    let patience = proxies
        .field("patience")
        .duration_ms(100.0..=600_000.0, Some(4_000.0));
    proxies.deny_unknown_fields();

    let channel = at.field("channel");
    let most_waiting = channel
        .field("most_waiting")
        .number(10.0..=1e9, Some(20_000.0));
    let lines_per_s = channel
        .field("lines_per_s")
        .number(1.0..=1e9, Some(15_000.0));
    let way_ms = channel.field("way").duration_ms(0.0..=60_000.0, Some(50.0));
    let message_lines = channel
        .field("message_lines")
        .number(0.0..=1000.0, Some(3.0));
    let most = channel.field("most_messages");
    let most_messages = most.number(0.0..=1e6, Some(0.0));
    let least = MAX_RESPONSES_PER_JOIN + 4.0 * MAX_RESPONSES_PER_MESSAGE;
    if most_messages > 0.0 && most_messages < least {
        most.add_fault(format!(
            "0 for no limit, or at least {least}: a joining takes {MAX_RESPONSES_PER_JOIN}"
        ));
    }
    let message_span_ms = channel
        .field("within")
        .duration_ms(1.0..=3.6e6, Some(10_000.0));
    channel.deny_unknown_fields();

    let reports = at.field("reports");
    let report_every_ms = reports
        .field("every")
        .duration_ms(50.0..=60_000.0, Some(1_000.0));
    let reports_per_s = reports
        .field("lines_per_s")
        .number(1.0..=1e9, Some(100_000.0));
    reports.deny_unknown_fields();

    let cold = at.field("cold");
    let cold_share = cold.field("share").number(0.001..=1.0, Some(0.15));
    let warm_after_ms = cold
        .field("warm_after")
        .duration_ms(0.0..=3.6e6, Some(18_000.0));
    let fall_multiple = cold.field("falls_at").number(1.0..=1000.0, Some(3.0));
    cold.deny_unknown_fields();

    let drains = at.field("drains");
    let grace_ms = drains
        .field("grace")
        .duration_ms(1.0..=3.6e6, Some(3_000.0));
    let dropped_may_stay = drains.field("dropped_may_stay").boolean(Some(false));
    drains.deny_unknown_fields();

    let roster = at.field("roster");
    let roster_file = roster.field("file").string(None);
    let roster_every_ms = roster
        .field("every")
        .duration_ms(10.0..=60_000.0, Some(200.0));
    let roster_form = roster_form(&roster, folder, &zones);
    let dns = roster.field("dns");
    let dns = dns.is_present().then(|| self::dns(&dns, &zones));
    let probe = roster.field("probe");
    let may_probe = probe.is_present();
    let probe_path = probe.field("path").string(Some("/"));
    if !probe_path.starts_with('/') || probe_path.contains(|c: char| c <= ' ' || c > '~') {
        probe
            .field("path")
            .add_fault("a path that begins with / is wanted");
    }
    let probe_within_ms = probe
        .field("within")
        .duration_ms(1.0..=60_000.0, Some(1_000.0));
    probe.deny_unknown_fields();
    roster.deny_unknown_fields();

    let listen = at.field("listen");
    let wanted = "an address such as 127.0.0.1:18000";
    let address = listen.field("xds").parsed(wanted, None, |t| t.parse().ok());
    listen.deny_unknown_fields();

    let files = at.field("files");
    let files = files
        .is_present()
        .then(|| self::files(&files, folder, grace_ms));

    let memory = at.field("memory");
    let memory = memory.is_present().then(|| {
        let key = memory.field("key");
        let key = key.is_present().then(|| folder.join(key.string(None)));
        let dir = folder.join(memory.field("dir").string(None));
        memory.deny_unknown_fields();
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
    let peers_within_ms = peers
        .field("within")
        .duration_ms(10.0..=60_000.0, Some(1_000.0));
    let tells = peers.field("tell").boolean(Some(true));
    peers.deny_unknown_fields();

    let hooks = at.field("hooks");
    let hooks = hooks
        .is_present()
        .then(|| self::hooks(&hooks, folder, grace_ms));

    let guard = at.field("guard");
    let modes = [
        ("hold", GuardMode::Enforce),
        ("tell", GuardMode::ReportOnly),
        ("off", GuardMode::Off),
    ];
    let guard = guard.choice(&modes, Some(GuardMode::Enforce));

    let log = at.field("log");
    let forms = [("text", LogForm::Text), ("json", LogForm::Json)];
    let log_form = log.field("form").choice(&forms, Some(LogForm::Text));
    let levels = ["error", "warn", "info", "debug", "trace"].map(|l| (l, l));
    let log_level = log.field("level").choice(&levels, Some("info")).to_string();
    log.deny_unknown_fields();

    let seed = at.field("seed");
    let seed = seed
        .is_present()
        .then(|| seed.number(0.0..=9e15, None) as u64);
    at.deny_unknown_fields();

    Deployment {
        terms: ControllerSettings {
            service,
            zones,
            classes,
            admission_control: shares,
            max_queued_lines: most_waiting,
            lines_per_s,
            message_latency_ms: way_ms,
            message_overhead_lines: message_lines,
            max_messages: most_messages,
            message_window_ms: message_span_ms,
            writes_per_message: MAX_RESPONSES_PER_MESSAGE,
            writes_per_join: MAX_RESPONSES_PER_JOIN,
            idle_timeout_ms: idle_ms,
            initial_servers: standing_lines,
            default_visits_per_s: usual_pace,
            report_interval_ms: report_every_ms,
            report_lines_per_s: reports_per_s,
            cold_capacity_share: cold_share,
            warm_up_ms: warm_after_ms,
            overload_multiple: fall_multiple,
            drain_grace_ms: grace_ms,
            keep_unlisted_servers: dropped_may_stay,
            default_retry_policy: usual_tries,
            may_probe,
            heartbeat_interval_ms: files.as_ref().map_or(0.0, |f| f.beat_ms),
            guard_mode: guard,
        },
        repeats,
        hard_limits_ms,
        connect_ms,
        roster: folder.join(roster_file),
        roster_form,
        roster_every_ms,
        probe_path,
        probe_within_ms,
        listen: address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
        log_form,
        log_level,
        seed,
        stream_patience_ms: patience,
        files,
        memory,
        dns,
        peers: addresses.into_iter().flatten().collect(),
        peers_within_ms,
        tells,
        hooks,
    }
}

fn dns(at: &FieldReader, zones: &[String]) -> DnsPlace {
    let name = at.field("name");
    let told = name.string(None);
    if let Err(why) = dahliapoint_dns::lookup::parse_name(&told) {
        name.add_fault(format!(
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
    let told_zone = zone.string(one);
    if !zones.contains(&told_zone) {
        zone.add_fault(format!("one of the zones {} is wanted", zones.join(", ")));
    }
    let place = DnsPlace {
        name: told,
        server: server.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 53))),
        zone: told_zone,
        adds: at.field("adds").boolean(Some(false)),
        within_ms: at
            .field("within")
            .duration_ms(50.0..=60_000.0, Some(1_000.0)),
    };
    at.deny_unknown_fields();
    place
}

/// Our own form, or others' files with what is to be known beside them.
fn roster_form(at: &FieldReader, folder: &Path, zones: &[String]) -> RosterForm {
    let kinds = [
        ("yaml", None),
        ("apache", Some(ConfigFormat::Apache)),
        ("mod_jk", Some(ConfigFormat::Jk)),
    ];
    let Some(kind) = at.field("form").choice(&kinds, Some(None)) else {
        return RosterForm::Own;
    };
    let optional = |name: &str| {
        let field = at.field(name);
        field.is_present().then(|| field.string(None))
    };
    let zone = at.field("zone");
    let one = match zones {
        [one] => Some(one.clone()),
        _ => None,
    };
    let zone = if zone.is_present() {
        let told = zone.string(None);
        if !zones.contains(&told) {
            zone.add_fault(format!("one of the zones {} is wanted", zones.join(", ")));
        }
        Some(told)
    } else {
        // Where there is one, it is theirs.
        one
    };
    RosterForm::Foreign(Foreign {
        kind,
        balancer: optional("balancer"),
        assumed: at
            .field("assume")
            .list()
            .iter()
            .map(|a| a.string(None))
            .collect(),
        root: optional("root").map(|root| folder.join(root).display().to_string()),
        zone,
    })
}

/// Hooks: what all of them may use is bounded by the grace, since a roster waits for them.
fn hooks(at: &FieldReader, folder: &Path, grace_ms: f64) -> HooksPlace {
    let usual = Bounds::default();
    let run = at.field("run");
    let run_ms = run.duration_ms(1.0..=1_000.0, Some(20.0));
    let publication_ms = at.field("publication").duration_ms(0.1..=50.0, Some(2.0));
    let roster = at.field("roster");
    let roster_ms = roster.duration_ms(1.0..=1_000.0, Some(50.0));
    // A roster waits for the run at hand, then for the hooks that see it.
    if run_ms + roster_ms > grace_ms * HOOKS_GRACE {
        let most = grace_ms * HOOKS_GRACE;
        roster.add_fault(format!(
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
    let place = HooksPlace {
        dir: folder.join(at.field("dir").string(None)),
        bounds: Bounds {
            allowance,
            wishes_a_minute: wishes as usize,
        },
        run_ms,
        publication_ms,
        roster_ms,
        every_ms: at.field("every").duration_ms(10.0..=600_000.0, Some(500.0)),
    };
    at.deny_unknown_fields();
    place
}

/// The front of files.
fn files(at: &FieldReader, folder: &Path, grace_ms: f64) -> Files {
    let forms = at.field("forms");
    let mut listed = Vec::new();
    for place in forms.list() {
        let names = Format::ALL.map(|f| (f.name(), f));
        let form = place.choice(&names, None);
        if listed.contains(&form) {
            place.add_fault("each form once is wanted");
        }
        listed.push(form);
    }
    let every = at.field("every");
    let every_ms = every.duration_ms(10.0..=600_000.0, Some(200.0));
    let read = at.field("read_every");
    let reach = DrainTiming {
        write_interval_ms: every_ms,
        read_interval_ms: read.duration_ms(10.0..=600_000.0, Some(500.0)),
        drain_grace_ms: grace_ms,
    };
    let keys = at.field("keys");
    let keys = keys.is_present().then(|| folder.join(keys.string(None)));
    let files = Files {
        dir: folder.join(at.field("dir").string(None)),
        forms: listed,
        reach,
        beat_ms: at
            .field("beat")
            .duration_ms(50.0..=600_000.0, Some(1_000.0)),
        valid_ms: at
            .field("valid")
            .duration_ms(1_000.0..=8.64e8, Some(600_000.0)),
        keys,
    };
    if let DrainCheck::TooSlow(why) = reach.check() {
        read.add_fault(why);
    }
    at.deny_unknown_fields();
    files
}

/// Names, at least one, each once.
fn names(at: &FieldReader, what: &str) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for place in at.list() {
        let name = place.string(None);
        if !seen.insert(name.clone()) {
            place.add_fault(format!("{name:?} is named twice"));
        }
        names.push(name);
    }
    if names.is_empty() {
        at.add_fault(format!("at least one {what} is wanted"));
    }
    names
}

fn classes(at: &FieldReader) -> (Vec<ClassSettings>, Vec<Repeat>, Vec<f64>) {
    let (mut classes, mut repeats, mut limits) = (Vec::new(), Vec::new(), Vec::new());
    let mut seen = BTreeSet::new();
    for place in at.list() {
        let name = place.field("name").string(None);
        if !seen.insert(name.clone()) {
            place
                .field("name")
                .add_fault(format!("{name:?} is named twice"));
        }
        let soft = place.field("soft_limit").duration_ms(1.0..=3.6e6, None);
        let words = [
            ("safe", Repeat::Safe),
            ("keyed", Repeat::Keyed),
            ("never", Repeat::Never),
        ];
        let repeat = place.field("repeat").choice(&words, Some(Repeat::Never));
        let hard = place.field("hard_limit");
        let hard_ms = hard.duration_ms(1.0..=3.6e6, Some(soft * 3.0));
        if hard_ms < soft {
            hard.add_fault("a time no shorter than the soft limit is wanted");
        }
        classes.push(ClassSettings {
            name,
            soft_limit_ms: soft,
            earnings: place.field("earnings").number(0.001..=1e6, Some(1.0)),
            idempotent: repeat != Repeat::Never,
        });
        repeats.push(repeat);
        limits.push(hard_ms);
        place.deny_unknown_fields();
    }
    if classes.is_empty() {
        at.add_fault("at least one class is wanted");
    }
    (classes, repeats, limits)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "service: s\nzones: [a]\nclasses: [{name: c, soft_limit: 1s}]\n\
        roster: {file: r.yaml}\nlisten: {xds: '127.0.0.1:0'}\n";

    #[test]
    fn a_small_deployment_has_its_defaults() {
        let d = parse("conf/d.yaml", SMALL).unwrap();
        assert_eq!(d.roster, PathBuf::from("conf/r.yaml"));
        assert_eq!(
            d.repeats,
            [Repeat::Never],
            "nothing is repeated unless it is said"
        );
        assert_eq!(d.hard_limits_ms, [3000.0]);
        assert!(!d.terms.may_probe);
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
