//! Ambiguous messages are refused, hop-by-hop headers are removed, and bodies are framed by RFC 9112.

use super::*;

fn framed(head: &str) -> Result<BodyFraming, BadMessage> {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{head}\r\n");
    let (_, head) = parse_request(text.as_bytes())?.unwrap();
    head.request_body()
}

#[test]
fn what_could_be_read_in_two_ways_is_refused() {
    let cases = [
        ("Content-Length: 5\r\n", Ok(BodyFraming::Length(5))),
        ("", Ok(BodyFraming::Length(0))),
        ("Transfer-Encoding: chunked\r\n", Ok(BodyFraming::Chunked)),
        (
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            Ok(BodyFraming::Length(5)),
        ),
        ("Content-Length: 5\r\nContent-Length: 6\r\n", Err(400)),
        ("Content-Length: 5, 5\r\n", Err(400)),
        ("Content-Length: +5\r\n", Err(400)),
        ("Content-Length: 5x\r\n", Err(400)),
        ("Content-Length:\r\n", Err(400)),
        ("Content-Length: 99999999999999999999999\r\n", Err(400)),
        (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            Err(400),
        ),
        ("Transfer-Encoding: gzip, chunked\r\n", Err(501)),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            Err(501),
        ),
        ("Transfer-Encoding: xchunked\r\n", Err(501)),
        ("Host: again\r\n", Err(400)),
        ("X: a\r\n folded\r\n", Err(400)),
        ("X : a\r\n", Err(400)),
        ("X: a\nY: b\r\n", Err(400)),
    ];
    for (head, expected) in cases {
        let got = framed(head).map_err(|refusal| refusal.0);
        assert_eq!(got, expected, "{head:?}");
    }
    for target in ["http://h/", "*", "h:80"] {
        let text = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
        assert!(parse_request(text.as_bytes()).is_err(), "{target}");
    }
    assert!(parse_request(b"GET / HTTP/1.1\r\n\r\n").is_err(), "no Host");
    assert_eq!(parse_request(b"GET / HTTP/1.1\r\nHo"), Ok(None));
}

#[test]
fn headers_of_one_hop_do_not_go_on() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: trailers\r\n\
                Upgrade: x\r\nKeep: 2\r\nContent-Length: 0\r\n\r\n";
    let (_, head) = parse_request(text.as_bytes()).unwrap().unwrap();
    let names: Vec<&str> = head.end_to_end_headers().map(|(n, _)| n.as_str()).collect();
    assert_eq!(names, ["Host", "Keep"]);
    assert!(!head.closes());
    let written = write_head("GET /a HTTP/1.1", &head, BodyFraming::Length(0), true);
    let written = String::from_utf8(written).unwrap();
    assert!(
        written.ends_with("Content-Length: 0\r\nConnection: close\r\n\r\n"),
        "{written}"
    );
}

#[test]
fn responses_without_a_body_have_none() {
    let head = |status: u16, more: &str| {
        let text = format!("HTTP/1.1 {status} X\r\n{more}\r\n");
        parse_response(text.as_bytes()).unwrap().unwrap().1
    };
    let cases = [
        (
            head(200, "Content-Length: 3\r\n"),
            "GET",
            BodyFraming::Length(3),
        ),
        (
            head(200, "Content-Length: 3\r\n"),
            "HEAD",
            BodyFraming::Length(0),
        ),
        (head(204, ""), "GET", BodyFraming::Length(0)),
        (
            head(304, "Content-Length: 3\r\n"),
            "GET",
            BodyFraming::Length(0),
        ),
        (
            head(200, "Transfer-Encoding: chunked\r\n"),
            "GET",
            BodyFraming::Chunked,
        ),
        (head(200, ""), "GET", BodyFraming::UntilClose),
    ];
    for (head, method, expected) in cases {
        assert_eq!(head.response_body(method), Ok(expected), "{head:?}");
    }
}
