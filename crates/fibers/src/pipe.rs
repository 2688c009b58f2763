//! A socket behind the traits `AsyncRead` and `AsyncWrite`. One coroutine reads from the socket into
//! a bounded buffer, another writes a second buffer to the socket; [`AsyncStream`] polls the buffers.

use crate::{TcpStream, block_on, shutdown_at, spawn};
use bytes::{Buf, BytesMut};
use std::future::poll_fn;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes buffered in one direction; beyond that the sender waits.
const MOST: usize = 64 * 1024;
/// Bytes read from the socket at a time.
const CHUNK: usize = 16 * 1024;

/// The buffer of one direction.
#[derive(Default)]
struct Half {
    data: BytesMut,
    /// No more data is added; what is buffered can still be taken.
    ended: bool,
    /// The receiver is gone: no data is taken any more.
    deaf: bool,
    fault: Option<io::ErrorKind>,
    waiting: Vec<Waker>,
}

impl Half {
    /// Registers the task to be woken by the next change.
    fn wait(&mut self, context: &Context<'_>) {
        if !self.waiting.iter().any(|w| w.will_wake(context.waker())) {
            self.waiting.push(context.waker().clone());
        }
    }
}

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Half>>);

impl Shared {
    fn half(&self) -> MutexGuard<'_, Half> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes the buffer and wakes its waiters after the lock is released.
    fn change<T>(&self, change: impl FnOnce(&mut Half) -> T) -> T {
        let mut half = self.half();
        let out = change(&mut half);
        let waiting = std::mem::take(&mut half.waiting);
        drop(half);
        waiting.into_iter().for_each(Waker::wake);
        out
    }

    /// Polls for free space and returns its size; `None` once the receiver is gone.
    fn poll_room(&self, context: &Context<'_>) -> Poll<Option<usize>> {
        let mut half = self.half();
        if half.deaf {
            Poll::Ready(None)
        } else if half.data.len() < MOST {
            Poll::Ready(Some(MOST - half.data.len()))
        } else {
            half.wait(context);
            Poll::Pending
        }
    }

    /// Polls for data or the end of data.
    fn poll_data(&self, context: &Context<'_>) -> Poll<()> {
        let mut half = self.half();
        if half.data.is_empty() && !half.ended {
            half.wait(context);
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

/// A socket that futures read and write. After a drop, buffered data is written and then the socket
/// is closed.
pub struct AsyncStream {
    inbound: Shared,
    outbound: Shared,
}

/// Wraps a connected socket. Writing one batch of buffered bytes may take `patience`; then the
/// connection is closed.
///
/// # Errors
/// If the socket cannot be cloned or configured.
pub fn async_stream(socket: TcpStream, patience: Duration) -> io::Result<AsyncStream> {
    socket.set_nodelay(true)?;
    let (mut reader, mut writer) = (socket.try_clone()?, socket);
    let (inbound, outbound) = (Shared::default(), Shared::default());
    let to = inbound.clone();
    spawn(move || {
        let mut chunk = vec![0; CHUNK];
        while let Some(room) = block_on(poll_fn(|c| to.poll_room(c))) {
            match reader.read(&mut chunk[..room.min(CHUNK)]) {
                Ok(0) => break,
                Ok(n) => to.change(|half| half.data.extend_from_slice(&chunk[..n])),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    to.change(|half| half.fault = Some(e.kind()));
                    break;
                }
            }
        }
        to.change(|half| half.ended = true);
    });
    let (from, inbound_too) = (outbound.clone(), inbound.clone());
    spawn(move || {
        loop {
            block_on(poll_fn(|c| from.poll_data(c)));
            let bytes = from.change(|half| half.data.split());
            if bytes.is_empty() {
                break;
            }
            let end = shutdown_at(&writer, Instant::now() + patience);
            let written = end.and_then(|_end| writer.write_all(&bytes));
            if let Err(e) = written {
                from.change(|half| (half.deaf, half.fault) = (true, Some(e.kind())));
                break;
            }
        }
        from.change(|half| half.deaf = true);
        // Stops the reader as well: its read returns the end of the stream.
        let _ = writer.shutdown(Shutdown::Both);
        inbound_too.change(|half| half.deaf = true);
    });
    Ok(AsyncStream { inbound, outbound })
}

impl AsyncRead for AsyncStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.inbound.poll_data(context).is_pending() {
            return Poll::Pending;
        }
        self.inbound.change(|half| {
            let n = half.data.len().min(buffer.remaining());
            buffer.put_slice(&half.data[..n]);
            half.data.advance(n);
            match half.fault {
                Some(kind) if n == 0 => Poll::Ready(Err(kind.into())),
                _ => Poll::Ready(Ok(())),
            }
        })
    }
}

impl AsyncWrite for AsyncStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.outbound.poll_room(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                let kind = self.outbound.half().fault;
                Poll::Ready(Err(kind.unwrap_or(io::ErrorKind::BrokenPipe).into()))
            }
            Poll::Ready(Some(room)) => {
                let n = room.min(bytes.len());
                self.outbound
                    .change(|half| half.data.extend_from_slice(&bytes[..n]));
                Poll::Ready(Ok(n))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.outbound.change(|half| half.ended = true);
        Poll::Ready(Ok(()))
    }
}

impl Drop for AsyncStream {
    fn drop(&mut self) {
        self.outbound.change(|half| half.ended = true);
        self.inbound.change(|half| half.deaf = true);
    }
}
