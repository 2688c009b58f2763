//! When to look again and what stands meanwhile: an ordered list of short rules on what was answered. Free of I/O and
//! clock.
//!
//! How it is called: [`Refresh::due`] says when to look, [`Refresh::answered`] takes what came, [`Refresh::listed`] says
//! what DNS is taken to say now. Times are milliseconds.

use crate::{Answer, Target};

/// A lifetime is taken as no shorter, and no longer, than these: a record of no lifetime is not asked for without end.
const LIVES: (f64, f64) = (1_000.0, 300_000.0);
/// It is asked again when so much of the lifetime is over, so that the next answer is there when it ends.
const EARLY: f64 = 0.8;
/// Waits after failures, doubling.
const AGAIN: (f64, f64) = (500.0, 30_000.0);
/// An answer that drops more than this share of what stood, or all, has to come twice.
const MOST_LOST: f64 = 0.5;

/// What DNS is taken to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Worth {
    /// Within its lifetime.
    Fresh,
    /// Past it; lookups fail. It stands: only an answer takes a host away (RFC 8767, serving stale data).
    Stale,
    /// It has never answered.
    Nothing,
}

/// See the module's head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refresh {
    targets: Vec<Target>,
    good_until: Option<f64>,
    failures: u32,
    next: f64,
    /// A smaller answer that has come once.
    doubted: Option<Vec<Target>>,
    pub looked: u64,
    pub failed: u64,
    pub doubts: u64,
    pub last_fault: Option<String>,
}

/// What is done with an answer.
#[derive(Clone, Debug, PartialEq)]
enum Deed {
    /// It stands for so long.
    Takes(Vec<Target>, f64),
    /// Asked again soon; what stood does.
    Doubts(Vec<Target>),
    Waits(String),
}

type Rule = fn(&Refresh, &Answer) -> Option<Deed>;

const RULES: [Rule; 4] = [
    a_failure_says_nothing,
    a_much_smaller_answer_comes_twice,
    nothing_is_an_answer,
    what_is_answered_stands,
];

/// Guards against taking silence for an empty list: what stood stands, and it is asked again with growing waits.
fn a_failure_says_nothing(_: &Refresh, a: &Answer) -> Option<Deed> {
    match a {
        Answer::Failed(why) => Some(Deed::Waits(why.clone())),
        _ => None,
    }
}

/// Guards against an answer that is cut off without saying so, a server that has just started with half a zone, a
/// zone that was emptied by mistake. May harm a fleet that really shrinks to half at once: by one more lookup.
fn a_much_smaller_answer_comes_twice(r: &Refresh, a: &Answer) -> Option<Deed> {
    let found: &[Target] = match a {
        Answer::Targets(found, _) => found,
        _ => &[],
    };
    let stays = r
        .targets
        .iter()
        .filter(|t| found.iter().any(|f| f.address == t.address));
    let lost = r.targets.len() - stays.count();
    let much = lost as f64 > MOST_LOST * r.targets.len() as f64;
    let again = r
        .doubted
        .as_deref()
        .is_some_and(|before| same(before, found));
    (much && !again).then(|| Deed::Doubts(found.to_vec()))
}

fn nothing_is_an_answer(_: &Refresh, a: &Answer) -> Option<Deed> {
    match a {
        Answer::Nothing(lives) => Some(Deed::Takes(Vec::new(), *lives)),
        _ => None,
    }
}

fn what_is_answered_stands(_: &Refresh, a: &Answer) -> Option<Deed> {
    match a {
        Answer::Targets(found, lives) => Some(Deed::Takes(found.clone(), *lives)),
        _ => None,
    }
}

/// The same hosts, in whatever order.
fn same(a: &[Target], b: &[Target]) -> bool {
    a.len() == b.len() && a.iter().all(|t| b.iter().any(|o| o.address == t.address))
}

impl Refresh {
    /// When to look.
    pub fn due(&self) -> f64 {
        self.next
    }

    /// Takes what a lookup came to; tells whether what DNS is taken to say may have changed.
    pub fn answered(&mut self, now: f64, answer: &Answer) -> bool {
        self.looked += 1;
        let deed = RULES.iter().find_map(|rule| rule(self, answer));
        match deed {
            Some(Deed::Takes(mut targets, lives)) => {
                targets.sort_by_key(|t| t.address);
                targets.dedup_by_key(|t| t.address);
                let lives = if lives.is_finite() {
                    lives.clamp(LIVES.0, LIVES.1)
                } else {
                    LIVES.0
                };
                let changed = targets != self.targets || self.good_until.is_none();
                (self.targets, self.doubted, self.failures) = (targets, None, 0);
                self.good_until = Some(now + lives);
                self.next = now + lives * EARLY;
                self.last_fault = None;
                changed
            }
            Some(Deed::Doubts(found)) => {
                self.doubts += 1;
                self.doubted = Some(found);
                self.next = now + LIVES.0;
                false
            }
            Some(Deed::Waits(why)) => {
                self.failed += 1;
                let doubled = f64::from(1_u32 << self.failures.min(16));
                self.failures += 1;
                self.next = now + (AGAIN.0 * doubled).min(AGAIN.1);
                self.last_fault = Some(why);
                false
            }
            None => false,
        }
    }

    /// Begins with what was answered before this controller began.
    pub fn since(targets: Vec<Target>) -> Refresh {
        Refresh {
            good_until: Some(f64::NEG_INFINITY),
            targets,
            ..Refresh::default()
        }
    }

    /// What DNS is taken to say now, and what that is worth.
    pub fn listed(&self, now: f64) -> (&[Target], Worth) {
        let worth = match self.good_until {
            Some(until) if now < until => Worth::Fresh,
            Some(_) => Worth::Stale,
            None => Worth::Nothing,
        };
        (&self.targets, worth)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn target(i: u8) -> Target {
        Target {
            name: format!("h{i}"),
            address: ([10, 0, 0, i], 80).into(),
            priority: 0,
            weight: 1,
        }
    }

    fn all(n: u8) -> Answer {
        Answer::Targets((0..n).map(target).collect(), 10_000.0)
    }

    fn failed() -> Answer {
        Answer::Failed("no answer".into())
    }

    /// What comes when; then, after each, how many hosts stand, what they are worth, and when it is asked again.
    #[test]
    fn what_stands_while_answers_come_and_fail() {
        use Worth::{Fresh, Nothing, Stale};
        type Step = (f64, Option<Answer>, usize, Worth, f64);
        let cases: [(&str, Vec<Step>); 6] = [
            (
                "never answered",
                vec![
                    (0.0, Some(failed()), 0, Nothing, 500.0),
                    (500.0, Some(failed()), 0, Nothing, 1_500.0),
                ],
            ),
            (
                "a minute of failures",
                vec![
                    (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                    (8e3, Some(failed()), 4, Fresh, 8_500.0),
                    (10e3, Some(failed()), 4, Stale, 11_000.0),
                    (68e3, Some(failed()), 4, Stale, 70_000.0),
                    (70e3, Some(all(4)), 4, Fresh, 78_000.0),
                ],
            ),
            (
                "failures without end",
                vec![
                    (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                    (9e9, None, 4, Stale, 8_000.0),
                ],
            ),
            (
                "a fleet that shrinks by one",
                vec![
                    (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                    (8e3, Some(all(3)), 3, Fresh, 16_000.0),
                ],
            ),
            (
                "half an answer",
                vec![
                    (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                    (8e3, Some(all(1)), 4, Fresh, 9_000.0),
                    (9e3, Some(all(4)), 4, Fresh, 17_000.0),
                ],
            ),
            (
                "twice the same is meant",
                vec![
                    (0.0, Some(all(4)), 4, Fresh, 8_000.0),
                    (8e3, Some(Answer::Nothing(5e3)), 4, Fresh, 9_000.0),
                    (9e3, Some(failed()), 4, Fresh, 9_500.0),
                    (9.5e3, Some(Answer::Nothing(5e3)), 0, Fresh, 13_500.0),
                ],
            ),
        ];
        for (name, steps) in cases {
            let mut r = Refresh::default();
            for (now, answer, many, worth, next) in steps {
                if let Some(answer) = answer {
                    r.answered(now, &answer);
                }
                let (targets, found) = r.listed(now);
                assert_eq!(
                    (targets.len(), found, r.due()),
                    (many, worth, next),
                    "{name} at {now}"
                );
            }
        }
    }

    #[test]
    fn lifetimes_and_waits_are_bounded() {
        for (lives, next) in [
            (0.0, 800.0),
            (f64::NAN, 800.0),
            (1e12, 240_000.0),
            (5e3, 4_000.0),
        ] {
            let mut r = Refresh::default();
            r.answered(0.0, &Answer::Targets(vec![target(1)], lives));
            assert_eq!(r.due(), next, "{lives}");
        }
        let mut r = Refresh::default();
        (0..100).for_each(|_| {
            r.answered(0.0, &failed());
        });
        assert_eq!(r.due(), 30_000.0);
    }
}
