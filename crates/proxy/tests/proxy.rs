//! The proxy on real sockets: clients and servers of the test's own, tables from the real controller.

use dahliapoint_control::{AdminState, Input, RosterEntry};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_proxy::described::{self, Listed};
use dahliapoint_proxy::plane::Plane;
use dahliapoint_proxy::steering::Steering;
use dahliapoint_xds::ControllerHandle;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Turns a hang into a failure; nothing here takes that long.
const LONG: Duration = Duration::from_secs(30);

fn until(what: &str, mut met: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !met() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A message as it came: its head, and its body unframed.
struct Came {
    head: String,
    body: Vec<u8>,
}

fn read_message(from: &mut TcpStream, ahead: &mut Vec<u8>) -> Option<Came> {
    let mut chunk = [0; 4096];
    let mut more = |ahead: &mut Vec<u8>| {
        let n = from.read(&mut chunk).ok().filter(|n| *n > 0)?;
        ahead.extend_from_slice(&chunk[..n]);
        Some(())
    };
    let end = loop {
        if let Some(at) = ahead.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(ahead)?;
    };
    let head = String::from_utf8(ahead.drain(..end).collect()).ok()?;
    let lower = head.to_ascii_lowercase();
    let mut body = Vec::new();
    if lower.contains("transfer-encoding: chunked") {
        loop {
            let at = loop {
                if let Some(at) = ahead.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                more(ahead)?;
            };
            let line: Vec<u8> = ahead.drain(..at + 2).collect();
            let size = usize::from_str_radix(std::str::from_utf8(&line[..at]).ok()?, 16).ok()?;
            while ahead.len() < size + 2 {
                more(ahead)?;
            }
            body.extend(ahead.drain(..size));
            ahead.drain(..2);
            if size == 0 {
                return Some(Came { head, body });
            }
        }
    }
    let length = lower.split("content-length: ").nth(1);
    let length = length
        .and_then(|l| l.split("\r\n").next()?.parse().ok())
        .unwrap_or(0);
    while ahead.len() < length {
        more(ahead)?;
    }
    body.extend(ahead.drain(..length));
    Some(Came { head, body })
}

type Answer = dyn Fn(&Came) -> Vec<u8> + Send + Sync;

/// A server: one thread a connection.
struct Server {
    address: SocketAddr,
    visits: Arc<AtomicUsize>,
}

fn server(answer: impl Fn(&Came) -> Vec<u8> + Send + Sync + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let visits = Arc::new(AtomicUsize::new(0));
    let (count, answer): (_, Arc<Answer>) = (visits.clone(), Arc::new(answer));
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (count, answer) = (count.clone(), answer.clone());
            std::thread::spawn(move || {
                let (mut socket, mut ahead) = (socket, Vec::new());
                while let Some(came) = read_message(&mut socket, &mut ahead) {
                    count.fetch_add(1, Ordering::SeqCst);
                    if socket.write_all(&answer(&came)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Server { address, visits }
}

fn ok(body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

fn plain() -> Server {
    server(|came| ok(&came.body))
}

const SETTINGS: &str = "name: p1\nservice: portal\nzone: east\npace: 20\ncontrollers: ['CONTROLLER']\n\
    listen: 127.0.0.1:0\nroster: none\nredial: {from: 10ms, to: 30ms}\nshun: {after: 5, for: 300ms}\n\
    classes: [{name: view, hard_limit: 1s, repeat: safe}, {name: pay, hard_limit: 1s}]\n";

struct Proxy {
    address: SocketAddr,
    plane: Arc<Plane>,
    steering: Arc<Steering>,
}

fn proxy(controller: SocketAddr, servers: &[SocketAddr], more: &str) -> Proxy {
    let text = SETTINGS.replace("CONTROLLER", &controller.to_string()) + more;
    let described = described::parse("p.yaml", &text).unwrap();
    let listed = |(i, address): (usize, &SocketAddr)| Listed {
        name: format!("s{i}"),
        address: *address,
        zone: "east".into(),
        ready: true,
    };
    let roster: Vec<Listed> = servers.iter().enumerate().map(listed).collect();
    let plane = Plane::new(described, &roster);
    Proxy {
        address: plane.serve().unwrap(),
        steering: Steering::start(plane.clone()),
        plane,
    }
}

fn nowhere() -> SocketAddr {
    // Bound and let go: nobody listens there.
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

struct Client {
    socket: TcpStream,
    ahead: Vec<u8>,
}

impl Client {
    fn of(proxy: &Proxy) -> Client {
        let socket = TcpStream::connect(proxy.address).unwrap();
        socket.set_read_timeout(Some(LONG)).unwrap();
        Client {
            socket,
            ahead: Vec::new(),
        }
    }

    fn say(&mut self, text: &[u8]) -> Option<Came> {
        self.socket.write_all(text).ok()?;
        read_message(&mut self.socket, &mut self.ahead)
    }

    fn visit(&mut self, class: &str) -> u16 {
        let text = format!("GET /{class}/x?y=1 HTTP/1.1\r\nHost: h\r\n\r\n");
        let came = self.say(text.as_bytes());
        came.map_or(0, |c| status(&c))
    }
}

fn status(came: &Came) -> u16 {
    came.head[9..12].parse().unwrap()
}

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
fn the_table_given_is_obeyed_to_the_weight_and_drains_end_at_once() {
    let servers: Vec<Server> = (0..4).map(|_| plain()).collect();
    let weights = [1.0, 2.0, 0.5, 4.0];
    let mut listed: Vec<_> = servers
        .iter()
        .zip(weights)
        .map(|(s, w)| (s.address, w, Ready))
        .collect();
    let daemon = controller(&listed, "127.0.0.1:0");
    let addresses: Vec<SocketAddr> = servers.iter().map(|s| s.address).collect();
    let p = proxy(daemon.address(), &addresses[..2], "");
    assert_eq!(p.plane.lines(), 2, "its standing table");
    until("the table given", || p.plane.lines() == 4);
    let mut client = Client::of(&p);
    let before: Vec<usize> = servers
        .iter()
        .map(|s| s.visits.load(Ordering::SeqCst))
        .collect();
    for _ in 0..3_000 {
        assert_eq!(client.visit("view"), 200);
    }
    for ((server, weight), before) in servers.iter().zip(weights).zip(before) {
        let had = (server.visits.load(Ordering::SeqCst) - before) as f64;
        let part = 3_000.0 * weight / 7.5;
        assert!((had / part - 1.0).abs() < 0.02, "{had} of {part}");
    }
    // What it met comes back to the controller, nothing twice and nothing lost.
    until("all reports read", || {
        let lines = daemon.controller().overview();
        let of = |s: &dahliapoint_daemon::controller_thread::Json| {
            s["estimate"]["tries_per_s"].as_f64().unwrap_or(0.0)
        };
        lines["servers"]
            .as_array()
            .unwrap()
            .iter()
            .map(of)
            .sum::<f64>()
            > 100.0
    });
    listed[3].2 = Draining;
    daemon.controller().send(Input::Roster(entries(&listed)));
    until("withdrawn", || p.plane.lines() == 3);
    let then = servers[3].visits.load(Ordering::SeqCst);
    (0..200).for_each(|_| assert_eq!(client.visit("view"), 200));
    assert_eq!(servers[3].visits.load(Ordering::SeqCst), then);
    assert_eq!(p.steering.refused.load(Ordering::SeqCst), 0);
}

#[test]
fn a_lost_controller_leaves_the_table_and_the_next_one_is_told_what_is_held() {
    let servers: Vec<Server> = (0..3).map(|_| plain()).collect();
    let listed: Vec<_> = servers.iter().map(|s| (s.address, 1.0, Ready)).collect();
    let daemon = controller(&listed, "127.0.0.1:0");
    let at = daemon.address();
    let p = proxy(at, &[servers[0].address], "");
    until("given", || p.plane.lines() == 3);
    let mut client = Client::of(&p);
    daemon.end(Duration::from_secs(5));
    until("lost", || !p.steering.is_joined());
    (0..50).for_each(|_| assert_eq!(client.visit("view"), 200));
    assert_eq!(p.plane.lines(), 3);
    let again = controller(&listed, &at.to_string());
    until("joined again", || p.steering.is_joined());
    until("bound again", || {
        let view = again.controller().overview();
        view["proxies"]
            .as_array()
            .is_some_and(|p| p.iter().any(|p| !p["part"].is_null()))
    });
    assert_eq!(p.plane.lines(), 3);
    (0..50).for_each(|_| assert_eq!(client.visit("view"), 200));
}

#[test]
fn a_proxy_goes_to_the_next_controller_and_back_to_the_first_later() {
    let s = plain();
    let listed = [(s.address, 1.0, Ready)];
    let (first, second) = (nowhere(), controller(&listed, "127.0.0.1:0"));
    let text = SETTINGS.replace(
        "'CONTROLLER'",
        &format!("'{first}', '{}'", second.address()),
    );
    let text = text + "home_after: 200ms\n";
    let described = described::parse("p.yaml", &text).unwrap();
    let plane = Plane::new(described, &[]);
    let steering = Steering::start(plane.clone());
    let joined = |d: &Daemon| {
        let view = d.controller().overview();
        view["proxies"].as_array().is_some_and(|p| !p.is_empty())
    };
    until("joined the second", || {
        joined(&second) && plane.lines() == 1
    });
    let home = controller(&listed, &first.to_string());
    until("back at the first", || joined(&home) && !joined(&second));
    until("and stays there", || steering.is_joined());
    assert_eq!(plane.lines(), 1, "its table was kept all the while");
}

#[test]
fn proof_is_tried_again_elsewhere_and_an_effect_never_without_it() {
    let ran = Arc::new(AtomicUsize::new(0));
    let count = ran.clone();
    // Takes the visit, carries it out, and says nothing.
    let silent = server(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(3));
        Vec::new()
    });
    let good = plain();
    let gone = nowhere();
    let p = proxy(nowhere(), &[gone, good.address], "");
    let mut client = Client::of(&p);
    (0..6).for_each(|_| assert_eq!(client.visit("pay"), 200, "refused connections prove it"));
    assert_eq!(good.visits.load(Ordering::SeqCst), 6);
    // Told that it never ran, with a body: sent again whole.
    let full = server(|_| b"HTTP/1.1 503 X\r\nX-Unseen: 1\r\nContent-Length: 0\r\n\r\n".to_vec());
    let p = proxy(nowhere(), &[full.address, good.address], "");
    let mut client = Client::of(&p);
    for _ in 0..4 {
        let came = client
            .say(b"POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
            .unwrap();
        assert_eq!(
            (status(&came), came.body.as_slice()),
            (200, b"hello".as_slice())
        );
    }
    // No answer: it may have run. Neither class is tried again where only proof was ordered.
    let p = proxy(nowhere(), &[silent.address], "");
    let mut client = Client::of(&p);
    assert_eq!(client.visit("pay"), 504);
    assert_eq!(ran.load(Ordering::SeqCst), 1);
    assert_eq!(Client::of(&p).visit("nothing"), 404);
}

#[test]
fn a_client_that_goes_away_ends_its_visit_at_the_server_and_harms_no_record() {
    // A server that tells when its connection was ended while it still worked.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let ended = Arc::new(AtomicUsize::new(0));
    let count = ended.clone();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            let count = count.clone();
            std::thread::spawn(move || {
                let mut ahead = Vec::new();
                read_message(&mut socket, &mut ahead).unwrap();
                let end = socket.read(&mut [0; 16]);
                count.fetch_add(usize::from(matches!(end, Ok(0) | Err(_))), Ordering::SeqCst);
            });
        }
    });
    let p = proxy(nowhere(), &[address], "");
    for i in 1..=8 {
        let mut client = Client::of(&p);
        client
            .socket
            .write_all(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n")
            .unwrap();
        drop(client);
        until("the server's side ended", || {
            ended.load(Ordering::SeqCst) == i
        });
    }
    let tally = &p.plane.tallies()[0].endpoints;
    assert_eq!(
        tally
            .iter()
            .map(|e| (e.issued, e.failed))
            .collect::<Vec<_>>(),
        [(8, 0)]
    );
}

#[test]
fn bodies_of_any_size_pass_both_ways_however_they_are_framed() {
    let echo = server(|came| {
        // Back in chunks of an odd size.
        let mut out = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for piece in came.body.chunks(7_001) {
            out.extend_from_slice(format!("{:X};ext=1\r\n", piece.len()).as_bytes());
            out.extend_from_slice(piece);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        out
    });
    let p = proxy(nowhere(), &[echo.address], "");
    let mut client = Client::of(&p);
    for size in [0, 1, 60_000, 70_000, 3_000_000] {
        let body: Vec<u8> = (0..size).map(|i| (i % 251) as u8).collect();
        let mut whole = format!("POST /view HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n")
            .into_bytes();
        whole.extend_from_slice(&body);
        let came = client.say(&whole).unwrap();
        assert!(
            status(&came) == 200 && came.body == body,
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
        let came = client.say(&chunked).unwrap();
        assert!(
            status(&came) == 200 && came.body == body,
            "{size} bytes in chunks"
        );
    }
    let head = client
        .say(b"HEAD /view HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    assert_eq!(status(&head), 200);
}

#[test]
fn what_could_smuggle_is_refused_and_nothing_of_it_reaches_a_server() {
    let heads = Arc::new(Mutex::new(Vec::new()));
    let seen = heads.clone();
    let target = server(move |came| {
        seen.lock().unwrap().push(came.head.clone());
        ok(b"")
    });
    let p = proxy(nowhere(), &[target.address], "");
    let odd: BTreeMap<&str, u16> = [
        ("POST /view HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x", 400),
        ("POST /view HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        ("POST /view HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n", 501),
        ("GET /view HTTP/1.1\r\nHost: h\r\nX: a\nGET: /y\r\n\r\n", 400),
        ("GET /view HTTP/1.1\r\n\r\n", 400),
        ("GET http://other/view HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        ("GET /view HTTP/3.0\r\nHost: h\r\n\r\n", 505),
    ]
    .into();
    for (text, wanted) in odd {
        let came = Client::of(&p).say(text.as_bytes()).unwrap();
        assert_eq!(status(&came), wanted, "{text:?}");
        assert!(came.head.contains("Connection: close"));
    }
    let large = format!(
        "GET /view HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(20_000)
    );
    assert_eq!(status(&Client::of(&p).say(large.as_bytes()).unwrap()), 431);
    assert!(heads.lock().unwrap().is_empty());
    // A chunk that lies about its size ends the connection; what follows is no request.
    let mut client = Client::of(&p);
    let lies = b"POST /view HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcdefGET /evil HTTP/1.1\r\n\r\n";
    let _ = client.say(lies);
    assert_eq!(Client::of(&p).visit("view"), 200);
    assert!(heads.lock().unwrap().iter().all(|h| !h.contains("evil")));
}

#[test]
fn levels_refuse_at_once_and_tell_when_to_come_again() {
    let s = plain();
    let p = proxy(nowhere(), &[s.address], "");
    let held = dahliapoint_xds::Held {
        lines: vec![dahliapoint_xds::HeldLine {
            server: "s0".into(),
            address: s.address.to_string(),
            weight: 1,
            open: true,
        }],
        shares: [("view".to_string(), 0.25)].into(),
        retry_on: BTreeMap::new(),
    };
    p.plane.swap(Some(&held), &|_| false, 0);
    let codes: Vec<u16> = (0..40).map(|_| Client::of(&p).visit("view")).collect();
    assert_eq!(codes.iter().filter(|c| **c == 200).count(), 10);
    assert_eq!(codes.iter().filter(|c| **c == 503).count(), 30);
    let refused =
        (0..4).filter_map(|_| Client::of(&p).say(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n"));
    let refused: Vec<Came> = refused.filter(|c| status(c) == 503).collect();
    assert!(refused.iter().all(|c| c.head.contains("Retry-After: 1")));
    assert_eq!(
        Client::of(&p).visit("pay"),
        200,
        "the other class is let in"
    );
    // Empty tables: said at once.
    p.plane
        .swap(Some(&dahliapoint_xds::Held::default()), &|_| false, 0);
    assert_eq!(Client::of(&p).visit("pay"), 503);
}

#[test]
fn no_visit_sees_half_a_table() {
    // Two tables that share no server, swapped as fast as they can be, while visits go on.
    let servers: Vec<Server> = (0..2).map(|_| plain()).collect();
    let p = proxy(nowhere(), &[servers[0].address], "");
    let held = |i: usize| dahliapoint_xds::Held {
        lines: vec![dahliapoint_xds::HeldLine {
            server: format!("s{i}"),
            address: servers[i].address.to_string(),
            weight: 10_000,
            open: true,
        }],
        ..dahliapoint_xds::Held::default()
    };
    let tables = [held(0), held(1)];
    let over = Arc::new(AtomicBool::new(false));
    let swapping = {
        let (plane, over) = (p.plane.clone(), over.clone());
        std::thread::spawn(move || {
            let mut swaps = 0;
            while !over.load(Ordering::SeqCst) {
                plane.swap(Some(&tables[swaps % 2]), &|_| false, 0);
                assert_eq!(plane.lines(), 1);
                swaps += 1;
                std::thread::yield_now();
            }
            swaps
        })
    };
    let mut client = Client::of(&p);
    (0..500).for_each(|_| assert_eq!(client.visit("view"), 200));
    over.store(true, Ordering::SeqCst);
    assert!(swapping.join().unwrap() > 10);
}
