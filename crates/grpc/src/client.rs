//! Client side of a gRPC connection: connecting, starting calls, and waiting for responses.

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

/// A connection to a server. Clones share it; it is closed when the last clone and the last call are dropped.
#[derive(Clone)]
pub struct Connection {
    requests: SendRequest<Bytes>,
    authority: String,
    limits: Limits,
    closed: Arc<AtomicBool>,
}

/// A call whose response headers have not been received yet.
pub struct PendingCall {
    /// Sends request messages, also before the response headers arrive.
    pub outbound: Outbound,
    response: ResponseFuture,
    deadline: Option<Instant>,
    max_message_bytes: usize,
}

impl Connection {
    /// Connects and performs the HTTP/2 handshake, each within `peer_timeout` of the limits.
    ///
    /// # Errors
    /// `Unavailable` with the cause.
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

    /// Whether the connection has ended; calls on a closed connection fail.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Starts a call of the method at `path`. A timeout is sent as `grpc-timeout` and bounds the whole call.
    ///
    /// # Errors
    /// `Unavailable` if the connection is closed or no stream becomes available in time.
    pub fn start_call(&self, path: &str, timeout: Option<Duration>) -> Result<PendingCall, Status> {
        self.start_call_with_headers(path, timeout, &[])
    }

    /// Like [`Connection::start_call`], with additional request headers.
    ///
    /// # Errors
    /// Those of [`Connection::start_call`], and `InvalidArgument` for a path or a header value that HTTP does
    /// not allow.
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
        let ready =
            ready.map_err(|Elapsed| Status::new(Code::Unavailable, "no stream available in time"));
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

    /// Sends one request message and returns the one response message.
    ///
    /// # Errors
    /// The status of the call; `DeadlineExceeded` after the timeout.
    pub fn unary_call<Q: Message, A: Message + Default>(
        &self,
        path: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, Status> {
        let mut call = self.start_call(path, Some(timeout))?;
        // A server may respond before it has read the whole request and then stop reading, so that sending
        // fails. Its response decides the result.
        let _ = call.outbound.send(request);
        call.outbound.half_close();
        let (_outbound, mut inbound) = call.wait_for_response()?;
        let response = inbound.receive()?;
        let response =
            response.ok_or_else(|| Status::new(Code::Internal, "no response message"))?;
        match inbound.receive::<A>()? {
            None => Ok(response),
            Some(_) => Err(Status::new(
                Code::Internal,
                "more than one response message",
            )),
        }
    }
}

impl PendingCall {
    /// Waits for the response headers and returns the streams of messages in both directions. A server may send
    /// its headers only after it has received the first message.
    ///
    /// # Errors
    /// The status of a response that has no messages ("Trailers-Only"); `Unavailable` for a response that is not
    /// gRPC; `DeadlineExceeded` when none arrived in time.
    pub fn wait_for_response(self) -> Result<(Outbound, Inbound), Status> {
        let timed_out = |Elapsed| Status::new(Code::DeadlineExceeded, "no response in time");
        let head = block_on_until(self.response, self.deadline).map_err(timed_out)?;
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
        let mut inbound = Inbound::new(body, self.max_message_bytes, None);
        inbound.deadline = self.deadline;
        Ok((self.outbound, inbound))
    }
}
