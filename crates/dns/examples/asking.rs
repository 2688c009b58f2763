//! Measures lookups against a scripted server on loopback: with the addresses in the answer, with one query for each
//! address, and with a truncated answer that comes over TCP.

use dahliapoint_dns::Answer;
use dahliapoint_dns::lookup::lookup_srv;
use hickory_proto::op::{Message, MessageType, OpCode};
use hickory_proto::rr::rdata::{A, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::str::FromStr;
use std::time::{Duration, Instant};

const SERVICE: &str = "_portal._tcp.example.org.";

fn answer(bytes: &[u8], targets: u16, with_addresses: bool, by_tcp: bool) -> Vec<u8> {
    let question = Message::from_vec(bytes).expect("a question");
    let query = question.queries[0].clone();
    let mut m = Message::new(question.metadata.id, MessageType::Response, OpCode::Query);
    m.add_query(query.clone());
    let host = |i: u16| Name::from_str(&format!("h{i}.example.org.")).expect("a name");
    let a = |i: u16| RData::A(A(Ipv4Addr::new(10, 0, (i / 250) as u8, (i % 250) as u8)));
    match query.query_type() {
        RecordType::SRV if !by_tcp && targets > 12 => m.metadata.truncation = true,
        RecordType::SRV => {
            for i in 0..targets {
                let srv = RData::SRV(SRV::new(1, 1, 80, host(i)));
                m.add_answer(Record::from_rdata(query.name().clone(), 60, srv));
                if with_addresses {
                    m.add_additional(Record::from_rdata(host(i), 60, a(i)));
                }
            }
        }
        _ => {
            let found = (0..targets)
                .find(|i| host(*i) == *query.name())
                .unwrap_or(0);
            m.add_answer(Record::from_rdata(query.name().clone(), 60, a(found)));
        }
    }
    m.to_vec().expect("an answer")
}

fn serve(targets: u16, with_addresses: bool) -> SocketAddr {
    let tcp = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = tcp.local_addr().expect("its address");
    let udp = UdpSocket::bind(address).expect("the same port");
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok((n, from)) = udp.recv_from(&mut buffer) {
            let _ = udp.send_to(&answer(&buffer[..n], targets, with_addresses, false), from);
        }
    });
    std::thread::spawn(move || {
        for mut stream in tcp.incoming().flatten() {
            let mut head = [0; 2];
            if stream.read_exact(&mut head).is_ok() {
                let mut body = vec![0; usize::from(u16::from_be_bytes(head))];
                let _ = stream.read_exact(&mut body);
                let bytes = answer(&body, targets, with_addresses, true);
                let _ = stream.write_all(&(bytes.len() as u16).to_be_bytes());
                let _ = stream.write_all(&bytes);
            }
        }
    });
    address
}

fn main() {
    // The last case sends 385 queries for each lookup.
    for (targets, with_addresses, times) in [
        (12, true, 200),
        (12, false, 200),
        (384, true, 200),
        (384, false, 10),
    ] {
        let server = serve(targets, with_addresses);
        let mut took: Vec<Duration> = (0..times)
            .map(|_| {
                let started = Instant::now();
                match lookup_srv(server, SERVICE, Duration::from_secs(5)) {
                    Answer::Targets(found, _) => assert_eq!(found.len(), usize::from(targets)),
                    other => panic!("{other:?}"),
                }
                started.elapsed()
            })
            .collect();
        took.sort();
        let how = if with_addresses {
            "addresses in the answer"
        } else {
            "addresses queried"
        };
        let (median, worst) = (took[times / 2], took[times - 1]);
        println!("{targets} targets, {how}: median {median:.2?}, worst of {times} {worst:.2?}");
    }
}
