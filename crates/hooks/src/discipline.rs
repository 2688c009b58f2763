//! Who may run: hooks that are cut off, or that fail again and again, rest for growing, bounded pauses; who wishes
//! too much is not heard. Free of I/O and clock.
//!
//! How it is called: [`Record::may_run`] before a run, then [`Record::ran`] with how it ended; it answers with
//! what is to be done about it. The rules are gone through from the top, the first that fires decides.

use std::collections::VecDeque;

/// Faults in a row that a hook may have before it rests; being cut off counts as that many at once.
const FAULTS: u32 = 3;
/// The first pause, how often it doubles, and the runs without a fault that take one doubling back.
const PAUSE_MS: f64 = 2_000.0;
const DOUBLINGS: u32 = 8;
const CLEAN: u32 = 20;
/// Within this time so many wishes are heard.
const SPAN_MS: f64 = 60_000.0;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Well,
    /// It did what cannot be done, or said that it fails.
    Failed,
    /// It used up what it may.
    CutOff,
}

/// What is done about a hook after a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Nothing,
    /// Its wishes of this run are not heard.
    NotHeard,
    /// It rests for so long.
    Rests(f64),
}

/// What is known of a hook.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub runs: u64,
    pub failed: u64,
    pub cut_off: u64,
    pub unheard: u64,
    in_a_row: u32,
    clean: u32,
    rests: u32,
    until: f64,
    wishes: VecDeque<(f64, usize)>,
}

/// A run that has just ended.
struct Ran {
    now: f64,
    end: End,
    wishes: usize,
    most: usize,
}

type Rule = fn(&mut Record, &Ran) -> Option<Deed>;

const RULES: [Rule; 4] = [
    who_is_cut_off_rests,
    who_fails_again_and_again_rests,
    who_wishes_too_much_is_not_heard,
    who_does_well_is_forgiven,
];

/// Guards against hooks that loop or eat memory: each such run costs its whole allowance. May harm a hook that was
/// cut off once by a busy machine: it rests for two seconds.
fn who_is_cut_off_rests(r: &mut Record, ran: &Ran) -> Option<Deed> {
    (ran.end == End::CutOff).then(|| {
        r.cut_off += 1;
        r.rest(ran.now)
    })
}

/// Guards against a hook that is wrong: it would fill the log at each event. Its first faults cost nothing but
/// their runs, since they may be the world's.
fn who_fails_again_and_again_rests(r: &mut Record, ran: &Ran) -> Option<Deed> {
    if ran.end != End::Failed {
        return None;
    }
    r.failed += 1;
    r.in_a_row += 1;
    r.clean = 0;
    Some(match r.in_a_row >= FAULTS {
        true => r.rest(ran.now),
        false => Deed::Nothing,
    })
}

/// Guards against a hook that wishes at each report. All wishes of the run are passed over, not some: half of what
/// a hook wants may be worse than nothing. May harm a hook that reacts to a mass event server by server.
fn who_wishes_too_much_is_not_heard(r: &mut Record, ran: &Ran) -> Option<Deed> {
    while r
        .wishes
        .front()
        .is_some_and(|(at, _)| ran.now - at >= SPAN_MS)
    {
        r.wishes.pop_front();
    }
    let lately: usize = r.wishes.iter().map(|(_, n)| n).sum();
    if ran.wishes == 0 || lately + ran.wishes <= ran.most {
        if ran.wishes > 0 {
            r.wishes.push_back((ran.now, ran.wishes));
        }
        return None;
    }
    r.unheard += 1;
    Some(Deed::NotHeard)
}

fn who_does_well_is_forgiven(r: &mut Record, _: &Ran) -> Option<Deed> {
    r.in_a_row = 0;
    r.clean += 1;
    if r.clean >= CLEAN {
        (r.clean, r.rests) = (0, r.rests.saturating_sub(1));
    }
    None
}

impl Record {
    fn rest(&mut self, now: f64) -> Deed {
        let pause = PAUSE_MS * f64::from(1_u32 << self.rests.min(DOUBLINGS));
        self.rests = (self.rests + 1).min(DOUBLINGS);
        (self.in_a_row, self.clean) = (0, 0);
        self.until = now + pause;
        Deed::Rests(pause)
    }

    pub fn may_run(&self, now: f64) -> bool {
        now >= self.until
    }

    /// Until when it rests, if it does.
    pub fn rests_until(&self, now: f64) -> Option<f64> {
        (now < self.until).then_some(self.until)
    }

    /// A run has ended, with so many wishes, of `most` that are heard in a minute.
    pub fn ran(&mut self, now: f64, end: End, wishes: usize, most: usize) -> Deed {
        self.runs += 1;
        let ran = Ran {
            now,
            end,
            wishes,
            most,
        };
        RULES
            .iter()
            .find_map(|rule| rule(self, &ran))
            .unwrap_or(Deed::Nothing)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn cases() {
        use Deed::{NotHeard, Nothing, Rests};
        use End::{CutOff, Failed, Well};
        type Run = (f64, End, usize, Deed);
        let cases: [(&str, Vec<Run>); 4] = [
            (
                "cut off: pauses grow",
                vec![
                    (0.0, CutOff, 0, Rests(2e3)),
                    (3e3, CutOff, 0, Rests(4e3)),
                    (9e3, CutOff, 0, Rests(8e3)),
                ],
            ),
            (
                "three faults in a row",
                vec![
                    (0.0, Failed, 0, Nothing),
                    (1.0, Failed, 0, Nothing),
                    (2.0, Failed, 0, Rests(2e3)),
                ],
            ),
            (
                "not in a row",
                vec![
                    (0.0, Failed, 0, Nothing),
                    (1.0, Failed, 0, Nothing),
                    (2.0, Well, 0, Nothing),
                    (3.0, Failed, 0, Nothing),
                ],
            ),
            (
                "ten wishes a minute",
                vec![
                    (0.0, Well, 6, Nothing),
                    (1.0, Well, 5, NotHeard),
                    (2.0, Well, 4, Nothing),
                    (3.0, Well, 1, NotHeard),
                    (60e3, Well, 6, Nothing),
                ],
            ),
        ];
        for (name, runs) in cases {
            let mut r = Record::default();
            for (now, end, wishes, wanted) in runs {
                assert_eq!(r.ran(now, end, wishes, 10), wanted, "{name} at {now}");
            }
        }
    }

    #[test]
    fn pauses_are_bounded_and_forgiven() {
        let mut r = Record::default();
        let mut last = 0.0;
        for i in 0..20 {
            let Deed::Rests(ms) = r.ran(f64::from(i) * 1e7, End::CutOff, 0, 10) else {
                panic!("it does not rest");
            };
            assert!(ms >= last && ms <= 512e3, "{ms}");
            last = ms;
        }
        assert!(!r.may_run(19.0 * 1e7 + 1.0) && r.may_run(19.0 * 1e7 + last));
        (0..160).for_each(|i| {
            r.ran(1e9 + f64::from(i), End::Well, 0, 10);
        });
        assert_eq!(r.ran(2e9, End::CutOff, 0, 10), Deed::Rests(2e3));
    }
}
