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
    fn while_stopped<T>(&self, happens: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        assert!(wait_until(|| self.all_threads_stopped()));
        let out = happens();
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
fn rest(mut socket: &TcpStream) -> Result<String, std::io::ErrorKind> {
    let mut said = String::new();
    let read = socket.read_to_string(&mut said);
    read.map(|_| said).map_err(|e| e.kind())
}

/// The first call after the first `from` ones that contains `order`.
fn call_with(relay: &Relay, from: usize, order: &str) -> Option<String> {
    relay.with_state(|held| {
        let mut calls = held.calls.iter().skip(from);
        calls.find(|c| c.contains(order)).cloned()
    })
}

fn mark(call: &str) -> &str {
    let order = call.rsplit(';').next().unwrap_or_default();
    assert!(order.starts_with("mark,"), "{call}");
    order
}

// ---- calls ----

#[test]
fn an_answer_to_a_mark_before_the_end_of_its_call_is_remembered() {
    let (relay, _discovery, node) = serving();
    let before = relay.with_state(|held| {
        held.faults.push_back(RelayFault::DelayAnswer);
        held.join(9);
        held.calls.len()
    });
    // The call is executed and its mark acknowledged on both followers; its own answer is delayed.
    assert!(wait_until(
        || relay.with_state(|held| held.delayed_calls == 1)
    ));
    let held = call_with(&relay, before, "bind,9,").unwrap();
    // This probe is answered after the followers' news was read.
    assert!(node.is_alive());
    relay.with_state(|held| held.release_delayed = true);
    // Later calls are sent, and nothing of the failed call is sent again, before or after them.
    relay.with_state(|held| held.join(10));
    assert!(wait_until(
        || call_with(&relay, before, "bind,10,").is_some()
    ));
    relay.with_state(|held| held.join(11));
    assert!(wait_until(
        || call_with(&relay, before, "bind,11,").is_some()
    ));
    let same = |c: &&String| mark(c) == mark(&held);
    let times = relay.with_state(|h| h.calls.iter().skip(before).filter(same).count());
    assert_eq!((times, relay.with_state(|h| h.bind_counts[&9])), (1, 1));
}

#[test]
fn a_connection_that_said_more_than_its_answer_is_not_used_again() {
    let (relay, _discovery, _node) = serving();
    for (proxy, more) in [(9, "OK 0\r\n"), (10, "O")] {
        let before = relay.with_state(|held| {
            held.faults.push_back(RelayFault::TrailingBytes(more));
            held.join(proxy);
            held.calls.len()
        });
        let name = format!("bind,{proxy},");
        assert!(wait_until(|| call_with(&relay, before, &name).is_some()));
        let next = relay.with_state(|held| {
            held.join(proxy + 10);
            held.calls.len()
        });
        let name = format!("bind,{},", proxy + 10);
        assert!(wait_until(|| call_with(&relay, next, &name).is_some()));
        let (odd, then) =
            relay.with_state(|held| (held.call_connections[before], held.call_connections[next]));
        assert_ne!(odd, then, "{more:?}");
    }
}

// ---- the controller's address ----

/// Opens as many connections without joining as the limit allows next to one probe; oldest first.
fn full(node: &Node) -> Vec<TcpStream> {
    (0..37).map(|_| node.connect()).collect()
}

#[test]
fn who_is_put_out_for_room_is_answered_what_it_had_asked() {
    let (_relay, _discovery, node) = serving();
    for _ in 0..5 {
        let strangers = full(&node);
        assert!(node.is_alive());
        let newcomers = node.while_stopped(|| {
            // The newcomers arrive first, then the probe on the connection that they evict.
            let newcomers: Vec<TcpStream> = (0..20).map(|_| node.connect()).collect();
            for mut oldest in strangers.iter().take(15) {
                oldest.write_all(b"probe\r\n").unwrap();
            }
            newcomers
        });
        for oldest in strangers.iter().take(15) {
            let mut said = [0; 7];
            let read = { oldest }.read_exact(&mut said);
            assert!(read.is_ok() && &said == b"alive\r\n", "{read:?}");
        }
        drop((strangers, newcomers));
    }
}

#[test]
fn who_joins_as_it_is_put_out_for_room_is_a_collector_that_counts() {
    let (relay, _discovery, node) = serving();
    let strangers = full(&node);
    assert!(node.is_alive());
    let newcomers = node.while_stopped(|| {
        let newcomers: Vec<TcpStream> = (0..20).map(|_| node.connect()).collect();
        let mut oldest = &strangers[1];
        oldest.write_all(b"agent zone=a\r\n").unwrap();
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
        let mut collector = &strangers[1];
        collector.write_all(reports.as_bytes()).unwrap();
        relay.with_state(|held| held.weights.get("s-3") == Some(&0.0))
    }));
    drop(newcomers);
}

#[test]
fn an_error_is_read_to_its_end_whatever_was_sent_behind_the_cause() {
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
        let said = rest(&socket);
        assert!(
            said.as_deref().is_ok_and(|s| s.ends_with("error\r\n")),
            "{said:?}"
        );
    }
}

// ---- lists ----

#[test]
fn a_list_cut_at_every_byte_and_one_without_its_last_line_end_are_told_all_the_same() {
    let (relay, discovery, _node) = serving();
    discovery.with_state(|l| {
        l.bytewise = true;
        l.set_status("s-1", "draining");
    });
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-1"))
    ));
    // The body ends within a line: the next watch asks for everything after the current version.
    discovery.with_state(|l| l.set_status_unterminated("s-2", "draining"));
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-2"))
    ));
}

#[test]
fn a_discovery_whose_versions_begin_anew_is_believed_in_the_end() {
    let (relay, discovery, _node) = serving();
    discovery.with_state(|l| {
        l.restart(2);
        l.servers.insert("s-1".into(), "draining");
    });
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-1"))
    ));
    // Later changes use the new versions.
    discovery.with_state(|l| l.set_status("s-2", "draining"));
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-2"))
    ));
}

// ---- silence ----

#[test]
fn a_silence_that_goes_on_keeps_two_watches_and_two_followers_a_seat() {
    let (relay, discovery, node) = serving();
    let (other, elsewhere) = (relay.at_another_address(), discovery.at_another_address());
    let asked = discovery.with_state(|l| {
        l.silence_watches();
        l.silent = true;
        l.watch_connections.total
    });
    let followed = relay.with_state(|held| {
        held.silent = true;
        held.follower_connections.total
    });
    assert!(wait_until(|| discovery
        .with_state(|l| l.watch_connections.total)
        >= asked + 2));
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_connections.total)
        >= followed + 3));
    // The configuration changes during the silence.
    node.moves_to(&other, &elsewhere);
    assert!(wait_until(|| discovery
        .with_state(|l| l.watch_connections.total)
        >= asked + 5));
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_connections.total)
        >= followed + 8));
    let watches = discovery.with_state(|l| l.watch_connections);
    let followers = relay.with_state(|held| held.follower_connections);
    assert!(watches.peak <= 2, "{watches:?}");
    assert!(followers.peak <= 4, "{followers:?}");
    // After the silence, missed changes arrive.
    relay.with_state(|held| held.silent = false);
    discovery.with_state(|l| {
        l.silent = false;
        l.set_status("s-1", "draining");
    });
    relay.with_state(|held| held.join(12));
    assert!(wait_until(|| relay.with_state(|held| withdrawn(
        held, "s-1"
    ) && held
        .unbound()
        .is_empty())));
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_connections.open)
        == 2));
    assert!(wait_until(|| discovery
        .with_state(|l| l.watch_connections.open)
        == 1));
}

// ---- SIGHUP ----

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
fn a_configuration_that_is_read_half_written_is_read_again_without_another_signal() {
    let (relay, discovery, node) = serving();
    let (other, elsewhere) = (relay.at_another_address(), discovery.at_another_address());
    let text = configuration(node.address, other.address, elsewhere.address, "null");
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
    let asked = discovery.with_state(|l| l.watch_connections.total);
    drop(half);
    assert!(wait_until(|| discovery
        .with_state(|l| l.watch_connections.total)
        > asked));
}

#[test]
fn there_and_back_again_loses_no_binding() {
    let (relay, discovery, node) = serving();
    let (other, elsewhere) = (relay.at_another_address(), discovery.at_another_address());
    let before = relay.with_state(|held| {
        // A call is in flight meanwhile.
        held.faults.push_back(RelayFault::DelayAnswer);
        held.join(9);
        held.follower_connections.total
    });
    assert!(wait_until(
        || relay.with_state(|held| held.delayed_calls == 1)
    ));
    node.moves_to(&other, &elsewhere);
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_connections.total)
        > before));
    node.moves_to(&relay, &discovery);
    relay.with_state(|held| held.release_delayed = true);
    discovery.with_state(|l| l.set_status("s-1", "draining"));
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-1"))
    ));
    relay.with_state(|held| held.join(11));
    assert!(wait_until(
        || relay.with_state(|held| held.unbound().is_empty())
    ));
    let bind_counts = relay.with_state(|held| held.bind_counts.clone());
    assert!(
        bind_counts.values().all(|times| *times == 1),
        "{bind_counts:?}"
    );
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_connections.open)
        == 2));
    assert!(wait_until(|| discovery
        .with_state(|l| l.watch_connections.open)
        == 1));
}

// ---- SIGTERM ----

fn ends_well(mut node: Node) {
    node.signal("TERM");
    assert!(wait_until(|| node.child.try_wait().unwrap().is_some()));
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn told_to_end_while_a_new_configuration_is_read_it_ends() {
    let (_relay, _discovery, node) = serving();
    // A FIFO without a writer: the reader blocks.
    let path = fifo();
    std::fs::rename(&path, &node.file).unwrap();
    node.signal("HUP");
    ends_well(node);
}

#[test]
fn told_to_end_between_a_call_and_its_answer_it_leaves_the_call_whole() {
    let (relay, _discovery, node) = serving();
    let before = relay.with_state(|held| {
        held.faults.push_back(RelayFault::DelayAnswer);
        held.join(9);
        held.calls.len()
    });
    assert!(wait_until(
        || relay.with_state(|held| held.delayed_calls == 1)
    ));
    node.signal("HUP");
    ends_well(node);
    relay.with_state(|held| held.release_delayed = true);
    let calls = relay.with_state(|held| held.calls[before..].to_vec());
    assert!(calls.iter().all(|c| mark(c).ends_with(",0")), "{calls:?}");
}

#[test]
fn told_to_end_before_anything_answers_and_under_a_flood_it_ends() {
    let (relay, discovery) = (Relay::start(), Discovery::start(&["s-1"]));
    discovery.with_state(|l| l.silent = true);
    (0..100).for_each(|_| relay.with_state(|held| held.faults.push_back(RelayFault::TooManyCalls)));
    ends_well(Node::start(&relay, &discovery));

    let (_relay, _discovery, node) = serving();
    let mut collector = node.connect();
    collector.write_all(b"agent zone=a\r\n").unwrap();
    let flood = std::thread::spawn(move || {
        let line = b"outcomes zone=a server=s-1 tries=4 failed=0 mean_ms=90.5 span_ms=1000.0\r\n";
        let lines = line.repeat(2000);
        while collector.write_all(&lines).is_ok() {}
    });
    ends_well(node);
    flood.join().unwrap();
}

#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
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
        relay.with_state(|held| held.join(proxy));
        assert!(
            wait_until(|| relay.with_state(|held| held.unbound().is_empty())),
            "{round}"
        );
        relay.with_state(|held| held.leave(proxy));
    }
    ends_well(node);
}

// ---- the start ----

#[test]
fn a_controller_is_alive_before_anybody_answers_it_and_serves_by_its_old_list() {
    let (relay, discovery) = (Relay::start(), Discovery::start(&["s-1", "s-2"]));
    discovery.with_state(|l| l.silent = true);
    (0..20).for_each(|_| relay.with_state(|held| held.faults.push_back(RelayFault::TooManyCalls)));
    relay.with_state(|held| held.join(3));
    // A controller is ready once it answers `probe`; discovery is silent and the relay refuses calls.
    let node = Node::start(&relay, &discovery);
    assert!(node.is_alive());
    assert!(wait_until(|| relay
        .with_state(
            |held| held.unbound().is_empty() && held.weights.len() == 2
        )));
    // The list differs from the known one: s-1 is missing.
    discovery.with_state(|l| {
        l.servers.remove("s-1");
        l.index += 5;
        l.silent = false;
    });
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-1"))
    ));
    assert!(!relay.with_state(|held| withdrawn(held, "s-2")));
    // Invalid settings still end a controller before it serves.
    let path = file();
    std::fs::write(&path, "{").unwrap();
    assert_eq!(command(&path).status().unwrap().code(), Some(2));
    let _ = std::fs::remove_file(&path);
}
