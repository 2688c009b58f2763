//! Redelivery of refused messages and eviction of proxies that do not answer, without I/O: an ordered list of rules,
//! each a condition and an effect, applied to each proxy until none fires.
//!
//! [`Member`] is the delivery state of a joined proxy; [`next`] returns the next thing to do about it, if any, and
//! updates that state. All times are multiples of the service's own settings.

use crate::ControllerSettings;

/// A proxy that does not answer is evicted after this many drain grace periods or this many message latencies,
/// whichever is longer.
const SILENT_GRACES: f64 = 4.0;
const SILENT_WAYS: f64 = 30.0;
/// Delay of the first redelivery after a refusal, as a share of the drain grace period. Withdrawals get several attempts
/// within that period; the rest of a table can wait. The delay doubles with each refusal, at most `DOUBLINGS` times.
const WITHDRAW_AGAIN: f64 = 0.1;
const AGAIN: f64 = 1.0;
/// Withdrawals never wait longer than this share of the grace period: a proxy that accepts messages again, after however
/// many refusals, learns of a drain in time.
const WITHDRAW_MOST: f64 = 0.25;
const DOUBLINGS: u32 = 5;
/// Tables are sent again only while less than this share of the lines that may wait are waiting: the planner's own
/// messages go first.
const ROOM: f64 = 0.5;

/// The timeouts and the limit that the rules use.
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
        // A full channel empties in half of this time; a proxy whose messages are last in it must not count as silent.
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

/// The delivery state of a joined proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Since when an answer is due.
    pub unanswered_since: Option<f64>,
    /// Consecutive refusals.
    pub refusals: u32,
    /// Time of the last refusal.
    pub refused_at: f64,
    /// A refused message held withdrawals that have not been sent again.
    pub owed_withdrawals: bool,
    /// The proxy holds an older table than the one it was sent.
    pub owed_table: bool,
}

impl Member {
    /// Records a refusal; `withdrawals`: a refused message held withdrawals.
    pub fn refused(&mut self, now: f64, withdrawals: bool) {
        self.refusals += 1;
        self.refused_at = now;
        self.owed_withdrawals |= withdrawals;
        self.owed_table = true;
    }

    /// Records that a message was applied; `whole`: it held a whole table, so that none is owed any more.
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

    /// The next time at which a rule can fire if nothing else happens.
    pub fn alarm(&self, patience: &Patience) -> Option<f64> {
        let silent = self.unanswered_since.map(|at| at + patience.silent_ms);
        let withdraw = self.owed_withdrawals.then(|| self.withdraw_at(patience));
        let again = self.owed_table.then(|| self.offer_at(patience));
        let owed = [withdraw, again].into_iter().flatten();
        owed.chain(silent).reduce(f64::min)
    }
}

/// An action on a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Close its stream.
    GiveUp,
    /// Send all withdrawals again.
    WithdrawAgain,
    /// Send the whole table again.
    OfferAgain,
}

type Rule = fn(&mut Member, f64, f64, &Patience) -> Option<Deed>;

const RULES: [Rule; 3] = [give_up_the_silent, withdraw_again, offer_again];

/// The next action on a proxy, if any; `waiting` is the number of lines that wait in the channel.
pub fn next(member: &mut Member, now: f64, waiting: f64, patience: &Patience) -> Option<Deed> {
    RULES
        .iter()
        .find_map(|rule| rule(member, now, waiting, patience))
}

/// Guards against a proxy that keeps its stream open but answers nothing: stopped, stuck, or behind a link that drops
/// packets. Closing its stream makes it reconnect and receive everything again, and unanswered messages do not pile up
/// here. Also catches proxies that lose answers. May harm on a channel so slow that good answers take longer, so the
/// timeout covers emptying a full channel twice.
fn give_up_the_silent(m: &mut Member, now: f64, _: f64, p: &Patience) -> Option<Deed> {
    let silent = m.unanswered_since.is_some_and(|at| now - at >= p.silent_ms);
    silent.then(|| {
        m.unanswered_since = None;
        Deed::GiveUp
    })
}

/// Guards against a drain that is lost because something else in the same message was refused: the withdrawals are sent
/// again on their own, at once the first time, then with growing delays, even while the channel is full. The delays are
/// bounded: without the bound, a proxy that had refused for seconds learned of a drain too late. Costs little: a proxy
/// that refuses everything gets one small message per delay.
fn withdraw_again(m: &mut Member, now: f64, _: f64, p: &Patience) -> Option<Deed> {
    let due = m.owed_withdrawals && (m.refusals <= 1 || now >= m.withdraw_at(p));
    due.then(|| {
        m.owed_withdrawals = false;
        Deed::WithdrawAgain
    })
}

/// Guards against a proxy that keeps an old table forever after one refusal: the whole table is sent again, after a
/// delay that doubles, while the channel has room.
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
