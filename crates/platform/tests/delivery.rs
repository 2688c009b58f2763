//! The rules of delivery: what is sent after each outcome of a call.

use dahliapoint_platform::delivery::{CallOutcome, Delivery, Feedback};
use dahliapoint_platform::relay::{Command, NameLookup, Reply};

struct Plain;

impl NameLookup for Plain {
    fn server(&self, index: usize) -> &str {
        ["s0", "s1", "s2"][index]
    }

    fn class(&self, index: usize) -> &str {
        ["lookup", "pay"][index]
    }
}

fn share(server: usize, weight: f64) -> Command {
    Command::Share {
        table: 0,
        server,
        weight,
    }
}

fn shut(server: usize) -> Command {
    Command::Withdraw {
        server,
        withdrawn: true,
    }
}

fn bind(proxy: usize) -> Command {
    Command::Bind { proxy, table: 0 }
}

/// A delivery and its feedback. The mean latency is 100 ms, and the channel of 1000 lines empties in 1 s.
struct Line {
    d: Delivery,
    back: Feedback,
    now: f64,
    number: u64,
}

impl Line {
    fn new() -> Line {
        Line {
            d: Delivery::new(100.0, 1000.0, 1.0),
            back: Feedback::default(),
            now: 0.0,
            number: 0,
        }
    }

    /// Adds a decision that costs too many lines to be resent at once.
    fn add(&mut self, orders: Vec<Command>, turns: Vec<(usize, u64)>, mark: Option<u32>) {
        self.d.enqueue(orders, turns, mark, 900.0);
    }

    fn call(&mut self) -> Option<String> {
        let call = self
            .d
            .next_call(self.now, &Plain, &|_| true, &mut self.back)?;
        self.number = call.number;
        Some(call.text.trim_start_matches("txn ").trim_end().to_string())
    }

    fn ends(&mut self, outcome: CallOutcome) {
        self.d
            .call_ended(self.now, self.number, outcome, &mut self.back);
    }

    fn taken(&mut self, n: usize) {
        self.ends(CallOutcome::Replied(Reply::Accepted(n)));
    }
}

#[test]
fn calls_go_one_at_a_time_in_their_order() {
    let mut line = Line::new();
    line.add(vec![share(0, 1.0), bind(7)], vec![(7, 1)], Some(3));
    line.add(vec![shut(1)], vec![], None);
    assert_eq!(line.call().unwrap(), "share,0,s0,1;bind,7,0,*;mark,3,0");
    assert_eq!(line.call(), None);
    line.taken(3);
    assert_eq!(line.call().unwrap(), "withdraw,s1");
    line.taken(1);
    assert_eq!((line.call(), line.d.wake_at()), (None, None));
}

#[test]
fn an_order_that_halts_the_relay_is_left_out_alone() {
    for (taken, rest) in [(0, "bind,8,0,*;mark,3,0"), (1, "mark"), (2, "")] {
        let mut line = Line::new();
        line.add(vec![bind(7), bind(8)], vec![(7, 1), (8, 1)], Some(3));
        line.call().unwrap();
        line.taken(taken);
        let again = line.call().unwrap_or_default();
        // A mark alone is not sent: it concerns no proxy, so no message would carry it.
        let wanted = if rest == "mark" { "" } else { rest };
        assert_eq!(again, wanted, "halted at {taken}");
        assert_eq!(line.back.notes.len(), 1);
    }
}

#[test]
fn what_later_decisions_overtake_is_not_sent_with_an_old_value() {
    let mut line = Line::new();
    line.add(vec![share(0, 1.0), share(1, 1.0)], vec![], None);
    line.add(vec![share(0, 0.5)], vec![], None);
    assert_eq!(line.call().unwrap(), "share,0,s1,1");
    line.taken(1);
    assert_eq!(line.call().unwrap(), "share,0,s0,0.5");
}

#[test]
fn what_is_turned_away_or_not_sent_is_asked_again_after_growing_waits() {
    for outcome in [
        CallOutcome::Replied(Reply::TooManyCalls),
        CallOutcome::NotSent,
    ] {
        let mut line = Line::new();
        line.add(vec![share(0, 1.0)], vec![], None);
        let mut waits = Vec::new();
        for _ in 0..12 {
            line.call().unwrap();
            line.ends(outcome);
            assert_eq!(line.call(), None);
            let at = line.d.wake_at().unwrap();
            waits.push(at - line.now);
            line.now = at;
        }
        assert!(
            waits.windows(2).all(|w| w[0] <= w[1]) && waits[11] <= 500.0,
            "{waits:?}"
        );
        line.call().unwrap();
        line.taken(1);
        assert_eq!(line.d.pending_counts(), (0, 0));
    }
}

#[test]
fn after_an_unknown_outcome_withdrawals_go_first_and_the_rest_waits_for_its_mark() {
    for (answered, outcome) in [
        (true, CallOutcome::Unknown),
        (false, CallOutcome::Unknown),
        (true, CallOutcome::Replied(Reply::Unreadable)),
        (false, CallOutcome::Replied(Reply::Accepted(99))),
    ] {
        let mut line = Line::new();
        let orders = vec![share(0, 1.0), share(1, 1.0), shut(2), bind(7)];
        line.add(orders, vec![(7, 1)], Some(3));
        line.call().unwrap();
        line.ends(outcome);
        assert_eq!(line.call().unwrap(), "withdraw,s2");
        line.taken(1);
        // Later decisions are still sent, and supersede unconfirmed commands.
        line.add(vec![share(1, 0.2)], vec![], Some(4));
        assert_eq!(line.call().unwrap(), "share,0,s1,0.2;mark,4,0");
        line.taken(2);
        assert_eq!(line.call(), None);
        if answered {
            line.d.mark_acknowledged(3);
            assert_eq!((line.d.wake_at(), line.d.pending_counts()), (None, (0, 0)));
        } else {
            line.now = line.d.wake_at().unwrap();
            assert_eq!(line.call().unwrap(), "share,0,s0,1;mark,3,0");
            assert_eq!(line.back.lost_bindings, [(7, 1)], "the planner binds anew");
        }
    }
}

#[test]
fn what_costs_little_goes_again_at_once_as_long_as_that_stays_little() {
    let mut line = Line::new();
    for (i, again) in [true, true, false].into_iter().enumerate() {
        line.d
            .enqueue(vec![share(i, 1.0), bind(7)], vec![(7, 1)], Some(3), 90.0);
        let first = line.call().unwrap();
        line.ends(CallOutcome::Unknown);
        assert_eq!(line.call() == Some(first), again, "{i}");
        line.taken(3);
    }
    // After the time in which a full channel empties, there is room for resent lines again.
    line.now += 1000.0;
    line.d.enqueue(vec![shut(1)], vec![], None, 90.0);
    line.call().unwrap();
    line.ends(CallOutcome::Replied(Reply::Unreadable));
    assert_eq!(line.call().unwrap(), "withdraw,s1");
}

#[test]
fn a_relay_that_answers_nothing_readable_is_not_asked_in_a_hot_loop() {
    // Commands that cost no lines (no proxy has joined), and withdrawals, which go first.
    for (orders, lines) in [(vec![share(0, 1.0)], 0.0), (vec![shut(1)], 900.0)] {
        let mut line = Line::new();
        line.d.enqueue(orders, vec![], None, lines);
        let mut calls = 0;
        for _ in 0..1000 {
            if line.call().is_some() {
                calls += 1;
                line.ends(CallOutcome::Replied(Reply::Unreadable));
            }
            line.now += 1.0;
        }
        assert!((3..=12).contains(&calls), "{calls} calls in a second");
    }
}

#[test]
fn what_waits_for_a_relay_that_is_gone_stays_as_short_as_what_it_sets() {
    let mut line = Line::new();
    line.d
        .enqueue(vec![share(2, 0.5), bind(7)], vec![(7, 1)], Some(1), 10.0);
    for i in 0..5000 {
        line.d.enqueue(
            vec![share(i % 2, i as f64), shut(i % 2)],
            vec![],
            Some(2),
            10.0,
        );
        assert!(
            line.d.pending_counts().0 <= 100,
            "{}",
            line.d.pending_counts().0
        );
    }
    let mut last = String::new();
    while let Some(text) = line.call() {
        line.taken(text.split(';').count());
        last += &(text + ";");
    }
    for wanted in [
        "share,0,s2,0.5",
        "bind,7,0,*",
        "share,0,s0,4998",
        "share,0,s1,4999",
        "withdraw,s0",
        "withdraw,s1",
    ] {
        assert_eq!(last.matches(wanted).count(), 1, "{wanted} in {last}");
    }
}

#[test]
fn a_call_is_split_only_above_the_size_that_one_may_have() {
    let mut line = Line::new();
    let many: Vec<Command> = (0..6000).map(bind).collect();
    line.add(many, (0..6000).map(|p| (p, 1)).collect(), Some(3));
    let mut bound = 0;
    while let Some(text) = line.call() {
        assert!(text.len() <= 60_000, "{}", text.len());
        let orders = text.split(';').count();
        bound += text.matches("bind").count();
        line.taken(orders);
        assert_eq!(text.contains("mark"), bound == 6000);
    }
    assert_eq!((bound, line.d.pending_counts()), (6000, (0, 0)));
}

/// When a mark is acknowledged, relative to the call that contained it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Comes {
    BeforeItsEnd,
    WhileItWaitsToGoAgain,
    InDoubt,
    AsItGoesAgain,
}

#[test]
fn what_an_answer_shows_does_not_go_again_whenever_the_answer_comes() {
    let unreadable = CallOutcome::Replied(Reply::Unreadable);
    let beyond = CallOutcome::Replied(Reply::Accepted(99));
    for (comes, outcome, lines) in [
        (Comes::BeforeItsEnd, CallOutcome::Unknown, 90.0),
        (Comes::BeforeItsEnd, CallOutcome::Unknown, 900.0),
        (Comes::BeforeItsEnd, unreadable, 90.0),
        (Comes::BeforeItsEnd, unreadable, 900.0),
        (Comes::BeforeItsEnd, beyond, 900.0),
        (Comes::WhileItWaitsToGoAgain, CallOutcome::Unknown, 90.0),
        (Comes::InDoubt, CallOutcome::Unknown, 900.0),
        (Comes::AsItGoesAgain, CallOutcome::Unknown, 90.0),
        (Comes::AsItGoesAgain, CallOutcome::NotSent, 90.0),
        (
            Comes::AsItGoesAgain,
            CallOutcome::Replied(Reply::TooManyCalls),
            90.0,
        ),
    ] {
        let case = format!("{comes:?} {outcome:?} {lines}");
        let mut line = Line::new();
        let orders = vec![share(0, 1.0), bind(7)];
        line.d.enqueue(orders, vec![(7, 1)], Some(3), lines);
        line.call().unwrap();
        match comes {
            Comes::BeforeItsEnd => {
                line.d.mark_acknowledged(3);
                line.ends(outcome);
            }
            Comes::WhileItWaitsToGoAgain | Comes::InDoubt => {
                line.ends(outcome);
                line.d.mark_acknowledged(3);
            }
            Comes::AsItGoesAgain => {
                line.ends(CallOutcome::Unknown);
                line.call().unwrap();
                line.d.mark_acknowledged(3);
                line.ends(outcome);
            }
        }
        assert_eq!(line.d.pending_counts(), (0, 0), "{case}");
        line.now += 60_000.0;
        assert_eq!((line.call(), line.d.wake_at()), (None, None), "{case}");
        assert_eq!(line.back, Feedback::default(), "{case}");
    }
}

#[test]
fn an_answer_shows_nothing_of_a_call_whose_mark_has_not_left() {
    // The mark's number was used before: the old acknowledgement arrives before the new mark is sent.
    for sent in [false, true] {
        let mut line = Line::new();
        line.add(vec![share(1, 1.0)], vec![], Some(2));
        line.add(vec![share(0, 1.0)], vec![], Some(3));
        line.call().unwrap();
        line.d.mark_acknowledged(3);
        line.taken(2);
        assert_eq!(line.call().unwrap(), "share,0,s0,1;mark,3,0");
        if sent {
            line.ends(CallOutcome::Unknown);
            assert_eq!(line.d.pending_counts(), (0, 1), "it is in doubt");
        }
    }
}

#[test]
fn a_part_of_unknown_outcome_is_not_shown_by_the_mark_of_the_part_behind_it() {
    let mut line = Line::new();
    let many: Vec<Command> = (0..6000).map(bind).collect();
    line.add(many, (0..6000).map(|p| (p, 1)).collect(), Some(3));
    let first = line.call().unwrap().matches("bind").count();
    line.ends(CallOutcome::Unknown);
    let rest = line.call().unwrap();
    assert!(rest.ends_with("mark,3,0"));
    line.taken(rest.split(';').count());
    line.d.mark_acknowledged(3);
    line.now = line.d.wake_at().expect("the first part is still in doubt");
    assert_eq!(line.call(), None);
    let bare: Vec<(usize, u64)> = (0..first).map(|p| (p, 1)).collect();
    assert_eq!(line.back.lost_bindings, bare, "the planner binds them anew");
}

#[test]
fn bindings_of_proxies_that_left_are_not_sent() {
    let mut line = Line::new();
    line.add(vec![bind(7), bind(8)], vec![(7, 1), (8, 3)], Some(1));
    let stands = |(proxy, turn)| (proxy, turn) == (8, 3);
    let call = line
        .d
        .next_call(0.0, &Plain, &stands, &mut line.back)
        .unwrap();
    assert_eq!(call.text, "txn bind,8,0,*;mark,1,0\r\n");
}

#[test]
fn a_refused_call_goes_once_more_and_is_then_dropped() {
    let mut line = Line::new();
    line.add(vec![share(0, 1.0)], vec![], None);
    for left in [1, 0] {
        line.call().unwrap();
        line.ends(CallOutcome::Replied(Reply::BadRequest));
        assert_eq!(line.d.pending_counts().0, left);
        line.now += 1000.0;
    }
    assert_eq!(line.back.notes.len(), 1);
}
