use super::*;

fn drain(lines: &mut LineBuffer, out: &mut Vec<String>) -> Result<(), LineTooLong> {
    while let Some(line) = lines.next_line() {
        out.push(String::from_utf8_lossy(line?).into_owned());
    }
    Ok(())
}

#[test]
fn a_stream_split_anywhere_has_the_same_lines() {
    let bytes = b"probe\r\n\r\n* hello 17 a 21.5 1\r\n*\nlast\r\n";
    let whole = ["probe", "", "* hello 17 a 21.5 1", "*", "last"];
    for first in 0..bytes.len() {
        for second in first..bytes.len() {
            let (mut lines, mut out) = (LineBuffer::new(64), Vec::new());
            for piece in [&bytes[..first], &bytes[first..second], &bytes[second..]] {
                lines.push(piece);
                drain(&mut lines, &mut out).unwrap();
            }
            assert_eq!(out, whole, "cut at {first} and {second}");
            assert_eq!(lines.pending_len(), 0);
        }
    }
}

#[test]
fn a_too_long_line_is_rejected_with_and_without_its_end() {
    for (bytes, ok) in [
        (&b"12345678\r\n"[..], true),
        (b"123456789\r\n", false),
        (b"12345678\r", true),
        (b"1234567890", false),
    ] {
        let (mut lines, mut out) = (LineBuffer::new(8), Vec::new());
        lines.push(bytes);
        assert_eq!(drain(&mut lines, &mut out).is_ok(), ok, "{bytes:?}");
    }
}

#[test]
fn memory_of_a_long_line_is_freed() {
    let mut lines = LineBuffer::new(1 << 20);
    lines.push(&[b'x'; 500_000]);
    assert!(lines.next_line().is_none());
    lines.push(b"\n");
    assert!(matches!(lines.next_line(), Some(Ok(_))));
    assert!(lines.next_line().is_none());
    assert!(lines.buffer.capacity() <= 4096);
}
