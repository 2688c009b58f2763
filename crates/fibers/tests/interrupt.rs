//! What others may do to who waits on a socket: end the wait, not lose what has come.

use dahliapoint_fibers::{Socket, accept, listen, spawn};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

/// A connected pair: ours, and the other side's.
fn pair() -> (Socket, TcpStream) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = spawn(move || accept(&listener).unwrap().0);
    let peer = TcpStream::connect(address).unwrap();
    (accepting.join().unwrap(), peer)
}

/// Reads at most so many bytes, without an end of its own.
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
    // Kept while nobody waits, and used up by the first who does.
    socket.interrupt();
    assert_eq!(read(&socket, 9), Err(ErrorKind::TimedOut));
    peer.write_all(b"one").unwrap();
    assert_eq!(read(&socket, 9), Ok(b"one".to_vec()));
    // What has come is read first: the rest of a word whose beginning was.
    peer.write_all(b"two").unwrap();
    assert_eq!(read(&socket, 1), Ok(b"t".to_vec()));
    socket.interrupt();
    assert_eq!(read(&socket, 9), Ok(b"wo".to_vec()));
    assert_eq!(read(&socket, 9), Err(ErrorKind::TimedOut));
    // It reaches who waits already, or whoever waits next: either way one wait ends.
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
