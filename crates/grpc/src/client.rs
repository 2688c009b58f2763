//! The client's side of one connection.

use crate::Limits;
use crate::codec::{Inbound, Outbound};
use crate::server::keep_alive;
use crate::status::{Code, Status};
use bytes::Bytes;
use dahliapoint_fibers::{Elapsed, async_stream, block_on, block_on_until, dial, spawn};
use h2::client::{ResponseFuture, SendRequest};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use prost::Message;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// A connection to a server; clones share it. It ends when the last clone and call are gone.
#[derive(Clone)]
pub struct Connection {
    calls: SendRequest<Bytes>,
    authority: String,
    limits: Limits,
    over: Arc<AtomicBool>,
}

/// A call under way: the answers' headers are read with the first message.
pub struct PendingCall {
    pub outbound: Outbound,
    answer: ResponseFuture,
    until: Option<Instant>,
    most: usize,
}

impl Connection {
    /// Connects; the wait ends with the limits' patience.
    ///
    /// # Errors
    /// `Unavailable` with what went wrong.
    pub fn connect(to: SocketAddr, limits: Limits) -> Result<Connection, Status> {
        let gone = |e: &dyn std::fmt::Display| Status::new(Code::Unavailable, e.to_string());
        let socket = dial(to, limits.peer_timeout).map_err(|e| gone(&e))?;
        let io = async_stream(socket, limits.peer_timeout).map_err(|e| gone(&e))?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(limits.call_window_bytes)
            .initial_connection_window_size(limits.connection_window_bytes)
            .max_header_list_size(limits.max_header_bytes)
            .enable_push(false);
        let until = Some(Instant::now() + limits.peer_timeout);
        let (calls, mut link) = block_on_until(builder.handshake(io), until)
            .map_err(|Elapsed| gone(&"no handshake in time"))?
            .map_err(|e| gone(&e))?;
        let over = Arc::new(AtomicBool::new(false));
        let dead = Arc::new(AtomicBool::new(false));
        let poke = Arc::new(Mutex::new(None::<Waker>));
        if let Some(pings) = link.ping_pong() {
            let (dead, poke) = (dead.clone(), poke.clone());
            spawn(move || keep_alive(pings, limits, &dead, &poke));
        }
        let ended = over.clone();
        spawn(move || {
            let mut link = pin!(link);
            block_on(poll_fn(|context| {
                *poke.lock().unwrap_or_else(|e| e.into_inner()) = Some(context.waker().clone());
                if dead.load(Ordering::SeqCst) {
                    return Poll::Ready(());
                }
                link.as_mut().poll(context).map(|_| ())
            }));
            ended.store(true, Ordering::SeqCst);
        });
        Ok(Connection {
            calls,
            authority: to.to_string(),
            limits,
            over,
        })
    }

    /// The connection has ended; calls on it fail.
    pub fn is_closed(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Opens a call, with a time limit if there is one.
    ///
    /// # Errors
    /// `Unavailable` if the connection is gone or takes no more calls.
    pub fn start_call(&self, path: &str, limit: Option<Duration>) -> Result<PendingCall, Status> {
        self.start_call_with_headers(path, limit, &[])
    }

    /// Like [`Connection::start_call`], with headers of the caller's own.
    ///
    /// # Errors
    /// As there.
    pub fn start_call_with_headers(
        &self,
        path: &str,
        limit: Option<Duration>,
        more: &[(&'static str, &str)],
    ) -> Result<PendingCall, Status> {
        let wrong = |e: &dyn std::fmt::Display| Status::new(Code::InvalidArgument, e.to_string());
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.authority))
            .body(())
            .map_err(|e| wrong(&e))?;
        let headers: &mut HeaderMap = request.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        headers.insert("te", HeaderValue::from_static("trailers"));
        if let Some(limit) = limit {
            let text = format!("{}m", limit.as_millis().min(99_999_999));
            let value = HeaderValue::from_str(&text).map_err(|e| wrong(&e))?;
            headers.insert("grpc-timeout", value);
        }
        for (name, value) in more {
            let value = HeaderValue::from_str(value).map_err(|e| wrong(&e))?;
            headers.insert(HeaderName::from_static(name), value);
        }
        let until = limit.map(|limit| Instant::now() + limit);
        let patience = Some(until.unwrap_or_else(|| Instant::now() + self.limits.peer_timeout));
        let mut calls = self.calls.clone();
        let ready = block_on_until(poll_fn(|c| calls.poll_ready(c)), patience);
        let ready = ready.map_err(|Elapsed| Status::new(Code::Unavailable, "no call is free"));
        ready?.map_err(|e| Status::lost(&e))?;
        let sent = calls.send_request(request, false);
        let (answer, stream) = sent.map_err(|e| Status::lost(&e))?;
        Ok(PendingCall {
            outbound: Outbound {
                stream,
                until,
                client: true,
                done: false,
            },
            answer,
            until,
            most: self.limits.max_message_bytes,
        })
    }

    /// One message there, one back.
    ///
    /// # Errors
    /// The call's status, `DeadlineExceeded` when the time is up.
    pub fn unary_call<Q: Message, A: Message + Default>(
        &self,
        path: &str,
        question: &Q,
        limit: Duration,
    ) -> Result<A, Status> {
        let mut dialed = self.start_call(path, Some(limit))?;
        // A server may have answered before it read everything, and takes no more then: what it
        // answered is what counts.
        let _ = dialed.outbound.send(question);
        dialed.outbound.half_close();
        let (_outbound, mut inbound) = dialed.wait_for_response()?;
        let answer = inbound.receive()?;
        let answer = answer.ok_or_else(|| Status::new(Code::Internal, "no message came"))?;
        match inbound.receive::<A>()? {
            None => Ok(answer),
            Some(_) => Err(Status::new(Code::Internal, "a message too many")),
        }
    }
}

impl PendingCall {
    /// Waits for the head of the answer; then messages can be read. A server may answer only after
    /// the first message was sent to it.
    ///
    /// # Errors
    /// The status, if the answer is only that; `Unavailable` for an answer that is not gRPC.
    pub fn wait_for_response(self) -> Result<(Outbound, Inbound), Status> {
        let late = |Elapsed| Status::new(Code::DeadlineExceeded, "no answer in time");
        let head = block_on_until(self.answer, self.until).map_err(late)?;
        let (head, body) = head.map_err(|e| Status::lost(&e))?.into_parts();
        if head.status != http::StatusCode::OK {
            let said = format!("HTTP status {}", head.status);
            return Err(Status::new(Code::Unavailable, said));
        }
        if let Some(status) = Status::read(&head.headers)
            && status.code != Code::Ok
        {
            return Err(status);
        }
        let mut inbound = Inbound::of(body, self.most, true);
        inbound.until = self.until;
        Ok((self.outbound, inbound))
    }
}
