//! The rules of membership, as tables of what followers report; and all interleavings of the events of
//! two followers.

use dahliapoint_platform::membership::{MAX_FOLLOWER_LAG_MS, Membership, MembershipChange};

/// A follower starts, falls silent, ends, reports a proxy or sends a heartbeat; or time passes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Started(u32),
    Silent(u32),
    Ended(u32),
    Hello(u32, usize),
    Bye(u32, usize),
    Heartbeat(u32),
    Wait,
}

/// Plays the steps and returns the reported changes: `+` for a join, `-` for a leave.
fn run(steps: &[Step]) -> Vec<(char, usize)> {
    let (mut membership, mut out, mut now) = (Membership::default(), Vec::new(), 0.0);
    for step in steps {
        now += 1.0;
        // The core does this for each event.
        if let Step::Hello(follower, _) | Step::Bye(follower, _) | Step::Heartbeat(follower) = *step
        {
            membership.follower_active(follower);
        }
        match *step {
            Step::Started(follower) => membership.follower_started(follower),
            Step::Silent(follower) => membership.follower_silent(follower, now, &mut out),
            Step::Ended(follower) => membership.follower_ended(follower, now, &mut out),
            Step::Hello(follower, proxy) => {
                membership.hello(follower, proxy, 0, 0.0, now, &mut out)
            }
            Step::Bye(follower, proxy) => membership.bye(follower, proxy, now, &mut out),
            Step::Heartbeat(follower) => membership.end_snapshot(follower, now, &mut out),
            Step::Wait => now += 2.0 * MAX_FOLLOWER_LAG_MS,
        }
    }
    let describe = |c: &MembershipChange| match c {
        MembershipChange::Joined { proxy, .. } => ('+', *proxy),
        MembershipChange::Left { proxy } => ('-', *proxy),
    };
    out.iter().map(describe).collect()
}

#[test]
fn only_missed_changes_are_reported() {
    use Step::*;
    type Case = (&'static str, Vec<Step>, Vec<(char, usize)>);
    let two_followers = || {
        vec![
            Started(0),
            Hello(0, 1),
            Hello(0, 2),
            Heartbeat(0),
            Wait,
            Started(1),
            Hello(1, 1),
            Hello(1, 2),
            Heartbeat(1),
            Heartbeat(0),
        ]
    };
    let two_followers_and =
        |more: Vec<Step>| two_followers().into_iter().chain(more).collect::<Vec<_>>();
    let both_joined = vec![('+', 1), ('+', 2)];
    let both_joined_and = |more: &[(char, usize)]| [&both_joined[..], more].concat();
    let cases: Vec<Case> = vec![
        (
            "a second follower reports nothing new",
            two_followers(),
            both_joined.clone(),
        ),
        (
            "each change is reported once",
            two_followers_and(vec![Bye(0, 1), Bye(1, 1), Hello(1, 1), Hello(0, 1)]),
            both_joined_and(&[('-', 1), ('+', 1)]),
        ),
        (
            "one follower reconnects",
            two_followers_and(vec![
                Ended(0),
                Started(2),
                Hello(2, 1),
                Hello(2, 2),
                Heartbeat(2),
            ]),
            both_joined.clone(),
        ),
        (
            "one follower reconnects while the other reports a leave and a join",
            two_followers_and(vec![
                Ended(0),
                Bye(1, 1),
                Hello(1, 1),
                Started(2),
                Hello(2, 1),
                Hello(2, 2),
                Heartbeat(2),
            ]),
            both_joined_and(&[('-', 1), ('+', 1)]),
        ),
        (
            "the second follower is not linked when the first ends: its proxies get a new epoch",
            vec![
                Started(0),
                Hello(0, 1),
                Hello(0, 2),
                Heartbeat(0),
                Wait,
                Started(1),
                Hello(1, 1),
                Ended(0),
                Hello(1, 2),
                Heartbeat(1),
            ],
            both_joined_and(&[('-', 1), ('+', 1), ('-', 2), ('+', 2)]),
        ),
        (
            "a follower linked before the other fell silent stays trusted",
            two_followers_and(vec![Silent(0), Heartbeat(1), Bye(1, 1), Hello(1, 1)]),
            both_joined_and(&[('-', 1), ('+', 1)]),
        ),
        (
            "the first event after a silence does not link followers started meanwhile",
            two_followers_and(vec![
                Started(2),
                Hello(2, 1),
                Silent(0),
                Silent(1),
                Heartbeat(1),
                Ended(1),
                Hello(2, 2),
                Heartbeat(2),
            ]),
            both_joined_and(&[('-', 1), ('+', 1), ('-', 2), ('+', 2)]),
        ),
        (
            "both followers end: the proxies of the next snapshot get a new epoch",
            two_followers_and(vec![
                Ended(0),
                Ended(1),
                Started(2),
                Hello(2, 1),
                Heartbeat(2),
            ]),
            both_joined_and(&[('-', 1), ('+', 1), ('-', 2)]),
        ),
        (
            "silent followers are not trusted",
            two_followers_and(vec![
                Silent(0),
                Silent(1),
                Started(2),
                Hello(2, 1),
                Hello(2, 2),
                Heartbeat(2),
            ]),
            both_joined_and(&[('-', 1), ('+', 1), ('-', 2), ('+', 2)]),
        ),
        (
            "a follower is trusted again after its silence",
            two_followers_and(vec![
                Silent(0),
                Silent(1),
                Heartbeat(1),
                Started(2),
                Hello(2, 1),
                Hello(2, 2),
                Heartbeat(2),
            ]),
            both_joined.clone(),
        ),
        (
            "a second join in one stream implies a leave",
            two_followers_and(vec![Hello(0, 1), Hello(1, 1)]),
            both_joined_and(&[('-', 1), ('+', 1)]),
        ),
        (
            "a snapshot older than a leave",
            two_followers_and(vec![
                Bye(0, 1),
                Started(2),
                Hello(2, 1),
                Hello(2, 2),
                Heartbeat(2),
                Bye(2, 1),
                Bye(1, 1),
            ]),
            both_joined_and(&[('-', 1)]),
        ),
        (
            "a snapshot older than a join",
            two_followers_and(vec![
                Started(2),
                Hello(2, 1),
                Hello(2, 2),
                Hello(0, 3),
                Heartbeat(2),
                Hello(2, 3),
                Hello(1, 3),
            ]),
            both_joined_and(&[('+', 3)]),
        ),
        (
            "a snapshot without a proxy that joined long ago",
            two_followers_and(vec![
                Started(2),
                Hello(2, 1),
                Wait,
                Heartbeat(2),
                Bye(0, 2),
                Bye(1, 2),
            ]),
            both_joined_and(&[('-', 2)]),
        ),
    ];
    for (case, steps, wanted) in cases {
        assert_eq!(run(&steps), wanted, "{case}");
    }
}

/// One proxy joins and leaves alternately, `last` times in all: the events of a follower that starts
/// after the first `after` of them.
fn stream(follower: u32, after: usize, last: usize) -> Vec<Step> {
    let mut out = vec![Step::Started(follower)];
    out.extend((after % 2 == 1).then_some(Step::Hello(follower, 1)));
    out.push(Step::Heartbeat(follower));
    out.extend((after + 1..=last).map(|n| nth_step(follower, n)));
    out
}

/// The report of the `n`th change: odd ones are joins, even ones are leaves.
fn nth_step(follower: u32, n: usize) -> Step {
    match n % 2 {
        1 => Step::Hello(follower, 1),
        _ => Step::Bye(follower, 1),
    }
}

/// All interleavings of two streams.
fn interleavings(first: &[Step], second: &[Step]) -> Vec<Vec<Step>> {
    let prepend = |first: Step, rest: Vec<Vec<Step>>| {
        let insert_first = |mut rest: Vec<Step>| {
            rest.insert(0, first);
            rest
        };
        rest.into_iter().map(insert_first).collect::<Vec<_>>()
    };
    match (first, second) {
        ([], rest) | (rest, []) => vec![rest.to_vec()],
        ([a, first_rest @ ..], [b, second_rest @ ..]) => [
            prepend(*a, interleavings(first_rest, second)),
            prepend(*b, interleavings(first, second_rest)),
        ]
        .concat(),
    }
}

/// Alternating joins and leaves, `many` in all.
fn alternating_changes(many: usize) -> Vec<(char, usize)> {
    let sign = |n| if n % 2 == 1 { '+' } else { '-' };
    (1..=many).map(|n| (sign(n), 1)).collect()
}

#[test]
fn two_followers_in_any_order_report_each_change_once() {
    let mut count = 0;
    for last in 0..=5 {
        let old: Vec<Step> = (1..=last).map(|n| nth_step(0, n)).collect();
        for after in 0..=last {
            for interleaving in interleavings(&old, &stream(1, after, last)) {
                use Step::{Ended, Heartbeat, Started, Wait};
                let mut steps = vec![Started(0), Heartbeat(0)];
                steps.extend(&interleaving);
                // Both stay active for longer than the allowed lag. Then the old one ends, as after a
                // change of the relay's address, and the new one continues alone.
                steps.extend([
                    Heartbeat(0),
                    Heartbeat(1),
                    Wait,
                    Heartbeat(0),
                    Heartbeat(1),
                    Ended(0),
                ]);
                steps.extend((last + 1..=last + 3).map(|n| nth_step(1, n)));
                steps.push(Heartbeat(1));
                assert_eq!(run(&steps), alternating_changes(last + 3), "{steps:?}");
                count += 1;
            }
        }
    }
    assert!(count > 1000, "{count}");
}

#[test]
fn a_lagging_follower_that_ends_hides_no_join() {
    use Step::{Ended, Heartbeat, Silent, Started, Wait};
    for last in 0..=4 {
        for (reported, after) in (0..=last).flat_map(|h| (h..=last).map(move |a| (h, a))) {
            // The old one has reported `reported` changes when the new one starts, and reports no more.
            let mut before = vec![Started(0), Heartbeat(0)];
            before.extend((1..=reported).map(|n| nth_step(0, n)));
            let new = stream(1, after, last);
            for (at, end) in (1..=new.len()).flat_map(|at| [(at, Silent(0)), (at, Ended(0))]) {
                let mut steps = before.clone();
                steps.extend(&new);
                steps.insert(before.len() + at, end);
                steps.extend([Wait, Heartbeat(1)]);
                let known = run(&before).len();
                let out = run(&steps);
                let joined = out.last().is_some_and(|(sign, _)| *sign == '+');
                assert_eq!(joined, last % 2 == 1, "{steps:?}");
                // A proxy joined in the end may have rejoined unseen, so it must have a new epoch.
                assert!(!joined || out.len() > known, "{steps:?}");
            }
        }
    }
}
