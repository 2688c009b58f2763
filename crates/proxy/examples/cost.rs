//! Measures the cost of the proxy: the tail latency of visits while tables of 12, 100 and 400 lines are swapped at each
//! tick and faster, the CPU time per visit, and the memory per idle connection.
//! `cargo run --release -p dahliapoint-proxy --example cost [VISITS]`

use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::settings;
use dahliapoint_xds::{Held, HeldLine};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SERVERS: usize = 400;
const CLIENTS: usize = 4;
const CONNECTIONS: usize = 2_000;

/// Starts a server that answers each request, with one thread per connection.
fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let mut bytes = [0; 2048];
                while socket.read(&mut bytes).is_ok_and(|n| n > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    if socket.write_all(answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Makes a visit and returns the time that it took.
fn visit(socket: &mut TcpStream) -> Duration {
    let started = Instant::now();
    socket
        .write_all(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("sent");
    let (mut bytes, mut n) = ([0; 2048], 0);
    while !bytes[..n].ends_with(b"ok") {
        let read = socket.read(&mut bytes[n..]).expect("answered");
        assert!(read > 0, "closed");
        n += read;
    }
    started.elapsed()
}

fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(to).expect("connected");
    let _ = socket.set_nodelay(true);
    socket
}

/// A table of `lines` servers, with other weights in each round.
fn table(servers: &[SocketAddr], lines: usize, round: usize) -> Held {
    let line = |i: usize| HeldLine {
        server: format!("s{i}"),
        address: servers[i].to_string(),
        weight: 5_000 + ((i * 7 + round * 13) % 10_000) as u32,
        open: true,
    };
    Held {
        lines: (0..lines).map(line).collect(),
        ..Held::default()
    }
}

/// CPU time of this process in milliseconds, and its resident memory in KiB.
fn usage() -> (f64, f64) {
    let read = |name: &str| std::fs::read_to_string(name).unwrap_or_default();
    let stat = read("/proc/self/stat");
    let fields: Vec<f64> = stat
        .rsplit(") ")
        .next()
        .map(|f| f.split(' ').map(|n| n.parse().unwrap_or(0.0)).collect())
        .unwrap_or_default();
    let status = read("/proc/self/status");
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let rss = rss.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
    (10.0 * (fields[11] + fields[12]), rss.unwrap_or(0.0))
}

/// Makes visits from several clients at once and prints their times.
fn run(name: &str, to: SocketAddr, visits: usize) {
    let cpu = usage().0;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut socket = connect(to);
                let times = (0..visits / CLIENTS).map(|_| visit(&mut socket));
                times.collect::<Vec<_>>()
            })
        })
        .collect();
    let times = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"));
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1e6;
    println!(
        "{name:<40} median {:>5.0} us, 99th {:>5.0}, 99.9th {:>6.0}, worst {:>6.0}; CPU of client, proxy and server together {:.0} us per visit",
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0),
        (usage().0 - cpu) * 1e3 / times.len() as f64
    );
}

fn main() {
    let visits = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let visits: usize = visits.unwrap_or(40_000);
    let servers: Vec<SocketAddr> = (0..SERVERS).map(|_| server()).collect();
    run("directly", servers[0], visits);
    let text = "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\nroster: none\n\
                idle: 60s\nclasses: [{name: view, hard_limit: 5s, repeat: safe}]\n";
    let plane = DataPlane::new(settings::parse("p", text).expect("settings"), &[]);
    let address = plane.serve().expect("a port");
    for lines in [12, 100, 400] {
        plane.swap_table(Some(&table(&servers, lines, 0)), &|_| false, 0);
        run(&format!("{lines} lines, no swap"), address, visits);
        for interval_ms in [2_000, 50] {
            let is_done = Arc::new(AtomicBool::new(false));
            let swapping = {
                let (plane, servers, is_done) = (plane.clone(), servers.clone(), is_done.clone());
                std::thread::spawn(move || {
                    let (mut round, mut worst) = (0, Duration::ZERO);
                    while !is_done.load(Ordering::SeqCst) {
                        round += 1;
                        let held = table(&servers, lines, round);
                        let started = Instant::now();
                        plane.swap_table(Some(&held), &|_| false, lines);
                        worst = worst.max(started.elapsed());
                        std::thread::sleep(Duration::from_millis(interval_ms));
                    }
                    (round, worst)
                })
            };
            run(
                &format!("{lines} lines, swapped every {interval_ms} ms"),
                address,
                visits,
            );
            is_done.store(true, Ordering::SeqCst);
            let (rounds, worst) = swapping.join().expect("swaps");
            println!("{:<40} {rounds} swaps, the longest {worst:?}", "");
        }
    }
    let memory_before = usage().1;
    let mut idle: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    for socket in &mut idle {
        visit(socket);
    }
    println!(
        "{CONNECTIONS} idle connections of clients: {:.1} KiB each (both ends are in this process)",
        (usage().1 - memory_before) / CONNECTIONS as f64
    );
}
