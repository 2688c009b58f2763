//! A fault at each point of a visit, for each class and each retry policy; and malformed input.

use dahliapoint_proxy::Rng;
use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::settings;
use dahliapoint_xds::pb::discovery::{DeltaDiscoveryResponse, Resource};
use dahliapoint_xds::pb::protobuf::Any;
use dahliapoint_xds::{Held, HeldLine, Holder, names};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Turns a hang into a failure.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The point at which the first server of a visit fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The connection is refused.
    BeforeConnect,
    /// The connection is closed before anything of the visit is read.
    AfterConnect,
    /// It is closed after the head of the visit was read, when the server may have run it.
    AfterHead,
    /// It is closed within the body of the answer.
    WithinAnswer,
    /// It is closed after a complete answer.
    AfterAnswer,
    /// The server answers that the visit did not run.
    NotRun,
    /// The server answers with an error.
    Error500,
    /// The server reads the visit and never answers.
    Silent,
}

use Fault::*;

const FAULTS: [Fault; 8] = [
    BeforeConnect,
    AfterConnect,
    AfterHead,
    WithinAnswer,
    AfterAnswer,
    NotRun,
    Error500,
    Silent,
];

/// Starts a server with a fault. It counts the visits that may have taken effect.
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
            std::thread::spawn(move || while serve_visit(&mut socket, fault, &count).is_some() {});
        }
    });
    (address, effects)
}

/// Serves one visit. `None` if the connection is closed after it.
fn serve_visit(socket: &mut TcpStream, fault: Option<Fault>, count: &AtomicUsize) -> Option<()> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 1024];
    while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
        let n = socket.read(&mut chunk).ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&chunk[..n]);
    }
    if fault != Some(NotRun) {
        count.fetch_add(1, Ordering::SeqCst);
    }
    let answer: &[u8] = match fault {
        None | Some(AfterAnswer) => b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok",
        Some(WithinAnswer) => b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhal",
        Some(NotRun) => b"HTTP/1.1 503 X\r\nX-Unseen: 1\r\nContent-Length: 0\r\n\r\n",
        Some(Error500) => b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        Some(Silent) => {
            let _ = socket.read(&mut chunk);
            return None;
        }
        Some(BeforeConnect | AfterConnect | AfterHead) => return None,
    };
    socket.write_all(answer).ok()?;
    fault.is_none().then_some(())
}

/// Starts a proxy that tries servers in this order.
fn proxy(
    servers: &[SocketAddr],
    retry_on: &str,
    hard_limit_ms: u32,
) -> (Arc<DataPlane>, SocketAddr) {
    let text = format!(
        "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\nroster: none\n\
         further_tries: 1\nclasses:\n- {{name: safe, hard_limit: {hard_limit_ms}ms, repeat: safe}}\n\
         - {{name: keyed, hard_limit: {hard_limit_ms}ms, repeat: keyed}}\n\
         - {{name: never, hard_limit: {hard_limit_ms}ms, repeat: never}}\n"
    );
    let plane = DataPlane::new(settings::parse("p", &text).unwrap(), &[]);
    let line = |(i, address): (usize, &SocketAddr)| HeldLine {
        server: format!("s{i}"),
        address: address.to_string(),
        // The server with the largest weight is picked first.
        weight: if i == 0 { 10_000 } else { 1 },
        open: true,
    };
    let retry_on = |class: &str| (class.to_string(), retry_on.to_string());
    let held = Held {
        lines: servers.iter().enumerate().map(line).collect(),
        shares: BTreeMap::new(),
        retry_on: ["safe", "keyed", "never"].map(retry_on).into(),
    };
    plane.swap_table(Some(&held), &|_| false, 0);
    let address = plane.serve().unwrap();
    (plane, address)
}

/// Sends a request and returns the status of the answer; `None` if the answer is not complete.
fn ask(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket.write_all(bytes).ok()?;
    let mut answer = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        let n = socket.read(&mut chunk).ok()?;
        answer.extend_from_slice(&chunk[..n]);
        let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        let body_start = text.find("\r\n\r\n").map(|at| at + 4);
        let length = text.split("content-length: ").nth(1);
        let length = length.and_then(|l| l.split("\r\n").next()?.parse::<usize>().ok());
        if body_start.is_some_and(|b| answer.len() >= b + length.unwrap_or(0)) {
            return text.get(9..12)?.parse().ok();
        }
        if n == 0 {
            return None;
        }
    }
}

#[test]
fn no_fault_makes_a_visit_that_is_not_idempotent_run_twice() {
    for retry_on in ["", "connect-failure,refused-stream", "5xx"] {
        for class in ["safe", "keyed", "never"] {
            for fault in FAULTS {
                let hard_limit_ms = if fault == Silent { 150 } else { 5_000 };
                let (bad, good) = (server(Some(fault)), server(None));
                let (plane, address) = proxy(&[bad.0, good.0], retry_on, hard_limit_ms);
                let text =
                    format!("GET /{class} HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
                let status = ask(address, text.as_bytes());
                let effects = bad.1.load(Ordering::SeqCst) + good.1.load(Ordering::SeqCst);
                let case = format!(
                    "{class}, retry on {retry_on:?}, {fault:?}: {status:?}, {effects} effects"
                );
                if class != "safe" || retry_on != "5xx" {
                    assert!(effects <= 1, "{case}");
                }
                let is_proof = matches!(fault, BeforeConnect | NotRun);
                let is_retried = match retry_on {
                    "" => false,
                    "5xx" => is_proof || class == "safe",
                    _ => is_proof,
                };
                let expected = match fault {
                    AfterAnswer => Some(200),
                    // The head was passed on already: the client sees that the connection is closed.
                    WithinAnswer => None,
                    // No time is left for another try.
                    Silent => Some(504),
                    _ if is_retried => Some(200),
                    _ => Some(502),
                };
                assert_eq!(status, expected, "{case}");
                plane.shut_down(address, std::time::Instant::now());
            }
        }
    }
}

#[test]
fn clients_beyond_the_maximum_are_refused_and_the_others_are_served() {
    let good = server(None);
    let text = "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\n\
                roster: none\nmost_clients: 3\nclasses: [{name: safe, hard_limit: 5s}]\n";
    let plane = DataPlane::new(settings::parse("p", text).unwrap(), &[]);
    let held = Held {
        lines: vec![HeldLine {
            server: "s".into(),
            address: good.0.to_string(),
            weight: 1,
            open: true,
        }],
        ..Held::default()
    };
    plane.swap_table(Some(&held), &|_| false, 0);
    let address = plane.serve().unwrap();
    const VISIT: &[u8] = b"GET /safe HTTP/1.1\r\nHost: h\r\n\r\n";
    let mut accepted: Vec<TcpStream> = (0..3)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let mut visit = |socket: &mut TcpStream| {
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        socket.write_all(VISIT).unwrap();
        let mut bytes = [0; 256];
        let n = socket.read(&mut bytes).unwrap();
        bytes[..n].starts_with(b"HTTP/1.1 200")
    };
    assert!(accepted.iter_mut().all(&mut visit));
    for _ in 0..50 {
        let mut refused = TcpStream::connect(address).unwrap();
        refused.set_read_timeout(Some(TIMEOUT)).unwrap();
        let _ = refused.write_all(VISIT);
        assert!(matches!(refused.read(&mut [0; 16]), Ok(0) | Err(_)));
    }
    assert!(accepted.iter_mut().all(&mut visit));
}

const REQUESTS: [&[u8]; 4] = [
    b"GET /safe HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /safe HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /never HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    b"GET /keyed HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n",
];

/// Mutates a message at random: flips a bit, truncates, repeats a part or inserts a byte.
fn mutated(bytes: &[u8], rng: &mut Rng) -> Vec<u8> {
    let mut out = bytes.to_vec();
    for _ in 0..=(rng.next_f64() * 4.0) as usize {
        let at = (rng.next_f64() * out.len() as f64) as usize;
        match (rng.next_f64() * 4.0) as usize {
            0 if at < out.len() => out[at] ^= 1 << (rng.next_f64() * 8.0) as u8,
            1 => out.truncate(at.max(1)),
            2 => out.extend_from_within(at.min(out.len())..),
            _ => out.insert(at.min(out.len()), (rng.next_f64() * 256.0) as u8),
        }
    }
    out
}

/// A short fuzz test with a fixed seed, 7.
#[test]
fn mutated_requests_are_answered_or_refused_and_the_proxy_keeps_working() {
    let good = server(None);
    let (_plane, address) = proxy(&[good.0], "", 2_000);
    let mut rng = Rng::from_seed(7);
    for i in 0..1_500 {
        let bytes = mutated(REQUESTS[i % REQUESTS.len()], &mut rng);
        let mut socket = TcpStream::connect(address).unwrap();
        let _ = socket.write_all(&bytes);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut answer = Vec::new();
        let read = socket.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer);
        assert!(
            read.is_err() || answer.is_empty() || text.starts_with("HTTP/1.1 "),
            "{i}: {:?} -> {text}",
            String::from_utf8_lossy(&bytes)
        );
    }
    assert_eq!(ask(address, REQUESTS[0]), Some(200));
}

/// A short fuzz test of assignments with a fixed seed, 11: each is applied as a whole or refused as a whole.
#[test]
fn mutated_assignments_are_applied_or_refused_as_a_whole() {
    let mut rng = Rng::from_seed(11);
    let mut holder = Holder::new("s", "p", "z", 1.0);
    let types = [names::CDS, names::EDS, names::RDS, names::LEDS];
    let (mut applied, mut refused) = (0, 0);
    for i in 0..20_000 {
        let table_before = holder.table();
        let length = (rng.next_f64() * 40.0) as usize;
        let value: Vec<u8> = (0..length)
            .map(|_| (rng.next_f64() * 256.0) as u8)
            .collect();
        let kind = types[(rng.next_f64() * 4.0) as usize % 4];
        let resource = Resource {
            name: names::part("s", i % 3).replace('*', "x"),
            resource: Some(Any {
                type_url: kind.into(),
                value: mutated(&[&value[..], b"\x0a\x03abc"].concat(), &mut rng),
            }),
            ..Resource::default()
        };
        let response = DeltaDiscoveryResponse {
            type_url: kind.into(),
            resources: vec![resource],
            nonce: i.to_string(),
            ..DeltaDiscoveryResponse::default()
        };
        let refused_before = holder.refused;
        let answers = holder.apply(&response, |s| !s.is_empty());
        assert_eq!(answers[0].response_nonce, response.nonce);
        if holder.refused > refused_before {
            refused += 1;
            assert!(answers[0].error_detail.is_some());
            assert_eq!(holder.table(), table_before, "{i}");
        } else {
            applied += 1;
        }
    }
    assert!(
        applied > 0 && refused > 0,
        "{applied} applied, {refused} refused"
    );
}
