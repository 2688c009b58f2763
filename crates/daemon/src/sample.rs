//! The sample service: an embedded deployment and three small servers on loopback within the process, so that the
//! program runs without any files.

use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_fibers::{TcpStream, listen, sleep, spawn};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The deployment that is used when no file is given.
pub const DEPLOYMENT: &str = include_str!("sample.yaml");

/// Starts the sample's servers and returns their roster.
///
/// # Errors
/// Fails if no port can be bound.
pub fn servers(zones: &[String]) -> io::Result<Vec<RosterEntry>> {
    let mut entries = Vec::new();
    for i in 0..3 {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?.to_string();
        spawn(move || {
            for socket in listener.incoming() {
                match socket {
                    Ok(socket) => drop(spawn(move || answer(socket))),
                    Err(_) => sleep(Duration::from_millis(50)),
                }
            }
        });
        entries.push(RosterEntry {
            name: format!("sample-{}", i + 1),
            address,
            zone: zones[i % zones.len()].clone(),
            state: AdminState::Ready,
            weight: 1.0,
            started: None,
        });
    }
    Ok(entries)
}

/// Answers every request on a connection with status 200.
fn answer(mut socket: TcpStream) {
    let mut bytes = Vec::new();
    let mut chunk = [0; 2048];
    while let Ok(n) = socket.read(&mut chunk) {
        bytes.extend_from_slice(&chunk[..n]);
        if n == 0 || bytes.len() > 16_384 {
            return;
        }
        while let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            bytes.drain(..end + 4);
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n";
            if socket.write_all(response).is_err() {
                return;
            }
        }
    }
}
