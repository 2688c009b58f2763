//! A socket behind the traits `AsyncRead` and `AsyncWrite`. One coroutine reads from the socket into
//! a bounded buffer, another writes a second buffer to the socket; [`AsyncStream`] polls the buffers.

use crate::{InputTurns, TcpStream, block_on, shutdown_at, spawn};
use bytes::{Buf, BytesMut};
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes buffered in one direction; beyond that the sender waits.
const BUFFER_BYTES: usize = 64 * 1024;
/// Bytes read from the socket at a time.
const READ_BYTES: usize = 16 * 1024;

/// The bytes in transit in one direction.
#[derive(Default)]
struct Buffer {
    data: BytesMut,
    /// No more data is added; what is buffered can still be taken.
    ended: bool,
    /// The receiver is gone: no data is taken any more.
    receiver_gone: bool,
    error: Option<io::ErrorKind>,
    wakers: Vec<Waker>,
}

impl Buffer {
    /// Registers the task to be woken by the next change.
    fn register(&mut self, context: &Context<'_>) {
        if !self.wakers.iter().any(|w| w.will_wake(context.waker())) {
            self.wakers.push(context.waker().clone());
        }
    }
}

/// A handle to a buffer; clones share it.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Buffer>>);

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes the buffer and wakes its waiters after the lock is released.
    fn update<T>(&self, update: impl FnOnce(&mut Buffer) -> T) -> T {
        let mut buffer = self.lock();
        let out = update(&mut buffer);
        let wakers = std::mem::take(&mut buffer.wakers);
        drop(buffer);
        wakers.into_iter().for_each(Waker::wake);
        out
    }

    /// Polls for free space and returns its size; `None` once the receiver is gone.
    fn poll_space(&self, context: &Context<'_>) -> Poll<Option<usize>> {
        let mut buffer = self.lock();
        if buffer.receiver_gone {
            Poll::Ready(None)
        } else if buffer.data.len() < BUFFER_BYTES {
            Poll::Ready(Some(BUFFER_BYTES - buffer.data.len()))
        } else {
            buffer.register(context);
            Poll::Pending
        }
    }

    /// Polls for data or the end of data.
    fn poll_data(&self, context: &Context<'_>) -> Poll<()> {
        let mut buffer = self.lock();
        if buffer.data.is_empty() && !buffer.ended {
            buffer.register(context);
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}

/// A socket that futures read and write. After a drop, buffered data is written and then the socket
/// is closed.
pub struct AsyncStream {
    inbound: SharedBuffer,
    outbound: SharedBuffer,
}

/// Wraps a connected socket. Writing one batch of buffered bytes may take `timeout`; then the
/// connection is closed.
///
/// # Errors
/// If the socket cannot be cloned or configured.
pub fn async_stream(socket: TcpStream, timeout: Duration) -> io::Result<AsyncStream> {
    socket.set_nodelay(true)?;
    let (mut reader, mut writer) = (socket.try_clone()?, socket);
    let (inbound, outbound) = (SharedBuffer::default(), SharedBuffer::default());
    let received = inbound.clone();
    spawn(move || {
        let mut chunk = vec![0; READ_BYTES];
        let mut turns = InputTurns::default();
        while let Some(space) = block_on(poll_fn(|c| received.poll_space(c))) {
            match turns.read(&mut reader, &mut chunk[..space.min(READ_BYTES)]) {
                Ok(0) => break,
                Ok(n) => received.update(|buffer| buffer.data.extend_from_slice(&chunk[..n])),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    received.update(|buffer| buffer.error = Some(e.kind()));
                    break;
                }
            }
        }
        received.update(|buffer| buffer.ended = true);
    });
    let (to_send, inbound_of_writer) = (outbound.clone(), inbound.clone());
    spawn(move || {
        loop {
            block_on(poll_fn(|c| to_send.poll_data(c)));
            let bytes = to_send.update(|buffer| buffer.data.split());
            if bytes.is_empty() {
                break;
            }
            let timer = shutdown_at(&writer, Instant::now() + timeout);
            let written = timer.and_then(|_timer| writer.write_all(&bytes));
            if let Err(e) = written {
                to_send
                    .update(|buffer| (buffer.receiver_gone, buffer.error) = (true, Some(e.kind())));
                break;
            }
        }
        to_send.update(|buffer| buffer.receiver_gone = true);
        // Stops the reader as well: its read returns the end of the stream.
        let _ = writer.shutdown(Shutdown::Both);
        inbound_of_writer.update(|buffer| buffer.receiver_gone = true);
    });
    Ok(AsyncStream { inbound, outbound })
}

impl AsyncRead for AsyncStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.inbound.poll_data(context).is_pending() {
            return Poll::Pending;
        }
        self.inbound.update(|buffer| {
            let n = buffer.data.len().min(out.remaining());
            out.put_slice(&buffer.data[..n]);
            buffer.data.advance(n);
            match buffer.error {
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
        match self.outbound.poll_space(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                let kind = self.outbound.lock().error;
                Poll::Ready(Err(kind.unwrap_or(io::ErrorKind::BrokenPipe).into()))
            }
            Poll::Ready(Some(space)) => {
                let n = space.min(bytes.len());
                self.outbound
                    .update(|buffer| buffer.data.extend_from_slice(&bytes[..n]));
                Poll::Ready(Ok(n))
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.outbound.update(|buffer| buffer.ended = true);
        Poll::Ready(Ok(()))
    }
}

impl Drop for AsyncStream {
    fn drop(&mut self) {
        self.outbound.update(|buffer| buffer.ended = true);
        self.inbound.update(|buffer| buffer.receiver_gone = true);
    }
}
