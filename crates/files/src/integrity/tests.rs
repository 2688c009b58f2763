use super::*;

const A: &str = "a = 000102030405060708090a0b0c0d0e0f\n";
const B: &str = "b = ff0102030405060708090a0b0c0d0e0f\n";

#[test]
fn tags_are_valid_for_their_text_and_keys_only() {
    let keys = |text: &str| Keys::parse("k", text).unwrap();
    let (none, a, b) = (Keys::default(), keys(A), keys(B));
    let both = keys(&format!("{B}{A}"));
    let cases = [
        ("no keys", &none, &none, true),
        ("one key", &a, &a, true),
        ("during a rotation: the old key signs", &a, &both, true),
        ("during a rotation: the new key signs", &both, &b, true),
        ("unsigned with keys configured", &none, &a, false),
        ("signed without keys configured", &a, &none, false),
        ("another key", &b, &a, false),
    ];
    for (name, from, to, fine) in cases {
        let tagged = from.add_tag("text");
        assert_eq!(to.verified_text(tagged.as_bytes()).is_ok(), fine, "{name}");
        for i in 0..tagged.len() {
            let mut changed = tagged.clone().into_bytes();
            changed[i] ^= 1;
            assert!(
                to.verified_text(&changed).is_err(),
                "{name}: changed at {i}"
            );
            assert!(
                to.verified_text(&changed[..i]).is_err(),
                "{name}: truncated at {i}"
            );
        }
    }
    for (text, line) in [("", 1), ("a = 00", 1), ("# k\na 00", 2)] {
        let why = Keys::parse("k", text).unwrap_err();
        assert!(why.starts_with(&format!("k:{line}:")), "{why}");
    }
    assert!(Keys::parse("k", &format!("{A}{A}")).is_err());
}
