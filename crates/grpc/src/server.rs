//! The server's side: a coroutine for each connection, and one for each call.

use crate::Limits;
use crate::codec::{Inbound, Outbound};
use crate::status::{Code, Status};
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

/// A call that came in.
pub struct Call {
    /// `/package.Service/Method`.
    pub path: String,
    pub headers: HeaderMap,
    pub peer: SocketAddr,
    pub inbound: Inbound,
    pub outbound: Outbound,
    /// From the header `grpc-timeout`.
    pub deadline: Option<Instant>,
}

/// Takes calls; runs in the call's own coroutine and may park there.
pub trait Handler: Send + Sync + 'static {
    fn call(&self, call: Call);
}

/// What tells all connections that the server ends.
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
            let mut held = self.wakers.lock().unwrap_or_else(|e| e.into_inner());
            std::mem::take(&mut *held)
        };
        wakers.into_iter().for_each(Waker::wake);
    }
}

/// A listening server. Dropping it lets connections go on; [`Server::shut_down`] ends them orderly.
pub struct Server {
    address: SocketAddr,
    shutdown: Arc<ShutdownSignal>,
    connections: Arc<AtomicUsize>,
}

impl Server {
    /// Listens on an address (port 0: one that the system picks) and serves in the background.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(at: SocketAddr, limits: Limits, handler: Arc<dyn Handler>) -> io::Result<Server> {
        let listener = listen(at)?;
        let address = listener.local_addr()?;
        let server = Server {
            address,
            shutdown: Arc::default(),
            connections: Arc::default(),
        };
        let (shutdown, connections) = (server.shutdown.clone(), server.connections.clone());
        spawn(move || {
            for socket in listener.incoming() {
                if shutdown.triggered.load(Ordering::SeqCst) {
                    return;
                }
                let socket = match socket {
                    Ok(socket) => socket,
                    Err(e) => {
                        // Out of descriptors, say: those that are open go on, new ones wait.
                        warn!(error = %e, "a connection could not be taken");
                        dahliapoint_fibers::sleep(Duration::from_millis(50));
                        continue;
                    }
                };
                if connections.load(Ordering::SeqCst) >= limits.max_connections {
                    warn!(
                        most = limits.max_connections,
                        "a connection too many is refused"
                    );
                    continue;
                }
                connections.fetch_add(1, Ordering::SeqCst);
                let (handler, shutdown, connections) =
                    (handler.clone(), shutdown.clone(), connections.clone());
                spawn(move || {
                    let peer = socket.peer_addr();
                    if let Ok(peer) = peer
                        && let Err(e) = serve_connection(socket, peer, limits, &handler, &shutdown)
                    {
                        debug!(%peer, error = %e, "a connection ended");
                    }
                    connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(server)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Tells every peer to go away and takes nothing new; waits until all calls have ended, or until
    /// that time. Tells whether all had.
    pub fn shut_down(&self, until: Instant) -> bool {
        self.shutdown.trigger();
        // Wakes the accepting coroutine, which then sees the end.
        let _ = dial(self.address, Duration::from_secs(1));
        while self.connections() > 0 && Instant::now() < until {
            dahliapoint_fibers::sleep(Duration::from_millis(10));
        }
        self.connections() == 0
    }
}

type Accepted = Option<Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>>;

fn serve_connection(
    socket: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: &Arc<dyn Handler>,
    shutdown: &Arc<ShutdownSignal>,
) -> Result<(), String> {
    let io = async_stream(socket, limits.peer_timeout).map_err(|e| e.to_string())?;
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(limits.max_concurrent_calls)
        .max_header_list_size(limits.max_header_bytes)
        .initial_window_size(limits.call_window_bytes)
        .initial_connection_window_size(limits.connection_window_bytes)
        .max_concurrent_reset_streams(limits.max_concurrent_calls as usize);
    let until = Some(Instant::now() + limits.peer_timeout);
    let mut connection: Connection<_, Bytes> = block_on_until(builder.handshake(io), until)
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
            Some(Ok((request, respond))) => {
                let handler = handler.clone();
                spawn(move || serve_call(request, respond, peer, limits, &handler));
            }
            Some(Err(e)) => return Err(e.to_string()),
            None if ping_failed.load(Ordering::SeqCst) => return Err("no answer to a ping".into()),
            None => return Ok(()),
        }
    }
}

/// Pings while the connection stands; marks it dead when no answer comes, and wakes its coroutine.
pub(crate) fn keep_alive(
    mut pings: PingPong,
    limits: Limits,
    ping_failed: &AtomicBool,
    connection_waker: &Mutex<Option<Waker>>,
) {
    loop {
        dahliapoint_fibers::sleep(limits.keepalive_interval);
        let answer = {
            let ping = pin!(pings.ping(h2::Ping::opaque()));
            block_on_until(ping, Some(Instant::now() + limits.peer_timeout))
        };
        match answer {
            Ok(Ok(_)) => {}
            // The connection has ended by itself.
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

fn serve_call(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    peer: SocketAddr,
    limits: Limits,
    handler: &Arc<dyn Handler>,
) {
    let (head, body) = request.into_parts();
    let kind = head.headers.get("content-type");
    let kind = kind.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let grpc = kind == "application/grpc" || kind.starts_with("application/grpc+proto");
    if head.method != Method::POST || !grpc {
        // "Requests": without the content type the answer is 415, so that no browser is fooled.
        let mut answer = Response::new(());
        *answer.status_mut() = http::StatusCode::UNSUPPORTED_MEDIA_TYPE;
        let _ = respond.send_response(answer, true);
        return;
    }
    let path = head.uri.path().to_string();
    let limit = match parse_timeout(&head.headers) {
        Ok(limit) => limit,
        Err(status) => return reject(respond, &status),
    };
    let deadline = limit.map(|time| Instant::now() + time);
    let mut answer = Response::new(());
    answer
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    answer
        .headers_mut()
        .insert("grpc-accept-encoding", HeaderValue::from_static("identity"));
    let Ok(stream) = respond.send_response(answer, false) else {
        return;
    };
    let mut inbound = Inbound::new(body, limits.max_message_bytes, false);
    inbound.deadline = deadline;
    let outbound = Outbound {
        stream,
        deadline,
        is_client: false,
        finished: false,
    };
    handler.call(Call {
        path,
        headers: head.headers,
        peer,
        inbound,
        outbound,
        deadline,
    });
}

/// A response that is only a status.
fn reject(mut respond: SendResponse<Bytes>, status: &Status) {
    let mut answer = Response::new(());
    let headers = answer.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/grpc"));
    status.write_to(headers);
    let _ = respond.send_response(answer, true);
}

/// Reads `grpc-timeout`: at most eight digits and a unit.
fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Status> {
    let Some(value) = headers.get("grpc-timeout") else {
        return Ok(None);
    };
    let wrong = || Status::new(Code::InvalidArgument, "grpc-timeout: digits and a unit");
    let text = value.to_str().map_err(|_| wrong())?;
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let unit = &text[digits.len()..];
    if digits.is_empty() || digits.len() > 8 || unit.len() != 1 {
        return Err(wrong());
    }
    let n: u64 = digits.parse().map_err(|_| wrong())?;
    Ok(Some(match unit {
        "H" => Duration::from_secs(n * 3600),
        "M" => Duration::from_secs(n * 60),
        "S" => Duration::from_secs(n),
        "m" => Duration::from_millis(n),
        "u" => Duration::from_micros(n),
        "n" => Duration::from_nanos(n),
        _ => return Err(wrong()),
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_limits_are_read_as_written_or_refused() {
        let cases = [
            ("1H", Some(Duration::from_secs(3600))),
            ("90S", Some(Duration::from_secs(90))),
            ("250m", Some(Duration::from_millis(250))),
            ("99999999n", Some(Duration::from_nanos(99_999_999))),
            ("123456789m", None),
            ("m", None),
            ("5", None),
            ("5x", None),
            ("-5S", None),
            ("5mS", None),
        ];
        for (text, wanted) in cases {
            let mut headers = HeaderMap::new();
            headers.insert("grpc-timeout", HeaderValue::from_static(text));
            assert_eq!(parse_timeout(&headers).ok().flatten(), wanted, "{text}");
        }
        assert_eq!(parse_timeout(&HeaderMap::new()), Ok(None));
    }
}
