//! A socket of one descriptor, for one coroutine at a time: every wait on it has an end, and an end
//! that is not reached leaves nothing behind. Others may interrupt it.

use crate::{TcpListener, TcpStream, timer};
use may::io::WaitIo;
use socket2::{Domain, Protocol, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// A handle; clones are the same descriptor, closed with the last of them.
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

/// Takes the next who connects.
///
/// # Errors
/// Whatever the system says; at the limit of descriptors this returns at once each time.
pub fn accept(listener: &TcpListener) -> io::Result<(Socket, SocketAddr)> {
    let (stream, from) = listener.accept()?;
    stream.set_nodelay(true)?;
    Ok((stream.into(), from))
}

impl Socket {
    /// Connects, for at most that long. Given up, its descriptor is closed at once, also while the
    /// other side gives no sign.
    ///
    /// # Errors
    /// When nobody listens there, or none answers in time.
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
        // SAFETY: the descriptor is open, a stream socket, and owned by nobody else from here on.
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

    /// Tries until it does not say that it would block; the end is [`io::ErrorKind::TimedOut`].
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

    /// Reads what there is; 0: the other side has ended.
    ///
    /// # Errors
    /// `TimedOut` if nothing came by then; else what the system says.
    pub fn read(&self, buffer: &mut [u8], until: Option<Instant>) -> io::Result<usize> {
        self.try_until(until, |mut stream| stream.read(buffer))
    }

    /// Hands all of it to the system.
    ///
    /// # Errors
    /// How many bytes were handed over before it broke or the time was up.
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

    /// Ends the wait of whoever waits on it as if the time were up, or the next wait if nobody does. What
    /// has come can still be read.
    pub fn interrupt(&self) {
        self.0.interrupted.store(true, Ordering::Release);
        self.0.stream.waker().wakeup();
    }

    /// Nothing more is written: the other side reads what was, and then the end.
    pub fn shutdown_write(&self) {
        let _ = self.0.stream.inner().shutdown(Shutdown::Write);
    }

    /// Ends it for whoever waits on it.
    pub fn shutdown(&self) {
        let _ = self.0.stream.inner().shutdown(Shutdown::Both);
    }
}

/// `EINPROGRESS` on Linux.
const IN_PROGRESS: i32 = 115;
