//! Whether a table is published whole or as a patch beside its base, free of I/O: an ordered list of short
//! rules, the first that says something decides. Called once for each publication of a proxy.

/// What one publication would cost, in bytes, and how the base stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The table whole, and the patch from the base to it; no patch where there is no base.
    pub whole: usize,
    pub patch: Option<usize>,
    /// The base as it was written, which every reader of a patch reads too.
    pub base: usize,
    /// Patches published since the base, and lines of the table.
    pub since_base: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Published {
    Whole,
    Patched,
}

/// A file costs about so many bytes' worth beyond its own: opened, synced, listed in the manifest. A patch
/// is one file more (the base, linked).
const FILE: f64 = 400.0;
/// What a reader pays counts this much of what the writer pays: it reads from memory, it does not sync.
const READER: f64 = 0.1;
/// A base is renewed after so many patches, so that what is wrong with one does not last.
const LONGEST: u32 = 64;

type Rule = fn(&Choice) -> Option<Published>;

const RULES: [Rule; 3] = [
    whole_without_a_base,
    whole_after_many_patches,
    whatever_is_cheaper,
];

/// The rules, from the top.
pub fn choose(choice: &Choice) -> Published {
    let said = RULES.iter().find_map(|rule| rule(choice));
    said.unwrap_or(Published::Whole)
}

fn whole_without_a_base(c: &Choice) -> Option<Published> {
    c.patch.is_none().then_some(Published::Whole)
}

/// Guards against a base that a disk has bent without anybody reading it whole again.
fn whole_after_many_patches(c: &Choice) -> Option<Published> {
    (c.since_base >= LONGEST).then_some(Published::Whole)
}

/// Compacts too: a patch holds all changes since its base, so it grows until the whole is cheaper.
fn whatever_is_cheaper(c: &Choice) -> Option<Published> {
    let patch = c.patch? as f64;
    let whole = c.whole as f64 * (1.0 + READER);
    let patched = patch * (1.0 + READER) + c.base as f64 * READER + FILE;
    Some(if patched < whole {
        Published::Patched
    } else {
        Published::Whole
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_rule_decides_where_it_should() {
        use Published::{Patched, Whole};
        let choice = |whole, patch, base, since_base| Choice {
            whole,
            patch,
            base,
            since_base,
        };
        let cases = [
            ("no base", choice(50_000, None, 0, 0), Whole),
            (
                "a line of many",
                choice(50_000, Some(300), 50_000, 3),
                Patched,
            ),
            ("a small table", choice(700, Some(300), 700, 3), Whole),
            ("most of it", choice(50_000, Some(45_500), 50_000, 3), Whole),
            (
                "many patches",
                choice(50_000, Some(300), 50_000, LONGEST),
                Whole,
            ),
            (
                "a base that was far larger",
                choice(5_000, Some(400), 500_000, 3),
                Whole,
            ),
        ];
        for (name, choice, wanted) in cases {
            assert_eq!(choose(&choice), wanted, "{name}");
        }
    }
}
