//! The proxy on real sockets, between clients and servers of the test, with tables from the real controller.

mod common;

use common::{
    Client, Message, SETTINGS, Server, echo_server, ok, proxy, read_message, server, status, until,
    unused_address,
};
use dahliapoint_control::{AdminState, Input, RosterEntry};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::settings;
use dahliapoint_proxy::xds_client::XdsClient;
use dahliapoint_xds::ControllerHandle;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Roster entries with addresses, weights and states.
fn entries(servers: &[(SocketAddr, f64, AdminState)]) -> Vec<RosterEntry> {
    let entry =
        |(i, (address, weight, state)): (usize, &(SocketAddr, f64, AdminState))| RosterEntry {
            name: format!("s{i}"),
            address: address.to_string(),
            zone: "east".into(),
            state: *state,
            weight: *weight,
            started: None,
        };
    servers.iter().enumerate().map(entry).collect()
}

fn controller(servers: &[(SocketAddr, f64, AdminState)], listen: &str) -> Daemon {
    let text = format!(
        "service: portal\nzones: [east]\nclasses: [{{name: view, soft_limit: 1s}}, {{name: pay, soft_limit: 1s}}]\n\
         reports: {{every: 100ms}}\nroster: {{file: none}}\nlisten: {{xds: '{listen}'}}\nseed: 3\n"
    );
    let deployment = deployment::parse("d.yaml", &text).unwrap();
    Daemon::start(&deployment, RosterSource::Fixed(entries(servers)), None).unwrap()
}

use AdminState::{Draining, Ready};

#[test]
fn visits_follow_the_weights_of_the_table_and_drains_apply_at_once() {
    let servers: Vec<Server> = (0..4).map(|_| echo_server()).collect();
    let weights = [1.0, 2.0, 0.5, 4.0];
    let mut roster: Vec<_> = servers
        .iter()
        .zip(weights)
        .map(|(s, w)| (s.address, w, Ready))
        .collect();
    let daemon = controller(&roster, "127.0.0.1:0");
    let addresses: Vec<SocketAddr> = servers.iter().map(|s| s.address).collect();
    let p = proxy(daemon.address(), &addresses[..2], "");
    assert_eq!(p.plane.server_count(), 2, "the initial servers");
    until("the table is applied", || p.plane.server_count() == 4);
    let mut client = Client::of(&p);
    let before: Vec<usize> = servers
        .iter()
        .map(|s| s.visits.load(Ordering::SeqCst))
        .collect();
    for _ in 0..3_000 {
        assert_eq!(client.visit("view"), 200);
    }
    for ((server, weight), before) in servers.iter().zip(weights).zip(before) {
        let count = (server.visits.load(Ordering::SeqCst) - before) as f64;
        let expected = 3_000.0 * weight / 7.5;
        assert!(
            (count / expected - 1.0).abs() < 0.02,
            "{count} instead of {expected}"
        );
    }
    // The controller reads the load reports of the proxy.
    until("all reports are read", || {
        let overview = daemon.controller().overview();
        let tries_per_s = |s: &dahliapoint_daemon::controller_thread::Json| {
            s["estimate"]["tries_per_s"].as_f64().unwrap_or(0.0)
        };
        overview["servers"]
            .as_array()
            .unwrap()
            .iter()
            .map(tries_per_s)
            .sum::<f64>()
            > 100.0
    });
    roster[3].2 = Draining;
    daemon.controller().send(Input::Roster(entries(&roster)));
    until("the drained server is withdrawn", || {
        p.plane.server_count() == 3
    });
    let before = servers[3].visits.load(Ordering::SeqCst);
    (0..200).for_each(|_| assert_eq!(client.visit("view"), 200));
    assert_eq!(servers[3].visits.load(Ordering::SeqCst), before);
    assert_eq!(p.xds_client.refused.load(Ordering::SeqCst), 0);
}

#[test]
fn the_table_survives_the_loss_of_the_controller_and_the_next_one_learns_what_is_held() {
    let servers: Vec<Server> = (0..3).map(|_| echo_server()).collect();
    let roster: Vec<_> = servers.iter().map(|s| (s.address, 1.0, Ready)).collect();
    let daemon = controller(&roster, "127.0.0.1:0");
    let address = daemon.address();
    let p = proxy(address, &[servers[0].address], "");
    until("the table is applied", || p.plane.server_count() == 3);
    let mut client = Client::of(&p);
    daemon.end(Duration::from_secs(5));
    until("the loss is noticed", || !p.xds_client.is_connected());
    (0..50).for_each(|_| assert_eq!(client.visit("view"), 200));
    assert_eq!(p.plane.server_count(), 3);
    let restarted = controller(&roster, &address.to_string());
    until("connected again", || p.xds_client.is_connected());
    until("bound to a part again", || {
        let view = restarted.controller().overview();
        view["proxies"]
            .as_array()
            .is_some_and(|p| p.iter().any(|p| !p["part"].is_null()))
    });
    assert_eq!(p.plane.server_count(), 3);
    (0..50).for_each(|_| assert_eq!(client.visit("view"), 200));
}

#[test]
fn a_proxy_connects_to_the_next_controller_and_later_fails_back_to_the_first() {
    let s = echo_server();
    let roster = [(s.address, 1.0, Ready)];
    let (first, second) = (unused_address(), controller(&roster, "127.0.0.1:0"));
    let text = SETTINGS.replace(
        "'CONTROLLER'",
        &format!("'{first}', '{}'", second.address()),
    );
    let text = text + "home_after: 200ms\n";
    let settings = settings::parse("p.yaml", &text).unwrap();
    let plane = DataPlane::new(settings, &[]);
    let xds_client = XdsClient::start(plane.clone());
    let is_joined = |d: &Daemon| {
        let view = d.controller().overview();
        view["proxies"].as_array().is_some_and(|p| !p.is_empty())
    };
    until("connected to the second", || {
        is_joined(&second) && plane.server_count() == 1
    });
    let restored = controller(&roster, &first.to_string());
    until("back at the first", || {
        is_joined(&restored) && !is_joined(&second)
    });
    until("connected to the first", || xds_client.is_connected());
    assert_eq!(plane.server_count(), 1, "the table was kept");
}

#[test]
fn a_visit_that_is_not_idempotent_is_retried_only_with_proof_that_it_never_ran() {
    let ran = Arc::new(AtomicUsize::new(0));
    let count = ran.clone();
    // Reads and runs the visit, and does not answer in time.
    let unresponsive = server(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(3));
        Vec::new()
    });
    let good = echo_server();
    let unreachable = unused_address();
    let p = proxy(unused_address(), &[unreachable, good.address], "");
    let mut client = Client::of(&p);
    (0..6).for_each(|_| assert_eq!(client.visit("pay"), 200, "a refused connection is proof"));
    assert_eq!(good.visits.load(Ordering::SeqCst), 6);
    // The server answers that the visit never ran: it is sent again with its whole body.
    let full = server(|_| b"HTTP/1.1 503 X\r\nX-Unseen: 1\r\nContent-Length: 0\r\n\r\n".to_vec());
    let p = proxy(unused_address(), &[full.address, good.address], "");
    let mut client = Client::of(&p);
    for _ in 0..4 {
        let message = client
            .send(b"POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
            .unwrap();
        assert_eq!(
            (status(&message), message.body.as_slice()),
            (200, b"hello".as_slice())
        );
    }
    // No answer: it may have run. Without a table the policy is to retry on proof only.
    let p = proxy(unused_address(), &[unresponsive.address], "");
    let mut client = Client::of(&p);
    assert_eq!(client.visit("pay"), 504);
    assert_eq!(ran.load(Ordering::SeqCst), 1);
    assert_eq!(Client::of(&p).visit("nothing"), 404);
}

#[test]
fn a_disconnected_client_cancels_its_visit_and_counts_as_no_failure() {
    // A server that counts connections that were closed before it answered.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (began, ended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let counts = (began.clone(), ended.clone());
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            let (begun, count) = counts.clone();
            std::thread::spawn(move || {
                let mut unread = Vec::new();
                read_message(&mut socket, &mut unread).unwrap();
                begun.fetch_add(1, Ordering::SeqCst);
                let end = socket.read(&mut [0; 16]);
                count.fetch_add(usize::from(matches!(end, Ok(0) | Err(_))), Ordering::SeqCst);
            });
        }
    });
    let p = proxy(unused_address(), &[address], "");
    for i in 1..=8 {
        let mut client = Client::of(&p);
        client
            .socket
            .write_all(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n")
            .unwrap();
        // A visit whose client is gone before it begins is not forwarded.
        until("the visit began", || began.load(Ordering::SeqCst) == i);
        drop(client);
        until("the server's connection is closed", || {
            ended.load(Ordering::SeqCst) == i
        });
    }
    let tally = &p.plane.take_tallies()[0].endpoints;
    assert_eq!(
        tally
            .iter()
            .map(|e| (e.issued, e.failed))
            .collect::<Vec<_>>(),
        [(8, 0)]
    );
}

#[test]
fn bodies_of_any_size_and_framing_pass_both_ways() {
    let echo = server(|message| {
        // Returns the body in chunks of an odd size.
        let mut out = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for piece in message.body.chunks(7_001) {
            out.extend_from_slice(format!("{:X};ext=1\r\n", piece.len()).as_bytes());
            out.extend_from_slice(piece);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        out
    });
    let p = proxy(unused_address(), &[echo.address], "");
    let mut client = Client::of(&p);
    for size in [0, 1, 60_000, 70_000, 3_000_000] {
        let body: Vec<u8> = (0..size).map(|i| (i % 251) as u8).collect();
        let mut whole = format!("POST /view HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n")
            .into_bytes();
        whole.extend_from_slice(&body);
        let message = client.send(&whole).unwrap();
        assert!(
            status(&message) == 200 && message.body == body,
            "{size} bytes with their length"
        );
        let mut chunked =
            b"POST /view HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for piece in body.chunks(10_007) {
            chunked.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            chunked.extend_from_slice(piece);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\n\r\n");
        let message = client.send(&chunked).unwrap();
        assert!(
            status(&message) == 200 && message.body == body,
            "{size} bytes in chunks"
        );
    }
    let head = client
        .send(b"HEAD /view HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    assert_eq!(status(&head), 200);
}

#[test]
fn requests_that_could_smuggle_are_refused_and_reach_no_server() {
    let heads = Arc::new(Mutex::new(Vec::new()));
    let seen = heads.clone();
    let target = server(move |message| {
        seen.lock().unwrap().push(message.head.clone());
        ok(b"")
    });
    let p = proxy(unused_address(), &[target.address], "");
    let cases: BTreeMap<&str, u16> = [
        ("POST /view HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x", 400),
        ("POST /view HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        ("POST /view HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n", 501),
        ("GET /view HTTP/1.1\r\nHost: h\r\nX: a\nGET: /y\r\n\r\n", 400),
        ("GET /view HTTP/1.1\r\n\r\n", 400),
        ("GET http://other/view HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        ("GET /view HTTP/3.0\r\nHost: h\r\n\r\n", 505),
    ]
    .into();
    for (text, expected) in cases {
        let message = Client::of(&p).send(text.as_bytes()).unwrap();
        assert_eq!(status(&message), expected, "{text:?}");
        assert!(message.head.contains("Connection: close"));
    }
    let large = format!(
        "GET /view HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(status(&Client::of(&p).send(large.as_bytes()).unwrap()), 431);
    assert!(heads.lock().unwrap().is_empty());
    // A chunk with a wrong size closes the connection; the bytes after it are not read as a request.
    let mut client = Client::of(&p);
    let bad_chunk = b"POST /view HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcdefGET /evil HTTP/1.1\r\n\r\n";
    let _ = client.send(bad_chunk);
    assert_eq!(Client::of(&p).visit("view"), 200);
    assert!(heads.lock().unwrap().iter().all(|h| !h.contains("evil")));
}

#[test]
fn visits_that_are_not_admitted_are_refused_at_once_with_retry_after() {
    let s = echo_server();
    let p = proxy(unused_address(), &[s.address], "");
    let held = dahliapoint_xds::ReceivedTable {
        lines: vec![dahliapoint_xds::ReceivedLine {
            server: "s0".into(),
            address: s.address.to_string(),
            weight: 1,
            open: true,
        }],
        admitted_shares: [("view".to_string(), 0.25)].into(),
        retry_on: BTreeMap::new(),
    };
    p.plane.swap_table(Some(&held), &|_| false, 0);
    let codes: Vec<u16> = (0..40).map(|_| Client::of(&p).visit("view")).collect();
    assert_eq!(codes.iter().filter(|c| **c == 200).count(), 10);
    assert_eq!(codes.iter().filter(|c| **c == 503).count(), 30);
    let refused =
        (0..4).filter_map(|_| Client::of(&p).send(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n"));
    let refused: Vec<Message> = refused.filter(|c| status(c) == 503).collect();
    assert!(refused.iter().all(|c| c.head.contains("Retry-After: 1")));
    assert_eq!(
        Client::of(&p).visit("pay"),
        200,
        "the other class is admitted"
    );
    // With an empty table visits are refused at once.
    p.plane.swap_table(
        Some(&dahliapoint_xds::ReceivedTable::default()),
        &|_| false,
        0,
    );
    assert_eq!(Client::of(&p).visit("pay"), 503);
}

#[test]
fn no_visit_sees_parts_of_two_tables() {
    // Two tables without a common server are swapped as fast as possible during visits.
    let servers: Vec<Server> = (0..2).map(|_| echo_server()).collect();
    let p = proxy(unused_address(), &[servers[0].address], "");
    let held = |i: usize| dahliapoint_xds::ReceivedTable {
        lines: vec![dahliapoint_xds::ReceivedLine {
            server: format!("s{i}"),
            address: servers[i].address.to_string(),
            weight: 10_000,
            open: true,
        }],
        ..dahliapoint_xds::ReceivedTable::default()
    };
    let tables = [held(0), held(1)];
    let is_done = Arc::new(AtomicBool::new(false));
    let swapping = {
        let (plane, is_done) = (p.plane.clone(), is_done.clone());
        std::thread::spawn(move || {
            let mut swaps = 0;
            while !is_done.load(Ordering::SeqCst) {
                plane.swap_table(Some(&tables[swaps % 2]), &|_| false, 0);
                assert_eq!(plane.server_count(), 1);
                swaps += 1;
                std::thread::yield_now();
            }
            swaps
        })
    };
    let mut client = Client::of(&p);
    (0..500).for_each(|_| assert_eq!(client.visit("view"), 200));
    is_done.store(true, Ordering::SeqCst);
    assert!(swapping.join().unwrap() > 10);
}
