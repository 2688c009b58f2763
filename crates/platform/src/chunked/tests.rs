use super::*;

#[test]
fn a_body_is_the_same_wherever_its_bytes_are_cut() {
    let bytes = b"5\r\n{\"a\":\r\n3;x=y\r\n1}\n\r\n1\r\n\n\r\n0\r\n\r\n";
    for first in 0..bytes.len() {
        for second in first..bytes.len() {
            let (mut chunks, mut out, mut goes_on) = (ChunkedDecoder::default(), Vec::new(), true);
            for piece in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                goes_on = chunks.push(piece, &mut out).unwrap();
            }
            assert_eq!(out, b"{\"a\":1}\n\n", "cut at {first} and {second}");
            assert!(!goes_on);
        }
    }
}

#[test]
fn what_is_not_chunked_is_told() {
    let long = [b'1'; 300];
    for bytes in [
        &b"{\"index\":1}\r\n"[..],
        b"\r\n",
        b"+5\r\n",
        b"2\r\nabc\r\n",
        &long,
    ] {
        let mut chunks = ChunkedDecoder::default();
        assert_eq!(
            chunks.push(bytes, &mut Vec::new()),
            Err(InvalidChunk),
            "{bytes:?}"
        );
    }
}
