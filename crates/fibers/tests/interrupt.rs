//! Interrupting a wait on a socket ends one wait and loses no received bytes; half-closing works.

use dahliapoint_fibers::{Socket, accept, listen, spawn};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// A connected pair: the socket under test and the peer's.
fn pair() -> (Socket, TcpStream) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = spawn(move || accept(&listener).unwrap().0);
    let peer = TcpStream::connect(address).unwrap();
    (accepting.join().unwrap(), peer)
}

/// Reads at most `most` bytes without a deadline.
fn read(socket: &Socket, most: usize) -> Result<Vec<u8>, ErrorKind> {
    let socket = socket.clone();
    let reading = spawn(move || {
        let mut buffer = vec![0; most];
        let read = socket.read(&mut buffer, None);
        read.map(|n| buffer[..n].to_vec()).map_err(|e| e.kind())
    });
    reading.join().unwrap()
}

#[test]
fn an_interruption_ends_one_wait_and_takes_nothing_that_has_come() {
    let (socket, mut peer) = pair();
    // Stored while nothing waits, and consumed by the next wait.
    socket.interrupt();
    assert_eq!(read(&socket, 9), Err(ErrorKind::TimedOut));
    peer.write_all(b"one").unwrap();
    assert_eq!(read(&socket, 9), Ok(b"one".to_vec()));
    // Received bytes are read before the interruption takes effect.
    peer.write_all(b"two").unwrap();
    assert_eq!(read(&socket, 1), Ok(b"t".to_vec()));
    socket.interrupt();
    assert_eq!(read(&socket, 9), Ok(b"wo".to_vec()));
    assert_eq!(read(&socket, 9), Err(ErrorKind::TimedOut));
    // The interruption comes before or during the wait: either way it ends the wait.
    let waiting = {
        let socket = socket.clone();
        spawn(move || socket.read(&mut [0; 9], None).map_err(|e| e.kind()))
    };
    socket.interrupt();
    assert_eq!(waiting.join().unwrap(), Err(ErrorKind::TimedOut));
}

#[test]
fn who_ends_writing_is_read_to_the_end_and_still_reads() {
    let (socket, mut peer) = pair();
    let writing = {
        let socket = socket.clone();
        let soon = std::time::Instant::now() + std::time::Duration::from_secs(60);
        spawn(move || socket.write_all(b"last", soon))
    };
    assert_eq!(writing.join().unwrap(), Ok(()));
    socket.shutdown_write();
    let mut said = String::new();
    peer.read_to_string(&mut said).unwrap();
    assert_eq!(said, "last");
    peer.write_all(b"more").unwrap();
    assert_eq!(read(&socket, 9), Ok(b"more".to_vec()));
}
