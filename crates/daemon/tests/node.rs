//! Runs `dahliapoint node` against stand-ins of the platform on loopback and checks what it sends,
//! not its internal state.

mod common;

use common::{command, configuration, file, is_closed, serving, withdrawn};
use dahliapoint_standins::platform::{RelayFault, wait_until};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;

#[test]
fn follows_the_list_binds_proxies_and_exits_on_sigterm() {
    let (relay, discovery, mut node) = serving();
    discovery.with_state(|state| state.set_status("s-2", "draining"));
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-2"))
    ));
    discovery.with_state(|state| state.set_status("s-4", "up"));
    assert!(wait_until(|| relay.with_state(|state| state
        .weights
        .get("s-4")
        .is_some_and(|w| *w > 0.0))));
    relay.with_state(|state| state.join(7));
    relay.with_state(|state| state.leave(0));
    assert!(wait_until(
        || relay.with_state(|state| state.bind_counts.contains_key(&7))
    ));
    assert_eq!(
        relay.with_state(|state| (state.oversized_calls(), state.bind_counts[&1])),
        (0, 1)
    );
    node.signal("TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn withdrawal_takes_effect_after_any_fault_of_a_call() {
    let (relay, discovery, _node) = serving();
    let faults = [
        RelayFault::Disconnect { executed: false },
        RelayFault::Disconnect { executed: true },
        RelayFault::NoAnswer { executed: false },
        RelayFault::UnreadableAnswer,
        RelayFault::ExecuteFirst(0),
        RelayFault::TooManyCalls,
    ];
    for (i, fault) in faults.into_iter().enumerate() {
        let name = format!("x-{i}");
        discovery.with_state(|state| state.set_status(&name, "up"));
        assert!(
            wait_until(
                || relay.with_state(|state| state.weights.get(&name).is_some_and(|w| *w > 0.0))
            ),
            "{fault:?}"
        );
        // The next call is the withdrawal or a step of the ramp; in either case the table must end up
        // as the list says.
        relay.with_state(|state| state.faults.push_back(fault));
        if fault != RelayFault::ExecuteFirst(0) {
            discovery.with_state(|state| state.set_status(&name, "removed"));
            assert!(
                wait_until(|| relay.with_state(|state| withdrawn(state, &name))),
                "{fault:?}"
            );
        }
        assert!(
            wait_until(|| relay.with_state(|state| state.faults.is_empty())),
            "{fault:?}"
        );
    }
    assert!(relay.with_state(|state| state.unbound().is_empty()));
}

#[test]
fn lost_bind_is_sent_again_and_proxies_are_bound_after_missed_news() {
    let (relay, _discovery, _node) = serving();
    // The bind is not executed and its mark not acknowledged: it must be sent again.
    relay.with_state(|state| {
        state
            .faults
            .push_back(RelayFault::Disconnect { executed: false });
        state.join(9);
    });
    assert!(wait_until(
        || relay.with_state(|state| state.unbound().is_empty())
    ));
    // One follower is disconnected: no proxy is bound again.
    let before = relay.with_state(|state| state.bind_counts.clone());
    relay.with_state(|state| state.disconnect_followers(false));
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_count())
        == 2));
    relay.with_state(|state| state.join(10));
    assert!(wait_until(
        || relay.with_state(|state| state.unbound().is_empty())
    ));
    let mut after = relay.with_state(|state| state.bind_counts.clone());
    after.remove(&10);
    assert_eq!(before, after);
    // Both are disconnected while a proxy leaves and rejoins: it must be bound again.
    relay.with_state(|state| {
        state.disconnect_followers(true);
        state.leave(1);
        state.join(1);
    });
    assert!(wait_until(
        || relay.with_state(|state| state.unbound().is_empty())
    ));
}

#[test]
fn silent_watch_gets_a_successor() {
    let (relay, discovery, _node) = serving();
    discovery.with_state(|state| {
        state.silence_watches();
        state.set_status("s-1", "draining");
    });
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-1"))
    ));
    assert!(discovery.with_state(|state| state.requests) >= 2);
}

#[test]
fn connections_over_the_limit_block_neither_collectors_nor_probes() {
    let (relay, _discovery, node) = serving();
    let unjoined: Vec<TcpStream> = (0..150).map(|_| node.connect()).collect();
    let mut collector = node.connect();
    collector.write_all(b"agent zone=a\r\n").unwrap();
    assert!(node.is_alive());
    for connection in &unjoined {
        assert!(is_closed(connection));
    }
    for invalid_input in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"agent zone=z\r\n",
        b"outcomes zone=a server=s-1 tries=1\r\n",
        b"txn clear,0\r\n",
        b"\xff\xff\r\n",
    ] {
        let mut socket = node.connect();
        socket.write_all(invalid_input).unwrap();
        assert!(is_closed(&socket), "{invalid_input:?}");
    }
    let mut endless = node.connect();
    while endless.write_all(&[b'x'; 4096]).is_ok() {}
    // The collector's reports still count: a server whose tries all fail gets weight 0 because of them.
    let reports = |failed: [u32; 3]| {
        let line = |(i, f): (usize, &u32)| {
            format!(
                "outcomes zone=a server=s-{} tries=40 failed={f} mean_ms=90.5 span_ms=1000.0\r\n",
                i + 1
            )
        };
        failed.iter().enumerate().map(line).collect::<String>()
    };
    let invalid_lines =
        "outcomes zone=a server=s-9 tries=x failed=1\r\noutcomes zone=q server=s-1 tries=1\r\n";
    assert!(wait_until(|| {
        let text = reports([0, 0, 40]);
        collector.write_all(invalid_lines.as_bytes()).unwrap();
        collector.write_all(text.as_bytes()).unwrap();
        relay.with_state(|state| state.weights.get("s-3") == Some(&0.0))
    }));
}

#[test]
fn reload_changes_addresses_without_binding_again() {
    let (relay, discovery, node) = serving();
    let (other_relay, other_discovery) =
        (relay.at_another_address(), discovery.at_another_address());
    // An invalid configuration changes nothing and does not end the process.
    std::fs::write(&node.file, "{\"name\": 7").unwrap();
    node.signal("HUP");
    let before = relay.with_state(|state| state.bind_counts.clone());
    let requests_before = discovery.with_state(|state| state.requests);
    node.moves_to(&other_relay, &other_discovery);
    // The new connections are opened while the old ones are open, which a real platform closes later.
    assert!(wait_until(
        || discovery.with_state(|state| state.requests) > requests_before
    ));
    assert!(wait_until(|| relay
        .with_state(|state| state.follower_count())
        >= 3));
    discovery.with_state(|state| state.set_status("s-1", "draining"));
    assert!(wait_until(
        || relay.with_state(|state| withdrawn(state, "s-1"))
    ));
    relay.with_state(|state| state.join(11));
    assert!(wait_until(
        || relay.with_state(|state| state.unbound().is_empty())
    ));
    let mut after = relay.with_state(|state| state.bind_counts.clone());
    after.remove(&11);
    assert_eq!(before, after);
}

#[test]
fn invalid_settings_print_one_line_and_exit_with_code_2() {
    let at: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let good = configuration("127.0.0.1:0".parse().unwrap(), at, at, "null");
    let taken_port = TcpListener::bind("127.0.0.1:0").unwrap();
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
            Some(good.replace("127.0.0.1:0", &taken_port.local_addr().unwrap().to_string())),
            "listen",
        ),
    ];
    for (text, expected) in cases {
        let file = file();
        if let Some(text) = text {
            std::fs::write(&file, text).unwrap();
        }
        let out = command(&file).stderr(Stdio::piped()).output().unwrap();
        let stderr = String::from_utf8_lossy(&out.stderr);
        let error_lines: Vec<&str> = stderr
            .lines()
            .filter(|line| !line.contains("INFO"))
            .collect();
        assert_eq!(out.status.code(), Some(2), "{expected}: {stderr}");
        assert!(
            error_lines.len() == 1 && error_lines[0].contains(expected),
            "{expected}: {stderr}"
        );
        assert!(error_lines[0].contains(file.to_str().unwrap()), "{stderr}");
        let _ = std::fs::remove_file(&file);
    }
}
