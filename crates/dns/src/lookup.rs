//! One lookup: a question by UDP, by TCP where the answer is cut off, and the addresses of targets that came without.
//! Blocks its thread; for a thread of its own.

use crate::{Answer, Target};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream, UdpSocket};
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Questions by UDP before it is given up, targets of one answer, and names that are followed for their addresses.
const TRIES: u32 = 2;
const MOST: usize = 2_000;
/// What a name that does not exist says of its lifetime if nothing does.
const NOTHING_MS: f64 = 30_000.0;

/// Asks a server for the targets of a service, within a time for all of it.
pub fn look(server: SocketAddr, name: &str, within: Duration) -> Answer {
    let until = Instant::now() + within;
    match targets(server, name, until) {
        Ok(answer) => answer,
        Err(e) => Answer::Failed(e.to_string()),
    }
}

fn odd(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

/// A name as DNS has it.
///
/// # Errors
/// What is wrong with it.
pub fn name(text: &str) -> Result<Name, String> {
    let mut name = Name::from_str(text).map_err(|e| e.to_string())?;
    name.set_fqdn(true);
    Ok(name)
}

fn targets(server: SocketAddr, service: &str, until: Instant) -> io::Result<Answer> {
    let question = name(service).map_err(odd)?;
    let answer = ask(server, &question, RecordType::SRV, until)?;
    if let Some(nothing) = nothing(&answer)? {
        return Ok(nothing);
    }
    let mut lives = f64::INFINITY;
    let mut found = Vec::new();
    for r in &answer.answers {
        if let RData::SRV(srv) = &r.data {
            // A lone dot: the service is decidedly not available there.
            if !srv.target.is_root() && srv.port > 0 {
                found.push(srv.clone());
            }
            lives = lives.min(f64::from(r.ttl) * 1e3);
        }
    }
    if lives == f64::INFINITY {
        return Ok(Answer::Nothing(lifetime_of_nothing(&answer)));
    }
    let mut known: BTreeMap<Name, (Vec<IpAddr>, f64)> = BTreeMap::new();
    note(&answer.additionals, &mut known);
    let mut out = Vec::new();
    for srv in found.into_iter().take(MOST) {
        if !known.contains_key(&srv.target) {
            let more = addresses(server, &srv.target, until)?;
            known.insert(srv.target.clone(), more);
        }
        let Some((all, ttl)) = known.get(&srv.target) else {
            continue;
        };
        lives = lives.min(*ttl);
        let plain = srv
            .target
            .to_ascii()
            .trim_end_matches('.')
            .to_ascii_lowercase();
        out.extend(all.iter().map(|ip| Target {
            name: plain.clone(),
            address: SocketAddr::new(*ip, srv.port),
            priority: srv.priority,
            weight: srv.weight,
        }));
    }
    Ok(Answer::Targets(out, lives))
}

fn note(records: &[Record], known: &mut BTreeMap<Name, (Vec<IpAddr>, f64)>) {
    for r in records {
        let ip: IpAddr = match &r.data {
            RData::A(a) => a.0.into(),
            RData::AAAA(a) => a.0.into(),
            _ => continue,
        };
        let entry = known
            .entry(r.name.clone())
            .or_insert((Vec::new(), f64::INFINITY));
        if !entry.0.contains(&ip) {
            entry.0.push(ip);
        }
        entry.1 = entry.1.min(f64::from(r.ttl) * 1e3);
    }
}

/// Addresses of a target: version 4, or 6 where there is none. A target without any is none, which is an answer.
fn addresses(server: SocketAddr, target: &Name, until: Instant) -> io::Result<(Vec<IpAddr>, f64)> {
    let mut lives = f64::INFINITY;
    for kind in [RecordType::A, RecordType::AAAA] {
        let answer = ask(server, target, kind, until)?;
        if let Some(Answer::Nothing(ms)) = nothing(&answer)? {
            lives = lives.min(ms);
            continue;
        }
        let mut known = BTreeMap::new();
        // Names that stand for others come with what they stand for.
        note(&answer.answers, &mut known);
        let all: Vec<IpAddr> = known
            .values()
            .flat_map(|(ips, _)| ips.iter().copied())
            .collect();
        if !all.is_empty() {
            let ttl = known.values().map(|(_, ttl)| *ttl).fold(lives, f64::min);
            return Ok((all, ttl));
        }
        lives = lives.min(lifetime_of_nothing(&answer));
    }
    Ok((Vec::new(), lives.min(NOTHING_MS)))
}

/// Whether an answer says that there is nothing; an error if it says nothing at all.
fn nothing(answer: &Message) -> io::Result<Option<Answer>> {
    match answer.metadata.response_code {
        ResponseCode::NoError if answer.answers.is_empty() => {
            Ok(Some(Answer::Nothing(lifetime_of_nothing(answer))))
        }
        ResponseCode::NoError => Ok(None),
        ResponseCode::NXDomain => Ok(Some(Answer::Nothing(lifetime_of_nothing(answer)))),
        code => Err(odd(format!("the server answers {code}"))),
    }
}

/// RFC 2308: the smaller of the SOA record's lifetime and its minimum.
fn lifetime_of_nothing(answer: &Message) -> f64 {
    let soa = answer.authorities.iter().find_map(|r| match &r.data {
        RData::SOA(soa) => Some(f64::from(r.ttl.min(soa.minimum)) * 1e3),
        _ => None,
    });
    soa.unwrap_or(NOTHING_MS)
}

/// One question, until it is answered.
fn ask(server: SocketAddr, name: &Name, kind: RecordType, until: Instant) -> io::Result<Message> {
    let mut last = odd("no time is left");
    for tried in 0..TRIES {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        match by_udp(server, name, kind, left / (TRIES - tried)) {
            Ok(answer) if answer.metadata.truncation => return by_tcp(server, name, kind, until),
            Ok(answer) => return Ok(answer),
            Err(e) => last = e,
        }
    }
    Err(last)
}

fn question(name: &Name, kind: RecordType) -> io::Result<(u16, Vec<u8>)> {
    let id: u16 = rand::random();
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name.clone(), kind));
    let bytes = message.to_vec().map_err(|e| odd(e.to_string()))?;
    Ok((id, bytes))
}

/// Whether an answer is to this question: anybody may send a packet.
fn is_to(answer: &Message, id: u16, name: &Name, kind: RecordType) -> bool {
    let to = |q: &Query| q.name() == name && q.query_type() == kind;
    answer.metadata.id == id
        && answer.metadata.message_type == MessageType::Response
        && answer.queries.len() == 1
        && answer.queries.iter().all(to)
}

fn by_udp(
    server: SocketAddr,
    name: &Name,
    kind: RecordType,
    within: Duration,
) -> io::Result<Message> {
    let any: SocketAddr = match server {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => (std::net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)?;
    // Connected: packets of others do not come.
    socket.connect(server)?;
    let (id, bytes) = question(name, kind)?;
    socket.send(&bytes)?;
    let end = Instant::now() + within;
    let mut buffer = vec![0; 4_096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(odd("no answer in time"));
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
                return Err(odd("no answer in time"));
            }
            Err(e) => return Err(e),
        };
        match Message::from_vec(&buffer[..n]) {
            Ok(answer) if is_to(&answer, id, name, kind) => return Ok(answer),
            // Not ours, or nothing: the true one may still come.
            _ => {}
        }
    }
}

fn by_tcp(
    server: SocketAddr,
    name: &Name,
    kind: RecordType,
    until: Instant,
) -> io::Result<Message> {
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(odd("no answer in time"))
        } else {
            Ok(left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&server, left()?)?;
    let (id, bytes) = question(name, kind)?;
    stream.set_write_timeout(Some(left()?))?;
    stream.write_all(&(bytes.len() as u16).to_be_bytes())?;
    stream.write_all(&bytes)?;
    let mut all = |mut buffer: &mut [u8]| -> io::Result<()> {
        // Byte by byte a peer could stretch a time for one read without end.
        while !buffer.is_empty() {
            stream.set_read_timeout(Some(left()?))?;
            match stream.read(buffer)? {
                0 => return Err(odd("the answer ends early")),
                n => buffer = &mut buffer[n..],
            }
        }
        Ok(())
    };
    let mut head = [0; 2];
    all(&mut head)?;
    let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
    all(&mut body)?;
    let answer = Message::from_vec(&body).map_err(|e| odd(e.to_string()))?;
    match is_to(&answer, id, name, kind) && !answer.metadata.truncation {
        true => Ok(answer),
        false => Err(odd("an answer to another question, or cut off again")),
    }
}
