//! The settings of a proxy, and the roster that it reads once, at its start.

use crate::picking::Way;
use crate::trying::Effect;
use dahliapoint_yaml::{Faults, FieldReader, read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A class of visits: those whose path begins with its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    pub hard_limit_ms: f64,
    pub effect: Effect,
}

/// All that a proxy is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Described {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub pace: f64,
    /// Empty where it is steered by files.
    pub controllers: Vec<SocketAddr>,
    pub files: Option<Spooled>,
    pub listen: SocketAddr,
    pub roster: PathBuf,
    pub classes: Vec<Class>,
    pub way: Way,
    pub standing: usize,
    pub strikes: u32,
    pub shun_ms: f64,
    pub redial_ms: (f64, f64),
    /// After so long with another controller the first is dialed again; 0: never.
    pub home_after_ms: f64,
    pub idle_ms: f64,
    pub connect_ms: f64,
    /// It stands still for so long for each line of a table that it is sent: what other proxies do.
    pub stall_us: f64,
    /// Further tries, as a share of visits.
    pub further_share: f64,
    /// A 503 with this header proves that nothing ran.
    pub proof_header: String,
    pub most_clients: usize,
    pub seed: u64,
    pub log_level: String,
}

/// Where tables are read as files, and said back.
#[derive(Clone, Debug, PartialEq)]
pub struct Spooled {
    pub dir: PathBuf,
    pub keys: Option<PathBuf>,
    pub every_ms: f64,
    pub beat_ms: f64,
}

/// Reads the settings; paths are taken from the folder of the file.
///
/// # Errors
/// All that is wrong, with lines.
pub fn parse(file: &str, text: &str) -> Result<Described, Faults> {
    let folder = Path::new(file)
        .parent()
        .unwrap_or(Path::new(""))
        .to_path_buf();
    read(file, text, |at| described(at, &folder))
}

fn address(at: &FieldReader) -> SocketAddr {
    let wanted = "an address such as 127.0.0.1:8080";
    let read = at.parsed(wanted, None, |t| t.parse().ok());
    read.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn described(at: &FieldReader, folder: &Path) -> Described {
    let controllers = at.field("controllers");
    let addresses: Vec<SocketAddr> = controllers.list().iter().map(address).collect();
    let files = at.field("files");
    let files = files.is_present().then(|| {
        let keys = files.field("keys");
        let spooled = Spooled {
            dir: folder.join(files.field("dir").string(None)),
            keys: keys.is_present().then(|| folder.join(keys.string(None))),
            every_ms: files
                .field("every")
                .duration_ms(10.0..=600_000.0, Some(500.0)),
            beat_ms: files
                .field("beat")
                .duration_ms(50.0..=600_000.0, Some(1_000.0)),
        };
        files.deny_unknown_fields();
        spooled
    });
    match (addresses.is_empty(), &files) {
        (true, None) => controllers.add_fault("at least one controller is wanted, or files"),
        (false, Some(_)) => controllers.add_fault("controllers or files are wanted, not both"),
        _ => {}
    }
    let list = at.field("classes");
    let classes: Vec<Class> = list
        .list()
        .iter()
        .map(|c| {
            let effects = [
                ("safe", Effect::Pure),
                ("keyed", Effect::Keyed),
                ("never", Effect::Effect),
            ];
            let class = Class {
                name: c.field("name").string(None),
                hard_limit_ms: c.field("hard_limit").duration_ms(1.0..=3.6e6, None),
                effect: c.field("repeat").choice(&effects, Some(Effect::Effect)),
            };
            c.deny_unknown_fields();
            class
        })
        .collect();
    if classes.is_empty() {
        list.add_fault("at least one class is wanted");
    }
    let ways = [
        ("rotate", Way::Rotate),
        ("random", Way::Random),
        ("two", Way::Two),
    ];
    let shun = at.field("shun");
    let strikes = shun.field("after").number(0.0..=1e6, Some(0.0)) as u32;
    let shun_ms = shun.field("for").duration_ms(0.0..=3.6e6, Some(3_000.0));
    shun.deny_unknown_fields();
    let redial = at.field("redial");
    let from = redial.field("from").duration_ms(1.0..=3.6e6, Some(200.0));
    let to = redial.field("to").duration_ms(1.0..=3.6e6, Some(1_000.0));
    if to < from {
        redial
            .field("to")
            .add_fault("a time no shorter than from is wanted");
    }
    redial.deny_unknown_fields();
    let levels = ["error", "warn", "info", "debug", "trace"].map(|l| (l, l));
    let out = Described {
        name: at.field("name").string(None),
        service: at.field("service").string(None),
        zone: at.field("zone").string(None),
        pace: at.field("pace").number(0.0..=1e6, Some(0.0)),
        controllers: addresses,
        files,
        listen: address(&at.field("listen")),
        roster: folder.join(at.field("roster").string(None)),
        classes,
        way: at.field("picks").choice(&ways, Some(Way::Rotate)),
        standing: at.field("standing").number(1.0..=10_000.0, Some(10.0)) as usize,
        strikes,
        shun_ms,
        redial_ms: (from, to),
        home_after_ms: at.field("home_after").duration_ms(0.0..=3.6e6, Some(0.0)),
        idle_ms: at.field("idle").duration_ms(1.0..=3.6e6, Some(15_000.0)),
        connect_ms: at.field("connect").duration_ms(1.0..=60_000.0, Some(250.0)),
        stall_us: at
            .field("stall_by_line")
            .duration_ms(0.0..=100.0, Some(0.0))
            * 1e3,
        further_share: at.field("further_tries").number(0.0..=1.0, Some(0.1)),
        proof_header: at.field("proof_header").string(Some("x-unseen")),
        most_clients: at.field("most_clients").number(1.0..=1e6, Some(4096.0)) as usize,
        seed: at.field("seed").number(0.0..=9e15, Some(1.0)) as u64,
        log_level: at.field("log").choice(&levels, Some("info")).to_string(),
    };
    at.deny_unknown_fields();
    out
}

/// A server as the roster lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub ready: bool,
}

/// Reads a roster: the same file as the controller's.
///
/// # Errors
/// All that is wrong, with lines.
pub fn roster(file: &str, text: &str) -> Result<Vec<Listed>, Faults> {
    read(file, text, |at| {
        let servers = at.field("servers").list();
        let listed = servers.iter().map(|s| {
            for passed_over in ["weight", "started"] {
                s.field(passed_over);
            }
            let states = [("ready", true), ("draining", false), ("gone", false)];
            let listed = Listed {
                name: s.field("name").string(None),
                address: address(&s.field("address")),
                zone: s.field("zone").string(None),
                ready: s.field("state").choice(&states, Some(true)),
            };
            s.deny_unknown_fields();
            listed
        });
        let listed = listed.collect();
        at.deny_unknown_fields();
        listed
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = "name: p\nservice: s\nzone: a\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\n\
        roster: r.yaml\nclasses: [{name: view, hard_limit: 2s}]\n";

    #[test]
    fn settings_have_defaults_and_faults_have_lines() {
        let d = parse("conf/p.yaml", SMALL).unwrap();
        assert_eq!((d.way, d.classes[0].effect), (Way::Rotate, Effect::Effect));
        assert_eq!(d.roster, PathBuf::from("conf/r.yaml"));
        let cases = [
            ("controllers: ['127.0.0.1:1']", "controllers: []", 4),
            ("127.0.0.1:0", "here", 5),
            ("hard_limit: 2s", "hard_limit: 2", 7),
            ("name: p", "name: p\npicks: best", 2),
            ("name: p", "redial: {from: 2s, to: 1s}\nname: p", 1),
        ];
        for (from, to, line) in cases {
            let faults = parse("p.yaml", &SMALL.replace(from, to)).unwrap_err();
            assert!(faults.0.iter().any(|f| f.line == line), "{to}: {faults}");
        }
    }
}
