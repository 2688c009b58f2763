//! A TCP socket with a single descriptor that one coroutine uses at a time. Reads and writes take a
//! deadline, a connect that times out closes its descriptor at once, and other coroutines or threads
//! can interrupt a wait.

use crate::turns::{InputTurns, pause};
use crate::{TcpListener, TcpStream, timer};
use may::io::WaitIo;
use socket2::{Domain, Protocol, Type};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A handle to a socket; clones share the descriptor, which is closed with the last of them.
#[derive(Clone)]
pub struct Socket(Arc<Shared>);

/// The descriptor and the pending interruption.
struct Shared {
    stream: TcpStream,
    interrupted: AtomicBool,
    turns: Mutex<InputTurns>,
}

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Socket {
        let interrupted = AtomicBool::new(false);
        Socket(Arc::new(Shared {
            stream,
            interrupted,
            turns: Mutex::default(),
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
    /// Connects to an address, waiting at most `timeout`. On a timeout the descriptor is closed at
    /// once, even while the peer does not respond.
    ///
    /// # Errors
    /// The error of the connection attempt, or `TimedOut`.
    pub fn dial(to: SocketAddr, timeout: Duration) -> io::Result<Socket> {
        crate::configure();
        let deadline = Instant::now() + timeout;
        let raw = socket2::Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        raw.set_nonblocking(true)?;
        raw.set_tcp_nodelay(true)?;
        let connected = match raw.connect(&to.into()) {
            Ok(()) => true,
            Err(e) if e.raw_os_error() == Some(EINPROGRESS) => false,
            Err(e) => return Err(e),
        };
        // SAFETY: the descriptor is open, is a stream socket, and has no other owner: `into_raw_fd`
        // gave up its ownership.
        let stream = unsafe { TcpStream::from_raw_fd(raw.into_raw_fd()) };
        let socket = Socket::from(stream);
        if connected {
            return Ok(socket);
        }
        socket.retry_until(Some(deadline), |stream| {
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
    fn retry_until<T>(
        &self,
        deadline: Option<Instant>,
        mut operation: impl FnMut(&std::net::TcpStream) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut timer: Option<timer::Timer> = None;
        loop {
            match operation(self.0.stream.inner()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                other => return other,
            }
            if self.0.interrupted.swap(false, Ordering::AcqRel) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            if let Some(at) = deadline {
                if Instant::now() >= at {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                if timer.as_ref().is_none_or(timer::Timer::has_fired) {
                    timer = Some(timer::wake_at(at, self.0.stream.waker()));
                }
            }
            self.0.stream.wait_io();
        }
    }

    /// Reads available bytes, waiting for some until a deadline; 0 is the end of the stream. Pauses if the
    /// input has not paused for too long.
    ///
    /// # Errors
    /// `TimedOut` at the deadline or after an interruption; else the system's error.
    pub fn read(&self, buffer: &mut [u8], deadline: Option<Instant>) -> io::Result<usize> {
        let mut has_waited = false;
        let read = self.retry_until(deadline, |mut stream| {
            let read = stream.read(buffer);
            has_waited |= matches!(&read, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            read
        });
        if self.has_to_pause(has_waited) {
            pause();
        }
        read
    }

    /// Records a read. Returns whether the caller has to pause.
    fn has_to_pause(&self, has_waited: bool) -> bool {
        let turns = self.0.turns.lock();
        let mut turns = turns.unwrap_or_else(PoisonError::into_inner);
        if has_waited {
            turns.waited();
            return false;
        }
        turns.did_not_wait()
    }

    /// Writes all bytes to the system's send buffer.
    ///
    /// # Errors
    /// The number of bytes written before the connection failed or the deadline passed.
    pub fn write_all(&self, bytes: &[u8], deadline: Instant) -> Result<(), usize> {
        let mut written = 0;
        while written < bytes.len() {
            match self.retry_until(Some(deadline), |mut stream| stream.write(&bytes[written..])) {
                Ok(0) | Err(_) => return Err(written),
                Ok(n) => written += n,
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

/// The error code of Linux for a nonblocking connect in progress.
const EINPROGRESS: i32 = 115;
