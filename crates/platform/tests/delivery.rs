//! The rules of delivery: what is sent after each outcome of a call.

use dahliapoint_platform::delivery::{CallOutcome, ChannelBudget, Delivery, Feedback};
use dahliapoint_platform::relay::{Command, NameLookup, Reply};

/// Names of three servers and two classes.
struct TestNames;

impl NameLookup for TestNames {
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

fn withdraw(server: usize) -> Command {
    Command::Withdraw {
        server,
        withdrawn: true,
    }
}

fn bind(proxy: usize) -> Command {
    Command::Bind { proxy, table: 0 }
}

/// Time without an acknowledgement after which a call counts as not carried out: three mean latencies, half
/// the time in which a full channel empties, and 300 ms.
const ACK_TIMEOUT_MS: f64 = 1100.0;
/// Marks of resent calls begin here.
const FIRST_RESENT_MARK: u32 = 100;

/// What the limits of the channel have room for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Room {
    /// Any call.
    All,
    /// Withdrawals only: other calls cost too many lines.
    Withdrawals,
    /// Nothing.
    Nothing,
}

/// Counts what is sent again, and has as much room for it as a test wants.
struct TestBudget {
    room: Room,
    /// Commands that were sent again, without their marks.
    resent: Vec<Vec<Command>>,
    /// Marks of messages that were not carried out.
    lost: Vec<u32>,
}

impl ChannelBudget for TestBudget {
    fn may_resend(&mut self, _now: f64, commands: &[Command]) -> bool {
        let is_withdrawal = |command: &Command| matches!(command, Command::Withdraw { .. });
        match self.room {
            Room::All => true,
            Room::Withdrawals => commands.iter().all(is_withdrawal),
            Room::Nothing => false,
        }
    }

    fn count_resent(&mut self, _now: f64, commands: &[Command]) -> Option<u32> {
        self.resent.push(commands.to_vec());
        Some(FIRST_RESENT_MARK + self.resent.len() as u32 - 1)
    }

    fn message_lost(&mut self, mark: u32) {
        self.lost.push(mark);
    }
}

/// A delivery and its feedback. The mean latency is 100 ms, and the channel of 1000 lines empties in 1 s.
/// There is room to resend withdrawals only.
struct Harness {
    delivery: Delivery,
    budget: TestBudget,
    feedback: Feedback,
    now: f64,
    number: u64,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            delivery: Delivery::new(100.0, 1000.0, 1.0),
            budget: TestBudget {
                room: Room::Withdrawals,
                resent: Vec::new(),
                lost: Vec::new(),
            },
            feedback: Feedback::default(),
            now: 0.0,
            number: 0,
        }
    }

    fn with_room(room: Room) -> Harness {
        let mut harness = Harness::new();
        harness.budget.room = room;
        harness
    }

    fn enqueue(&mut self, commands: Vec<Command>, epochs: Vec<(usize, u64)>, mark: Option<u32>) {
        self.delivery.enqueue(commands, epochs, mark);
    }

    fn call(&mut self) -> Option<String> {
        let call = self.delivery.next_call(
            self.now,
            &TestNames,
            &|_| true,
            &mut self.budget,
            &mut self.feedback,
        )?;
        self.number = call.number;
        Some(call.text.trim_start_matches("txn ").trim_end().to_string())
    }

    fn end_call(&mut self, outcome: CallOutcome) {
        self.delivery.call_ended(
            self.now,
            self.number,
            outcome,
            &mut self.budget,
            &mut self.feedback,
        );
    }

    fn accept(&mut self, n: usize) {
        self.end_call(CallOutcome::Replied(Reply::Accepted(n)));
    }
}

#[test]
fn calls_are_made_one_at_a_time_in_order() {
    let mut harness = Harness::new();
    harness.enqueue(vec![share(0, 1.0), bind(7)], vec![(7, 1)], Some(3));
    harness.enqueue(vec![withdraw(1)], vec![], None);
    assert_eq!(harness.call().unwrap(), "share,0,s0,1;bind,7,0,*;mark,3,0");
    assert_eq!(harness.call(), None);
    harness.accept(3);
    assert_eq!(harness.call().unwrap(), "withdraw,s1");
    harness.accept(1);
    assert_eq!((harness.call(), harness.delivery.wake_at()), (None, None));
}

#[test]
fn only_the_command_that_halts_the_relay_is_dropped() {
    for (accepted, rest) in [(0, "bind,8,0,*;mark,100,0"), (1, "mark"), (2, "")] {
        let mut harness = Harness::new();
        harness.enqueue(vec![bind(7), bind(8)], vec![(7, 1), (8, 1)], Some(3));
        harness.call().unwrap();
        harness.accept(accepted);
        let again = harness.call().unwrap_or_default();
        // A mark alone is not sent: it concerns no proxy, so no message would carry it.
        let wanted = if rest == "mark" { "" } else { rest };
        assert_eq!(again, wanted, "halted at {accepted}");
        assert_eq!(harness.feedback.notes.len(), 1);
    }
}

#[test]
fn superseded_commands_are_not_sent() {
    let mut harness = Harness::new();
    harness.enqueue(vec![share(0, 1.0), share(1, 1.0)], vec![], None);
    harness.enqueue(vec![share(0, 0.5)], vec![], None);
    assert_eq!(harness.call().unwrap(), "share,0,s1,1");
    harness.accept(1);
    assert_eq!(harness.call().unwrap(), "share,0,s0,0.5");
}

#[test]
fn calls_turned_away_or_not_sent_are_retried_with_growing_delays() {
    for outcome in [
        CallOutcome::Replied(Reply::TooManyCalls),
        CallOutcome::NotSent,
    ] {
        let mut harness = Harness::new();
        harness.enqueue(vec![share(0, 1.0)], vec![], None);
        let mut delays = Vec::new();
        for _ in 0..12 {
            harness.call().unwrap();
            harness.end_call(outcome);
            assert_eq!(harness.call(), None);
            let at = harness.delivery.wake_at().unwrap();
            delays.push(at - harness.now);
            harness.now = at;
        }
        assert!(
            delays.windows(2).all(|w| w[0] <= w[1]) && delays[11] <= 500.0,
            "{delays:?}"
        );
        harness.call().unwrap();
        harness.accept(1);
        assert_eq!(harness.delivery.pending_counts(), (0, 0));
    }
}

#[test]
fn after_an_unknown_outcome_withdrawals_go_first_and_the_rest_waits_for_its_mark() {
    for (acknowledged, outcome) in [
        (true, CallOutcome::Unknown),
        (false, CallOutcome::Unknown),
        (true, CallOutcome::Replied(Reply::Unreadable)),
        (false, CallOutcome::Replied(Reply::Accepted(99))),
    ] {
        let mut harness = Harness::new();
        let commands = vec![share(0, 1.0), share(1, 1.0), withdraw(2), bind(7)];
        harness.enqueue(commands, vec![(7, 1)], Some(3));
        harness.call().unwrap();
        harness.end_call(outcome);
        assert_eq!(harness.call().unwrap(), "withdraw,s2;mark,100,0");
        harness.accept(2);
        // Later decisions are still sent, and supersede unconfirmed commands.
        harness.enqueue(vec![share(1, 0.2)], vec![], Some(4));
        assert_eq!(harness.call().unwrap(), "share,0,s1,0.2;mark,4,0");
        harness.accept(2);
        assert_eq!(harness.call(), None);
        if acknowledged {
            harness.delivery.mark_acknowledged(3);
            assert_eq!(
                (
                    harness.delivery.wake_at(),
                    harness.delivery.pending_counts()
                ),
                (None, (0, 0))
            );
        } else {
            while harness.now < ACK_TIMEOUT_MS {
                assert_eq!(harness.call(), None, "{} ms", harness.now);
                assert_eq!(harness.feedback.lost_bindings, []);
                harness.now = harness.delivery.wake_at().unwrap().min(ACK_TIMEOUT_MS);
            }
            harness.budget.room = Room::All;
            harness.now = harness.delivery.wake_at().unwrap();
            assert_eq!(harness.call().unwrap(), "share,0,s0,1;mark,101,0");
            assert_eq!(harness.budget.lost, [3], "its lines do not wait");
            assert_eq!(
                harness.feedback.lost_bindings,
                [(7, 1)],
                "the planner binds again"
            );
        }
    }
}

#[test]
fn calls_are_resent_at_once_while_the_limits_have_room() {
    let mut harness = Harness::new();
    for (i, room) in [Room::All, Room::All, Room::Nothing]
        .into_iter()
        .enumerate()
    {
        harness.budget.room = room;
        harness.enqueue(vec![share(i, 1.0), bind(7)], vec![(7, 1)], Some(3));
        let first = harness.call().unwrap();
        harness.end_call(CallOutcome::Unknown);
        let same = first.replace(
            "mark,3,",
            &format!("mark,{},", FIRST_RESENT_MARK + i as u32),
        );
        let again = harness.call();
        assert_eq!(again, Some(same).filter(|_| room == Room::All), "{i}");
        harness.accept(3);
    }
    // Once there is room, a call is resent again.
    harness.budget.room = Room::All;
    harness.enqueue(vec![withdraw(1)], vec![], None);
    harness.call().unwrap();
    harness.end_call(CallOutcome::Replied(Reply::Unreadable));
    assert_eq!(harness.call().unwrap(), "withdraw,s1;mark,102,0");
}

/// Guards against calls that are sent again and again before any acknowledgement can have arrived.
#[test]
fn a_call_unconfirmed_twice_waits_for_the_acknowledgement_of_either_mark() {
    for (commands, room) in [
        (vec![share(0, 1.0), withdraw(1)], Room::All),
        (vec![withdraw(1)], Room::Withdrawals),
    ] {
        for acknowledged in [Some(3), Some(FIRST_RESENT_MARK), None] {
            let case = format!("{commands:?} {acknowledged:?}");
            let mut harness = Harness::with_room(room);
            harness.enqueue(commands.clone(), vec![], Some(3));
            for _ in 0..2 {
                harness.call().expect(&case);
                harness.end_call(CallOutcome::Unknown);
            }
            assert_eq!(harness.call(), None, "{case}");
            if let Some(mark) = acknowledged {
                harness.delivery.mark_acknowledged(mark);
            }
            let at = harness.delivery.wake_at();
            assert_eq!(at, acknowledged.is_none().then_some(320.0), "{case}");
            harness.now = 320.0;
            assert_eq!(harness.call().is_some(), acknowledged.is_none(), "{case}");
        }
    }
}

#[test]
fn unreadable_replies_cause_no_busy_loop() {
    // Commands that cost no lines (no proxy has joined), and withdrawals, which go first.
    for (commands, room) in [
        (vec![share(0, 1.0)], Room::All),
        (vec![withdraw(1)], Room::Withdrawals),
    ] {
        let mut harness = Harness::with_room(room);
        harness.enqueue(commands, vec![], None);
        let mut calls = 0;
        for _ in 0..1000 {
            if harness.call().is_some() {
                calls += 1;
                harness.end_call(CallOutcome::Replied(Reply::Unreadable));
            }
            harness.now += 1.0;
        }
        assert!((3..=12).contains(&calls), "{calls} calls in a second");
    }
}

#[test]
fn the_queue_for_an_unreachable_relay_stays_short() {
    let mut harness = Harness::new();
    harness.enqueue(vec![share(2, 0.5), bind(7)], vec![(7, 1)], Some(1));
    for i in 0..5000 {
        harness.enqueue(
            vec![share(i % 2, i as f64), withdraw(i % 2)],
            vec![],
            Some(2),
        );
        assert!(
            harness.delivery.pending_counts().0 <= 100,
            "{}",
            harness.delivery.pending_counts().0
        );
    }
    let mut last = String::new();
    while let Some(text) = harness.call() {
        harness.accept(text.split(';').count());
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
fn a_call_is_split_only_above_the_size_limit() {
    let mut harness = Harness::new();
    let many: Vec<Command> = (0..6000).map(bind).collect();
    harness.enqueue(many, (0..6000).map(|p| (p, 1)).collect(), Some(3));
    let mut bound = 0;
    while let Some(text) = harness.call() {
        assert!(text.len() <= 60_000, "{}", text.len());
        let commands = text.split(';').count();
        bound += text.matches("bind").count();
        harness.accept(commands);
        assert_eq!(text.contains("mark"), bound == 6000);
    }
    assert_eq!((bound, harness.delivery.pending_counts()), (6000, (0, 0)));
}

/// When a mark is acknowledged, relative to the call that contained it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AckArrives {
    BeforeCallEnds,
    BeforeResend,
    WhileUnconfirmed,
    DuringResend,
}

#[test]
fn an_acknowledged_call_is_not_resent_whenever_the_acknowledgement_arrives() {
    let unreadable = CallOutcome::Replied(Reply::Unreadable);
    let beyond = CallOutcome::Replied(Reply::Accepted(99));
    for (arrives, outcome, room) in [
        (AckArrives::BeforeCallEnds, CallOutcome::Unknown, Room::All),
        (
            AckArrives::BeforeCallEnds,
            CallOutcome::Unknown,
            Room::Withdrawals,
        ),
        (AckArrives::BeforeCallEnds, unreadable, Room::All),
        (AckArrives::BeforeCallEnds, unreadable, Room::Withdrawals),
        (AckArrives::BeforeCallEnds, beyond, Room::Withdrawals),
        (AckArrives::BeforeResend, CallOutcome::Unknown, Room::All),
        (
            AckArrives::WhileUnconfirmed,
            CallOutcome::Unknown,
            Room::Withdrawals,
        ),
        (AckArrives::DuringResend, CallOutcome::Unknown, Room::All),
        (AckArrives::DuringResend, CallOutcome::NotSent, Room::All),
        (
            AckArrives::DuringResend,
            CallOutcome::Replied(Reply::TooManyCalls),
            Room::All,
        ),
    ] {
        let case = format!("{arrives:?} {outcome:?} {room:?}");
        let mut harness = Harness::with_room(room);
        let commands = vec![share(0, 1.0), bind(7)];
        harness.enqueue(commands, vec![(7, 1)], Some(3));
        harness.call().unwrap();
        match arrives {
            AckArrives::BeforeCallEnds => {
                harness.delivery.mark_acknowledged(3);
                harness.end_call(outcome);
            }
            AckArrives::BeforeResend | AckArrives::WhileUnconfirmed => {
                harness.end_call(outcome);
                harness.delivery.mark_acknowledged(3);
            }
            AckArrives::DuringResend => {
                harness.end_call(CallOutcome::Unknown);
                harness.call().unwrap();
                harness.delivery.mark_acknowledged(3);
                harness.end_call(outcome);
            }
        }
        assert_eq!(harness.delivery.pending_counts(), (0, 0), "{case}");
        harness.now += 60_000.0;
        assert_eq!(
            (harness.call(), harness.delivery.wake_at()),
            (None, None),
            "{case}"
        );
        assert_eq!(harness.feedback, Feedback::default(), "{case}");
    }
}

#[test]
fn an_acknowledgement_confirms_no_call_whose_mark_was_not_sent() {
    // The mark's number was used before: the old acknowledgement arrives before the new mark is sent.
    for sent in [false, true] {
        let mut harness = Harness::new();
        harness.enqueue(vec![share(1, 1.0)], vec![], Some(2));
        harness.enqueue(vec![share(0, 1.0)], vec![], Some(3));
        harness.call().unwrap();
        harness.delivery.mark_acknowledged(3);
        harness.accept(2);
        assert_eq!(harness.call().unwrap(), "share,0,s0,1;mark,3,0");
        if sent {
            harness.end_call(CallOutcome::Unknown);
            assert_eq!(
                harness.delivery.pending_counts(),
                (0, 1),
                "it is unconfirmed"
            );
        }
    }
}

#[test]
fn a_mark_does_not_confirm_an_earlier_part_of_a_split_call() {
    let mut harness = Harness::new();
    let many: Vec<Command> = (0..6000).map(bind).collect();
    harness.enqueue(many, (0..6000).map(|p| (p, 1)).collect(), Some(3));
    let first = harness.call().unwrap().matches("bind").count();
    harness.end_call(CallOutcome::Unknown);
    let rest = harness.call().unwrap();
    assert!(rest.ends_with("mark,100,0"));
    harness.accept(rest.split(';').count());
    harness.delivery.mark_acknowledged(3);
    harness.delivery.mark_acknowledged(100);
    while harness.now < ACK_TIMEOUT_MS {
        let wake_at = harness.delivery.wake_at();
        harness.now = wake_at.expect("the first part is still unconfirmed");
        assert_eq!(harness.call(), None);
    }
    let lost: Vec<(usize, u64)> = (0..first).map(|p| (p, 1)).collect();
    assert_eq!(
        harness.feedback.lost_bindings, lost,
        "the planner binds them again"
    );
}

#[test]
fn bindings_of_proxies_that_left_are_not_sent() {
    let mut harness = Harness::new();
    harness.enqueue(vec![bind(7), bind(8)], vec![(7, 1), (8, 3)], Some(1));
    let is_current = |(proxy, epoch)| (proxy, epoch) == (8, 3);
    let call = harness
        .delivery
        .next_call(
            0.0,
            &TestNames,
            &is_current,
            &mut harness.budget,
            &mut harness.feedback,
        )
        .unwrap();
    assert_eq!(call.text, "txn bind,8,0,*;mark,1,0\r\n");
}

#[test]
fn a_refused_call_is_sent_once_more_and_then_dropped() {
    let mut harness = Harness::new();
    harness.enqueue(vec![share(0, 1.0)], vec![], None);
    for queued in [1, 0] {
        harness.call().unwrap();
        harness.end_call(CallOutcome::Replied(Reply::BadRequest));
        assert_eq!(harness.delivery.pending_counts().0, queued);
        harness.now += 1000.0;
    }
    assert_eq!(harness.feedback.notes.len(), 1);
}
