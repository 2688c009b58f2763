use super::*;

#[test]
fn each_rule_decides_its_cases() {
    use Encoding::{Patch, Snapshot};
    let cost = |snapshot_bytes, patch_bytes, base_bytes, patches_since_base| PublicationCost {
        snapshot_bytes,
        patch_bytes,
        base_bytes,
        patches_since_base,
    };
    let cases = [
        ("no base", cost(50_000, None, 0, 0), Snapshot),
        (
            "one changed line of many",
            cost(50_000, Some(300), 50_000, 3),
            Patch,
        ),
        ("a small table", cost(700, Some(300), 700, 3), Snapshot),
        (
            "most lines changed",
            cost(50_000, Some(45_500), 50_000, 3),
            Snapshot,
        ),
        (
            "many patches",
            cost(50_000, Some(300), 50_000, MAX_PATCHES_PER_BASE),
            Snapshot,
        ),
        (
            "a much larger base",
            cost(5_000, Some(400), 500_000, 3),
            Snapshot,
        ),
    ];
    for (name, cost, expected) in cases {
        assert_eq!(choose_encoding(&cost), expected, "{name}");
    }
}
