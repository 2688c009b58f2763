//! A fault at each point of a visit, for each class and each order; and bytes that nobody would send.

use dahliapoint_proxy::Chance;
use dahliapoint_proxy::described;
use dahliapoint_proxy::plane::Plane;
use dahliapoint_xds::pb::discovery::{DeltaDiscoveryResponse, Resource};
use dahliapoint_xds::pb::protobuf::Any;
use dahliapoint_xds::{ClientState, ReceivedLine, ReceivedTable, names};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

/// Where a visit's first server fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Nobody listens.
    BeforeConnect,
    /// The connection ends before anything of the visit is read.
    AfterConnect,
    /// It ends after the head of the visit was read; the server had begun.
    AfterHead,
    /// It ends in the body of the answer.
    InTheAnswer,
    /// The answer was whole; the connection ends after it.
    AfterTheAnswer,
    /// It says that nothing ran.
    Unseen,
    /// It says that it failed.
    Said500,
    /// It takes the visit and says nothing.
    Silent,
}

use Fault::*;

const FAULTS: [Fault; 8] = [
    BeforeConnect,
    AfterConnect,
    AfterHead,
    InTheAnswer,
    AfterTheAnswer,
    Unseen,
    Said500,
    Silent,
];

/// A server with a fault; counts the visits that could have taken effect.
fn server(fault: Option<Fault>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let effects = Arc::new(AtomicUsize::new(0));
    if fault == Some(BeforeConnect) {
        return (address, effects);
    }
    let count = effects.clone();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            if fault == Some(AfterConnect) {
                continue;
            }
            let count = count.clone();
            std::thread::spawn(move || while talk(&mut socket, fault, &count).is_some() {});
        }
    });
    (address, effects)
}

/// One visit; nothing if the connection ends with it.
fn talk(socket: &mut TcpStream, fault: Option<Fault>, count: &AtomicUsize) -> Option<()> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1024];
    while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
        let n = socket.read(&mut chunk).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&chunk[..n]);
    }
    if fault != Some(Unseen) {
        count.fetch_add(1, Ordering::SeqCst);
    }
    let said: &[u8] = match fault {
        None | Some(AfterTheAnswer) => b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok",
        Some(InTheAnswer) => b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhal",
        Some(Unseen) => b"HTTP/1.1 503 X\r\nX-Unseen: 1\r\nContent-Length: 0\r\n\r\n",
        Some(Said500) => b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        Some(Silent) => {
            let _ = socket.read(&mut chunk);
            return None;
        }
        Some(BeforeConnect | AfterConnect | AfterHead) => return None,
    };
    socket.write_all(said).ok()?;
    fault.is_none().then_some(())
}

/// A proxy with servers in this order of turns.
fn proxy(servers: &[SocketAddr], on: &str, hard_ms: u32) -> (Arc<Plane>, SocketAddr) {
    let text = format!(
        "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\nroster: none\n\
         further_tries: 1\nclasses:\n- {{name: safe, hard_limit: {hard_ms}ms, repeat: safe}}\n\
         - {{name: keyed, hard_limit: {hard_ms}ms, repeat: keyed}}\n\
         - {{name: never, hard_limit: {hard_ms}ms, repeat: never}}\n"
    );
    let plane = Plane::new(described::parse("p", &text).unwrap(), &[]);
    let line = |(i, address): (usize, &SocketAddr)| ReceivedLine {
        server: format!("s{i}"),
        address: address.to_string(),
        // The first in turn is the heaviest.
        weight: if i == 0 { 10_000 } else { 1 },
        open: true,
    };
    let on = |class: &str| (class.to_string(), on.to_string());
    let held = ReceivedTable {
        lines: servers.iter().enumerate().map(line).collect(),
        admitted_shares: BTreeMap::new(),
        retry_on: ["safe", "keyed", "never"].map(on).into(),
    };
    plane.swap(Some(&held), &|_| false, 0);
    let address = plane.serve().unwrap();
    (plane, address)
}

/// What a client gets, if anything whole.
fn ask(at: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut socket = TcpStream::connect(at).unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    socket.write_all(bytes).ok()?;
    let mut said = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let n = socket.read(&mut chunk).ok()?;
        said.extend_from_slice(&chunk[..n]);
        let text = String::from_utf8_lossy(&said).to_ascii_lowercase();
        let begins = text.find("\r\n\r\n").map(|at| at + 4);
        let length = text.split("content-length: ").nth(1);
        let length = length.and_then(|l| l.split("\r\n").next()?.parse::<usize>().ok());
        if begins.is_some_and(|b| said.len() >= b + length.unwrap_or(0)) {
            return text.get(9..12)?.parse().ok();
        }
        if n == 0 {
            return None;
        }
    }
}

#[test]
fn no_fault_at_any_point_makes_an_effect_run_twice() {
    for on in ["", "connect-failure,refused-stream", "5xx"] {
        for class in ["safe", "keyed", "never"] {
            for fault in FAULTS {
                let hard_ms = if fault == Silent { 150 } else { 5_000 };
                let (bad, good) = (server(Some(fault)), server(None));
                let (plane, at) = proxy(&[bad.0, good.0], on, hard_ms);
                let text =
                    format!("GET /{class} HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
                let said = ask(at, text.as_bytes());
                let effects = bad.1.load(Ordering::SeqCst) + good.1.load(Ordering::SeqCst);
                let what =
                    format!("{class}, ordered on {on:?}, {fault:?}: {said:?}, {effects} effects");
                if class != "safe" || on != "5xx" {
                    assert!(effects <= 1, "{what}");
                }
                let proof = matches!(fault, BeforeConnect | Unseen);
                let again = match on {
                    "" => false,
                    "5xx" => proof || class == "safe",
                    _ => proof,
                };
                let wanted = match fault {
                    AfterTheAnswer => Some(200),
                    // Its head was passed on: the client sees the end, and nothing is hidden from it.
                    InTheAnswer => None,
                    // No time is left for another.
                    Silent => Some(504),
                    _ if again => Some(200),
                    _ => Some(502),
                };
                assert_eq!(said, wanted, "{what}");
                plane.end(at, std::time::Instant::now());
            }
        }
    }
}

#[test]
fn a_flood_beyond_the_caps_is_refused_and_those_who_are_in_go_on() {
    let good = server(None);
    let text = "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\n\
                roster: none\nmost_clients: 3\nclasses: [{name: safe, hard_limit: 5s}]\n";
    let plane = Plane::new(described::parse("p", text).unwrap(), &[]);
    let held = ReceivedTable {
        lines: vec![ReceivedLine {
            server: "s".into(),
            address: good.0.to_string(),
            weight: 1,
            open: true,
        }],
        ..ReceivedTable::default()
    };
    plane.swap(Some(&held), &|_| false, 0);
    let at = plane.serve().unwrap();
    const VISIT: &[u8] = b"GET /safe HTTP/1.1\r\nHost: h\r\n\r\n";
    let mut inside: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(at).unwrap()).collect();
    let mut talk = |socket: &mut TcpStream| {
        socket.set_read_timeout(Some(LONG)).unwrap();
        socket.write_all(VISIT).unwrap();
        let mut bytes = [0; 256];
        let n = socket.read(&mut bytes).unwrap();
        bytes[..n].starts_with(b"HTTP/1.1 200")
    };
    assert!(inside.iter_mut().all(&mut talk));
    for _ in 0..50 {
        let mut more = TcpStream::connect(at).unwrap();
        more.set_read_timeout(Some(LONG)).unwrap();
        let _ = more.write_all(VISIT);
        assert!(matches!(more.read(&mut [0; 16]), Ok(0) | Err(_)));
    }
    assert!(inside.iter_mut().all(&mut talk));
}

const REQUESTS: [&[u8]; 4] = [
    b"GET /safe HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /safe HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /never HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"GET /keyed HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n",
];

/// Flips, cuts, doubles and inserts, from a seed.
fn mangled(bytes: &[u8], chance: &mut Chance) -> Vec<u8> {
    let mut out = bytes.to_vec();
    for _ in 0..=(chance.draw() * 4.0) as usize {
        let at = (chance.draw() * out.len() as f64) as usize;
        match (chance.draw() * 4.0) as usize {
            0 if at < out.len() => out[at] ^= 1 << (chance.draw() * 8.0) as u8,
            1 => out.truncate(at.max(1)),
            2 => out.extend_from_within(at.min(out.len())..),
            _ => out.insert(at.min(out.len()), (chance.draw() * 256.0) as u8),
        }
    }
    out
}

/// A bounded smoke run of what a fuzzer would do; seed 7.
#[test]
fn mangled_requests_are_answered_or_refused_and_the_proxy_goes_on() {
    let good = server(None);
    let (_plane, at) = proxy(&[good.0], "", 2_000);
    let mut chance = Chance::from(7);
    for i in 0..1_500 {
        let bytes = mangled(REQUESTS[i % REQUESTS.len()], &mut chance);
        let mut socket = TcpStream::connect(at).unwrap();
        let _ = socket.write_all(&bytes);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        socket.set_read_timeout(Some(LONG)).unwrap();
        let mut said = Vec::new();
        let ended = socket.read_to_end(&mut said);
        let text = String::from_utf8_lossy(&said);
        assert!(
            ended.is_err() || said.is_empty() || text.starts_with("HTTP/1.1 "),
            "{i}: {:?} -> {text}",
            String::from_utf8_lossy(&bytes)
        );
    }
    assert_eq!(ask(at, REQUESTS[0]), Some(200));
}

/// The same for assignments: whatever comes is taken whole or refused whole.
#[test]
fn mangled_assignments_are_taken_whole_or_refused_whole() {
    let mut chance = Chance::from(11);
    let mut holder = ClientState::new("s", "p", "z", 1.0);
    let types = [names::CDS, names::EDS, names::RDS, names::LEDS];
    let (mut applied, mut refused) = (0, 0);
    for i in 0..20_000 {
        let before = holder.table();
        let length = (chance.draw() * 40.0) as usize;
        let value: Vec<u8> = (0..length).map(|_| (chance.draw() * 256.0) as u8).collect();
        let kind = types[(chance.draw() * 4.0) as usize % 4];
        let resource = Resource {
            name: names::part_collection("s", i % 3).replace('*', "x"),
            resource: Some(Any {
                type_url: kind.into(),
                value: mangled(&[&value[..], b"\x0a\x03abc"].concat(), &mut chance),
            }),
            ..Resource::default()
        };
        let response = DeltaDiscoveryResponse {
            type_url: kind.into(),
            resources: vec![resource],
            nonce: i.to_string(),
            ..DeltaDiscoveryResponse::default()
        };
        let at = holder.nacked;
        let answers = holder.apply(&response, |s| !s.is_empty());
        assert_eq!(answers[0].response_nonce, response.nonce);
        if holder.nacked > at {
            refused += 1;
            assert!(answers[0].error_detail.is_some());
            assert_eq!(holder.table(), before, "{i}");
        } else {
            applied += 1;
        }
    }
    assert!(
        applied > 0 && refused > 0,
        "{applied} applied, {refused} refused"
    );
}
