use super::*;

#[test]
fn a_body_split_anywhere_decodes_the_same() {
    let bytes = b"5\r\n{\"a\":\r\n3;x=y\r\n1}\n\r\n1\r\n\n\r\n0\r\n\r\n";
    for first in 0..bytes.len() {
        for second in first..bytes.len() {
            let (mut decoder, mut out, mut continues) =
                (ChunkedDecoder::default(), Vec::new(), true);
            for piece in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                continues = decoder.push(piece, &mut out).unwrap();
            }
            assert_eq!(out, b"{\"a\":1}\n\n", "cut at {first} and {second}");
            assert!(!continues);
        }
    }
}

#[test]
fn invalid_chunks_are_rejected() {
    let long = [b'1'; 300];
    for bytes in [
        &b"{\"index\":1}\r\n"[..],
        b"\r\n",
        b"+5\r\n",
        b"2\r\nabc\r\n",
        &long,
    ] {
        let mut decoder = ChunkedDecoder::default();
        assert_eq!(
            decoder.push(bytes, &mut Vec::new()),
            Err(InvalidChunk),
            "{bytes:?}"
        );
    }
}
