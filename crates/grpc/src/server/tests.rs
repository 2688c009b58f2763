//! Tests of the server: the header `grpc-timeout`.

use super::*;

#[test]
fn timeouts_are_parsed_or_rejected() {
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
    for (text, expected) in cases {
        let mut headers = HeaderMap::new();
        headers.insert("grpc-timeout", HeaderValue::from_static(text));
        assert_eq!(parse_timeout(&headers).ok().flatten(), expected, "{text}");
    }
    assert_eq!(parse_timeout(&HeaderMap::new()), Ok(None));
}
