//! Decisions on membership and on delivery that failed, free of I/O: an ordered list of short rules,
//! each a condition and an effect, gone through for each proxy until none fires.
//!
//! How it is called: [`Member`] is what is known of a joined proxy; [`next`] tells the one thing to do
//! about it now, if any, and notes it. Figures are ratios to the service's own.

use crate::ControllerSettings;

/// A proxy that does not answer is given up after so many times the grace, or so many ways of a message.
const SILENT_GRACES: f64 = 4.0;
const SILENT_WAYS: f64 = 30.0;
/// The first waits before what was refused is offered again, as shares of the grace: withdrawals get
/// several attempts within it, the rest of a table can wait. They double with each refusal, so many
/// times at the most.
const WITHDRAW_AGAIN: f64 = 0.1;
const AGAIN: f64 = 1.0;
/// Withdrawals never wait longer than this share of the grace: a proxy that takes messages again, after
/// however many refusals, hears of a drain while there is time.
const WITHDRAW_MOST: f64 = 0.25;
const DOUBLINGS: u32 = 5;
/// Lines that are offered again may fill the channel up to this share of what may wait: the planner's
/// own go first.
const ROOM: f64 = 0.5;

/// The figures that the rules go by.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    silent_ms: f64,
    withdraw_again_ms: f64,
    withdraw_most_ms: f64,
    again_ms: f64,
    room: f64,
}

impl Patience {
    pub fn of(terms: &ControllerSettings) -> Patience {
        let ways = terms.message_latency_ms * SILENT_WAYS;
        // A full channel drains in this time; a proxy at its end must not count as silent.
        let drained = 2.0 * 1000.0 * terms.max_queued_lines / terms.lines_per_s;
        Patience {
            silent_ms: (terms.drain_grace_ms * SILENT_GRACES)
                .max(ways)
                .max(drained),
            withdraw_again_ms: terms.drain_grace_ms * WITHDRAW_AGAIN,
            withdraw_most_ms: terms.drain_grace_ms * WITHDRAW_MOST,
            again_ms: terms.drain_grace_ms * AGAIN,
            room: terms.max_queued_lines * ROOM,
        }
    }
}

/// What is known of a joined proxy's deliveries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// When the oldest message without an answer was written.
    pub unanswered_since: Option<f64>,
    /// Refusals in a row, and when the last one came.
    pub refusals: u32,
    pub refused_at: f64,
    /// A refused message held withdrawals that are not yet written again.
    pub owed_withdrawals: bool,
    /// It holds an older table than it was sent.
    pub owed_table: bool,
}

impl Member {
    pub fn refused(&mut self, now: f64, withdrawals: bool) {
        self.refusals += 1;
        self.refused_at = now;
        self.owed_withdrawals |= withdrawals;
        self.owed_table = true;
    }

    /// It took a message. One that was whole settles the table.
    pub fn applied(&mut self, whole: bool) {
        self.refusals = 0;
        if whole {
            self.owed_table = false;
        }
    }

    fn again_at(&self, first_ms: f64, most_ms: f64) -> f64 {
        let doubled = f64::from(1_u32 << (self.refusals.max(1) - 1).min(DOUBLINGS));
        self.refused_at + (first_ms * doubled).min(most_ms)
    }

    fn withdraw_at(&self, p: &Patience) -> f64 {
        self.again_at(p.withdraw_again_ms, p.withdraw_most_ms)
    }

    fn offer_at(&self, p: &Patience) -> f64 {
        self.again_at(p.again_ms, f64::INFINITY)
    }

    /// When a rule could next fire, if nothing else happens.
    pub fn alarm(&self, patience: &Patience) -> Option<f64> {
        let silent = self.unanswered_since.map(|at| at + patience.silent_ms);
        let withdraw = self.owed_withdrawals.then(|| self.withdraw_at(patience));
        let again = self.owed_table.then(|| self.offer_at(patience));
        let owed = [withdraw, again].into_iter().flatten();
        owed.chain(silent).reduce(f64::min)
    }
}

/// What to do about a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    GiveUp,
    WithdrawAgain,
    OfferAgain,
}

type Rule = fn(&mut Member, f64, f64, &Patience) -> Option<Deed>;

const RULES: [Rule; 3] = [give_up_the_silent, withdraw_again, offer_again];

/// The one thing to do now about a proxy, with so many lines waiting in the channel.
pub fn next(member: &mut Member, now: f64, waiting: f64, patience: &Patience) -> Option<Deed> {
    RULES
        .iter()
        .find_map(|rule| rule(member, now, waiting, patience))
}

/// Guards against a proxy that holds its stream but answers nothing: stopped, stuck, or behind a link
/// that swallows. Its stream is ended, so that it dials again and is told all anew, and so that what it
/// was sent does not pile up here. Should also catch proxies that lose answers. May harm when a channel
/// is so slow that honest answers take longer: then the patience covers two drains of a full channel.
fn give_up_the_silent(m: &mut Member, now: f64, _: f64, p: &Patience) -> Option<Deed> {
    let silent = m.unanswered_since.is_some_and(|at| now - at >= p.silent_ms);
    silent.then(|| {
        m.unanswered_since = None;
        Deed::GiveUp
    })
}

/// Guards against a drain that is lost because something else in the same message was refused: what
/// was withdrawn goes out again by itself, at once the first time, then with growing waits. Needs no
/// room: withdrawals pass. The waits are bounded: before, a
/// proxy that had refused for seconds heard of a drain too late. May harm little: a proxy that refuses all
/// costs one small message a wait.
fn withdraw_again(m: &mut Member, now: f64, _: f64, p: &Patience) -> Option<Deed> {
    let due = m.owed_withdrawals && (m.refusals <= 1 || now >= m.withdraw_at(p));
    due.then(|| {
        m.owed_withdrawals = false;
        Deed::WithdrawAgain
    })
}

/// Guards against a proxy that stays on an old table for good after one refusal: the whole table is
/// offered again, after a wait that doubles, while the channel has room.
fn offer_again(m: &mut Member, now: f64, waiting: f64, p: &Patience) -> Option<Deed> {
    let due = m.owed_table && now >= m.offer_at(p) && waiting < p.room;
    due.then(|| {
        m.owed_table = false;
        Deed::OfferAgain
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const P: Patience = Patience {
        silent_ms: 1000.0,
        withdraw_again_ms: 10.0,
        withdraw_most_ms: 25.0,
        again_ms: 100.0,
        room: 50.0,
    };

    #[test]
    fn each_rule_fires_on_its_symptom_and_only_then() {
        let quiet = Member::default();
        let since = |at| Member {
            unanswered_since: Some(at),
            ..quiet
        };
        let refused = |times: u32, withdrawals| {
            let mut m = quiet;
            (0..times).for_each(|_| m.refused(0.0, withdrawals));
            m
        };
        // Name, member, now, waiting, wanted.
        let cases = [
            ("nothing is owed", quiet, 9e9, 0.0, None),
            ("answers are due", since(0.0), 999.0, 0.0, None),
            ("silent", since(0.0), 1000.0, 0.0, Some(Deed::GiveUp)),
            (
                "silent goes before owed",
                Member {
                    unanswered_since: Some(0.0),
                    ..refused(1, true)
                },
                1000.0,
                0.0,
                Some(Deed::GiveUp),
            ),
            (
                "a drain is owed at once, room or not",
                refused(1, true),
                0.0,
                99.0,
                Some(Deed::WithdrawAgain),
            ),
            ("refused again: it waits", refused(2, true), 19.0, 0.0, None),
            (
                "the wait has doubled",
                refused(2, true),
                20.0,
                0.0,
                Some(Deed::WithdrawAgain),
            ),
            (
                "it never waits long",
                refused(30, true),
                25.0,
                0.0,
                Some(Deed::WithdrawAgain),
            ),
            ("but it waits", refused(30, true), 24.0, 0.0, None),
            ("a table waits", refused(1, false), 99.0, 0.0, None),
            (
                "a table is offered",
                refused(1, false),
                100.0,
                0.0,
                Some(Deed::OfferAgain),
            ),
            ("no room for it", refused(1, false), 100.0, 50.0, None),
            ("doubled often", refused(40, false), 3199.0, 0.0, None),
            (
                "but not for ever",
                refused(40, false),
                3200.0,
                0.0,
                Some(Deed::OfferAgain),
            ),
        ];
        for (name, member, now, waiting, wanted) in cases {
            let mut m = member;
            assert_eq!(next(&mut m, now, waiting, &P), wanted, "{name}");
            // Ends what fired: the list comes to rest.
            let rest = (0..3).filter(|_| next(&mut m, now, waiting, &P).is_some());
            assert!(rest.count() < 3, "{name}");
        }
    }

    #[test]
    fn a_table_that_was_taken_is_owed_no_more() {
        let mut m = Member::default();
        m.refused(0.0, false);
        m.applied(false);
        assert!(m.owed_table, "a change alone does not settle it");
        m.applied(true);
        assert_eq!((m.owed_table, m.alarm(&P)), (false, None));
    }
}
