//! Decides what happens to a file in a proxy's spool. An ordered list of rules, the first that applies decides. Free of
//! I/O; called for each name, with its metadata, before the file is opened. A spool belongs to its proxy, which may be
//! broken or hostile.

/// The largest size of a file; heartbeats and acks are far smaller.
const MAX_BYTES: u64 = 1 << 20;
/// Reports expire after so many report intervals, and so do temporary files that were never renamed.
const MAX_AGE_INTERVALS: f64 = 30.0;
/// Reports of one proxy that are taken in one round; the rest waits.
const MAX_TAKEN_PER_ROUND: usize = 16;

/// The kind of a file, by its name. Files are taken in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileKind {
    Heartbeat,
    Ack(u64),
    Report(u64),
    /// Still being written.
    Temporary,
    /// Any other name.
    Unknown,
}

impl FileKind {
    /// The kind of a file of this name.
    pub fn of(name: &str) -> FileKind {
        let number = |prefix: &str| {
            let digits = name.strip_prefix(prefix)?;
            let valid =
                (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
            valid.then(|| digits.parse::<u64>().ok())?
        };
        match (name, number("ack-"), number("report-")) {
            ("beat", ..) => FileKind::Heartbeat,
            (_, Some(n), _) => FileKind::Ack(n),
            (.., Some(n)) => FileKind::Report(n),
            _ if name.starts_with('.') => FileKind::Temporary,
            _ => FileKind::Unknown,
        }
    }
}

/// A file's kind and metadata.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FileInfo {
    pub kind: FileKind,
    /// A regular file: no link, pipe or directory.
    pub is_regular: bool,
    /// Its hard links, here and elsewhere.
    pub links: u64,
    pub bytes: u64,
    /// By the disk's clock.
    pub age_ms: f64,
}

/// What was taken from a proxy's spool so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// The highest ack number of this incarnation.
    pub last_ack: Option<u64>,
    /// The highest report number of this incarnation.
    pub last_report: Option<u64>,
    pub taken_this_round: usize,
}

/// What happens to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Take,
    /// Left for a later round.
    Leave,
    /// Removed and counted under the reason.
    Drop(&'static str),
    /// Moved to the quarantine, with a warning.
    Quarantine(&'static str),
}

type Rule = fn(&FileInfo, &Progress, f64) -> Option<Decision>;

const RULES: [Rule; 7] = [
    quarantine_irregular,
    quarantine_unknown,
    leave_temporary,
    quarantine_oversized,
    drop_duplicates,
    drop_expired,
    limit_reports_per_round,
];

/// The decision of the first rule that applies; files that no rule concerns are taken.
pub fn decide(file: &FileInfo, progress: &Progress, report_interval_ms: f64) -> Decision {
    let decision = RULES
        .iter()
        .find_map(|rule| rule(file, progress, report_interval_ms));
    decision.unwrap_or(Decision::Take)
}

/// Guards against links out of the spool, pipes that block the reader, and files that can be changed under another
/// name. Also refuses proxies that write by hard links; they are to rename.
fn quarantine_irregular(f: &FileInfo, _: &Progress, _: f64) -> Option<Decision> {
    let why = match (f.is_regular, f.links) {
        (false, _) => Some("it is not a regular file"),
        (true, 2..) => Some("it has several hard links"),
        _ => None,
    };
    why.map(Decision::Quarantine)
}

fn quarantine_unknown(f: &FileInfo, _: &Progress, _: f64) -> Option<Decision> {
    (f.kind == FileKind::Unknown).then_some(Decision::Quarantine("its name is unknown"))
}

fn leave_temporary(f: &FileInfo, _: &Progress, interval: f64) -> Option<Decision> {
    (f.kind == FileKind::Temporary).then_some(match f.age_ms > MAX_AGE_INTERVALS * interval {
        true => Decision::Drop("written aside and never renamed"),
        false => Decision::Leave,
    })
}

fn quarantine_oversized(f: &FileInfo, _: &Progress, _: f64) -> Option<Decision> {
    (f.bytes > MAX_BYTES).then_some(Decision::Quarantine("it is too large"))
}

/// Guards against counting a report twice when somebody puts it back.
fn drop_duplicates(f: &FileInfo, p: &Progress, _: f64) -> Option<Decision> {
    let duplicate = match f.kind {
        FileKind::Ack(n) => p.last_ack.is_some_and(|last| n <= last),
        FileKind::Report(n) => p.last_report.is_some_and(|last| n <= last),
        _ => false,
    };
    duplicate.then_some(Decision::Drop("that number was taken before"))
}

/// Guards against reports from before an outage that would be taken for current ones. Acks don't expire: they say
/// which table is in use.
fn drop_expired(f: &FileInfo, _: &Progress, interval: f64) -> Option<Decision> {
    let expired = matches!(f.kind, FileKind::Report(_)) && f.age_ms > MAX_AGE_INTERVALS * interval;
    expired.then_some(Decision::Drop("it is too old"))
}

/// Guards the other proxies against one that floods. Heartbeats and acks pass: they are few, and drains depend on
/// them.
fn limit_reports_per_round(f: &FileInfo, p: &Progress, _: f64) -> Option<Decision> {
    let limited =
        matches!(f.kind, FileKind::Report(_)) && p.taken_this_round >= MAX_TAKEN_PER_ROUND;
    limited.then_some(Decision::Leave)
}

#[cfg(test)]
mod tests;
