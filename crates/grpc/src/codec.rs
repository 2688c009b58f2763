//! Length-prefixed messages over the streams of HTTP/2, with flow control that reaches the sender.

use crate::status::{Code, Status};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dahliapoint_fibers::{Elapsed, block_on_until};
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use prost::Message;
use std::future::poll_fn;
use std::time::Instant;

const PREFIX_BYTES: usize = 5;

/// Messages that come in.
pub struct Inbound {
    stream: RecvStream,
    buffer: BytesMut,
    max_message_bytes: usize,
    pub(crate) deadline: Option<Instant>,
    /// On a client the end is a status in trailers; on a server it is the end of the request.
    is_client: bool,
}

impl Inbound {
    pub(crate) fn new(stream: RecvStream, max_message_bytes: usize, is_client: bool) -> Inbound {
        Inbound {
            stream,
            buffer: BytesMut::new(),
            max_message_bytes,
            deadline: None,
            is_client,
        }
    }

    /// The next message; none at an orderly end.
    ///
    /// # Errors
    /// The status that the call ended with, or what is wrong with what came.
    pub fn receive<M: Message + Default>(&mut self) -> Result<Option<M>, Status> {
        self.receive_until(self.deadline)
    }

    /// Like [`Inbound::message`], up to a point in time.
    ///
    /// # Errors
    /// As there; `DeadlineExceeded` when nothing came by then, and the call goes on.
    pub fn receive_until<M: Message + Default>(
        &mut self,
        deadline: Option<Instant>,
    ) -> Result<Option<M>, Status> {
        loop {
            if let Some(bytes) = self.take_message()? {
                let wrong = |e| Status::new(Code::InvalidArgument, format!("not the message: {e}"));
                return M::decode(bytes).map(Some).map_err(wrong);
            }
            let late = |Elapsed| Status::new(Code::DeadlineExceeded, "no message in time");
            let data = poll_fn(|c| self.stream.poll_data(c));
            match block_on_until(data, deadline).map_err(late)? {
                Some(Ok(bytes)) => {
                    // Read, so the peer may send as much again: back-pressure up to here only.
                    let _ = self.stream.flow_control().release_capacity(bytes.len());
                    self.buffer.extend_from_slice(&bytes);
                }
                Some(Err(e)) => return Err(Status::from_h2(&e)),
                None => return self.finish_receiving(deadline).map(|()| None),
            }
        }
    }

    /// Cuts a whole message off the buffer, if it holds one.
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
        Ok(Some(self.buffer.split_to(size).freeze()))
    }

    fn finish_receiving(&mut self, deadline: Option<Instant>) -> Result<(), Status> {
        if !self.buffer.is_empty() {
            return Err(Status::new(Code::Internal, "ended within a message"));
        }
        if !self.is_client {
            return Ok(());
        }
        let late = |Elapsed| Status::new(Code::DeadlineExceeded, "no trailers in time");
        let trailers = poll_fn(|c| self.stream.poll_trailers(c));
        match block_on_until(trailers, deadline).map_err(late)? {
            Ok(trailers) => {
                let none = || Status::new(Code::Unknown, "ended without a status");
                let headers = trailers.unwrap_or_default();
                let status = Status::read_from(&headers).ok_or_else(none)?;
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

/// Messages that go out.
pub struct Outbound {
    pub(crate) stream: SendStream<Bytes>,
    pub(crate) deadline: Option<Instant>,
    pub(crate) is_client: bool,
    pub(crate) finished: bool,
}

impl Outbound {
    /// Sends a message, parked until the peer's window has taken all of it. Tells its size on the wire.
    ///
    /// # Errors
    /// The call ended meanwhile, or its time is up.
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
            let late = |Elapsed| Status::new(Code::DeadlineExceeded, "the peer takes nothing");
            let room = poll_fn(|c| self.stream.poll_capacity(c));
            match block_on_until(room, self.deadline).map_err(late)? {
                Some(Ok(room)) => {
                    let part = bytes.split_to(room.min(bytes.len()));
                    let sent = self.stream.send_data(part, false);
                    sent.map_err(|e| Status::from_h2(&e))?;
                }
                Some(Err(e)) => return Err(Status::from_h2(&e)),
                None => return Err(Status::new(Code::Cancelled, "the call is over")),
            }
        }
        Ok(())
    }

    /// Until when messages are to be taken by the peer; one that is not is cut off, and the call with it.
    pub fn set_deadline(&mut self, deadline: Option<Instant>) {
        self.deadline = deadline;
    }

    /// Ends a client's sending side; the answers go on.
    pub fn half_close(&mut self) {
        self.finished = true;
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Ends a call on the server's side, with its status in trailers.
    pub fn finish(mut self, status: &Status) {
        self.finished = true;
        let mut trailers = HeaderMap::new();
        status.write_to(&mut trailers);
        let _ = self.stream.send_trailers(trailers);
    }

    /// Breaks the call off.
    pub fn cancel(mut self) {
        self.finished = true;
        self.stream.send_reset(h2::Reason::CANCEL);
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        // A call that nobody ended is broken off, never left to look complete.
        if !self.finished {
            let reason = match self.is_client {
                true => h2::Reason::CANCEL,
                false => h2::Reason::INTERNAL_ERROR,
            };
            self.stream.send_reset(reason);
        }
    }
}
