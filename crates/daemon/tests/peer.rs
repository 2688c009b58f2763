//! A controller that starts and learns from a running one on loopback: which facts it takes over and which it refuses,
//! and peers that hang, die halfway, or belong to another service.

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

/// Sends a report of each proxy: s1 answers late, all others in time.
fn report(daemon: &Daemon) {
    for n in 0..4 {
        let lines = (0..SERVERS).map(|i| ReportLine {
            server: format!("s{i}"),
            tries: 5.0,
            success_ms: 5.0 * if i == 1 { 1_500.0 } else { 20.0 },
            ..ReportLine::default()
        });
        let report = LoadReport {
            window_ms: 100.0,
            ended_ago_ms: 0.0,
            lines: lines.collect(),
            arrivals: Vec::new(),
        };
        daemon
            .controller()
            .report(&format!("p{n}"), 7 + n, report)
            .unwrap();
    }
}

fn wait_for(
    daemon: &Daemon,
    what: &str,
    reports: bool,
    condition: impl Fn(&Value) -> bool,
) -> Value {
    let end = Instant::now() + Duration::from_secs(40);
    loop {
        let view = daemon.controller().overview();
        if condition(&view) {
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
fn a_starting_controller_takes_over_the_facts_of_a_running_one() {
    let old = start(&[], "");
    let slow = |v: &Value| has_table(v) && weight(v, "s1") < 0.5 * weight(v, "s0");
    wait_for(&old, "the slow one is trimmed", true, slow);
    // Peers see it after the next round.
    wait_for(&old, "and known", true, |_| {
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
    let starting = start(&[old.address()], "");
    let view = wait_for(&starting, "its first table", false, has_table);
    assert!(
        weight(&view, "s1") < 0.9 * weight(&view, "s0"),
        "it knows: {view:#}"
    );
    // Without a peer it does not know.
    let cold = start(&[], "");
    let view = wait_for(&cold, "its first table", false, has_table);
    assert_eq!(weight(&view, "s1"), weight(&view, "s0"));
    // The new controller has had no reports: facts that it hands on keep the age with which it received them.
    std::thread::sleep(Duration::from_millis(300));
    let query = |d: &Daemon| {
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
    // Uptimes have a resolution of 10 ms.
    let (first, second) = (query(&old), query(&starting));
    assert!(
        age(&second) >= age(&first) - 50.0 && age(&second) >= 300.0,
        "{} {}",
        age(&first),
        age(&second)
    );
    for daemon in [old, starting, cold] {
        end(daemon);
    }
}

/// A peer that sends a scripted answer.
struct ScriptedPeer {
    service: &'static str,
    runs_ms: f64,
    server_words: Vec<ServerWord>,
    ends: Ending,
}

#[derive(Clone, Copy, PartialEq)]
enum Ending {
    Well,
    Halfway,
    Hangs,
    Miscounts,
}

impl Handler for ScriptedPeer {
    fn call(&self, mut call: Call) {
        let _ = call.inbound.receive::<Ask>();
        let mut send = |said| call.outbound.send(&Word { said: Some(said) });
        let head = Head {
            service: self.service.into(),
            runs_ms: self.runs_ms,
        };
        let _ = send(Said::Head(head));
        let _ = send(Said::Servers(Servers {
            servers: self.server_words.clone(),
        }));
        let count = self.server_words.len() as u64;
        match self.ends {
            Ending::Well => {
                let _ = send(Said::End(End { servers: count }));
                call.outbound.finish(&Status::new(Code::Ok, ""));
            }
            Ending::Miscounts => {
                let _ = send(Said::End(End { servers: count + 1 }));
                call.outbound.finish(&Status::new(Code::Ok, ""));
            }
            Ending::Halfway => {
                // Gives the data time to arrive, since a reset would overtake it.
                dahliapoint_fibers::sleep(Duration::from_millis(200));
                call.outbound.cancel();
            }
            Ending::Hangs => dahliapoint_fibers::sleep(Duration::from_secs(20)),
        }
    }
}

fn server_word(name: &str, share: f64, judged_ms: f64) -> ServerWord {
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

fn start_scripted(service: &'static str, server_words: Vec<ServerWord>, ends: Ending) -> Server {
    let peer = ScriptedPeer {
        service,
        runs_ms: 1e7,
        server_words,
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
            .map(|i| server_word(&format!("s{i}"), share(i), judged))
            .collect()
    };
    let with_change = |change: fn(&mut ServerWord)| -> Vec<ServerWord> {
        let mut server_words = all(100.0);
        change(&mut server_words[1]);
        server_words
    };
    // The service and servers that the peer sends, how it ends, and whether s1 then starts below the others.
    let cases: [(&str, &'static str, Vec<ServerWord>, Ending, bool); 9] = [
        ("fresh and whole", "portal", all(100.0), Ending::Well, true),
        ("hours old", "portal", all(3.0 * 3.6e6), Ending::Well, false),
        (
            "of an unknown age",
            "portal",
            all(-1.0),
            Ending::Well,
            false,
        ),
        (
            "dies halfway: what came counts",
            "portal",
            all(100.0)[..3].to_vec(),
            Ending::Halfway,
            true,
        ),
        (
            "hangs at the end",
            "portal",
            all(100.0),
            Ending::Hangs,
            true,
        ),
        ("miscounts", "portal", all(100.0), Ending::Miscounts, true),
        (
            "of another service",
            "shop",
            all(100.0),
            Ending::Well,
            false,
        ),
        (
            "another machine is a new one",
            "portal",
            with_change(|w| w.address = "127.0.0.1:99".into()),
            Ending::Well,
            true,
        ),
        (
            "a share that nobody can mean",
            "portal",
            with_change(|w| w.share = f64::NAN),
            Ending::Well,
            false,
        ),
    ];
    for (name, service, server_words, ends, is_slow_server_known) in cases {
        let peer = start_scripted(service, server_words, ends);
        let started = Instant::now();
        let starting = start(&[peer.address()], "");
        assert!(
            started.elapsed() < Duration::from_secs(15),
            "{name}: it waits too long for its peer"
        );
        let view = wait_for(&starting, name, false, |v| {
            (2..SERVERS).all(|i| weight(v, &format!("s{i}")) > 0.0)
        });
        let others = weight(&view, "s5");
        assert_eq!(
            others, 1.0,
            "{name}: a server without a fact starts as listed"
        );
        assert_eq!(
            weight(&view, "s1") < 0.9 * others,
            is_slow_server_known,
            "{name}: {}",
            weight(&view, "s1")
        );
        end(starting);
        peer.shut_down(Instant::now());
    }
}

#[test]
fn peers_are_asked_in_turn_and_all_may_be_absent() {
    let gone = start_scripted("portal", Vec::new(), Ending::Well);
    let nobody = gone.address();
    gone.shut_down(Instant::now());
    let hangs = start_scripted("portal", Vec::new(), Ending::Hangs);
    let good = start_scripted("portal", vec![server_word("s1", 0.2, 50.0)], Ending::Well);
    let starting = start(&[nobody, hangs.address(), good.address()], "");
    let view = wait_for(&starting, "a table", false, has_table);
    assert!(
        weight(&view, "s1") < 0.9,
        "the third one answered: {}",
        weight(&view, "s1")
    );
    end(starting);
    let unpeered = start(&[nobody], "");
    wait_for(&unpeered, "a table all the same", false, has_table);
    // A controller that does not answer peers returns a status that says so.
    let silent = start(&[], ", tell: false");
    let (learned, status) = client::query(
        silent.address(),
        "portal",
        clock::now,
        Instant::now() + Duration::from_secs(5),
    );
    assert!(learned.facts.is_empty() && status.is_some_and(|s| s.code == Code::Unimplemented));
    end(silent);
    end(unpeered);
}
