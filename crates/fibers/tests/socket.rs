//! Timeouts of reads and connects. The only test of its file, since it counts the descriptors of the
//! process.

use dahliapoint_fibers::{Socket, accept, listen, spawn};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

#[test]
fn every_wait_ends_and_an_end_leaves_nothing_behind() {
    // A read that times out leaves the socket usable.
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let reading = spawn(move || {
        let (socket, _) = accept(&listener).unwrap();
        let soon = || Some(Instant::now() + Duration::from_millis(20));
        let mut buffer = [0; 16];
        let first = socket.read(&mut buffer, soon()).unwrap_err().kind();
        // Signals the peer to continue.
        socket
            .write_all(b"x", Instant::now() + Duration::from_secs(5))
            .unwrap();
        let n = socket.read(&mut buffer, None).unwrap();
        let end = socket.read(&mut buffer, None);
        (first, buffer[..n].to_vec(), end.unwrap_or(usize::MAX))
    });
    let mut peer = TcpStream::connect(address).unwrap();
    std::io::Read::read_exact(&mut peer, &mut [0; 1]).unwrap();
    peer.write_all(b"late").unwrap();
    drop(peer);
    let (first, then, end) = reading.join().unwrap();
    assert_eq!(
        (first, then.as_slice(), end),
        (ErrorKind::TimedOut, &b"late"[..], 0)
    );

    // An address without a listener, then a listener whose accept queue is full.
    let nobody = spawn(move || {
        Socket::dial(address, Duration::from_secs(5))
            .err()
            .map(|e| e.kind())
    });
    assert_eq!(nobody.join().unwrap(), Some(ErrorKind::ConnectionRefused));
    let full = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    full.bind(
        &"127.0.0.1:0"
            .parse::<std::net::SocketAddr>()
            .unwrap()
            .into(),
    )
    .unwrap();
    full.listen(0).unwrap();
    let address = full.local_addr().unwrap().as_socket().unwrap();
    let mut held = Vec::new();
    while let Ok(socket) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        held.push(socket);
    }
    let before = descriptors();
    let dials: Vec<_> = (0..8)
        .map(|_| {
            spawn(move || {
                Socket::dial(address, Duration::from_millis(30))
                    .err()
                    .map(|e| e.kind())
            })
        })
        .collect();
    for dial in dials {
        assert_eq!(dial.join().unwrap(), Some(ErrorKind::TimedOut));
    }
    assert_eq!(descriptors(), before);
}
