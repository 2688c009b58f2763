//! What is taken out of a proxy's spool, free of I/O: an ordered list of short rules, the first that says
//! something decides. Called for each name in a spool, with what the directory says of it before it is
//! opened. A spool is its proxy's own, and whoever writes there may be broken or hostile.

/// A larger file is no report; a beat or an answer is far smaller.
const LARGEST: u64 = 1 << 20;
/// A report that waited so many reporting periods says nothing any more; what is written aside and was
/// never renamed goes after as long.
const OLD: f64 = 30.0;
/// Files of one proxy that are taken in one round; the rest waits.
const ROUND: usize = 16;

/// What kind a file is, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Heartbeat,
    Ack(u64),
    Report(u64),
    /// Written aside: not yet for us.
    Aside,
    Strange,
}

impl Kind {
    pub fn of(name: &str) -> Kind {
        let number = |prefix: &str| {
            let digits = name.strip_prefix(prefix)?;
            let plain =
                (1..=18).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
            plain.then(|| digits.parse::<u64>().ok())?
        };
        match (name, number("ack-"), number("report-")) {
            ("beat", ..) => Kind::Heartbeat,
            (_, Some(n), _) => Kind::Ack(n),
            (.., Some(n)) => Kind::Report(n),
            _ if name.starts_with('.') => Kind::Aside,
            _ => Kind::Strange,
        }
    }
}

/// What a directory says of a name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Found {
    pub kind: Kind,
    /// A plain file: no link, pipe, directory.
    pub plain: bool,
    /// Names that it has, here and elsewhere.
    pub names: u64,
    pub bytes: u64,
    /// By the disk's own clock.
    pub age_ms: f64,
}

/// What was taken of the proxy so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Taken {
    /// The highest numbers of this life.
    pub ack: Option<u64>,
    pub report: Option<u64>,
    /// Files of this round.
    pub round: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Take,
    /// Not now.
    Leave,
    /// Removed, and counted.
    Drop(&'static str),
    /// Put away for people to see, and told.
    Quarantine(&'static str),
}

type Rule = fn(&Found, &Taken, f64) -> Option<Fate>;

const RULES: [Rule; 7] = [
    what_is_no_file_is_put_away,
    what_is_strange_is_put_away,
    what_is_aside_is_left,
    what_is_too_large_is_put_away,
    what_comes_twice_is_dropped,
    what_is_old_is_dropped,
    what_is_too_much_waits,
];

/// The rules, from the top. `every_ms` is how often proxies report.
pub fn sort(found: &Found, taken: &Taken, every_ms: f64) -> Fate {
    let said = RULES.iter().find_map(|rule| rule(found, taken, every_ms));
    said.unwrap_or(Fate::Take)
}

/// Guards against links that lead out of the spool, pipes that would be waited on, and files that also have
/// a name elsewhere. May harm who writes by linking: they are to rename.
fn what_is_no_file_is_put_away(f: &Found, _: &Taken, _: f64) -> Option<Fate> {
    let wrong = match (f.plain, f.names) {
        (false, _) => Some("it is no plain file"),
        (true, 2..) => Some("it has another name elsewhere"),
        _ => None,
    };
    wrong.map(Fate::Quarantine)
}

fn what_is_strange_is_put_away(f: &Found, _: &Taken, _: f64) -> Option<Fate> {
    (f.kind == Kind::Strange).then_some(Fate::Quarantine("its name is not one of ours"))
}

fn what_is_aside_is_left(f: &Found, _: &Taken, every: f64) -> Option<Fate> {
    (f.kind == Kind::Aside).then_some(match f.age_ms > OLD * every {
        true => Fate::Drop("written aside and never renamed"),
        false => Fate::Leave,
    })
}

fn what_is_too_large_is_put_away(f: &Found, _: &Taken, _: f64) -> Option<Fate> {
    (f.bytes > LARGEST).then_some(Fate::Quarantine("it is too large"))
}

/// Guards against counting a report twice, whoever put it there again.
fn what_comes_twice_is_dropped(f: &Found, t: &Taken, _: f64) -> Option<Fate> {
    let before = match f.kind {
        Kind::Ack(n) => t.ack.is_some_and(|last| n <= last),
        Kind::Report(n) => t.report.is_some_and(|last| n <= last),
        _ => false,
    };
    before.then_some(Fate::Drop("that number was taken before"))
}

/// Guards against a heap of reports from before an outage being taken for the present. An answer is never
/// too old: it says what is in use.
fn what_is_old_is_dropped(f: &Found, _: &Taken, every: f64) -> Option<Fate> {
    let old = matches!(f.kind, Kind::Report(_)) && f.age_ms > OLD * every;
    old.then_some(Fate::Drop("it is too old"))
}

/// Guards all others against one that floods. Beats and answers pass: they are few, and drains hang on
/// them.
fn what_is_too_much_waits(f: &Found, t: &Taken, _: f64) -> Option<Fate> {
    (matches!(f.kind, Kind::Report(_)) && t.round >= ROUND).then_some(Fate::Leave)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_rule_decides_where_it_should() {
        let fine = Found {
            kind: Kind::Report(5),
            plain: true,
            names: 1,
            bytes: 100,
            age_ms: 10.0,
        };
        let none = Taken::default();
        let taken = Taken {
            ack: Some(4),
            report: Some(5),
            round: 0,
        };
        let of = |name: &str| Found {
            kind: Kind::of(name),
            ..fine
        };
        use Fate::{Drop, Leave, Quarantine, Take};
        let cases = [
            ("a report", fine, none, Take),
            (
                "a link",
                Found {
                    plain: false,
                    ..fine
                },
                none,
                Quarantine("it is no plain file"),
            ),
            (
                "a second name",
                Found { names: 2, ..fine },
                none,
                Quarantine("it has another name elsewhere"),
            ),
            (
                "a strange name",
                of("report-5x"),
                none,
                Quarantine("its name is not one of ours"),
            ),
            (
                "a number too long",
                of("ack-1234567890123456789"),
                none,
                Quarantine("its name is not one of ours"),
            ),
            ("aside", of(".report-6"), none, Leave),
            (
                "too large",
                Found {
                    bytes: LARGEST + 1,
                    ..fine
                },
                none,
                Quarantine("it is too large"),
            ),
            ("doubled", fine, taken, Drop("that number was taken before")),
            (
                "an answer twice",
                of("ack-4"),
                taken,
                Drop("that number was taken before"),
            ),
            ("a new answer", of("ack-5"), taken, Take),
            (
                "old",
                Found {
                    age_ms: 31_000.0,
                    ..fine
                },
                none,
                Drop("it is too old"),
            ),
            (
                "an old answer",
                Found {
                    age_ms: 9e9,
                    ..of("ack-5")
                },
                none,
                Take,
            ),
            (
                "a flood",
                fine,
                Taken {
                    round: ROUND,
                    ..none
                },
                Leave,
            ),
            (
                "a beat in a flood",
                of("beat"),
                Taken {
                    round: ROUND,
                    ..none
                },
                Take,
            ),
        ];
        for (name, found, taken, wanted) in cases {
            assert_eq!(sort(&found, &taken, 1_000.0), wanted, "{name}");
        }
    }
}
