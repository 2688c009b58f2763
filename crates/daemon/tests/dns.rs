//! Servers from DNS in addition to the roster of a running daemon: which source takes precedence while DNS answers,
//! while it fails or is out of date, and after a restart.

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

/// What DNS answers: hosts by number, or `None` for a failure.
type Answer = Arc<Mutex<Option<Vec<u8>>>>;

fn name(text: &str) -> Name {
    let mut name = Name::from_str(text).unwrap();
    name.set_fqdn(true);
    name
}

/// Starts a DNS server that answers until the process ends, with a TTL of one second.
fn serve(answer: Answer) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((n, from)) = socket.recv_from(&mut buffer) {
            let question = Message::from_vec(&buffer[..n]).unwrap();
            let mut m = Message::new(question.metadata.id, MessageType::Response, OpCode::Query);
            m.add_query(question.queries[0].clone());
            match answer.lock().unwrap().as_ref() {
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

struct TestDir(PathBuf);

impl TestDir {
    fn new(name: &str) -> TestDir {
        let dir =
            std::env::temp_dir().join(format!("dahliapoint-dns-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        TestDir(dir)
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

impl Drop for TestDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn wait_for(daemon: &Daemon, what: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let view = daemon.controller().overview();
        if condition(&view) {
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
fn the_roster_takes_precedence_over_dns() {
    let dir = TestDir::new("word");
    let answer: Answer = Arc::new(Mutex::new(Some(vec![1, 2, 3, 4])));
    dir.roster(&[(1, "ready"), (2, "ready"), (3, "draining")]);
    let daemon = dir.start(serve(answer.clone()), "");
    let view = daemon.controller().overview();
    assert_eq!(
        ["s1", "s2", "s3", "s4"].map(|s| state(&view, s)),
        ["Ready", "Ready", "Draining", "Ready"],
        "at the start"
    );
    // The roster drops s2. DNS still names it, but it does not return.
    dir.roster(&[(1, "ready"), (3, "gone")]);
    wait_for(&daemon, "s2 is gone", |v| {
        state(v, "s2") == "Gone" && state(v, "s3") == "Gone"
    });
    let lookups = |v: &Value| v["dns"]["looked"].as_u64().unwrap();
    let before = lookups(&daemon.controller().overview());
    let view = wait_for(&daemon, "two more lookups", |v| lookups(v) >= before + 2);
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
    // A server that DNS added is removed by an answer without it.
    *answer.lock().unwrap() = Some(vec![1, 2, 3]);
    wait_for(&daemon, "s4 is gone", |v| state(v, "s4") == "Gone");
    // The roster can bring a server back.
    dir.roster(&[(1, "ready"), (2, "ready")]);
    wait_for(&daemon, "s2 is back", |v| state(v, "s2") == "Ready");
    daemon.end(Duration::from_secs(1));
}

#[test]
fn lookups_fail_while_the_roster_shrinks() {
    let dir = TestDir::new("fails");
    let answer: Answer = Arc::new(Mutex::new(Some(vec![1, 2, 3, 5, 6])));
    dir.roster(&[(1, "ready"), (2, "ready"), (3, "ready")]);
    let daemon = dir.start(serve(answer.clone()), "");
    *answer.lock().unwrap() = None;
    wait_for(&daemon, "lookups fail", |v| {
        v["dns"]["failed"].as_u64() >= Some(2)
    });
    dir.roster(&[(1, "ready")]);
    let view = wait_for(&daemon, "the roster shrinks", |v| {
        state(v, "s2") == "Gone" && state(v, "s3") == "Gone"
    });
    // Failed lookups remove no server.
    assert_eq!(["s1", "s5", "s6"].map(|s| state(&view, s)), ["Ready"; 3]);
    wait_for(&daemon, "the status says so", |v| {
        v["dns"]["worth"].as_str().unwrap().starts_with("stale")
    });
    // An answer that drops most servers takes effect only when it comes a second time.
    *answer.lock().unwrap() = Some(vec![5]);
    let view = wait_for(&daemon, "it counts", |v| state(v, "s6") == "Gone");
    assert_eq!(view["dns"]["doubted"].as_u64(), Some(1), "{}", view["dns"]);
    assert_eq!(
        ["s1", "s2", "s5"].map(|s| state(&view, s)),
        ["Ready", "Gone", "Ready"]
    );
    daemon.end(Duration::from_secs(1));
}

#[test]
fn after_a_restart_dropped_servers_stay_gone_and_the_last_dns_answer_holds() {
    let dir = TestDir::new("restart");
    let answer: Answer = Arc::new(Mutex::new(Some(vec![1, 2, 7])));
    let dns = serve(answer.clone());
    dir.roster(&[(1, "ready"), (2, "ready")]);
    let memory = "memory: {dir: memory}\nreports: {every: 50ms}\n";
    let daemon = dir.start(dns, memory);
    let view = daemon.controller().overview();
    assert_eq!(state(&view, "s7"), "Ready");
    dir.roster(&[(1, "ready")]);
    wait_for(&daemon, "s2 is gone", |v| state(v, "s2") == "Gone");
    daemon.end(Duration::from_secs(1));
    *answer.lock().unwrap() = None;
    let daemon = dir.start(dns, memory);
    let view = daemon.controller().overview();
    assert_eq!(
        [state(&view, "s1"), state(&view, "s7")],
        ["Ready", "Ready"],
        "DNS is down: {}",
        view["dns"]
    );
    *answer.lock().unwrap() = Some(vec![1, 2, 7]);
    let view = wait_for(&daemon, "DNS answers", |v| v["dns"]["worth"] == "fresh");
    assert_ne!(
        state(&view, "s2"),
        "Ready",
        "it does not return by DNS alone"
    );
    assert_eq!(state(&view, "s7"), "Ready");
    daemon.end(Duration::from_secs(1));
}
