//! Makes 100,000 visits through a proxy on loopback: measures how far their distribution is off the weights, and what
//! the proxy costs. `cargo run --release -p dahliapoint-proxy --example spread [VISITS]`

use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::settings::{self, RosterServer};
use dahliapoint_xds::{Held, HeldLine};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const WEIGHTS: [f64; 14] = [
    1.0, 0.1, 2.5, 0.36, 1.0, 5.0, 0.6, 1.0, 1.0, 3.0, 0.9, 0.2, 0.8, 1.1,
];

/// Starts a server that answers each request, with one thread per connection. Returns its address and its count of visits.
fn server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let visits = Arc::new(AtomicUsize::new(0));
    let count = visits.clone();
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            let count = count.clone();
            std::thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let mut bytes = [0; 2048];
                while let Ok(n) = socket.read(&mut bytes) {
                    if n == 0 || !bytes[..n].ends_with(b"\r\n\r\n") {
                        return;
                    }
                    count.fetch_add(1, Ordering::Relaxed);
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    if socket.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, visits)
}

/// Makes `count` visits over one connection and returns the time that each took.
fn make_visits(to: SocketAddr, count: usize) -> Vec<Duration> {
    let mut socket = TcpStream::connect(to).expect("connected");
    let _ = socket.set_nodelay(true);
    let mut bytes = [0; 2048];
    let mut times = Vec::with_capacity(count);
    for _ in 0..count {
        let started = Instant::now();
        socket
            .write_all(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n")
            .expect("sent");
        let mut n = 0;
        while !bytes[..n].ends_with(b"ok") {
            let read = socket.read(&mut bytes[n..]).expect("answered");
            assert!(read > 0, "closed after {n} bytes");
            n += read;
        }
        assert!(bytes.starts_with(b"HTTP/1.1 200"));
        times.push(started.elapsed());
    }
    times
}

/// Makes visits from several clients at once, prints their times and returns their number.
fn run(name: &str, to: SocketAddr, visits: usize) -> f64 {
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| std::thread::spawn(move || make_visits(to, visits / CLIENTS)))
        .collect();
    let mut times: Vec<Duration> = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"))
        .collect();
    let elapsed_s = started.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6;
    println!(
        "{name:<28} {:>8.0} visits/s, median {:.0} us, 99th percentile {:.0} us, worst {:.0} us",
        times.len() as f64 / elapsed_s,
        at(0.5),
        at(0.99),
        at(1.0)
    );
    times.len() as f64
}

fn main() {
    let visits = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(100_000);
    let servers: Vec<_> = WEIGHTS.iter().map(|_| server()).collect();
    run("a server, directly", servers[0].0, visits / 4);
    servers[0].1.store(0, Ordering::Relaxed);
    for picks in ["rotate", "random", "two"] {
        let text = format!(
            "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\nroster: none\n\
             picks: {picks}\nclasses: [{{name: view, hard_limit: 5s, repeat: safe}}]\n"
        );
        let settings = settings::parse("p", &text).expect("settings");
        let roster: Vec<RosterServer> = Vec::new();
        let plane = DataPlane::new(settings, &roster);
        let line = |(i, weight): (usize, &f64)| HeldLine {
            server: format!("s{i}"),
            address: servers[i].0.to_string(),
            weight: (weight * 10_000.0) as u32,
            open: true,
        };
        let held = Held {
            lines: WEIGHTS.iter().enumerate().map(line).collect(),
            ..Held::default()
        };
        plane.swap_table(Some(&held), &|_| false, 0);
        servers.iter().for_each(|s| s.1.store(0, Ordering::Relaxed));
        let to = plane.serve().expect("a port");
        let total = run(&format!("through the proxy, {picks}"), to, visits);
        let sum: f64 = WEIGHTS.iter().sum();
        let deviations = servers.iter().zip(WEIGHTS).map(|((_, count), weight)| {
            let share = weight / sum;
            (count.load(Ordering::Relaxed) as f64 / total / share - 1.0).abs()
        });
        let worst = deviations.fold(0.0, f64::max) * 100.0;
        println!(
            "  14 servers, weights of 0.1 to 5: the worst is {worst:.2}% off its share of {total} visits"
        );
    }
}
