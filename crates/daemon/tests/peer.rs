//! A newcomer and a running controller on loopback: what it learns, what it does not believe, and peers that hang, die
//! halfway, or are of another service.

use dahliapoint_control::{
    AdminState, ControllerHandle, Input, LoadReport, ReportLine, RosterEntry,
};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_grpc::{Call, Code, Handler, Limits, Server, Status};
use dahliapoint_memory::clock;
use dahliapoint_peer::client;
use dahliapoint_peer::messages::{Ask, End, Head, Said, ServerWord, Servers, Word};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVERS: usize = 8;

fn roster() -> Vec<RosterEntry> {
    let entry = |i: usize| RosterEntry {
        name: format!("s{i}"),
        address: format!("127.0.0.1:{}", i + 1),
        zone: "east".into(),
        state: AdminState::Ready,
        weight: 1.0,
        started: None,
    };
    (0..SERVERS).map(entry).collect()
}

fn start(peers: &[SocketAddr], more: &str) -> Daemon {
    let text = format!(
        "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}]\nseed: 3\nroster: {{file: none}}\n\
         listen: {{xds: '127.0.0.1:0'}}\nreports: {{every: 100ms}}\ncold: {{warm_after: 20s}}\n\
         peers: {{ask: {peers:?}, within: 1s{more}}}\n"
    );
    let deployment = deployment::parse("d.yaml", &text).unwrap();
    let daemon = Daemon::start(&deployment, RosterSource::Fixed(roster()), None).unwrap();
    for n in 0..4 {
        let joined = Input::Joined {
            session: 7 + n,
            proxy: format!("p{n}"),
            zone: "east".into(),
            visits_per_s: Some(50.0),
        };
        assert!(daemon.controller().send(joined));
        daemon
            .controller()
            .report_stream(&format!("p{n}"), 7 + n, true);
    }
    daemon
}

/// Proxies report: s1 answers late, all others in time.
fn report(daemon: &Daemon) {
    for n in 0..4 {
        let met = (0..SERVERS).map(|i| ReportLine {
            server: format!("s{i}"),
            tries: 5.0,
            success_ms: 5.0 * if i == 1 { 1_500.0 } else { 20.0 },
            ..ReportLine::default()
        });
        let report = LoadReport {
            window_ms: 100.0,
            ended_ago_ms: 0.0,
            lines: met.collect(),
            arrivals: Vec::new(),
        };
        daemon
            .controller()
            .report(&format!("p{n}"), 7 + n, report)
            .unwrap();
    }
}

fn until(daemon: &Daemon, what: &str, reports: bool, met: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        let view = daemon.controller().overview();
        if met(&view) {
            return view;
        }
        assert!(Instant::now() < end, "{what}: {view:#}");
        if reports {
            report(daemon);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn weight(view: &Value, name: &str) -> f64 {
    let all = view["servers"].as_array().unwrap();
    let found = all.iter().find(|s| s["name"] == name);
    found.and_then(|s| s["weight"].as_f64()).unwrap_or(0.0)
}

fn has_table(view: &Value) -> bool {
    weight(view, "s0") > 0.0
}

fn end(daemon: Daemon) {
    daemon.end(Duration::from_secs(1));
}

#[test]
fn a_newcomer_begins_with_what_a_running_one_has_seen() {
    let old = start(&[], "");
    let slow = |v: &Value| has_table(v) && weight(v, "s1") < 0.5 * weight(v, "s0");
    until(&old, "the slow one is trimmed", true, slow);
    // Its next round tells it.
    until(&old, "and known", true, |_| {
        let (learned, _) = client::query(
            old.address(),
            "portal",
            clock::now,
            Instant::now() + Duration::from_secs(5),
        );
        learned.complete
            && learned
                .facts
                .iter()
                .any(|f| f.name == "s1" && f.share < 0.5)
    });
    let newcomer = start(&[old.address()], "");
    let view = until(&newcomer, "its first table", false, has_table);
    assert!(
        weight(&view, "s1") < 0.9 * weight(&view, "s0"),
        "it knows: {view:#}"
    );
    // A cold start does not.
    let cold = start(&[], "");
    let view = until(&cold, "its first table", false, has_table);
    assert_eq!(weight(&view, "s1"), weight(&view, "s0"));
    // Nobody has visited the newcomer: handed on, the verdict is as old as it was told, and does not grow young.
    std::thread::sleep(Duration::from_millis(300));
    let hear = |d: &Daemon| {
        client::query(
            d.address(),
            "portal",
            clock::now,
            Instant::now() + Duration::from_secs(5),
        )
        .0
    };
    let age = |l: &dahliapoint_peer::merge::PeerFacts| {
        let f = l.facts.iter().find(|f| f.name == "s1").unwrap();
        clock::now().since(&f.judged).unwrap()
    };
    // Uptimes are told in hundredths of a second.
    let (first, second) = (hear(&old), hear(&newcomer));
    assert!(
        age(&second) >= age(&first) - 50.0 && age(&second) >= 300.0,
        "{} {}",
        age(&first),
        age(&second)
    );
    for daemon in [old, newcomer, cold] {
        end(daemon);
    }
}

/// A peer that says what it is told to.
struct Scripted {
    service: &'static str,
    runs_ms: f64,
    words: Vec<ServerWord>,
    ends: Ends,
}

#[derive(Clone, Copy, PartialEq)]
enum Ends {
    Well,
    Halfway,
    Hangs,
    Miscounts,
}

impl Handler for Scripted {
    fn call(&self, mut call: Call) {
        let _ = call.inbound.message::<Ask>();
        let mut send = |said| call.outbound.send(&Word { said: Some(said) });
        let head = Head {
            service: self.service.into(),
            runs_ms: self.runs_ms,
        };
        let _ = send(Said::Head(head));
        let _ = send(Said::Servers(Servers {
            servers: self.words.clone(),
        }));
        let many = self.words.len() as u64;
        match self.ends {
            Ends::Well => {
                let _ = send(Said::End(End { servers: many }));
                call.outbound.finish(&Status::new(Code::Ok, ""));
            }
            Ends::Miscounts => {
                let _ = send(Said::End(End { servers: many + 1 }));
                call.outbound.finish(&Status::new(Code::Ok, ""));
            }
            Ends::Halfway => {
                // So that what was said is on its way: a reset overtakes it.
                dahliapoint_fibers::sleep(Duration::from_millis(200));
                call.outbound.cancel();
            }
            Ends::Hangs => dahliapoint_fibers::sleep(Duration::from_secs(20)),
        }
    }
}

fn word(name: &str, share: f64, judged_ms: f64) -> ServerWord {
    let i: usize = name[1..].parse().unwrap();
    ServerWord {
        name: name.into(),
        address: format!("127.0.0.1:{}", i + 1),
        zone: "east".into(),
        state: 0,
        since_ms: 1e6,
        weight: 1.0,
        share,
        judged_ms,
        shut: false,
    }
}

fn scripted(service: &'static str, words: Vec<ServerWord>, ends: Ends) -> Server {
    let peer = Scripted {
        service,
        runs_ms: 1e7,
        words,
        ends,
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start(any, Limits::default(), Arc::new(peer)).unwrap()
}

#[test]
fn what_a_peer_says_is_believed_by_its_age_and_its_end() {
    let all = |judged: f64| -> Vec<ServerWord> {
        let share = |i: usize| if i == 1 { 0.2 } else { 1.0 };
        (0..SERVERS)
            .map(|i| word(&format!("s{i}"), share(i), judged))
            .collect()
    };
    let bad = |change: fn(&mut ServerWord)| -> Vec<ServerWord> {
        let mut words = all(100.0);
        change(&mut words[1]);
        words
    };
    // What it says, how it ends, and whether s1 begins below the others.
    let cases: [(&str, &'static str, Vec<ServerWord>, Ends, bool); 9] = [
        ("fresh and whole", "portal", all(100.0), Ends::Well, true),
        ("hours old", "portal", all(3.0 * 3.6e6), Ends::Well, false),
        ("of an unknown age", "portal", all(-1.0), Ends::Well, false),
        (
            "dies halfway: what came counts",
            "portal",
            all(100.0)[..3].to_vec(),
            Ends::Halfway,
            true,
        ),
        ("hangs at the end", "portal", all(100.0), Ends::Hangs, true),
        ("miscounts", "portal", all(100.0), Ends::Miscounts, true),
        ("of another service", "shop", all(100.0), Ends::Well, false),
        (
            "another machine is a new one",
            "portal",
            bad(|w| w.address = "127.0.0.1:99".into()),
            Ends::Well,
            true,
        ),
        (
            "a share that nobody can mean",
            "portal",
            bad(|w| w.share = f64::NAN),
            Ends::Well,
            false,
        ),
    ];
    for (name, service, words, ends, knows) in cases {
        let peer = scripted(service, words, ends);
        let begun = Instant::now();
        let newcomer = start(&[peer.address()], "");
        assert!(
            begun.elapsed() < Duration::from_secs(15),
            "{name}: it waits for its peer"
        );
        let view = until(&newcomer, name, false, |v| {
            (2..SERVERS).all(|i| weight(v, &format!("s{i}")) > 0.0)
        });
        let others = weight(&view, "s5");
        assert_eq!(
            others, 1.0,
            "{name}: whoever was not told of begins as listed"
        );
        assert_eq!(
            weight(&view, "s1") < 0.9 * others,
            knows,
            "{name}: {}",
            weight(&view, "s1")
        );
        end(newcomer);
        peer.end(Instant::now());
    }
}

#[test]
fn peers_are_asked_in_turn_and_none_may_be_there() {
    let gone = scripted("portal", Vec::new(), Ends::Well);
    let nobody = gone.address();
    gone.end(Instant::now());
    let hangs = scripted("portal", Vec::new(), Ends::Hangs);
    let good = scripted("portal", vec![word("s1", 0.2, 50.0)], Ends::Well);
    let newcomer = start(&[nobody, hangs.address(), good.address()], "");
    let view = until(&newcomer, "a table", false, has_table);
    assert!(
        weight(&view, "s1") < 0.9,
        "the third one told: {}",
        weight(&view, "s1")
    );
    end(newcomer);
    let alone = start(&[nobody], "");
    until(&alone, "a table all the same", false, has_table);
    // Who does not tell says so.
    let silent = start(&[], ", tell: false");
    let (learned, status) = client::query(
        silent.address(),
        "portal",
        clock::now,
        Instant::now() + Duration::from_secs(5),
    );
    assert!(learned.facts.is_empty() && status.is_some_and(|s| s.code == Code::Unimplemented));
    end(silent);
    end(alone);
}
