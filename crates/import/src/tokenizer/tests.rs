use super::*;

#[test]
fn tokens_have_their_positions() {
    let text = "# c \\\n more\n  Balancer\\\nMember \"a \\\"b\" 'c d' e=f\\\r\n  g\r\n<Proxy x>\n</Proxy>\n#\n";
    let found = tokenize(text).unwrap();
    let summary: Vec<(usize, Vec<&str>, bool, bool)> = found
        .iter()
        .map(|l| {
            (
                l.number,
                l.tokens.iter().map(|w| w.text.as_str()).collect(),
                l.opens,
                l.closes,
            )
        })
        .collect();
    let member = vec!["BalancerMember", "a \"b", "c d", "e=f", "g"];
    assert_eq!(
        summary,
        [
            (3, member, false, false),
            (6, vec!["Proxy", "x"], true, false),
            (7, vec!["Proxy"], false, true),
        ]
    );
    let quoted = &found[0].tokens[1];
    assert_eq!(&text[quoted.bytes.clone()], "\"a \\\"b\"");
}

#[test]
fn invalid_lines_are_reported() {
    let cases = [
        ("a \"b\n", "a \" is missing"),
        ("x\n<Proxy\n", "ends with >"),
        ("< >\n", "without a name"),
    ];
    for (text, expected) in cases {
        let errors = tokenize(text).unwrap_err();
        assert!(errors[0].message.contains(expected), "{text}: {errors:?}");
    }
}
