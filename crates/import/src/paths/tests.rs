use super::*;

#[test]
fn glob_patterns() {
    let cases = [
        ("*.conf", "a.conf", true),
        ("*.conf", "a.conf.bak", false),
        ("*.conf", ".conf", false),
        ("?.c", "a.c", true),
        ("[a-c]*", "bx", true),
        ("[!a-c]*", "bx", false),
        ("a*b*c", "aXbYbZc", true),
        ("a*b", "aXc", false),
        ("*", "", true),
        ("[", "[", false),
        ("a[]", "a", false),
    ];
    for (pattern, name, expected) in cases {
        assert_eq!(matches_glob(pattern, name), expected, "{pattern} {name}");
    }
    assert!(
        !matches_glob(&("*a".repeat(500) + "b"), &"a".repeat(5_000)),
        "no exponential time"
    );
}

#[test]
fn parents_and_relative_paths() {
    assert_eq!(
        (parent("a/b.conf"), parent("b.conf"), parent("/b")),
        ("a", "", "/")
    );
    assert_eq!(
        (resolve("a", "b"), resolve("", "b"), resolve("a/", "/b")),
        ("a/b".into(), "b".into(), "/b".into())
    );
}
