//! Chooses whether a table is published as a snapshot or as a patch next to its base. An ordered list of rules, the
//! first that applies decides. Free of I/O; called once for each publication of a proxy.

/// Sizes of the possible encodings of one publication, and the age of the base.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublicationCost {
    pub snapshot_bytes: usize,
    /// The patch against the base; `None` without a base.
    pub patch_bytes: Option<usize>,
    /// The base, which readers of a patch read too.
    pub base_bytes: usize,
    pub patches_since_base: u32,
}

/// How a table is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    Snapshot,
    Patch,
}

/// The cost of one more file (opened, synced, listed in the manifest), as a number of bytes. A patch has one file
/// more than a snapshot: the linked base.
const FILE_COST_BYTES: f64 = 400.0;
/// Cost of a byte for a reader relative to the writer: readers read from the page cache and don't sync.
const READER_WEIGHT: f64 = 0.1;
/// The base is replaced after so many patches, which bounds how long a corrupt one lasts.
const MAX_PATCHES_PER_BASE: u32 = 64;

type Rule = fn(&PublicationCost) -> Option<Encoding>;

const RULES: [Rule; 3] = [
    snapshot_without_base,
    snapshot_after_many_patches,
    cheaper_encoding,
];

/// The encoding that the first applicable rule gives.
pub fn choose_encoding(cost: &PublicationCost) -> Encoding {
    let encoding = RULES.iter().find_map(|rule| rule(cost));
    encoding.unwrap_or(Encoding::Snapshot)
}

fn snapshot_without_base(c: &PublicationCost) -> Option<Encoding> {
    c.patch_bytes.is_none().then_some(Encoding::Snapshot)
}

/// Guards against a base that was corrupted on disk after it was written.
fn snapshot_after_many_patches(c: &PublicationCost) -> Option<Encoding> {
    (c.patches_since_base >= MAX_PATCHES_PER_BASE).then_some(Encoding::Snapshot)
}

/// Also compacts: a patch has all changes since its base, so it grows until a snapshot is cheaper.
fn cheaper_encoding(c: &PublicationCost) -> Option<Encoding> {
    let patch_bytes = c.patch_bytes? as f64;
    let snapshot = c.snapshot_bytes as f64 * (1.0 + READER_WEIGHT);
    let patch =
        patch_bytes * (1.0 + READER_WEIGHT) + c.base_bytes as f64 * READER_WEIGHT + FILE_COST_BYTES;
    Some(if patch < snapshot {
        Encoding::Patch
    } else {
        Encoding::Snapshot
    })
}

#[cfg(test)]
mod tests;
