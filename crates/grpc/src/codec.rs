//! Length-prefixed messages over the streams of HTTP/2, with flow control that reaches the sender.

use crate::status::{Code, Status};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use dahliapoint_fibers::{Elapsed, block_on_until};
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use prost::Message;
use std::future::poll_fn;
use std::time::Instant;

const PREFIX: usize = 5;

/// Messages that come in.
pub struct Inbound {
    stream: RecvStream,
    buffer: BytesMut,
    most: usize,
    pub(crate) until: Option<Instant>,
    /// On a client the end is a status in trailers; on a server it is the end of the request.
    client: bool,
}

impl Inbound {
    pub(crate) fn of(stream: RecvStream, most: usize, client: bool) -> Inbound {
        Inbound {
            stream,
            buffer: BytesMut::new(),
            most,
            until: None,
            client,
        }
    }

    /// The next message; none at an orderly end.
    ///
    /// # Errors
    /// The status that the call ended with, or what is wrong with what came.
    pub fn receive<M: Message + Default>(&mut self) -> Result<Option<M>, Status> {
        self.receive_until(self.until)
    }

    /// Like [`Inbound::message`], up to a point in time.
    ///
    /// # Errors
    /// As there; `DeadlineExceeded` when nothing came by then, and the call goes on.
    pub fn receive_until<M: Message + Default>(
        &mut self,
        until: Option<Instant>,
    ) -> Result<Option<M>, Status> {
        loop {
            if let Some(bytes) = self.whole()? {
                let wrong = |e| Status::new(Code::InvalidArgument, format!("not the message: {e}"));
                return M::decode(bytes).map(Some).map_err(wrong);
            }
            let late = |Elapsed| Status::new(Code::DeadlineExceeded, "no message in time");
            let data = poll_fn(|c| self.stream.poll_data(c));
            match block_on_until(data, until).map_err(late)? {
                Some(Ok(bytes)) => {
                    // Read, so the peer may send as much again: back-pressure up to here only.
                    let _ = self.stream.flow_control().release_capacity(bytes.len());
                    self.buffer.extend_from_slice(&bytes);
                }
                Some(Err(e)) => return Err(Status::lost(&e)),
                None => return self.end(until).map(|()| None),
            }
        }
    }

    /// Cuts a whole message off the buffer, if it holds one.
    fn whole(&mut self) -> Result<Option<Bytes>, Status> {
        if self.buffer.len() < PREFIX {
            return Ok(None);
        }
        if self.buffer[0] != 0 {
            let said = "compressed messages are not taken";
            return Err(Status::new(Code::Unimplemented, said));
        }
        let size = u32::from_be_bytes([
            self.buffer[1],
            self.buffer[2],
            self.buffer[3],
            self.buffer[4],
        ]) as usize;
        if size > self.most {
            let said = format!("a message of {size} bytes; {} are taken", self.most);
            return Err(Status::new(Code::ResourceExhausted, said));
        }
        if self.buffer.len() < PREFIX + size {
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
        Ok(Some(self.buffer.split_to(size).freeze()))
    }

    fn end(&mut self, until: Option<Instant>) -> Result<(), Status> {
        if !self.buffer.is_empty() {
            return Err(Status::new(Code::Internal, "ended within a message"));
        }
        if !self.client {
            return Ok(());
        }
        let late = |Elapsed| Status::new(Code::DeadlineExceeded, "no trailers in time");
        let trailers = poll_fn(|c| self.stream.poll_trailers(c));
        match block_on_until(trailers, until).map_err(late)? {
            Ok(trailers) => {
                let none = || Status::new(Code::Unknown, "ended without a status");
                let headers = trailers.unwrap_or_default();
                let status = Status::read(&headers).ok_or_else(none)?;
                if status.code == Code::Ok {
                    Ok(())
                } else {
                    Err(status)
                }
            }
            Err(e) => Err(Status::lost(&e)),
        }
    }
}

/// Messages that go out.
pub struct Outbound {
    pub(crate) stream: SendStream<Bytes>,
    pub(crate) until: Option<Instant>,
    pub(crate) client: bool,
    pub(crate) done: bool,
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
        let mut frame = BytesMut::with_capacity(PREFIX + size);
        frame.put_u8(0);
        frame.put_u32(length);
        message
            .encode(&mut frame)
            .map_err(|e| Status::new(Code::Internal, e.to_string()))?;
        let total = frame.len();
        self.write(frame.freeze())?;
        Ok(total)
    }

    fn write(&mut self, mut bytes: Bytes) -> Result<(), Status> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let late = |Elapsed| Status::new(Code::DeadlineExceeded, "the peer takes nothing");
            let room = poll_fn(|c| self.stream.poll_capacity(c));
            match block_on_until(room, self.until).map_err(late)? {
                Some(Ok(room)) => {
                    let part = bytes.split_to(room.min(bytes.len()));
                    let sent = self.stream.send_data(part, false);
                    sent.map_err(|e| Status::lost(&e))?;
                }
                Some(Err(e)) => return Err(Status::lost(&e)),
                None => return Err(Status::new(Code::Cancelled, "the call is over")),
            }
        }
        Ok(())
    }

    /// Until when messages are to be taken by the peer; one that is not is cut off, and the call with it.
    pub fn set_deadline(&mut self, until: Option<Instant>) {
        self.until = until;
    }

    /// Ends a client's sending side; the answers go on.
    pub fn half_close(&mut self) {
        self.done = true;
        let _ = self.stream.send_data(Bytes::new(), true);
    }

    /// Ends a call on the server's side, with its status in trailers.
    pub fn finish(mut self, status: &Status) {
        self.done = true;
        let mut trailers = HeaderMap::new();
        status.write(&mut trailers);
        let _ = self.stream.send_trailers(trailers);
    }

    /// Breaks the call off.
    pub fn cancel(mut self) {
        self.done = true;
        self.stream.send_reset(h2::Reason::CANCEL);
    }
}

impl Drop for Outbound {
    fn drop(&mut self) {
        // A call that nobody ended is broken off, never left to look complete.
        if !self.done {
            let reason = match self.client {
                true => h2::Reason::CANCEL,
                false => h2::Reason::INTERNAL_ERROR,
            };
            self.stream.send_reset(reason);
        }
    }
}
