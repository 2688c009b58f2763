//! Runs `dahliapoint node` against stand-ins of the platform on loopback and checks what it sends,
//! not its internal state.

mod common;

use common::{command, configuration, file, is_closed, serving, withdrawn};
use dahliapoint_standins::platform::{RelayFault, wait_until};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;

#[test]
fn a_calm_day() {
    let (relay, discovery, mut node) = serving();
    discovery.with_state(|l| l.set_status("s-2", "draining"));
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-2"))
    ));
    discovery.with_state(|l| l.set_status("s-4", "up"));
    assert!(wait_until(|| relay.with_state(|held| held
        .weights
        .get("s-4")
        .is_some_and(|w| *w > 0.0))));
    relay.with_state(|held| held.join(7));
    relay.with_state(|held| held.leave(0));
    assert!(wait_until(
        || relay.with_state(|held| held.bind_counts.contains_key(&7))
    ));
    assert_eq!(
        relay.with_state(|held| (held.oversized_calls(), held.bind_counts[&1])),
        (0, 1)
    );
    node.signal("TERM");
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn whatever_becomes_of_a_call_its_withdrawal_holds_in_the_end() {
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
        discovery.with_state(|l| l.set_status(&name, "up"));
        assert!(
            wait_until(
                || relay.with_state(|held| held.weights.get(&name).is_some_and(|w| *w > 0.0))
            ),
            "{fault:?}"
        );
        // The next call is the withdrawal or a step of the ramp; in either case the table must end up
        // as the list says.
        relay.with_state(|held| held.faults.push_back(fault));
        if fault != RelayFault::ExecuteFirst(0) {
            discovery.with_state(|l| l.set_status(&name, "removed"));
            assert!(
                wait_until(|| relay.with_state(|held| withdrawn(held, &name))),
                "{fault:?}"
            );
        }
        assert!(
            wait_until(|| relay.with_state(|held| held.faults.is_empty())),
            "{fault:?}"
        );
    }
    assert!(relay.with_state(|held| held.unbound().is_empty()));
}

#[test]
fn a_binding_that_was_lost_is_made_again_and_news_that_was_missed_is_not_trusted() {
    let (relay, _discovery, _node) = serving();
    // The bind is not executed and its mark not acknowledged: it must be sent again.
    relay.with_state(|held| {
        held.faults
            .push_back(RelayFault::Disconnect { executed: false });
        held.join(9);
    });
    assert!(wait_until(
        || relay.with_state(|held| held.unbound().is_empty())
    ));
    // One follower is disconnected: no proxy is bound again.
    let before = relay.with_state(|held| held.bind_counts.clone());
    relay.with_state(|held| held.disconnect_followers(false));
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_count())
        == 2));
    relay.with_state(|held| held.join(10));
    assert!(wait_until(
        || relay.with_state(|held| held.unbound().is_empty())
    ));
    let mut after = relay.with_state(|held| held.bind_counts.clone());
    after.remove(&10);
    assert_eq!(before, after);
    // Both are disconnected while a proxy leaves and rejoins: it must be bound again.
    relay.with_state(|held| {
        held.disconnect_followers(true);
        held.leave(1);
        held.join(1);
    });
    assert!(wait_until(
        || relay.with_state(|held| held.unbound().is_empty())
    ));
}

#[test]
fn a_silent_watch_gets_another_beside_it() {
    let (relay, discovery, _node) = serving();
    discovery.with_state(|l| {
        l.silence_watches();
        l.set_status("s-1", "draining");
    });
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-1"))
    ));
    assert!(discovery.with_state(|l| l.requests) >= 2);
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
    let spoilt =
        "outcomes zone=a server=s-9 tries=x failed=1\r\noutcomes zone=q server=s-1 tries=1\r\n";
    assert!(wait_until(|| {
        let text = reports([0, 0, 40]);
        collector.write_all(spoilt.as_bytes()).unwrap();
        collector.write_all(text.as_bytes()).unwrap();
        relay.with_state(|held| held.weights.get("s-3") == Some(&0.0))
    }));
}

#[test]
fn a_new_configuration_moves_it_without_a_binding_lost() {
    let (relay, discovery, node) = serving();
    let (other, elsewhere) = (relay.at_another_address(), discovery.at_another_address());
    // An invalid configuration changes nothing and does not end the process.
    std::fs::write(&node.file, "{\"name\": 7").unwrap();
    node.signal("HUP");
    let before = relay.with_state(|held| held.bind_counts.clone());
    let asked = discovery.with_state(|l| l.requests);
    node.moves_to(&other, &elsewhere);
    // The new connections are opened while the old ones are open, which a real platform closes later.
    assert!(wait_until(|| discovery.with_state(|l| l.requests) > asked));
    assert!(wait_until(|| relay
        .with_state(|held| held.follower_count())
        >= 3));
    discovery.with_state(|l| l.set_status("s-1", "draining"));
    assert!(wait_until(
        || relay.with_state(|held| withdrawn(held, "s-1"))
    ));
    relay.with_state(|held| held.join(11));
    assert!(wait_until(
        || relay.with_state(|held| held.unbound().is_empty())
    ));
    let mut after = relay.with_state(|held| held.bind_counts.clone());
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
