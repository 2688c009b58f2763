//! Tests of weights and addresses on the wire.

use super::*;

#[test]
fn weights_are_integers_of_at_least_one_on_the_wire() {
    let cases = [
        (1.0, 10_000),
        (0.1, 1_000),
        (0.000_001, 1),
        (0.000_06, 1),
        (2.000_04, 20_000),
        (1e9, 100_000_000),
    ];
    for (weight, expected) in cases {
        assert_eq!(scaled_weight(weight), expected, "{weight}");
    }
}

#[test]
fn addresses_are_formatted_as_they_were_parsed() {
    for text in ["127.0.0.1:80", "[::1]:9000", "host.example:1"] {
        assert_eq!(
            format_address(Some(&parse_address(text))).as_deref(),
            Some(text)
        );
    }
    assert_eq!(format_address(None), None);
}
