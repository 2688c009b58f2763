//! What the proxy costs: the tail of visits while tables of 12, 100 and 400 lines are swapped at tick pace
//! and faster, CPU a visit, and memory a kept connection.
//! `cargo run --release -p dahliapoint-proxy --example cost [VISITS]`

use dahliapoint_proxy::described;
use dahliapoint_proxy::plane::Plane;
use dahliapoint_xds::{ReceivedLine, ReceivedTable};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SERVERS: usize = 400;
const CLIENTS: usize = 4;
const CONNECTIONS: usize = 2_000;

fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let mut bytes = [0; 2048];
                while socket.read(&mut bytes).is_ok_and(|n| n > 0) {
                    let said = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    if socket.write_all(said).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn visit(socket: &mut TcpStream) -> Duration {
    let begun = Instant::now();
    socket
        .write_all(b"GET /view HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("sent");
    let (mut bytes, mut n) = ([0; 2048], 0);
    while !bytes[..n].ends_with(b"ok") {
        let more = socket.read(&mut bytes[n..]).expect("answered");
        assert!(more > 0, "closed");
        n += more;
    }
    begun.elapsed()
}

fn connected(to: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(to).expect("connected");
    let _ = socket.set_nodelay(true);
    socket
}

/// A table of so many lines over the servers there are; each swap gives other weights.
fn table(servers: &[SocketAddr], lines: usize, round: usize) -> ReceivedTable {
    let line = |i: usize| ReceivedLine {
        server: format!("s{i}"),
        address: servers[i].to_string(),
        weight: 5_000 + ((i * 7 + round * 13) % 10_000) as u32,
        open: true,
    };
    ReceivedTable {
        lines: (0..lines).map(line).collect(),
        ..ReceivedTable::default()
    }
}

/// CPU time of the calling process in milliseconds, and its memory now in KiB.
fn used() -> (f64, f64) {
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

fn run(name: &str, to: SocketAddr, many: usize) {
    let cpu = used().0;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut socket = connected(to);
                let times = (0..many / CLIENTS).map(|_| visit(&mut socket));
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
        "{name:<40} median {:>5.0} us, 99th {:>5.0}, 99.9th {:>6.0}, worst {:>6.0}; CPU of all in here {:.0} us a visit",
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0),
        (used().0 - cpu) * 1e3 / times.len() as f64
    );
}

fn main() {
    let many = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let many: usize = many.unwrap_or(40_000);
    let servers: Vec<SocketAddr> = (0..SERVERS).map(|_| server()).collect();
    run("directly", servers[0], many);
    let text = "name: p\nservice: s\nzone: z\ncontrollers: ['127.0.0.1:1']\nlisten: 127.0.0.1:0\nroster: none\n\
                idle: 60s\nclasses: [{name: view, hard_limit: 5s, repeat: safe}]\n";
    let plane = Plane::new(described::parse("p", text).expect("settings"), &[]);
    let at = plane.serve().expect("a port");
    for lines in [12, 100, 400] {
        plane.swap(Some(&table(&servers, lines, 0)), &|_| false, 0);
        run(&format!("{lines} lines, no swap"), at, many);
        for every in [2_000, 50] {
            let over = Arc::new(AtomicBool::new(false));
            let swapping = {
                let (plane, servers, over) = (plane.clone(), servers.clone(), over.clone());
                std::thread::spawn(move || {
                    let (mut round, mut worst) = (0, Duration::ZERO);
                    while !over.load(Ordering::SeqCst) {
                        round += 1;
                        let held = table(&servers, lines, round);
                        let begun = Instant::now();
                        plane.swap(Some(&held), &|_| false, lines);
                        worst = worst.max(begun.elapsed());
                        std::thread::sleep(Duration::from_millis(every));
                    }
                    (round, worst)
                })
            };
            run(&format!("{lines} lines, swapped each {every} ms"), at, many);
            over.store(true, Ordering::SeqCst);
            let (rounds, worst) = swapping.join().expect("swaps");
            println!("{:<40} {rounds} swaps, the longest {worst:?}", "");
        }
    }
    let before = used().1;
    let mut kept: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connected(at)).collect();
    for socket in &mut kept {
        visit(socket);
    }
    println!(
        "{CONNECTIONS} clients' connections kept open: {:.1} KiB each (both ends are in this process)",
        (used().1 - before) / CONNECTIONS as f64
    );
}
