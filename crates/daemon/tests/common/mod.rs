//! A real controller and stand-ins of the platform round it, for the tests of the binary.
#![allow(dead_code)]

use dahliapoint_standins::platform::{Discovery, Relay, RelayState, wait_until};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

static NUMBER: AtomicU32 = AtomicU32::new(0);

pub const SETTINGS: &str = r#"{
    "lanes": [{"name": "lookup", "aimNs": 800000000, "credit": 1.0}],
    "zones": ["a", "b"],
    "rules": {"coldFrom": 0.2, "fallMultiple": 3.0, "rampTimeNs": 16000000000},
    "specifics": {"mostWaiting": 8000, "egressPerS": 8000.0, "pushDelayNs": 50000000, "overhead": 4.0,
        "reportEveryNs": 1000000000, "ingestRate": 800.0, "proxies": 40, "standing": 10},
    "limits": {"connIdleNs": 15000000000, "probing": true},
    "tickNs": 2000000}"#;

/// A running controller and its configuration file.
pub struct Node {
    pub child: Child,
    pub file: PathBuf,
    pub address: SocketAddr,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn configuration(
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

pub fn file() -> PathBuf {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "dahliapoint-node-{}-{number}.json",
        std::process::id()
    ))
}

pub fn command(file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dahliapoint"));
    command
        .arg("node")
        .env("NODE_CONFIG", file)
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    command
}

impl Node {
    pub fn start(relay: &Relay, discovery: &Discovery) -> Node {
        Node::start_as(relay, discovery, |_| ())
    }

    /// Started in a way of the test's own.
    pub fn start_as(relay: &Relay, discovery: &Discovery, how: fn(&mut Command)) -> Node {
        // A port that was free a moment ago; who loses it to another test tries the next.
        for _ in 0..20 {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            drop(listener);
            let file = file();
            let known = discovery.with_state(|l| l.snapshot_json());
            std::fs::write(
                &file,
                configuration(address, relay.address, discovery.address, &known),
            )
            .unwrap();
            let mut command = command(&file);
            how(&mut command);
            let child = command.spawn().unwrap();
            let mut node = Node {
                child,
                file,
                address,
            };
            let ready = wait_until(|| node.is_alive() || node.child.try_wait().unwrap().is_some());
            if ready && node.child.try_wait().unwrap().is_none() {
                return node;
            }
        }
        panic!("no controller came up");
    }

    pub fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(self.address).unwrap();
        socket
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        socket
    }

    pub fn is_alive(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.address) else {
            return false;
        };
        let _ = socket.set_read_timeout(Some(Duration::from_secs(5)));
        socket.write_all(b"probe\r\n").is_ok() && line(&socket) == "alive"
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-s", name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    pub fn moves_to(&self, relay: &Relay, discovery: &Discovery) {
        let text = configuration(self.address, relay.address, discovery.address, "null");
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }
}

/// The next line of a socket; empty at its end.
pub fn line(socket: &TcpStream) -> String {
    let mut line = String::new();
    let _ = BufReader::new(socket).read_line(&mut line);
    line.trim_end().to_string()
}

/// A socket that is closed by the other side, with no more than a word before.
pub fn is_closed(mut socket: &TcpStream) -> bool {
    let mut rest = Vec::new();
    match socket.read_to_end(&mut rest) {
        Ok(_) => rest.is_empty() || rest.starts_with(b"error"),
        Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// A platform with three servers and three joined proxies, and a controller that has bound them.
pub fn serving() -> (Relay, Discovery, Node) {
    let (relay, discovery) = (Relay::start(), Discovery::start(&["s-1", "s-2", "s-3"]));
    (0..3).for_each(|p| relay.with_state(|held| held.join(p)));
    let node = Node::start(&relay, &discovery);
    assert!(wait_until(|| relay
        .with_state(
            |held| held.unbound().is_empty() && held.weights.len() == 3
        )));
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_count())
        == 2));
    assert!(wait_until(|| discovery.with_state(|l| l.watch_count()) == 1));
    (relay, discovery, node)
}

pub fn withdrawn(held: &mut RelayState, name: &str) -> bool {
    held.withdrawn.contains(name)
}
