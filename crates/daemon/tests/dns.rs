//! DNS beside the roster of a running daemon: who has the last word, while DNS answers, fails, lies behind, and over a
//! restart.

use dahliapoint_control::ControllerHandle;
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, SRV};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::Value;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What DNS says now: hosts by number, nothing if it fails.
type Says = Arc<Mutex<Option<Vec<u8>>>>;

fn name(text: &str) -> Name {
    let mut name = Name::from_str(text).unwrap();
    name.set_fqdn(true);
    name
}

/// Answers until the process ends; lifetimes of one second.
fn serve(says: Says) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            let question = Message::from_vec(&buffer[..n]).unwrap();
            let mut m = Message::new(question.metadata.id, MessageType::Response, OpCode::Query);
            m.add_query(question.queries[0].clone());
            match says.lock().unwrap().as_ref() {
                None => m.metadata.response_code = ResponseCode::ServFail,
                Some(hosts) => {
                    for i in hosts {
                        let host = name(&format!("s{i}"));
                        let srv = SRV::new(1, 1, 8080, host.clone());
                        m.add_answer(Record::from_rdata(
                            question.queries[0].name().clone(),
                            1,
                            RData::SRV(srv),
                        ));
                        let a = RData::A(A(Ipv4Addr::new(127, 0, 0, *i)));
                        m.add_additional(Record::from_rdata(host, 1, a));
                    }
                }
            }
            let _ = socket.send_to(&m.to_vec().unwrap(), from);
        }
    });
    address
}

struct Place(PathBuf);

impl Place {
    fn new(name: &str) -> Place {
        let dir =
            std::env::temp_dir().join(format!("dahliapoint-dns-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        Place(dir)
    }

    fn roster(&self, hosts: &[(u8, &str)]) {
        let mut text = if hosts.is_empty() {
            "servers: []\n".to_string()
        } else {
            "servers:\n".to_string()
        };
        for (i, state) in hosts {
            let _ = writeln!(
                text,
                "- {{name: s{i}, address: '127.0.0.{i}:8080', zone: east, state: {state}}}"
            );
        }
        std::fs::write(self.0.join("aside"), text).unwrap();
        std::fs::rename(self.0.join("aside"), self.0.join("roster.yaml")).unwrap();
    }

    fn start(&self, dns: SocketAddr, more: &str) -> Daemon {
        let text = format!(
            "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}]\nseed: 3\nlisten: {{xds: '127.0.0.1:0'}}\n\
             roster: {{file: roster.yaml, every: 20ms, dns: {{name: _portal._tcp.example.org, server: '{dns}', adds: true, within: 300ms}}}}\n{more}"
        );
        let file = self.0.join("d.yaml").display().to_string();
        let deployment = deployment::parse(&file, &text).unwrap();
        Daemon::start(&deployment, RosterSource::File, None).unwrap()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn until(daemon: &Daemon, what: &str, met: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let view = daemon.controller().overview();
        if met(&view) {
            return view;
        }
        assert!(Instant::now() < end, "{what}: {view:#}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn state(view: &Value, name: &str) -> String {
    let all = view["servers"].as_array().unwrap();
    let found = all.iter().find(|s| s["name"] == name);
    found
        .map_or("", |s| s["state"].as_str().unwrap_or(""))
        .to_string()
}

#[test]
fn the_roster_has_the_last_word() {
    let place = Place::new("word");
    let says: Says = Arc::new(Mutex::new(Some(vec![1, 2, 3, 4])));
    place.roster(&[(1, "ready"), (2, "ready"), (3, "draining")]);
    let daemon = place.start(serve(says.clone()), "");
    let view = daemon.controller().overview();
    assert_eq!(
        ["s1", "s2", "s3", "s4"].map(|s| state(&view, s)),
        ["Ready", "Ready", "Draining", "Ready"],
        "at the start"
    );
    // Dropped by the roster: DNS names it still, and it does not return.
    place.roster(&[(1, "ready"), (3, "gone")]);
    until(&daemon, "s2 is gone", |v| {
        state(v, "s2") == "Gone" && state(v, "s3") == "Gone"
    });
    let looked = |v: &Value| v["dns"]["looked"].as_u64().unwrap();
    let before = looked(&daemon.controller().overview());
    let view = until(&daemon, "two more lookups", |v| looked(v) >= before + 2);
    assert_eq!(
        ["s1", "s2", "s3", "s4"].map(|s| state(&view, s)),
        ["Ready", "Gone", "Gone", "Ready"]
    );
    assert!(
        view["dns"]["disagreements"]["s2"]
            .as_str()
            .unwrap()
            .contains("it stays so"),
        "{}",
        view["dns"]
    );
    // What DNS added, DNS takes away, with an answer.
    *says.lock().unwrap() = Some(vec![1, 2, 3]);
    until(&daemon, "s4 is gone", |v| state(v, "s4") == "Gone");
    // The roster brings back whom it likes.
    place.roster(&[(1, "ready"), (2, "ready")]);
    until(&daemon, "s2 is back", |v| state(v, "s2") == "Ready");
    daemon.end(Duration::from_secs(1));
}

#[test]
fn lookups_fail_while_the_roster_shrinks() {
    let place = Place::new("fails");
    let says: Says = Arc::new(Mutex::new(Some(vec![1, 2, 3, 5, 6])));
    place.roster(&[(1, "ready"), (2, "ready"), (3, "ready")]);
    let daemon = place.start(serve(says.clone()), "");
    *says.lock().unwrap() = None;
    until(&daemon, "lookups fail", |v| {
        v["dns"]["failed"].as_u64() >= Some(2)
    });
    place.roster(&[(1, "ready")]);
    let view = until(&daemon, "the roster shrinks", |v| {
        state(v, "s2") == "Gone" && state(v, "s3") == "Gone"
    });
    // Silence takes nobody away.
    assert_eq!(["s1", "s5", "s6"].map(|s| state(&view, s)), ["Ready"; 3]);
    until(&daemon, "and it is told", |v| {
        v["dns"]["worth"].as_str().unwrap().starts_with("stale")
    });
    // An answer of next to nothing has to come twice; then it counts.
    *says.lock().unwrap() = Some(vec![5]);
    let view = until(&daemon, "it counts", |v| state(v, "s6") == "Gone");
    assert_eq!(view["dns"]["doubted"].as_u64(), Some(1), "{}", view["dns"]);
    assert_eq!(
        ["s1", "s2", "s5"].map(|s| state(&view, s)),
        ["Ready", "Gone", "Ready"]
    );
    daemon.end(Duration::from_secs(1));
}

#[test]
fn over_a_restart_the_gone_stay_gone_and_what_dns_said_stands() {
    let place = Place::new("restart");
    let says: Says = Arc::new(Mutex::new(Some(vec![1, 2, 7])));
    let dns = serve(says.clone());
    place.roster(&[(1, "ready"), (2, "ready")]);
    let memory = "memory: {dir: memory}\nreports: {every: 50ms}\n";
    let daemon = place.start(dns, memory);
    let view = daemon.controller().overview();
    assert_eq!(state(&view, "s7"), "Ready");
    place.roster(&[(1, "ready")]);
    until(&daemon, "s2 is gone", |v| state(v, "s2") == "Gone");
    daemon.end(Duration::from_secs(1));
    *says.lock().unwrap() = None;
    let daemon = place.start(dns, memory);
    let view = daemon.controller().overview();
    assert_eq!(
        [state(&view, "s1"), state(&view, "s7")],
        ["Ready", "Ready"],
        "DNS is down: {}",
        view["dns"]
    );
    *says.lock().unwrap() = Some(vec![1, 2, 7]);
    let view = until(&daemon, "DNS answers", |v| v["dns"]["worth"] == "fresh");
    assert_ne!(
        state(&view, "s2"),
        "Ready",
        "it does not return by DNS alone"
    );
    assert_eq!(state(&view, "s7"), "Ready");
    daemon.end(Duration::from_secs(1));
}
