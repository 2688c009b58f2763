//! Length-prefixed messages over HTTP/2 streams. Flow control slows the sender down to the speed of the reader.

use crate::status::{Code, Status};
use crate::unfinished::HeldBytes;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dahliapoint_fibers::{Elapsed, block_on_until};
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use prost::Message;
use std::future::poll_fn;
use std::time::Instant;

/// Prefix of a message: a flag for compression and the length as four bytes, big-endian.
const PREFIX_BYTES: usize = 5;

/// The receiving side of a call.
pub struct Inbound {
    stream: RecvStream,
    buffer: BytesMut,
    max_message_bytes: usize,
    pub(crate) deadline: Option<Instant>,
    /// A client expects a status in trailers at the end of the stream; a server expects nothing more.
    is_client: bool,
    /// Set on a server.
    held: Option<HeldBytes>,
}

impl Inbound {
    /// The receiving side of a client's call, or with `held` of a server's.
    pub(crate) fn new(
        stream: RecvStream,
        max_message_bytes: usize,
        held: Option<HeldBytes>,
    ) -> Inbound {
        let is_client = held.is_none();
        Inbound {
            held,
            stream,
            buffer: BytesMut::new(),
            max_message_bytes,
            deadline: None,
            is_client,
        }
    }

    /// Waits for the next message; none after the last one of a call that ended with status OK.
    ///
    /// # Errors
    /// The status that the call ended with, or a status about data that is not a message.
    pub fn receive<M: Message + Default>(&mut self) -> Result<Option<M>, Status> {
        self.receive_until(self.deadline)
    }

    /// Like [`Inbound::receive`], with a deadline for this message.
    ///
    /// # Errors
    /// Those of [`Inbound::receive`]; `DeadlineExceeded` if no message arrived by the deadline. The call stays
    /// open then, and a later call can receive the message.
    pub fn receive_until<M: Message + Default>(
        &mut self,
        deadline: Option<Instant>,
    ) -> Result<Option<M>, Status> {
        loop {
            if let Some(bytes) = self.take_message()? {
                let invalid =
                    |e| Status::new(Code::InvalidArgument, format!("not the message: {e}"));
                return M::decode(bytes).map(Some).map_err(invalid);
            }
            let timed_out = |Elapsed| Status::new(Code::DeadlineExceeded, "no message in time");
            let data = poll_fn(|c| self.stream.poll_data(c));
            match block_on_until(data, deadline).map_err(timed_out)? {
                Some(Ok(bytes)) => {
                    // The data is read, so the window opens by as much: only unread data holds the peer up.
                    let _ = self.stream.flow_control().release_capacity(bytes.len());
                    self.buffer.extend_from_slice(&bytes);
                    self.check_held()?;
                }
                Some(Err(e)) => return Err(Status::from_h2(&e)),
                None => return self.finish_receiving(deadline).map(|()| None),
            }
        }
    }

    /// Checks the bytes that all calls hold together.
    fn check_held(&mut self) -> Result<(), Status> {
        let bytes = self.buffer.len();
        match self.held.as_mut().is_none_or(|held| held.set(bytes)) {
            true => Ok(()),
            false => {
                let message = "unfinished messages of all calls take too much memory";
                Err(Status::new(Code::ResourceExhausted, message))
            }
        }
    }

    /// Removes the first message from the buffer, if it is complete.
    fn take_message(&mut self) -> Result<Option<Bytes>, Status> {
        if self.buffer.len() < PREFIX_BYTES {
            return Ok(None);
        }
        if self.buffer[0] != 0 {
            let message = "compressed messages are not taken";
            return Err(Status::new(Code::Unimplemented, message));
        }
        let size = u32::from_be_bytes([
            self.buffer[1],
            self.buffer[2],
            self.buffer[3],
            self.buffer[4],
        ]) as usize;
        if size > self.max_message_bytes {
            let message = format!(
                "a message of {size} bytes; {} are taken",
                self.max_message_bytes
            );
            return Err(Status::new(Code::ResourceExhausted, message));
        }
        if self.buffer.len() < PREFIX_BYTES + size {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let message = self.buffer.split_to(size).freeze();
        if let Some(held) = &mut self.held {
            held.set(self.buffer.len());
        }
        Ok(Some(message))
    }

    /// Checks the end of the stream: no partial message, and on a client a status in the trailers.
    fn finish_receiving(&mut self, deadline: Option<Instant>) -> Result<(), Status> {
        if !self.buffer.is_empty() {
            return Err(Status::new(Code::Internal, "ended within a message"));
        }
        if !self.is_client {
            return Ok(());
        }
        let timed_out = |Elapsed| Status::new(Code::DeadlineExceeded, "no trailers in time");
        let trailers = poll_fn(|c| self.stream.poll_trailers(c));
        match block_on_until(trailers, deadline).map_err(timed_out)? {
            Ok(trailers) => {
                let no_status = || Status::new(Code::Unknown, "ended without a status");
                let headers = trailers.unwrap_or_default();
                let status = Status::read_from(&headers).ok_or_else(no_status)?;
                if status.code == Code::Ok {
                    Ok(())
                } else {
                    Err(status)
                }
            }
            Err(e) => Err(Status::from_h2(&e)),
        }
    }
}

/// The sending side of a call.
pub struct Outbound {
    pub(crate) stream: SendStream<Bytes>,
    pub(crate) deadline: Option<Instant>,
    pub(crate) is_client: bool,
    pub(crate) finished: bool,
}

impl Outbound {
    /// Sends a message; blocks the coroutine until the peer's flow-control window has room for all of it. Returns
    /// its size on the wire in bytes, prefix included.
    ///
    /// # Errors
    /// `DeadlineExceeded` after the deadline, otherwise the status of a call that ended meanwhile.
    pub fn send<M: Message>(&mut self, message: &M) -> Result<usize, Status> {
        let size = message.encoded_len();
        let length = u32::try_from(size)
            .map_err(|_| Status::new(Code::ResourceExhausted, "a message over 4 GiB"))?;
        let mut frame = BytesMut::with_capacity(PREFIX_BYTES + size);
        frame.put_u8(0);
        frame.put_u32(length);
        message
            .encode(&mut frame)
            .map_err(|e| Status::new(Code::Internal, e.to_string()))?;
        let total = frame.len();
        self.write_all(frame.freeze())?;
        Ok(total)
    }

    fn write_all(&mut self, mut bytes: Bytes) -> Result<(), Status> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let timed_out = |Elapsed| Status::new(Code::DeadlineExceeded, "the peer takes nothing");
            let capacity = poll_fn(|c| self.stream.poll_capacity(c));
            match block_on_until(capacity, self.deadline).map_err(timed_out)? {
                Some(Ok(capacity)) => {
                    let part = bytes.split_to(capacity.min(bytes.len()));
                    let sent = self.stream.send_data(part, false);
                    sent.map_err(|e| Status::from_h2(&e))?;
                }
                Some(Err(e)) => return Err(Status::from_h2(&e)),
                None => return Err(Status::new(Code::Cancelled, "the call is over")),
            }
        }
        Ok(())
    }

    /// Sets the deadline for sending. A message that the window has no room for by then may be sent in part, so
    /// the caller has to cancel the call after such an error.
    pub fn set_deadline(&mut self, deadline: Option<Instant>) {
        self.deadline = deadline;
    }

    /// Ends the sending side of a client; responses are still received.
    pub fn half_close(&mut self) {
        self.finished = true;
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Ends a call on the server with its status in trailers.
    pub fn finish(mut self, status: &Status) {
        self.finished = true;
        let mut trailers = HeaderMap::new();
        status.write_to(&mut trailers);
        let _ = self.stream.send_trailers(trailers);
    }

    /// Resets the stream with `CANCEL`.
    pub fn cancel(mut self) {
        self.finished = true;
        self.stream.send_reset(h2::Reason::CANCEL);
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        // A call that was not ended is reset, so that the peer can't take it for complete.
        if !self.finished {
            let reason = match self.is_client {
                true => h2::Reason::CANCEL,
                false => h2::Reason::INTERNAL_ERROR,
            };
            self.stream.send_reset(reason);
        }
    }
}
