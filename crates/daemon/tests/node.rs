//! The real program as a controller of the platform, against stand-ins on loopback: what crosses the
//! sockets is checked, not what it believes.

use dahliapoint_standins::platform::{Discovery, Fault, Held, Relay, until};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

static NUMBER: AtomicU32 = AtomicU32::new(0);

const SETTINGS: &str = r#"{
    "lanes": [{"name": "lookup", "aimNs": 800000000, "credit": 1.0}],
    "zones": ["a", "b"],
    "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 16000000000},
    "specifics": {"mostWaiting": 8000, "egressPerS": 8000.0, "pushDelayNs": 50000000, "overhead": 4.0,
        "reportEveryNs": 1000000000, "ingestRate": 800.0, "proxies": 40, "standing": 10},
    "limits": {"connIdleNs": 15000000000, "probing": true},
    "tickNs": 2000000}"#;

/// A running controller and its configuration file.
struct Node {
    child: Child,
    file: PathBuf,
    address: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn configuration(
    listen: SocketAddr,
    relay: SocketAddr,
    discovery: SocketAddr,
    known: &str,
) -> String {
    format!(
        r#"{{"name": "n0", "listen": "{listen}", "discovery": "{discovery}", "seed": "8c1f30d27a5be964",
        "limits": {{"cores": 1.0, "memory_mb": 64, "sockets": 110}},
        "distributor": {{"address": "{relay}"}}, "known": {known}, "settings": {SETTINGS}}}"#
    )
}

fn file() -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "dahliapoint-node-{}-{number}.json",
        std::process::id()
    ))
}

fn command(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
    command
        .arg("node")
        .env("NODE_CONFIG", file)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

impl Node {
    fn start(relay: &Relay, discovery: &Discovery) -> Node {
        // A port that was free a moment ago; who loses it to another test tries the next.
        for _ in 0..20 {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            drop(listener);
            let file = file();
            let known = discovery.with(|l| l.whole());
            std::fs::write(
                &file,
                configuration(address, relay.address, discovery.address, &known),
            )
            .unwrap();
            let child = command(&file).spawn().unwrap();
            let mut node = Node {
                child,
                file,
                address,
            };
            let ready = until(|| node.is_alive() || node.child.try_wait().unwrap().is_some());
            if ready && node.child.try_wait().unwrap().is_none() {
                return node;
            }
        }
        panic!("no controller came up");
    }

    fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        socket
    }

    fn is_alive(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(5)));
        socket.write_all(b"probe\r\n").is_ok() && line(&socket) == "alive"
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-s", name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    fn moves_to(&self, relay: &Relay, discovery: &Discovery) {
        let text = configuration(self.address, relay.address, discovery.address, "null");
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }
}

/// The next line of a socket; empty at its end.
fn line(socket: &TcpStream) -> String {
    let mut line = String::new();
    let _ = BufReader::new(socket).read_line(&mut line);
    line.trim_end().to_string()
}

/// A socket that is closed by the other side, with no more than a word before.
fn is_closed(mut socket: &TcpStream) -> bool {
    let mut rest = Vec::new();
    match socket.read_to_end(&mut rest) {
        Ok(_) => rest.is_empty() || rest.starts_with(b"error"),
        Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// A platform with three servers and three joined proxies, and a controller that has bound them.
fn serving() -> (Relay, Discovery, Node) {
    let (relay, discovery) = (Relay::begin(), Discovery::begin(&["s-1", "s-2", "s-3"]));
    (0..3).for_each(|p| relay.with(|held| held.join(p)));
    let node = Node::start(&relay, &discovery);
    assert!(until(
        || relay.with(|held| held.bare().is_empty() && held.lines.len() == 3)
    ));
    assert!(until(|| relay.with(|held| held.followers()) == 2));
    assert!(until(|| discovery.with(|l| l.watches()) == 1));
    (relay, discovery, node)
}

fn withdrawn(held: &mut Held, name: &str) -> bool {
    held.withdrawn.contains(name)
}

#[test]
fn a_calm_day() {
    let (relay, discovery, mut node) = serving();
    discovery.with(|l| l.set("s-2", "draining"));
    assert!(until(|| relay.with(|held| withdrawn(held, "s-2"))));
    discovery.with(|l| l.set("s-4", "up"));
    assert!(until(
        || relay.with(|held| held.lines.get("s-4").is_some_and(|w| *w > 0.0))
    ));
    relay.with(|held| held.join(7));
    relay.with(|held| held.leave(0));
    assert!(until(|| relay.with(|held| held.bound.contains_key(&7))));
    assert_eq!(
        relay.with(|held| (held.oversized(), held.bound[&1])),
        (0, 1)
    );
    node.signal("TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn whatever_becomes_of_a_call_its_withdrawal_holds_in_the_end() {
    let (relay, discovery, _node) = serving();
    let faults = [
        Fault::Break { carried_out: false },
        Fault::Break { carried_out: true },
        Fault::Silence { carried_out: false },
        Fault::Garble,
        Fault::Halt(0),
        Fault::TooMany,
    ];
    for (i, fault) in faults.into_iter().enumerate() {
        let name = format!("x-{i}");
        discovery.with(|l| l.set(&name, "up"));
        assert!(
            until(|| relay.with(|held| held.lines.get(&name).is_some_and(|w| *w > 0.0))),
            "{fault:?}"
        );
        // The next call is the one that the leaving leads to, or one of the ramp; either way the
        // table ends as the list says.
        relay.with(|held| held.faults.push_back(fault));
        if fault != Fault::Halt(0) {
            discovery.with(|l| l.set(&name, "removed"));
            assert!(
                until(|| relay.with(|held| withdrawn(held, &name))),
                "{fault:?}"
            );
        }
        assert!(
            until(|| relay.with(|held| held.faults.is_empty())),
            "{fault:?}"
        );
    }
    assert!(relay.with(|held| held.bare().is_empty()));
}

#[test]
fn a_binding_that_was_lost_is_made_again_and_news_that_was_missed_is_not_trusted() {
    let (relay, _discovery, _node) = serving();
    // Not carried out, and no mark answered: bound again.
    relay.with(|held| {
        held.faults.push_back(Fault::Break { carried_out: false });
        held.join(9);
    });
    assert!(until(|| relay.with(|held| held.bare().is_empty())));
    // One follower breaks: nobody is bound anew.
    let before = relay.with(|held| held.bound.clone());
    relay.with(|held| held.break_followers(false));
    assert!(until(|| relay.with(|held| held.followers()) == 2));
    relay.with(|held| held.join(10));
    assert!(until(|| relay.with(|held| held.bare().is_empty())));
    let mut after = relay.with(|held| held.bound.clone());
    after.remove(&10);
    assert_eq!(before, after);
    // Both break, and a proxy leaves and comes back meanwhile: it is bound all the same.
    relay.with(|held| {
        held.break_followers(true);
        held.leave(1);
        held.join(1);
    });
    assert!(until(|| relay.with(|held| held.bare().is_empty())));
}

#[test]
fn a_silent_watch_gets_another_beside_it() {
    let (relay, discovery, _node) = serving();
    discovery.with(|l| {
        l.fall_silent();
        l.set("s-1", "draining");
    });
    assert!(until(|| relay.with(|held| withdrawn(held, "s-1"))));
    assert!(discovery.with(|l| l.asked) >= 2);
}

#[test]
fn strangers_past_the_budget_keep_neither_collectors_nor_probes_out() {
    let (relay, _discovery, node) = serving();
    let silent: Vec<TcpStream> = (0..150).map(|_| node.connect()).collect();
    let mut collector = node.connect();
    collector.write_all(b"agent zone=a\r\n").unwrap();
    assert!(node.is_alive());
    for stranger in &silent {
        assert!(is_closed(stranger));
    }
    for said in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"agent zone=z\r\n",
        b"outcomes zone=a server=s-1 tries=1\r\n",
        b"txn clear,0\r\n",
        b"\xff\xff\r\n",
    ] {
        let mut socket = node.connect();
        socket.write_all(said).unwrap();
        assert!(is_closed(&socket), "{said:?}");
    }
    let mut endless = node.connect();
    while endless.write_all(&[b'x'; 4096]).is_ok() {}
    // The collector is heard: a server that fails all it is sent is put out, by its reports alone.
    let reports = |failed: [u32; 3]| {
        let line = |(i, f): (usize, &u32)| {
            format!(
                "outcomes zone=a server=s-{} tries=40 failed={f} mean_ms=90.5 span_ms=1000.0\r\n",
                i + 1
            )
        };
        failed.iter().enumerate().map(line).collect::<String>()
    };
    let spoilt =
        "outcomes zone=a server=s-9 tries=x failed=1\r\noutcomes zone=q server=s-1 tries=1\r\n";
    assert!(until(|| {
        let text = reports([0, 0, 40]);
        collector.write_all(spoilt.as_bytes()).unwrap();
        collector.write_all(text.as_bytes()).unwrap();
        relay.with(|held| held.lines.get("s-3") == Some(&0.0))
    }));
}

#[test]
fn a_new_configuration_moves_it_without_a_binding_lost() {
    let (relay, discovery, node) = serving();
    let (other, elsewhere) = (relay.also(), discovery.also());
    // A bad one changes nothing, and ends nothing.
    std::fs::write(&node.file, "{\"name\": 7").unwrap();
    node.signal("HUP");
    let before = relay.with(|held| held.bound.clone());
    let asked = discovery.with(|l| l.asked);
    node.moves_to(&other, &elsewhere);
    // Beside the old ones, which a real address closes only later.
    assert!(until(|| discovery.with(|l| l.asked) > asked));
    assert!(until(|| relay.with(|held| held.followers()) >= 3));
    discovery.with(|l| l.set("s-1", "draining"));
    assert!(until(|| relay.with(|held| withdrawn(held, "s-1"))));
    relay.with(|held| held.join(11));
    assert!(until(|| relay.with(|held| held.bare().is_empty())));
    let mut after = relay.with(|held| held.bound.clone());
    after.remove(&11);
    assert_eq!(before, after);
}

#[test]
fn bad_settings_are_told_in_one_line_with_exit_code_2() {
    let at: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let good = configuration("127.0.0.1:0".parse().unwrap(), at, at, "null");
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let cases = [
        (None, "No such file"),
        (Some("{".to_string()), "EOF"),
        (
            Some(good.replace("\"distributor\"", "\"other\"")),
            "distributor",
        ),
        (
            Some(good.replace("\"sockets\": 110", "\"sockets\": \"x\"")),
            "limits.sockets",
        ),
        (
            Some(good.replace("\"egressPerS\": 8000.0", "\"egressPerS\": -1")),
            "settings.specifics.egressPerS",
        ),
        (
            Some(good.replace("127.0.0.1:0", &taken.local_addr().unwrap().to_string())),
            "listen",
        ),
    ];
    for (text, wanted) in cases {
        let file = file();
        if let Some(text) = text {
            std::fs::write(&file, text).unwrap();
        }
        let out = command(&file).stderr(Stdio::piped()).output().unwrap();
        let said = String::from_utf8_lossy(&out.stderr);
        let plain: Vec<&str> = said.lines().filter(|l| !l.contains("INFO")).collect();
        assert_eq!(out.status.code(), Some(2), "{wanted}: {said}");
        assert!(
            plain.len() == 1 && plain[0].contains(wanted),
            "{wanted}: {said}"
        );
        assert!(plain[0].contains(file.to_str().unwrap()), "{said}");
        let _ = std::fs::remove_file(&file);
    }
}
