//! Tests of statuses in headers.

use super::*;

#[test]
fn a_status_is_read_as_it_was_written() {
    for text in ["", "plain", "50% of größe\n", "%zz", "ends in %"] {
        for code in CODES {
            let mut headers = HeaderMap::new();
            let status = Status::new(code, text);
            status.write_to(&mut headers);
            assert_eq!(Status::read_from(&headers), Some(status));
        }
    }
    let mut headers = HeaderMap::new();
    assert_eq!(Status::read_from(&headers), None);
    headers.insert("grpc-status", HeaderValue::from(99));
    assert_eq!(Status::read_from(&headers).unwrap().code, Code::Unknown);
}
