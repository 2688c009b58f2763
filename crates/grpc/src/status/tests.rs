//! Tests of statuses in headers.

use super::*;

#[test]
fn a_status_survives_its_headers() {
    for text in ["", "plain", "50% of größe\n", "%zz", "ends in %"] {
        for code in CODES {
            let mut headers = HeaderMap::new();
            let status = Status::new(code, text);
            status.write_to(&mut headers);
            assert_eq!(Status::read_from(&headers), Some(status));
        }
    }
    let mut odd = HeaderMap::new();
    assert_eq!(Status::read_from(&odd), None);
    odd.insert("grpc-status", HeaderValue::from(99));
    assert_eq!(Status::read_from(&odd).unwrap().code, Code::Unknown);
}
