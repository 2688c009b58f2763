//! Tests of resource names.

use super::*;

#[test]
fn any_server_name_has_a_unique_reversible_resource_name() {
    let collection = part_collection("plan portal/ü", 3);
    let odd = [
        "a",
        "",
        "a/b",
        "*",
        "%2F",
        "größe \n\0",
        "..",
        "xdstp://x/*",
    ];
    let mut seen = std::collections::BTreeSet::new();
    for server in odd {
        let name = line(&collection, server);
        assert_eq!(parse_line(&name), Some((collection.clone(), server.into())));
        assert!(seen.insert(name));
    }
    assert_eq!(
        class_of("s/1", &cluster("s/1", "pay/in")),
        Some("pay/in".into())
    );
    assert_eq!(class_of("s", &cluster("t", "pay")), None);
    assert_eq!(unescape("%zz"), None);
    assert_eq!(unescape("%2"), None);
}
