//! The deployment file: the settings of a controller and its service. It is read and checked completely
//! before anything starts. docs/operators/running.md lists the fields.

use crate::dns::DnsSettings;
use crate::hook_runner::HooksSettings;
use crate::import::{ImportSettings, RosterFormat};
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

/// Share of the drains' grace period that hooks may delay a roster at most.
const HOOKS_GRACE: f64 = 0.1;

/// Whether visits of a class may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Yes: they only read.
    Safe,
    /// Yes, while servers remember the visit's idempotency key.
    Keyed,
    /// No: a visit must never run twice.
    Never,
}

/// Output format of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

/// A deployment file.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub settings: ControllerSettings,
    /// By class.
    pub idempotency: Vec<Idempotency>,
    /// By class.
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
    /// Seed of the random numbers; taken from the clock if not given.
    pub seed: Option<u64>,
    /// A proxy's connection is closed if a ping is not answered for this long.
    pub ping_timeout_ms: f64,
    /// The front that exchanges tables and reports by files, if it is used.
    pub files: Option<FileFrontSettings>,
    /// Directory that keeps state over restarts, and the file with the key that seals it.
    pub memory: Option<(PathBuf, Option<PathBuf>)>,
    /// Servers from SRV records, in addition to the roster.
    pub dns: Option<DnsSettings>,
    /// Controllers that are asked for their state at the start.
    pub peers: Vec<SocketAddr>,
    pub peers_timeout_ms: f64,
    /// Whether peers that ask are answered.
    pub answers_peers: bool,
    /// Hooks, if they are used.
    pub hooks: Option<HooksSettings>,
}

/// Settings of the front of files.
#[derive(Clone, Debug, PartialEq)]
pub struct FileFrontSettings {
    pub dir: PathBuf,
    /// Formats that are written in addition to the native table.
    pub formats: Vec<Format>,
    /// Polling intervals and grace period, which bound how late a proxy sees a change.
    pub reach: DrainTiming,
    pub heartbeat_interval_ms: f64,
    /// How long a table stays valid.
    pub valid_ms: f64,
    /// File with the one or two keys that seal tables and reports.
    pub keys: Option<PathBuf>,
}

/// Parses a deployment file; paths in it are relative to the folder of the file.
///
/// # Errors
/// Returns all faults, with their lines.
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
    let (classes, idempotency, hard_limits_ms) = classes(&at.field("classes"));

    let proxies = at.field("proxies");
    let further_try = proxies.field("further_try");
    let default_retry_policy = further_try.choice(
        &[
            ("never", RetryPolicy::Never),
            ("on_proof", RetryPolicy::OnProof),
            ("on_failure", RetryPolicy::OnFailure),
        ],
        Some(RetryPolicy::OnProof),
    );
    if default_retry_policy == RetryPolicy::OnFailure && idempotency.contains(&Idempotency::Never) {
        further_try.add_fault("never or on_proof is wanted: a class here must never run twice");
    }
    let admission_control = proxies.field("refuse");
    let admission_control =
        admission_control.choice(&[("share", true), ("nothing", false)], Some(false));
    let idle_timeout_ms = proxies
        .field("idle")
        .duration_ms(1.0..=3.6e6, Some(15_000.0));
    let initial_servers = proxies.field("standing").number(0.0..=10_000.0, Some(10.0));
    let default_visits_per_s = proxies.field("usual_pace").number(0.0..=1e6, Some(0.0));
    let connect_timeout_ms = proxies
        .field("connect")
        .duration_ms(1.0..=60_000.0, Some(250.0));
    let ping_timeout_ms = proxies
        .field("patience")
        .duration_ms(100.0..=600_000.0, Some(4_000.0));
    proxies.deny_unknown_fields();

    let channel = at.field("channel");
    let max_queued_lines = channel
        .field("most_waiting")
        .number(10.0..=1e9, Some(20_000.0));
    let lines_per_s = channel
        .field("lines_per_s")
        .number(1.0..=1e9, Some(15_000.0));
    let message_latency_ms = channel.field("way").duration_ms(0.0..=60_000.0, Some(50.0));
    let message_overhead_lines = channel
        .field("message_lines")
        .number(0.0..=1000.0, Some(3.0));
    let max_messages_field = channel.field("most_messages");
    let max_messages = max_messages_field.number(0.0..=1e6, Some(0.0));
    let min_messages = MAX_RESPONSES_PER_JOIN + 4.0 * MAX_RESPONSES_PER_MESSAGE;
    if max_messages > 0.0 && max_messages < min_messages {
        max_messages_field.add_fault(format!(
            "0 for no limit, or at least {min_messages}: a joining takes {MAX_RESPONSES_PER_JOIN}"
        ));
    }
    let message_window_ms = channel
        .field("within")
        .duration_ms(1.0..=3.6e6, Some(10_000.0));
    channel.deny_unknown_fields();

    let reports = at.field("reports");
    let report_interval_ms = reports
        .field("every")
        .duration_ms(50.0..=60_000.0, Some(1_000.0));
    let report_lines_per_s = reports
        .field("lines_per_s")
        .number(1.0..=1e9, Some(100_000.0));
    reports.deny_unknown_fields();

    let cold = at.field("cold");
    let cold_capacity_share = cold.field("share").number(0.001..=1.0, Some(0.15));
    let warm_up_ms = cold
        .field("warm_after")
        .duration_ms(0.0..=3.6e6, Some(18_000.0));
    let overload_multiple = cold.field("falls_at").number(1.0..=1000.0, Some(3.0));
    cold.deny_unknown_fields();

    let drains = at.field("drains");
    let grace_ms = drains
        .field("grace")
        .duration_ms(1.0..=3.6e6, Some(3_000.0));
    let keep_unlisted_servers = drains.field("dropped_may_stay").boolean(Some(false));
    drains.deny_unknown_fields();

    let roster = at.field("roster");
    let roster_file = roster.field("file").string(None);
    let roster_poll_interval_ms = roster
        .field("every")
        .duration_ms(10.0..=60_000.0, Some(200.0));
    let roster_format = roster_format(&roster, folder, &zones);
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
    let probe_timeout_ms = probe
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
    let peers_timeout_ms = peers
        .field("within")
        .duration_ms(10.0..=60_000.0, Some(1_000.0));
    let answers_peers = peers.field("tell").boolean(Some(true));
    peers.deny_unknown_fields();

    let hooks = at.field("hooks");
    let hooks = hooks
        .is_present()
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
    log.deny_unknown_fields();

    let seed = at.field("seed");
    let seed = seed
        .is_present()
        .then(|| seed.number(0.0..=9e15, None) as u64);
    at.deny_unknown_fields();

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
            writes_per_message: MAX_RESPONSES_PER_MESSAGE,
            writes_per_join: MAX_RESPONSES_PER_JOIN,
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

fn dns(at: &FieldReader, zones: &[String]) -> DnsSettings {
    let name = at.field("name");
    let srv_name = name.string(None);
    if let Err(why) = dahliapoint_dns::lookup::parse_name(&srv_name) {
        name.add_fault(format!(
            "a name such as _portal._tcp.example.org is wanted: {why}"
        ));
    }
    let wanted = "an address such as 127.0.0.1:53";
    let server = at.field("server").parsed(wanted, None, |t| t.parse().ok());
    let zone = at.field("zone");
    let only_zone = match zones {
        [one] => Some(one.as_str()),
        _ => None,
    };
    let zone_name = zone.string(only_zone);
    if !zones.contains(&zone_name) {
        zone.add_fault(format!("one of the zones {} is wanted", zones.join(", ")));
    }
    let settings = DnsSettings {
        name: srv_name,
        server: server.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 53))),
        zone: zone_name,
        adds_servers: at.field("adds").boolean(Some(false)),
        timeout_ms: at
            .field("within")
            .duration_ms(50.0..=60_000.0, Some(1_000.0)),
    };
    at.deny_unknown_fields();
    settings
}

/// Format of the roster: native, or files of another program and the settings to import them.
fn roster_format(at: &FieldReader, folder: &Path, zones: &[String]) -> RosterFormat {
    let kinds = [
        ("yaml", None),
        ("apache", Some(ConfigFormat::Apache)),
        ("mod_jk", Some(ConfigFormat::Jk)),
    ];
    let Some(kind) = at.field("form").choice(&kinds, Some(None)) else {
        return RosterFormat::Yaml;
    };
    let optional = |name: &str| {
        let field = at.field(name);
        field.is_present().then(|| field.string(None))
    };
    let zone = at.field("zone");
    let only_zone = match zones {
        [one] => Some(one.clone()),
        _ => None,
    };
    let zone = if zone.is_present() {
        let name = zone.string(None);
        if !zones.contains(&name) {
            zone.add_fault(format!("one of the zones {} is wanted", zones.join(", ")));
        }
        Some(name)
    } else {
        // The default, if the deployment has a single zone.
        only_zone
    };
    RosterFormat::Imported(ImportSettings {
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

/// Settings of hooks. Their time for a roster is bounded by the grace period, since the roster waits for them.
fn hooks(at: &FieldReader, folder: &Path, grace_ms: f64) -> HooksSettings {
    let defaults = Bounds::default();
    let run = at.field("run");
    let run_timeout_ms = run.duration_ms(1.0..=1_000.0, Some(20.0));
    let publication_timeout_ms = at.field("publication").duration_ms(0.1..=50.0, Some(2.0));
    let roster = at.field("roster");
    let roster_timeout_ms = roster.duration_ms(1.0..=1_000.0, Some(50.0));
    // A roster waits for the run that is under way, then for the hooks that see it.
    if run_timeout_ms + roster_timeout_ms > grace_ms * HOOKS_GRACE {
        let limit_ms = grace_ms * HOOKS_GRACE;
        roster.add_fault(format!(
            "run and roster together are at most {limit_ms} ms: a tenth of the drains' grace"
        ));
    }
    let allowance = Allowance {
        steps: at
            .field("steps")
            .number(100.0..=1e9, Some(defaults.allowance.steps as f64)) as u64,
        bytes: at.field("memory_kib").number(16.0..=1e6, Some(4096.0)) as usize * 1024,
        ..defaults.allowance
    };
    let wishes = at
        .field("wishes_a_minute")
        .number(1.0..=1e6, Some(defaults.wishes_a_minute as f64));
    let settings = HooksSettings {
        dir: folder.join(at.field("dir").string(None)),
        bounds: Bounds {
            allowance,
            wishes_a_minute: wishes as usize,
        },
        run_timeout_ms,
        publication_timeout_ms,
        roster_timeout_ms,
        poll_interval_ms: at.field("every").duration_ms(10.0..=600_000.0, Some(500.0)),
    };
    at.deny_unknown_fields();
    settings
}

/// Settings of the front of files.
fn files(at: &FieldReader, folder: &Path, grace_ms: f64) -> FileFrontSettings {
    let forms = at.field("forms");
    let mut formats = Vec::new();
    for item in forms.list() {
        let names = Format::ALL.map(|f| (f.name(), f));
        let form = item.choice(&names, None);
        if formats.contains(&form) {
            item.add_fault("each form once is wanted");
        }
        formats.push(form);
    }
    let every = at.field("every");
    let poll_interval_ms = every.duration_ms(10.0..=600_000.0, Some(200.0));
    let read = at.field("read_every");
    let reach = DrainTiming {
        write_interval_ms: poll_interval_ms,
        read_interval_ms: read.duration_ms(10.0..=600_000.0, Some(500.0)),
        drain_grace_ms: grace_ms,
    };
    let keys = at.field("keys");
    let keys = keys.is_present().then(|| folder.join(keys.string(None)));
    let files = FileFrontSettings {
        dir: folder.join(at.field("dir").string(None)),
        formats,
        reach,
        heartbeat_interval_ms: at
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

/// A list of at least one name, without duplicates; `what` names its elements in faults.
fn names(at: &FieldReader, what: &str) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut names = Vec::new();
    for item in at.list() {
        let name = item.string(None);
        if !seen.insert(name.clone()) {
            item.add_fault(format!("{name:?} is named twice"));
        }
        names.push(name);
    }
    if names.is_empty() {
        at.add_fault(format!("at least one {what} is wanted"));
    }
    names
}

/// Settings of the classes, and by class: idempotency and hard limit.
fn classes(at: &FieldReader) -> (Vec<ClassSettings>, Vec<Idempotency>, Vec<f64>) {
    let (mut classes, mut idempotency, mut limits) = (Vec::new(), Vec::new(), Vec::new());
    let mut seen = BTreeSet::new();
    for item in at.list() {
        let name = item.field("name").string(None);
        if !seen.insert(name.clone()) {
            item.field("name")
                .add_fault(format!("{name:?} is named twice"));
        }
        let soft = item.field("soft_limit").duration_ms(1.0..=3.6e6, None);
        let choices = [
            ("safe", Idempotency::Safe),
            ("keyed", Idempotency::Keyed),
            ("never", Idempotency::Never),
        ];
        let repeat = item
            .field("repeat")
            .choice(&choices, Some(Idempotency::Never));
        let hard = item.field("hard_limit");
        let hard_ms = hard.duration_ms(1.0..=3.6e6, Some(soft * 3.0));
        if hard_ms < soft {
            hard.add_fault("a time no shorter than the soft limit is wanted");
        }
        classes.push(ClassSettings {
            name,
            soft_limit_ms: soft,
            earnings: item.field("earnings").number(0.001..=1e6, Some(1.0)),
            idempotent: repeat != Idempotency::Never,
        });
        idempotency.push(repeat);
        limits.push(hard_ms);
        item.deny_unknown_fields();
    }
    if classes.is_empty() {
        at.add_fault("at least one class is wanted");
    }
    (classes, idempotency, limits)
}

#[cfg(test)]
mod tests;
