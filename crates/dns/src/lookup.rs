//! One SRV lookup: a query over UDP, over TCP where the answer is truncated, and queries for addresses that the answer
//! lacks. Blocks the calling thread.

use crate::{Answer, Target};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream, UdpSocket};
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Queries over UDP before the lookup fails.
const MAX_UDP_ATTEMPTS: u32 = 2;
/// Targets of one answer that are used and resolved.
const MAX_TARGETS: usize = 2_000;
/// How long a negative answer without an SOA record is cached.
const DEFAULT_NEGATIVE_TTL_MS: f64 = 30_000.0;

/// Queries a DNS server for the targets of a service; `timeout` is for all queries together.
pub fn lookup_srv(server: SocketAddr, name: &str, timeout: Duration) -> Answer {
    let deadline = Instant::now() + timeout;
    match targets(server, name, deadline) {
        Ok(answer) => answer,
        Err(e) => Answer::Failed(e.to_string()),
    }
}

fn error(message: impl Into<String>) -> io::Error {
    io::Error::other(message.into())
}

/// Parses a domain name; it counts as fully qualified.
///
/// # Errors
/// What is wrong with it.
pub fn parse_name(text: &str) -> Result<Name, String> {
    let mut name = Name::from_str(text).map_err(|e| e.to_string())?;
    name.set_fqdn(true);
    Ok(name)
}

fn targets(server: SocketAddr, service: &str, deadline: Instant) -> io::Result<Answer> {
    let name = parse_name(service).map_err(error)?;
    let answer = query(server, &name, RecordType::SRV, deadline)?;
    if let Some(negative) = negative_answer(&answer)? {
        return Ok(negative);
    }
    let mut ttl_ms = f64::INFINITY;
    let mut found = Vec::new();
    for r in &answer.answers {
        if let RData::SRV(srv) = &r.data {
            // A target of "." means that the service is not available (RFC 2782).
            if !srv.target.is_root() && srv.port > 0 {
                found.push(srv.clone());
            }
            ttl_ms = ttl_ms.min(f64::from(r.ttl) * 1e3);
        }
    }
    if ttl_ms == f64::INFINITY {
        return Ok(Answer::NoRecords(negative_ttl_ms(&answer)));
    }
    let mut addresses: BTreeMap<Name, (Vec<IpAddr>, f64)> = BTreeMap::new();
    collect_addresses(&answer.additionals, &mut addresses);
    let mut out = Vec::new();
    for srv in found.into_iter().take(MAX_TARGETS) {
        if !addresses.contains_key(&srv.target) {
            let resolved = resolve(server, &srv.target, deadline)?;
            addresses.insert(srv.target.clone(), resolved);
        }
        let Some((ips, ttl)) = addresses.get(&srv.target) else {
            continue;
        };
        ttl_ms = ttl_ms.min(*ttl);
        let name = srv
            .target
            .to_ascii()
            .trim_end_matches('.')
            .to_ascii_lowercase();
        out.extend(ips.iter().map(|ip| Target {
            name: name.clone(),
            address: SocketAddr::new(*ip, srv.port),
            priority: srv.priority,
            weight: srv.weight,
        }));
    }
    Ok(Answer::Targets(out, ttl_ms))
}

/// Adds the addresses among the records, by name, each with the smallest TTL.
fn collect_addresses(records: &[Record], addresses: &mut BTreeMap<Name, (Vec<IpAddr>, f64)>) {
    for r in records {
        let ip: IpAddr = match &r.data {
            RData::A(a) => a.0.into(),
            RData::AAAA(a) => a.0.into(),
            _ => continue,
        };
        let entry = addresses
            .entry(r.name.clone())
            .or_insert((Vec::new(), f64::INFINITY));
        if !entry.0.contains(&ip) {
            entry.0.push(ip);
        }
        entry.1 = entry.1.min(f64::from(r.ttl) * 1e3);
    }
}

/// The IPv4 addresses of a target, or its IPv6 addresses if it has none, with the TTL. A target without addresses is not
/// an error: it is left out.
fn resolve(server: SocketAddr, target: &Name, deadline: Instant) -> io::Result<(Vec<IpAddr>, f64)> {
    let mut ttl_ms = f64::INFINITY;
    for kind in [RecordType::A, RecordType::AAAA] {
        let answer = query(server, target, kind, deadline)?;
        if let Some(Answer::NoRecords(ms)) = negative_answer(&answer)? {
            ttl_ms = ttl_ms.min(ms);
            continue;
        }
        let mut known = BTreeMap::new();
        // An answer with CNAME records has the addresses of the canonical name too.
        collect_addresses(&answer.answers, &mut known);
        let all: Vec<IpAddr> = known
            .values()
            .flat_map(|(ips, _)| ips.iter().copied())
            .collect();
        if !all.is_empty() {
            let ttl = known.values().map(|(_, ttl)| *ttl).fold(ttl_ms, f64::min);
            return Ok((all, ttl));
        }
        ttl_ms = ttl_ms.min(negative_ttl_ms(&answer));
    }
    Ok((Vec::new(), ttl_ms.min(DEFAULT_NEGATIVE_TTL_MS)))
}

/// A negative answer, or `None` if it has records; an error for any other response code.
fn negative_answer(answer: &Message) -> io::Result<Option<Answer>> {
    match answer.metadata.response_code {
        ResponseCode::NoError if answer.answers.is_empty() => {
            Ok(Some(Answer::NoRecords(negative_ttl_ms(answer))))
        }
        ResponseCode::NoError => Ok(None),
        ResponseCode::NXDomain => Ok(Some(Answer::NoRecords(negative_ttl_ms(answer)))),
        code => Err(error(format!("the server answers {code}"))),
    }
}

/// The negative TTL (RFC 2308): the smaller of the SOA record's TTL and its minimum field.
fn negative_ttl_ms(answer: &Message) -> f64 {
    let soa = answer.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some(f64::from(r.ttl.min(soa.minimum)) * 1e3),
        _ => None,
    });
    soa.unwrap_or(DEFAULT_NEGATIVE_TTL_MS)
}

/// Sends one query and waits for its answer.
fn query(
    server: SocketAddr,
    name: &Name,
    kind: RecordType,
    deadline: Instant,
) -> io::Result<Message> {
    let mut last_error = error("no time is left");
    for attempt in 0..MAX_UDP_ATTEMPTS {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        match query_udp(server, name, kind, left / (MAX_UDP_ATTEMPTS - attempt)) {
            Ok(answer) if answer.metadata.truncation => {
                return query_tcp(server, name, kind, deadline);
            }
            Ok(answer) => return Ok(answer),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// A query message, with its id.
fn query_message(name: &Name, kind: RecordType) -> io::Result<(u16, Vec<u8>)> {
    let id: u16 = rand::random();
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name.clone(), kind));
    let bytes = message.to_vec().map_err(|e| error(e.to_string()))?;
    Ok((id, bytes))
}

/// Whether an answer belongs to the query, since anybody may send packets.
fn answers_query(answer: &Message, id: u16, name: &Name, kind: RecordType) -> bool {
    let matches = |q: &Query| q.name() == name && q.query_type() == kind;
    answer.metadata.id == id
        && answer.metadata.message_type == MessageType::Response
        && answer.queries.len() == 1
        && answer.queries.iter().all(matches)
}

fn query_udp(
    server: SocketAddr,
    name: &Name,
    kind: RecordType,
    timeout: Duration,
) -> io::Result<Message> {
    let any: SocketAddr = match server {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    // A connected socket receives packets from this server only.
    socket.connect(server)?;
    let (id, bytes) = query_message(name, kind)?;
    socket.send(&bytes)?;
    let deadline = Instant::now() + timeout;
    let mut buffer = vec![0; 4_096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(error("no answer in time"));
        }
        socket.set_read_timeout(Some(left))?;
        let n = match socket.recv(&mut buffer) {
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                return Err(error("no answer in time"));
            }
            Err(e) => return Err(e),
        };
        match Message::from_vec(&buffer[..n]) {
            Ok(answer) if answers_query(&answer, id, name, kind) => return Ok(answer),
            // Not an answer to this query; the right one may still arrive.
            _ => {}
        }
    }
}

fn query_tcp(
    server: SocketAddr,
    name: &Name,
    kind: RecordType,
    deadline: Instant,
) -> io::Result<Message> {
    let time_left = || {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(error("no answer in time"))
        } else {
            Ok(left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&server, time_left()?)?;
    let (id, bytes) = query_message(name, kind)?;
    stream.set_write_timeout(Some(time_left()?))?;
    stream.write_all(&(bytes.len() as u16).to_be_bytes())?;
    stream.write_all(&bytes)?;
    let mut read_exact = |mut buffer: &mut [u8]| -> io::Result<()> {
        // The remaining time is set for each read: otherwise a peer that sends byte by byte could extend it without end.
        while !buffer.is_empty() {
            stream.set_read_timeout(Some(time_left()?))?;
            match stream.read(buffer)? {
                0 => return Err(error("the answer ends early")),
                n => buffer = &mut buffer[n..],
            }
        }
        Ok(())
    };
    let mut length = [0; 2];
    read_exact(&mut length)?;
    let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
    read_exact(&mut body)?;
    let answer = Message::from_vec(&body).map_err(|e| error(e.to_string()))?;
    match answers_query(&answer, id, name, kind) && !answer.metadata.truncation {
        true => Ok(answer),
        false => Err(error("an answer to another query, or cut off again")),
    }
}
