//! Races of `dahliapoint node`, on real connections. Each test forces the bad order of events: a peer
//! holds bytes back, or the controller is stopped by SIGSTOP while they arrive, so that no test depends
//! on luck or timing.

mod common;

use common::{Node, command, configuration, file, serving, withdrawn};
use dahliapoint_standins::platform::{Discovery, Relay, RelayFault, wait_until};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;

impl Node {
    /// Runs a closure while the process is stopped; what arrives meanwhile is queued in order.
    fn while_stopped<T>(&self, action: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        assert!(wait_until(|| self.all_threads_stopped()));
        let out = action();
        self.signal("CONT");
        out
    }

    /// SIGSTOP takes effect only once a thread of the process handles it: until then others run on.
    fn all_threads_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        tasks.flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit(") ").next().unwrap_or_default();
            state.starts_with('T')
        })
    }
}

/// Reads a socket to a clean end.
fn read_to_end(mut socket: &TcpStream) -> Result<String, std::io::ErrorKind> {
    let mut received = String::new();
    let read = socket.read_to_string(&mut received);
    read.map(|_| received).map_err(|e| e.kind())
}

/// The first call after the first `from` ones that contains `order`.
fn find_call(relay: &Relay, from: usize, order: &str) -> Option<String> {
    relay.with_state(|state| {
        let mut calls = state.calls.iter().skip(from);
        calls.find(|c| c.contains(order)).cloned()
    })
}

/// The mark order, which ends every call.
fn mark(call: &str) -> &str {
    let order = call.rsplit(';').next().unwrap_or_default();
    assert!(order.starts_with("mark,"), "{call}");
    order
}

// ---- calls ----

#[test]
fn mark_acknowledged_before_its_call_fails_is_not_sent_again() {
    let (relay, _discovery, node) = serving();
    let before = relay.with_state(|state| {
        state.faults.push_back(RelayFault::DelayAnswer);
        state.join(9);
        state.calls.len()
    });
    // The call is executed and its mark acknowledged on both followers; its own answer is delayed.
    assert!(wait_until(
        || relay.with_state(|state| state.delayed_calls == 1)
    ));
    let delayed = find_call(&relay, before, "bind,9,").unwrap();
    // This probe is answered after the followers' news was read.
    assert!(node.is_alive());
    relay.with_state(|state| state.release_delayed = true);
    // Later calls are sent, and nothing of the failed call is sent again, before or after them.
    relay.with_state(|state| state.join(10));
    assert!(wait_until(
        || find_call(&relay, before, "bind,10,").is_some()
    ));
    relay.with_state(|state| state.join(11));
    assert!(wait_until(
        || find_call(&relay, before, "bind,11,").is_some()
    ));
    let is_same_mark = |c: &&String| mark(c) == mark(&delayed);
    let sent_count =
        relay.with_state(|state| state.calls.iter().skip(before).filter(is_same_mark).count());
    assert_eq!(
        (sent_count, relay.with_state(|state| state.bind_counts[&9])),
        (1, 1)
    );
}

#[test]
fn connection_with_bytes_after_the_answer_is_not_reused() {
    let (relay, _discovery, _node) = serving();
    for (proxy, trailing) in [(9, "OK 0\r\n"), (10, "O")] {
        let before = relay.with_state(|state| {
            state.faults.push_back(RelayFault::TrailingBytes(trailing));
            state.join(proxy);
            state.calls.len()
        });
        let name = format!("bind,{proxy},");
        assert!(wait_until(|| find_call(&relay, before, &name).is_some()));
        let next = relay.with_state(|state| {
            state.join(proxy + 10);
            state.calls.len()
        });
        let name = format!("bind,{},", proxy + 10);
        assert!(wait_until(|| find_call(&relay, next, &name).is_some()));
        let (first, second) = relay
            .with_state(|state| (state.call_connections[before], state.call_connections[next]));
        assert_ne!(first, second, "{trailing:?}");
    }
}

// ---- the controller's address ----

/// Opens as many connections without joining as the limit allows next to one probe; the first is the oldest.
fn fill_connections(node: &Node) -> Vec<TcpStream> {
    (0..37).map(|_| node.connect()).collect()
}

#[test]
fn evicted_connection_gets_the_answer_to_its_probe() {
    let (_relay, _discovery, node) = serving();
    for _ in 0..5 {
        let unjoined = fill_connections(&node);
        assert!(node.is_alive());
        let newcomers = node.while_stopped(|| {
            // The newcomers arrive first, then the probe on the connection that they evict.
            let newcomers: Vec<TcpStream> = (0..20).map(|_| node.connect()).collect();
            for mut connection in unjoined.iter().take(15) {
                connection.write_all(b"probe\r\n").unwrap();
            }
            newcomers
        });
        for connection in unjoined.iter().take(15) {
            let mut received = [0; 7];
            let read = { connection }.read_exact(&mut received);
            assert!(read.is_ok() && &received == b"alive\r\n", "{read:?}");
        }
        drop((unjoined, newcomers));
    }
}

#[test]
fn connection_that_joins_during_its_eviction_stays_a_collector() {
    let (relay, _discovery, node) = serving();
    let unjoined = fill_connections(&node);
    assert!(node.is_alive());
    let newcomers = node.while_stopped(|| {
        let newcomers: Vec<TcpStream> = (0..20).map(|_| node.connect()).collect();
        let mut connection = &unjoined[1];
        connection.write_all(b"agent zone=a\r\n").unwrap();
        newcomers
    });
    // Everything before this probe was handled: the connection was closed by now, or it stays.
    assert!(node.is_alive());
    let line = |server: usize, failed| {
        format!(
            "outcomes zone=a server=s-{server} tries=40 failed={failed} mean_ms=90.5 span_ms=1000.0\r\n"
        )
    };
    let reports: String = [(1, 0), (2, 0), (3, 40)]
        .into_iter()
        .map(|(s, f)| line(s, f))
        .collect();
    assert!(wait_until(|| {
        let mut collector = &unjoined[1];
        collector.write_all(reports.as_bytes()).unwrap();
        relay.with_state(|state| state.weights.get("s-3") == Some(&0.0))
    }));
    drop(newcomers);
}

#[test]
fn error_answer_is_readable_whatever_input_follows_its_cause() {
    let (_relay, _discovery, node) = serving();
    for sent in [
        [b"txn clear,0\r\n".to_vec(), vec![b'x'; 30_000]].concat(),
        [b"probe\r\ntxn clear,0\r\n".to_vec(), vec![b'\n'; 30_000]].concat(),
        vec![b'x'; 30_000],
    ] {
        let socket = node.while_stopped(|| {
            let mut socket = node.connect();
            socket.write_all(&sent).unwrap();
            socket
        });
        let received = read_to_end(&socket);
        assert!(
            received.as_deref().is_ok_and(|s| s.ends_with("error\r\n")),
            "{received:?}"
        );
    }
}

// ---- lists ----

#[test]
fn list_split_at_every_byte_or_left_unterminated_takes_effect() {
    let (relay, discovery, _node) = serving();
    discovery.with_state(|state| {
        state.bytewise = true;
        state.set_status("s-1", "draining");
    });
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-1"))
    ));
    // The body ends within a line: the next watch asks for everything after the current version.
    discovery.with_state(|state| state.set_status_unterminated("s-2", "draining"));
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-2"))
    ));
}

#[test]
fn restarted_list_versions_are_accepted() {
    let (relay, discovery, _node) = serving();
    discovery.with_state(|state| {
        state.restart(2);
        state.servers.insert("s-1".into(), "draining");
    });
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-1"))
    ));
    // Later changes use the new versions.
    discovery.with_state(|state| state.set_status("s-2", "draining"));
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-2"))
    ));
}

// ---- silence ----

#[test]
fn lasting_silence_keeps_at_most_two_watches_and_two_followers_per_slot() {
    let (relay, discovery, node) = serving();
    let (other_relay, other_discovery) =
        (relay.at_another_address(), discovery.at_another_address());
    let watches_before = discovery.with_state(|state| {
        state.silence_watches();
        state.silent = true;
        state.watch_connections.total
    });
    let followers_before = relay.with_state(|state| {
        state.silent = true;
        state.follower_connections.total
    });
    assert!(wait_until(|| discovery
        .with_state(|state| state.watch_connections.total)
        >= watches_before + 2));
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_connections.total)
        >= followers_before + 3));
    // The configuration changes during the silence.
    node.moves_to(&other_relay, &other_discovery);
    assert!(wait_until(|| discovery
        .with_state(|state| state.watch_connections.total)
        >= watches_before + 5));
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_connections.total)
        >= followers_before + 8));
    let watches = discovery.with_state(|state| state.watch_connections);
    let followers = relay.with_state(|state| state.follower_connections);
    assert!(watches.peak <= 2, "{watches:?}");
    assert!(followers.peak <= 4, "{followers:?}");
    // After the silence, missed changes arrive.
    relay.with_state(|state| state.silent = false);
    discovery.with_state(|state| {
        state.silent = false;
        state.set_status("s-1", "draining");
    });
    relay.with_state(|state| state.join(12));
    assert!(wait_until(|| relay.with_state(|state| withdrawn(
        state, "s-1"
    ) && state
        .unbound()
        .is_empty())));
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_connections.open)
        == 2));
    assert!(wait_until(|| discovery
        .with_state(|state| state.watch_connections.open)
        == 1));
}

// ---- SIGHUP ----

/// Creates a FIFO at a new path.
fn fifo() -> std::path::PathBuf {
    let path = file();
    assert!(
        Command::new("mkfifo")
            .arg(&path)
            .status()
            .unwrap()
            .success()
    );
    path
}

#[test]
fn half_written_configuration_is_read_again_without_another_signal() {
    let (relay, discovery, node) = serving();
    let (other_relay, other_discovery) =
        (relay.at_another_address(), discovery.at_another_address());
    let text = configuration(
        node.address,
        other_relay.address,
        other_discovery.address,
        "null",
    );
    // The configuration is a FIFO, so its reader waits for the writer; it gets only the first half.
    let path = fifo();
    std::fs::rename(&path, &node.file).unwrap();
    node.signal("HUP");
    let mut half = std::fs::OpenOptions::new()
        .write(true)
        .open(&node.file)
        .unwrap();
    std::fs::write(&path, &text).unwrap();
    std::fs::rename(&path, &node.file).unwrap();
    half.write_all(&text.as_bytes()[..text.len() / 2]).unwrap();
    let watches_before = discovery.with_state(|state| state.watch_connections.total);
    drop(half);
    assert!(wait_until(|| discovery
        .with_state(|state| state.watch_connections.total)
        > watches_before));
}

#[test]
fn changing_addresses_and_back_loses_no_binding() {
    let (relay, discovery, node) = serving();
    let (other_relay, other_discovery) =
        (relay.at_another_address(), discovery.at_another_address());
    let before = relay.with_state(|state| {
        // A call is in flight meanwhile.
        state.faults.push_back(RelayFault::DelayAnswer);
        state.join(9);
        state.follower_connections.total
    });
    assert!(wait_until(
        || relay.with_state(|state| state.delayed_calls == 1)
    ));
    node.moves_to(&other_relay, &other_discovery);
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_connections.total)
        > before));
    node.moves_to(&relay, &discovery);
    relay.with_state(|state| state.release_delayed = true);
    discovery.with_state(|state| state.set_status("s-1", "draining"));
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-1"))
    ));
    relay.with_state(|state| state.join(11));
    assert!(wait_until(
        || relay.with_state(|state| state.unbound().is_empty())
    ));
    let bind_counts = relay.with_state(|state| state.bind_counts.clone());
    assert!(
        bind_counts.values().all(|count| *count == 1),
        "{bind_counts:?}"
    );
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_connections.open)
        == 2));
    assert!(wait_until(|| discovery
        .with_state(|state| state.watch_connections.open)
        == 1));
}

// ---- SIGTERM ----

/// Sends SIGTERM and checks for an exit with code 0.
fn exits_on_sigterm(mut node: Node) {
    node.signal("TERM");
    assert!(wait_until(|| node.child.try_wait().unwrap().is_some()));
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn sigterm_during_a_reload_ends_the_process() {
    let (_relay, _discovery, node) = serving();
    // A FIFO without a writer: the reader blocks.
    let path = fifo();
    std::fs::rename(&path, &node.file).unwrap();
    node.signal("HUP");
    exits_on_sigterm(node);
}

#[test]
fn sigterm_between_a_call_and_its_answer_leaves_the_call_whole() {
    let (relay, _discovery, node) = serving();
    let before = relay.with_state(|state| {
        state.faults.push_back(RelayFault::DelayAnswer);
        state.join(9);
        state.calls.len()
    });
    assert!(wait_until(
        || relay.with_state(|state| state.delayed_calls == 1)
    ));
    node.signal("HUP");
    exits_on_sigterm(node);
    relay.with_state(|state| state.release_delayed = true);
    let calls = relay.with_state(|state| state.calls[before..].to_vec());
    assert!(calls.iter().all(|c| mark(c).ends_with(",0")), "{calls:?}");
}

#[test]
fn sigterm_ends_the_process_before_any_answer_and_under_a_flood() {
    let (relay, discovery) = (Relay::start(), Discovery::start(&["s-1"]));
    discovery.with_state(|state| state.silent = true);
    (0..100)
        .for_each(|_| relay.with_state(|state| state.faults.push_back(RelayFault::TooManyCalls)));
    exits_on_sigterm(Node::start(&relay, &discovery));

    let (_relay, _discovery, node) = serving();
    let mut collector = node.connect();
    collector.write_all(b"agent zone=a\r\n").unwrap();
    let flood = std::thread::spawn(move || {
        let line = b"outcomes zone=a server=s-1 tries=4 failed=0 mean_ms=90.5 span_ms=1000.0\r\n";
        let lines = line.repeat(2000);
        while collector.write_all(&lines).is_ok() {}
    });
    exits_on_sigterm(node);
    flood.join().unwrap();
}

#[test]
fn unread_log_does_not_block() {
    let (relay, discovery) = (Relay::start(), Discovery::start(&["s-1", "s-2", "s-3"]));
    // Standard error is a pipe of 64 KiB that is never read.
    let node = Node::start_as(&relay, &discovery, |command| {
        let debug = command.env("DAHLIAPOINT_LOG", "debug");
        debug.stderr(std::process::Stdio::piped());
    });
    // Each join logs a line of some hundred bytes, each report one for every server.
    let mut collector = node.connect();
    collector.write_all(b"agent zone=a\r\n").unwrap();
    let report = "outcomes zone=a server=s-1 tries=4 failed=0 mean_ms=90.5 span_ms=1000.0\r\n";
    for round in 0..300 {
        collector.write_all(report.as_bytes()).unwrap();
        let proxy = round % 30;
        relay.with_state(|state| state.join(proxy));
        assert!(
            wait_until(|| relay.with_state(|state| state.unbound().is_empty())),
            "{round}"
        );
        relay.with_state(|state| state.leave(proxy));
    }
    exits_on_sigterm(node);
}

// ---- the start ----

#[test]
fn controller_answers_probes_before_its_peers_answer_and_uses_the_known_list() {
    let (relay, discovery) = (Relay::start(), Discovery::start(&["s-1", "s-2"]));
    discovery.with_state(|state| state.silent = true);
    (0..20)
        .for_each(|_| relay.with_state(|state| state.faults.push_back(RelayFault::TooManyCalls)));
    relay.with_state(|state| state.join(3));
    // A controller is ready once it answers `probe`; discovery is silent and the relay refuses calls.
    let node = Node::start(&relay, &discovery);
    assert!(node.is_alive());
    assert!(wait_until(|| relay
        .with_state(
            |state| state.unbound().is_empty() && state.weights.len() == 2
        )));
    // The list differs from the known one: s-1 is missing.
    discovery.with_state(|state| {
        state.servers.remove("s-1");
        state.index += 5;
        state.silent = false;
    });
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-1"))
    ));
    assert!(!relay.with_state(|state| withdrawn(state, "s-2")));
    // Invalid settings still end a controller before it serves.
    let path = file();
    std::fs::write(&path, "{").unwrap();
    assert_eq!(command(&path).status().unwrap().code(), Some(2));
    let _ = std::fs::remove_file(&path);
}
