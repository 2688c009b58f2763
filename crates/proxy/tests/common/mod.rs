//! A proxy between clients and servers of a test.

#![allow(dead_code, reason = "each test file uses a part of it")]

use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::settings::{self, RosterServer};
use dahliapoint_proxy::xds_client::XdsClient;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Turns a hang into a failure; nothing here takes that long.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Waits for a condition, and fails after the timeout.
pub fn until(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A received message: its head, and its body without framing.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

/// Reads a message. `unread` holds bytes that were read beyond the last one.
pub fn read_message(from: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 4096];
    let mut more = |unread: &mut Vec<u8>| {
        let n = from.read(&mut chunk).ok().filter(|n| *n > 0)?;
        unread.extend_from_slice(&chunk[..n]);
        Some(())
    };
    let end = loop {
        if let Some(at) = unread.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        more(unread)?;
    };
    let head = String::from_utf8(unread.drain(..end).collect()).ok()?;
    let lower = head.to_ascii_lowercase();
    let mut body = Vec::new();
    if lower.contains("transfer-encoding: chunked") {
        loop {
            let at = loop {
                if let Some(at) = unread.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                more(unread)?;
            };
            let line: Vec<u8> = unread.drain(..at + 2).collect();
            let size = usize::from_str_radix(std::str::from_utf8(&line[..at]).ok()?, 16).ok()?;
            while unread.len() < size + 2 {
                more(unread)?;
            }
            body.extend(unread.drain(..size));
            unread.drain(..2);
            if size == 0 {
                return Some(Message { head, body });
            }
        }
    }
    let length = lower.split("content-length: ").nth(1);
    let length = length
        .and_then(|l| l.split("\r\n").next()?.parse().ok())
        .unwrap_or(0);
    while unread.len() < length {
        more(unread)?;
    }
    body.extend(unread.drain(..length));
    Some(Message { head, body })
}

/// Makes the answer to a request.
pub type Answer = dyn Fn(&Message) -> Vec<u8> + Send + Sync;

/// A server with one thread per connection.
pub struct Server {
    pub address: SocketAddr,
    pub visits: Arc<AtomicUsize>,
}

pub fn server(answer: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let visits = Arc::new(AtomicUsize::new(0));
    let (count, answer): (_, Arc<Answer>) = (visits.clone(), Arc::new(answer));
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let (count, answer) = (count.clone(), answer.clone());
            std::thread::spawn(move || {
                let (mut socket, mut unread) = (socket, Vec::new());
                while let Some(message) = read_message(&mut socket, &mut unread) {
                    count.fetch_add(1, Ordering::SeqCst);
                    if socket.write_all(&answer(&message)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Server { address, visits }
}

pub fn ok(body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}

/// A server that echoes the body of a request.
pub fn echo_server() -> Server {
    server(|message| ok(&message.body))
}

pub const SETTINGS: &str = "name: p1\nservice: portal\nzone: east\npace: 20\ncontrollers: ['CONTROLLER']\n\
    listen: 127.0.0.1:0\nroster: none\nredial: {from: 10ms, to: 30ms}\nshun: {after: 5, for: 300ms}\n\
    classes: [{name: view, hard_limit: 1s, repeat: safe}, {name: pay, hard_limit: 1s}]\n";

pub struct Proxy {
    pub address: SocketAddr,
    pub plane: Arc<DataPlane>,
    pub xds_client: Arc<XdsClient>,
}

pub fn proxy(controller: SocketAddr, servers: &[SocketAddr], more_settings: &str) -> Proxy {
    proxy_with(controller, servers, |settings| settings + more_settings)
}

/// A proxy with changed settings.
pub fn proxy_with(
    controller: SocketAddr,
    servers: &[SocketAddr],
    change: impl FnOnce(String) -> String,
) -> Proxy {
    let text = change(SETTINGS.replace("CONTROLLER", &controller.to_string()));
    let settings = settings::parse("p.yaml", &text).unwrap();
    let roster_server = |(i, address): (usize, &SocketAddr)| RosterServer {
        name: format!("s{i}"),
        address: *address,
        zone: "east".into(),
        ready: true,
    };
    let roster: Vec<RosterServer> = servers.iter().enumerate().map(roster_server).collect();
    let plane = DataPlane::new(settings, &roster);
    Proxy {
        address: plane.serve().unwrap(),
        xds_client: XdsClient::start(plane.clone()),
        plane,
    }
}

pub fn unused_address() -> SocketAddr {
    // Bound and closed again: nothing listens there.
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

pub struct Client {
    pub socket: TcpStream,
    pub unread: Vec<u8>,
}

impl Client {
    pub fn of(proxy: &Proxy) -> Client {
        let socket = TcpStream::connect(proxy.address).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client {
            socket,
            unread: Vec::new(),
        }
    }

    /// Sends bytes and reads the answer.
    pub fn send(&mut self, text: &[u8]) -> Option<Message> {
        self.socket.write_all(text).ok()?;
        read_message(&mut self.socket, &mut self.unread)
    }

    /// Makes a visit and returns the status of the answer; 0 without one.
    pub fn visit(&mut self, class: &str) -> u16 {
        let text = format!("GET /{class}/x?y=1 HTTP/1.1\r\nHost: h\r\n\r\n");
        let message = self.send(text.as_bytes());
        message.map_or(0, |c| status(&c))
    }
}

pub fn status(message: &Message) -> u16 {
    message.head[9..12].parse().unwrap()
}
