//! A TCP socket with a single descriptor that one coroutine uses at a time. Reads and writes take a
//! deadline, a connect that times out closes its descriptor at once, and other coroutines or threads
//! can interrupt a wait.

use crate::{TcpListener, TcpStream, timer};
use may::io::WaitIo;
use socket2::{Domain, Protocol, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A handle to a socket; clones share the descriptor, which is closed with the last of them.
#[derive(Clone)]
pub struct Socket(Arc<Shared>);

struct Shared {
    stream: TcpStream,
    interrupted: AtomicBool,
}

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Socket {
        let interrupted = AtomicBool::new(false);
        Socket(Arc::new(Shared {
            stream,
            interrupted,
        }))
    }
}

/// Accepts the next connection.
///
/// # Errors
/// Any system error. At the descriptor limit every call fails at once.
pub fn accept(listener: &TcpListener) -> io::Result<(Socket, SocketAddr)> {
    let (stream, from) = listener.accept()?;
    stream.set_nodelay(true)?;
    Ok((stream.into(), from))
}

impl Socket {
    /// Connects to an address, waiting at most `patience`. On a timeout the descriptor is closed at
    /// once, even while the peer does not respond.
    ///
    /// # Errors
    /// The error of the connection attempt, or `TimedOut`.
    pub fn dial(to: SocketAddr, patience: Duration) -> io::Result<Socket> {
        crate::set_up();
        let until = Instant::now() + patience;
        let fresh =
            socket2::Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        fresh.set_nonblocking(true)?;
        fresh.set_tcp_nodelay(true)?;
        let begun = match fresh.connect(&to.into()) {
            Ok(()) => true,
            Err(e) if e.raw_os_error() == Some(IN_PROGRESS) => false,
            Err(e) => return Err(e),
        };
        // SAFETY: the descriptor is open, is a stream socket, and has no other owner: `into_raw_fd`
        // gave up its ownership.
        let stream = unsafe { TcpStream::from_raw_fd(fresh.into_raw_fd()) };
        let socket = Socket::from(stream);
        if begun {
            return Ok(socket);
        }
        socket.try_until(Some(until), |stream| {
            if let Some(e) = stream.take_error()? {
                return Err(e);
            }
            match stream.peer_addr() {
                Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                    Err(io::ErrorKind::WouldBlock.into())
                }
                other => other.map(|_| ()),
            }
        })?;
        Ok(socket)
    }

    /// Repeats an operation until it no longer fails with `WouldBlock`.
    ///
    /// # Errors
    /// [`io::ErrorKind::TimedOut`] at the deadline or after an interruption.
    fn try_until<T>(
        &self,
        until: Option<Instant>,
        mut attempt: impl FnMut(&std::net::TcpStream) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut ends: Option<timer::Timer> = None;
        loop {
            match attempt(self.0.stream.inner()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => return other,
            }
            if self.0.interrupted.swap(false, Ordering::AcqRel) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if let Some(at) = until {
                if Instant::now() >= at {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                if ends.as_ref().is_none_or(timer::Timer::has_fired) {
                    ends = Some(timer::wake(at, self.0.stream.waker()));
                }
            }
            self.0.stream.wait_io();
        }
    }

    /// Reads available bytes, waiting for some until a deadline; 0 is the end of the stream.
    ///
    /// # Errors
    /// `TimedOut` at the deadline or after an interruption; else the system's error.
    pub fn read(&self, buffer: &mut [u8], until: Option<Instant>) -> io::Result<usize> {
        self.try_until(until, |mut stream| stream.read(buffer))
    }

    /// Writes all bytes to the system's send buffer.
    ///
    /// # Errors
    /// The number of bytes written before the connection failed or the deadline passed.
    pub fn write_all(&self, bytes: &[u8], until: Instant) -> Result<(), usize> {
        let mut done = 0;
        while done < bytes.len() {
            match self.try_until(Some(until), |mut stream| stream.write(&bytes[done..])) {
                Ok(0) | Err(_) => return Err(done),
                Ok(n) => done += n,
            }
        }
        Ok(())
    }

    /// Ends the current wait on the socket as if its deadline had passed; without one, the next wait.
    /// Bytes already received can still be read.
    pub fn interrupt(&self) {
        self.0.interrupted.store(true, Ordering::Release);
        self.0.stream.waker().wakeup();
    }

    /// Shuts down the sending side: the peer reads what was written, then the end of the stream.
    pub fn shutdown_write(&self) {
        let _ = self.0.stream.inner().shutdown(Shutdown::Write);
    }

    /// Shuts down both directions, which ends any wait on the socket.
    pub fn shutdown(&self) {
        let _ = self.0.stream.inner().shutdown(Shutdown::Both);
    }
}

/// `EINPROGRESS` on Linux: a nonblocking connect has started.
const IN_PROGRESS: i32 = 115;
