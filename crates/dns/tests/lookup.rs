//! Lookups against a scripted server on loopback: complete and truncated answers, forged packets, no records, errors.

use dahliapoint_dns::Answer;
use dahliapoint_dns::lookup::lookup_srv;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const SERVICE: &str = "_portal._tcp.example.org";

fn name(text: &str) -> Name {
    let mut name = Name::from_str(text).unwrap();
    name.set_fqdn(true);
    name
}

/// The messages that the server sends for a query; the flag is true over TCP.
type Script = fn(&Query, bool, &mut Message) -> Vec<Vec<u8>>;

struct Server {
    address: SocketAddr,
    queries: Arc<AtomicUsize>,
}

/// Starts a server that answers until the process ends, at one port over UDP and TCP.
fn serve(script: Script) -> Server {
    let (udp, tcp) = (0..100)
        .find_map(|_| {
            let tcp = TcpListener::bind("127.0.0.1:0").ok()?;
            let udp = UdpSocket::bind(tcp.local_addr().ok()?).ok()?;
            Some((udp, tcp))
        })
        .unwrap();
    let address = udp.local_addr().unwrap();
    let queries = Arc::new(AtomicUsize::new(0));
    let answer = move |bytes: &[u8], by_tcp: bool| -> Vec<Vec<u8>> {
        let question = Message::from_vec(bytes).unwrap();
        let mut message = Message::new(question.metadata.id, MessageType::Response, OpCode::Query);
        let query = question.queries[0].clone();
        message.add_query(query.clone());
        script(&query, by_tcp, &mut message)
    };
    let counter = queries.clone();
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok((n, from)) = udp.recv_from(&mut buffer) {
            counter.fetch_add(1, Ordering::SeqCst);
            for bytes in answer(&buffer[..n], false) {
                let _ = udp.send_to(&bytes, from);
            }
        }
    });
    std::thread::spawn(move || {
        for stream in tcp.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 2];
            if stream.read_exact(&mut head).is_err() {
                continue;
            }
            let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
            stream.read_exact(&mut body).unwrap();
            for bytes in answer(&body, true) {
                let _ = stream.write_all(&(bytes.len() as u16).to_be_bytes());
                let _ = stream.write_all(&bytes);
            }
        }
    });
    Server { address, queries }
}

fn srv(m: &mut Message, i: u8, ttl: u32) {
    let data = SRV::new(10, 5, 8080, name(&format!("H{i}.example.org")));
    m.add_answer(Record::from_rdata(name(SERVICE), ttl, RData::SRV(data)));
}

fn a(i: u8, ttl: u32) -> Record {
    let ip = Ipv4Addr::new(10, 0, 0, i);
    Record::from_rdata(name(&format!("h{i}.example.org")), ttl, RData::A(A(ip)))
}

fn encoded(m: &Message) -> Vec<Vec<u8>> {
    vec![m.to_vec().unwrap()]
}

/// Names and addresses of the targets, and the TTL; else the error.
fn found(server: &Server) -> Result<(Vec<(String, String)>, f64), String> {
    match lookup_srv(server.address, SERVICE, Duration::from_millis(600)) {
        Answer::Targets(all, ttl_ms) => Ok((
            all.into_iter()
                .map(|t| (t.name, t.address.to_string()))
                .collect(),
            ttl_ms,
        )),
        Answer::NoRecords(ttl_ms) => Err(format!("nothing for {ttl_ms}")),
        Answer::Failed(why) => Err(why),
    }
}

fn host(i: u8) -> (String, String) {
    (format!("h{i}.example.org"), format!("10.0.0.{i}:8080"))
}

#[test]
fn addresses_are_in_the_answer_or_are_queried() {
    let with = serve(|_, _, m| {
        srv(m, 1, 60);
        srv(m, 2, 50);
        m.add_additional(a(1, 40)).add_additional(a(2, 90));
        encoded(m)
    });
    assert_eq!(found(&with), Ok((vec![host(1), host(2)], 40_000.0)));
    let without = serve(|q, _, m| {
        match q.query_type() {
            RecordType::SRV => {
                srv(m, 1, 60);
                srv(m, 2, 60);
            }
            RecordType::A if q.name() == &name("h1.example.org") => {
                m.add_answer(a(1, 20));
            }
            // The second target has no address and is left out.
            _ => {}
        }
        encoded(m)
    });
    assert_eq!(found(&without), Ok((vec![host(1)], 20_000.0)));
}

#[test]
fn a_truncated_answer_is_queried_over_tcp() {
    let server = serve(|_, by_tcp, m| {
        let many = if by_tcp { 200 } else { 3 };
        m.metadata.truncation = !by_tcp;
        for i in 0..many {
            srv(m, i, 60);
            m.add_additional(a(i, 60));
        }
        encoded(m)
    });
    assert_eq!(found(&server).map(|f| f.0.len()), Ok(200));
    let again = serve(|_, _, m| {
        m.metadata.truncation = true;
        srv(m, 1, 60);
        encoded(m)
    });
    assert!(found(&again).unwrap_err().contains("cut off again"));
}

#[test]
fn no_records_is_an_answer_and_an_error_is_none() {
    let gone = serve(|_, _, m| {
        m.metadata.response_code = ResponseCode::NXDomain;
        let soa = SOA::new(name("example.org"), name("example.org"), 1, 1, 1, 1, 7);
        m.add_authority(Record::from_rdata(name("example.org"), 90, RData::SOA(soa)));
        encoded(m)
    });
    assert_eq!(found(&gone).unwrap_err(), "nothing for 7000");
    let broken = serve(|_, _, m| {
        m.metadata.response_code = ResponseCode::ServFail;
        encoded(m)
    });
    assert!(found(&broken).unwrap_err().contains("the server answers"));
    let silent = serve(|_, _, _| Vec::new());
    assert_eq!(found(&silent).unwrap_err(), "no answer in time");
    assert_eq!(silent.queries.load(Ordering::SeqCst), 2, "queried twice");
    let nobody = {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.local_addr().unwrap()
    };
    assert!(matches!(
        lookup_srv(nobody, SERVICE, Duration::from_millis(300)),
        Answer::Failed(_)
    ));
    assert!(matches!(
        lookup_srv(nobody, "a..b", Duration::from_millis(300)),
        Answer::Failed(_)
    ));
}

#[test]
fn forged_and_broken_packets_are_ignored() {
    let server = serve(|_, _, m| {
        let mut forged = m.clone();
        forged.metadata.id ^= 1;
        srv(&mut forged, 9, 60);
        forged.add_additional(a(9, 60));
        let mut other = m.clone();
        other.queries = vec![Query::query(name("other.example.org"), RecordType::SRV)];
        srv(&mut other, 8, 60);
        srv(m, 1, 60);
        m.add_additional(a(1, 60));
        let good = m.to_vec().unwrap();
        let cut = good[..good.len() / 2].to_vec();
        vec![
            vec![],
            b"nonsense".to_vec(),
            forged.to_vec().unwrap(),
            other.to_vec().unwrap(),
            cut,
            good,
        ]
    });
    assert_eq!(found(&server).map(|f| f.0), Ok(vec![host(1)]));
}
