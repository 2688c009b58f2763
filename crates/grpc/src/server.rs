//! Server side: a coroutine for each connection and one for each call.

use crate::Limits;
use crate::codec::{Inbound, Outbound};
use crate::status::{Code, Status};
use crate::unfinished::{HeldBytes, UnfinishedBytes};
use bytes::Bytes;
use dahliapoint_fibers::{TcpStream, async_stream, block_on, block_on_until, dial, listen, spawn};
use h2::server::{Connection, SendResponse};
use h2::{PingPong, RecvStream};
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// A call as the server received it.
pub struct Call {
    /// `/package.Service/Method`.
    pub path: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The client's address.
    pub peer: SocketAddr,
    /// Receives the request messages.
    pub inbound: Inbound,
    /// Sends the response messages and the status.
    pub outbound: Outbound,
    /// From the header `grpc-timeout`.
    pub deadline: Option<Instant>,
}

/// Implementation of the services of a server.
pub trait Handler: Send + Sync + 'static {
    /// Serves one call. Runs in a coroutine of the call and may block it.
    fn call(&self, call: Call);
}

/// Tells all connections that the server is shutting down, and wakes those that wait.
#[derive(Default)]
struct ShutdownSignal {
    triggered: AtomicBool,
    wakers: Mutex<Vec<Waker>>,
}

impl ShutdownSignal {
    fn register(&self, waker: &Waker) {
        let mut wakers = self.wakers.lock().unwrap_or_else(|e| e.into_inner());
        wakers.retain(|w| !w.will_wake(waker));
        wakers.push(waker.clone());
    }

    fn unregister(&self, waker: &Waker) {
        let mut wakers = self.wakers.lock().unwrap_or_else(|e| e.into_inner());
        wakers.retain(|w| !w.will_wake(waker));
    }

    fn trigger(&self) {
        self.triggered.store(true, Ordering::SeqCst);
        let wakers = {
            let mut wakers = self.wakers.lock().unwrap_or_else(|e| e.into_inner());
            std::mem::take(&mut *wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }
}

/// A listening server. Dropping it leaves connections open; [`Server::shut_down`] closes them.
pub struct Server {
    address: SocketAddr,
    shutdown: Arc<ShutdownSignal>,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Listens on an address (port 0: the system picks one) and serves in the background.
    ///
    /// # Errors
    /// The error of binding the address.
    pub fn start(at: SocketAddr, limits: Limits, handler: Arc<dyn Handler>) -> io::Result<Server> {
        let listener = listen(at)?;
        let address = listener.local_addr()?;
        let server = Server {
            address,
            shutdown: Arc::default(),
            connections: Arc::default(),
        };
        let (shutdown, connections) = (server.shutdown.clone(), server.connections.clone());
        let calls = Calls {
            handler,
            limits,
            open: Arc::default(),
            unfinished: UnfinishedBytes::new(limits.max_unfinished_bytes),
        };
        spawn(move || {
            for socket in listener.incoming() {
                if shutdown.triggered.load(Ordering::SeqCst) {
                    return;
                }
                let socket = match socket {
                    Ok(socket) => socket,
                    Err(e) => {
                        // For example out of file descriptors: open connections are unaffected, new ones wait.
                        warn!(error = %e, "accepting a connection failed");
                        dahliapoint_fibers::sleep(Duration::from_millis(50));
                        continue;
                    }
                };
                if connections.load(Ordering::SeqCst) >= limits.max_connections {
                    warn!(
                        most = limits.max_connections,
                        "connection refused: too many are open"
                    );
                    continue;
                }
                connections.fetch_add(1, Ordering::SeqCst);
                let (calls, shutdown, connections) =
                    (calls.clone(), shutdown.clone(), connections.clone());
                spawn(move || {
                    let peer = socket.peer_addr();
                    if let Ok(peer) = peer
                        && let Err(e) = serve_connection(socket, peer, &calls, &shutdown)
                    {
                        debug!(%peer, error = %e, "a connection ended");
                    }
                    connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(server)
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Sends GOAWAY on all connections and accepts no new ones; waits for open calls to end until `deadline`.
    /// Returns whether all connections are closed.
    pub fn shut_down(&self, deadline: Instant) -> bool {
        self.shutdown.trigger();
        // Wakes the accepting coroutine, which then sees the signal.
        let _ = dial(self.address, Duration::from_secs(1));
        while self.connections() > 0 && Instant::now() < deadline {
            dahliapoint_fibers::sleep(Duration::from_millis(10));
        }
        self.connections() == 0
    }
}

/// The calls of all connections of a server.
#[derive(Clone)]
struct Calls {
    handler: Arc<dyn Handler>,
    limits: Limits,
    /// How many are open.
    open: Arc<AtomicUsize>,
    unfinished: Arc<UnfinishedBytes>,
}

impl Calls {
    /// Serves a call in a coroutine of its own, unless too many are open.
    fn start(
        &self,
        request: Request<RecvStream>,
        responder: SendResponse<Bytes>,
        peer: SocketAddr,
    ) {
        if self.open.fetch_add(1, Ordering::AcqRel) >= self.limits.max_calls {
            self.open.fetch_sub(1, Ordering::AcqRel);
            return reject(responder, &Status::new(Code::Unavailable, "too many calls"));
        }
        let calls = self.clone();
        spawn(move || {
            serve_call(request, responder, peer, &calls);
            calls.open.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

/// A request accepted on a connection; none when the connection has ended.
type Accepted = Option<Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>>;

/// Serves one connection until it ends.
fn serve_connection(
    socket: TcpStream,
    peer: SocketAddr,
    calls: &Calls,
    shutdown: &Arc<ShutdownSignal>,
) -> Result<(), String> {
    let limits = calls.limits;
    let io = async_stream(socket, limits.peer_timeout).map_err(|e| e.to_string())?;
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(limits.max_concurrent_calls)
        .max_header_list_size(limits.max_header_bytes)
        .initial_window_size(limits.call_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .max_concurrent_reset_streams(limits.max_concurrent_calls as usize);
    let deadline = Some(Instant::now() + limits.peer_timeout);
    let mut connection: Connection<_, Bytes> = block_on_until(builder.handshake(io), deadline)
        .map_err(|_| "no preface in time".to_string())?
        .map_err(|e| e.to_string())?;
    let ping_failed = Arc::new(AtomicBool::new(false));
    let connection_waker = Arc::new(Mutex::new(None::<Waker>));
    if let Some(pings) = connection.ping_pong() {
        let (ping_failed, connection_waker) = (ping_failed.clone(), connection_waker.clone());
        spawn(move || keep_alive(pings, limits, &ping_failed, &connection_waker));
    }
    let mut shutting_down = false;
    let mut waker = None;
    loop {
        let accepted: Accepted = block_on(poll_fn(|context| {
            waker = Some(context.waker().clone());
            *connection_waker.lock().unwrap_or_else(|e| e.into_inner()) =
                Some(context.waker().clone());
            if ping_failed.load(Ordering::SeqCst) {
                return Poll::Ready(None);
            }
            shutdown.register(context.waker());
            if shutdown.triggered.load(Ordering::SeqCst) && !shutting_down {
                shutting_down = true;
                connection.graceful_shutdown();
            }
            connection.poll_accept(context)
        }));
        if let Some(waker) = waker.take() {
            shutdown.unregister(&waker);
        }
        match accepted {
            Some(Ok((request, responder))) => calls.start(request, responder, peer),
            Some(Err(e)) => return Err(e.to_string()),
            None if ping_failed.load(Ordering::SeqCst) => return Err("no answer to a ping".into()),
            None => return Ok(()),
        }
    }
}

/// Pings the peer while the connection is open. If an answer does not arrive within `peer_timeout`, sets
/// `ping_failed` and wakes the coroutine of the connection, which then closes it.
pub(crate) fn keep_alive(
    mut pings: PingPong,
    limits: Limits,
    ping_failed: &AtomicBool,
    connection_waker: &Mutex<Option<Waker>>,
) {
    loop {
        dahliapoint_fibers::sleep(limits.keepalive_interval);
        let result = {
            let ping = pin!(pings.ping(h2::Ping::opaque()));
            block_on_until(ping, Some(Instant::now() + limits.peer_timeout))
        };
        match result {
            Ok(Ok(_)) => {}
            // The connection has ended for another reason.
            Ok(Err(_)) => return,
            Err(_) => {
                ping_failed.store(true, Ordering::SeqCst);
                let waker = connection_waker
                    .lock()
                    .unwrap_or_else(|e| e.into_inner())
                    .take();
                waker.into_iter().for_each(Waker::wake);
                return;
            }
        }
    }
}

/// Checks the request headers, sends the response headers and passes the call to the handler.
fn serve_call(
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    peer: SocketAddr,
    calls: &Calls,
) {
    let (head, body) = request.into_parts();
    let content_type = head.headers.get("content-type");
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let is_grpc =
        content_type == "application/grpc" || content_type.starts_with("application/grpc+proto");
    if head.method != Method::POST || !is_grpc {
        // By "Requests" in the specification: other content types are answered with 415, so that a client that
        // does not speak gRPC doesn't take the response for a success.
        let mut response = Response::new(());
        *response.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
        let _ = responder.send_response(response, true);
        return;
    }
    let path = head.uri.path().to_string();
    let timeout = match parse_timeout(&head.headers) {
        Ok(timeout) => timeout,
        Err(status) => return reject(responder, &status),
    };
    let deadline = timeout.map(|time| Instant::now() + time);
    let mut response = Response::new(());
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    response
        .headers_mut()
        .insert("grpc-accept-encoding", HeaderValue::from_static("identity"));
    let Ok(stream) = responder.send_response(response, false) else {
        return;
    };
    let held = HeldBytes::new(calls.unfinished.clone());
    let mut inbound = Inbound::new(body, calls.limits.max_message_bytes, Some(held));
    inbound.deadline = deadline;
    let outbound = Outbound {
        stream,
        deadline,
        is_client: false,
        finished: false,
    };
    calls.handler.call(Call {
        path,
        headers: head.headers,
        peer,
        inbound,
        outbound,
        deadline,
    });
}

/// Responds with a status only ("Trailers-Only").
fn reject(mut responder: SendResponse<Bytes>, status: &Status) {
    let mut response = Response::new(());
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/grpc"));
    status.write_to(headers);
    let _ = responder.send_response(response, true);
}

/// Parses the header `grpc-timeout`: at most eight digits and a unit.
fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Status> {
    let Some(value) = headers.get("grpc-timeout") else {
        return Ok(None);
    };
    let invalid = || Status::new(Code::InvalidArgument, "grpc-timeout: digits and a unit");
    let text = value.to_str().map_err(|_| invalid())?;
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &text[digits.len()..];
    if digits.is_empty() || digits.len() > 8 || unit.len() != 1 {
        return Err(invalid());
    }
    let number: u64 = digits.parse().map_err(|_| invalid())?;
    Ok(Some(match unit {
        "H" => Duration::from_secs(number * 3600),
        "M" => Duration::from_secs(number * 60),
        "S" => Duration::from_secs(number),
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        "n" => Duration::from_nanos(number),
        _ => return Err(invalid()),
    }))
}

#[cfg(test)]
mod tests;
