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
    requests: SendRequest<Bytes>,
    authority: String,
    limits: Limits,
    closed: Arc<AtomicBool>,
}

/// A call under way: the answers' headers are read with the first message.
pub struct PendingCall {
    pub outbound: Outbound,
    response: ResponseFuture,
    deadline: Option<Instant>,
    max_message_bytes: usize,
}

impl Connection {
    /// Connects; the wait ends with the limits' patience.
    ///
    /// # Errors
    /// `Unavailable` with what went wrong.
    pub fn connect(to: SocketAddr, limits: Limits) -> Result<Connection, Status> {
        let unavailable = |e: &dyn std::fmt::Display| Status::new(Code::Unavailable, e.to_string());
        let socket = dial(to, limits.peer_timeout).map_err(|e| unavailable(&e))?;
        let io = async_stream(socket, limits.peer_timeout).map_err(|e| unavailable(&e))?;
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(limits.call_window_bytes)
            .initial_connection_window_size(limits.connection_window_bytes)
            .max_header_list_size(limits.max_header_bytes)
            .enable_push(false);
        let deadline = Some(Instant::now() + limits.peer_timeout);
        let (requests, mut connection) = block_on_until(builder.handshake(io), deadline)
            .map_err(|Elapsed| unavailable(&"no handshake in time"))?
            .map_err(|e| unavailable(&e))?;
        let closed = Arc::new(AtomicBool::new(false));
        let ping_failed = Arc::new(AtomicBool::new(false));
        let connection_waker = Arc::new(Mutex::new(None::<Waker>));
        if let Some(pings) = connection.ping_pong() {
            let (ping_failed, connection_waker) = (ping_failed.clone(), connection_waker.clone());
            spawn(move || keep_alive(pings, limits, &ping_failed, &connection_waker));
        }
        let closed_flag = closed.clone();
        spawn(move || {
            let mut connection = pin!(connection);
            block_on(poll_fn(|context| {
                *connection_waker.lock().unwrap_or_else(|e| e.into_inner()) =
                    Some(context.waker().clone());
                if ping_failed.load(Ordering::SeqCst) {
                    return Poll::Ready(());
                }
                connection.as_mut().poll(context).map(|_| ())
            }));
            closed_flag.store(true, Ordering::SeqCst);
        });
        Ok(Connection {
            requests,
            authority: to.to_string(),
            limits,
            closed,
        })
    }

    /// The connection has ended; calls on it fail.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Opens a call, with a time limit if there is one.
    ///
    /// # Errors
    /// `Unavailable` if the connection is gone or takes no more calls.
    pub fn start_call(&self, path: &str, timeout: Option<Duration>) -> Result<PendingCall, Status> {
        self.start_call_with_headers(path, timeout, &[])
    }

    /// Like [`Connection::start_call`], with headers of the caller's own.
    ///
    /// # Errors
    /// As there.
    pub fn start_call_with_headers(
        &self,
        path: &str,
        timeout: Option<Duration>,
        extra_headers: &[(&'static str, &str)],
    ) -> Result<PendingCall, Status> {
        let invalid = |e: &dyn std::fmt::Display| Status::new(Code::InvalidArgument, e.to_string());
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.authority))
            .body(())
            .map_err(|e| invalid(&e))?;
        let headers: &mut HeaderMap = request.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/grpc"));
        headers.insert("te", HeaderValue::from_static("trailers"));
        if let Some(timeout) = timeout {
            let text = format!("{}m", timeout.as_millis().min(99_999_999));
            let value = HeaderValue::from_str(&text).map_err(|e| invalid(&e))?;
            headers.insert("grpc-timeout", value);
        }
        for (name, value) in extra_headers {
            let value = HeaderValue::from_str(value).map_err(|e| invalid(&e))?;
            headers.insert(HeaderName::from_static(name), value);
        }
        let deadline = timeout.map(|timeout| Instant::now() + timeout);
        let ready_deadline =
            Some(deadline.unwrap_or_else(|| Instant::now() + self.limits.peer_timeout));
        let mut requests = self.requests.clone();
        let ready = block_on_until(poll_fn(|c| requests.poll_ready(c)), ready_deadline);
        let ready = ready.map_err(|Elapsed| Status::new(Code::Unavailable, "no call is free"));
        ready?.map_err(|e| Status::from_h2(&e))?;
        let sent = requests.send_request(request, false);
        let (response, stream) = sent.map_err(|e| Status::from_h2(&e))?;
        Ok(PendingCall {
            outbound: Outbound {
                stream,
                deadline,
                is_client: true,
                finished: false,
            },
            response,
            deadline,
            max_message_bytes: self.limits.max_message_bytes,
        })
    }

    /// One message there, one back.
    ///
    /// # Errors
    /// The call's status, `DeadlineExceeded` when the time is up.
    pub fn unary_call<Q: Message, A: Message + Default>(
        &self,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, Status> {
        let mut call = self.start_call(path, Some(timeout))?;
        // A server may have answered before it read everything, and takes no more then: what it
        // answered is what counts.
        let _ = call.outbound.send(request);
        call.outbound.half_close();
        let (_outbound, mut inbound) = call.wait_for_response()?;
        let response = inbound.receive()?;
        let response = response.ok_or_else(|| Status::new(Code::Internal, "no message came"))?;
        match inbound.receive::<A>()? {
            None => Ok(response),
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
        let head = block_on_until(self.response, self.deadline).map_err(late)?;
        let (head, body) = head.map_err(|e| Status::from_h2(&e))?.into_parts();
        if head.status != http::StatusCode::OK {
            let message = format!("HTTP status {}", head.status);
            return Err(Status::new(Code::Unavailable, message));
        }
        if let Some(status) = Status::read_from(&head.headers)
            && status.code != Code::Ok
        {
            return Err(status);
        }
        let mut inbound = Inbound::new(body, self.max_message_bytes, true);
        inbound.deadline = self.deadline;
        Ok((self.outbound, inbound))
    }
}
