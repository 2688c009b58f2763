//! The rules of membership, as tables of what followers report; and all interleavings of the events of
//! two followers.

use dahliapoint_platform::membership::{MAX_FOLLOWER_LAG_MS, Membership, MembershipChange};

/// A follower starts, falls silent, ends, reports a proxy or sends a heartbeat; or time passes.
#[derive(Clone, Copy, Debug)]
enum Told {
    Begun(u32),
    Silent(u32),
    Ended(u32),
    Hello(u32, usize),
    Bye(u32, usize),
    Beat(u32),
    Wait,
}

fn play(told: &[Told]) -> Vec<(char, usize)> {
    let (mut joined, mut out, mut now) = (Membership::default(), Vec::new(), 0.0);
    for t in told {
        now += 1.0;
        // The core does this for each event.
        if let Told::Hello(f, _) | Told::Bye(f, _) | Told::Beat(f) = *t {
            joined.follower_active(f);
        }
        match *t {
            Told::Begun(f) => joined.follower_started(f),
            Told::Silent(f) => joined.follower_silent(f, now, &mut out),
            Told::Ended(f) => joined.follower_ended(f, now, &mut out),
            Told::Hello(f, p) => joined.hello(f, (p, 0, 0.0), now, &mut out),
            Told::Bye(f, p) => joined.bye(f, p, now, &mut out),
            Told::Beat(f) => joined.end_snapshot(f, now, &mut out),
            Told::Wait => now += 2.0 * MAX_FOLLOWER_LAG_MS,
        }
    }
    let tell = |c: &MembershipChange| match c {
        MembershipChange::Joined { proxy, .. } => ('+', *proxy),
        MembershipChange::Left { proxy } => ('-', *proxy),
    };
    out.iter().map(tell).collect()
}

#[test]
fn only_what_was_missed_is_news() {
    use Told::*;
    type Case = (&'static str, Vec<Told>, Vec<(char, usize)>);
    let two = || {
        vec![
            Begun(0),
            Hello(0, 1),
            Hello(0, 2),
            Beat(0),
            Wait,
            Begun(1),
            Hello(1, 1),
            Hello(1, 2),
            Beat(1),
            Beat(0),
        ]
    };
    let and = |more: Vec<Told>| two().into_iter().chain(more).collect::<Vec<_>>();
    let both = vec![('+', 1), ('+', 2)];
    let plus = |more: &[(char, usize)]| [&both[..], more].concat();
    let cases: Vec<Case> = vec![
        ("a second follower tells nothing new", two(), both.clone()),
        (
            "each change is told once",
            and(vec![Bye(0, 1), Bye(1, 1), Hello(1, 1), Hello(0, 1)]),
            plus(&[('-', 1), ('+', 1)]),
        ),
        (
            "one breaks and comes back",
            and(vec![Ended(0), Begun(2), Hello(2, 1), Hello(2, 2), Beat(2)]),
            both.clone(),
        ),
        (
            "left and back on the other",
            and(vec![
                Ended(0),
                Bye(1, 1),
                Hello(1, 1),
                Begun(2),
                Hello(2, 1),
                Hello(2, 2),
                Beat(2),
            ]),
            plus(&[('-', 1), ('+', 1)]),
        ),
        (
            "one that the other was not heard beside: whoever it told joins anew",
            vec![
                Begun(0),
                Hello(0, 1),
                Hello(0, 2),
                Beat(0),
                Wait,
                Begun(1),
                Hello(1, 1),
                Ended(0),
                Hello(1, 2),
                Beat(1),
            ],
            plus(&[('-', 1), ('+', 1), ('-', 2), ('+', 2)]),
        ),
        (
            "a silent one vouches for what it was heard beside",
            and(vec![Silent(0), Beat(1), Bye(1, 1), Hello(1, 1)]),
            plus(&[('-', 1), ('+', 1)]),
        ),
        (
            "what ends a silence shows nothing of those who began since",
            and(vec![
                Begun(2),
                Hello(2, 1),
                Silent(0),
                Silent(1),
                Beat(1),
                Ended(1),
                Hello(2, 2),
                Beat(2),
            ]),
            plus(&[('-', 1), ('+', 1), ('-', 2), ('+', 2)]),
        ),
        (
            "both break: whoever is told joins anew",
            and(vec![Ended(0), Ended(1), Begun(2), Hello(2, 1), Beat(2)]),
            plus(&[('-', 1), ('+', 1), ('-', 2)]),
        ),
        (
            "silent ones vouch for nothing",
            and(vec![
                Silent(0),
                Silent(1),
                Begun(2),
                Hello(2, 1),
                Hello(2, 2),
                Beat(2),
            ]),
            plus(&[('-', 1), ('+', 1), ('-', 2), ('+', 2)]),
        ),
        (
            "one that is heard again vouches",
            and(vec![
                Silent(0),
                Silent(1),
                Beat(1),
                Begun(2),
                Hello(2, 1),
                Hello(2, 2),
                Beat(2),
            ]),
            both.clone(),
        ),
        (
            "a joining told twice in one stream is a new one",
            and(vec![Hello(0, 1), Hello(1, 1)]),
            plus(&[('-', 1), ('+', 1)]),
        ),
        (
            "a snapshot behind a leaving",
            and(vec![
                Bye(0, 1),
                Begun(2),
                Hello(2, 1),
                Hello(2, 2),
                Beat(2),
                Bye(2, 1),
                Bye(1, 1),
            ]),
            plus(&[('-', 1)]),
        ),
        (
            "a snapshot before a joining",
            and(vec![
                Begun(2),
                Hello(2, 1),
                Hello(2, 2),
                Hello(0, 3),
                Beat(2),
                Hello(2, 3),
                Hello(1, 3),
            ]),
            plus(&[('+', 3)]),
        ),
        (
            "a snapshot that lacks one who joined long ago",
            and(vec![
                Begun(2),
                Hello(2, 1),
                Wait,
                Beat(2),
                Bye(0, 2),
                Bye(1, 2),
            ]),
            plus(&[('-', 2)]),
        ),
    ];
    for (case, told, wanted) in cases {
        assert_eq!(play(&told), wanted, "{case}");
    }
}

/// One proxy joins and leaves alternately, `last` times in all: the events of a follower that starts
/// after the first `after` of them.
fn stream(follower: u32, after: usize, last: usize) -> Vec<Told> {
    let mut out = vec![Told::Begun(follower)];
    out.extend((after % 2 == 1).then_some(Told::Hello(follower, 1)));
    out.push(Told::Beat(follower));
    out.extend((after + 1..=last).map(|n| event(follower, n)));
    out
}

fn event(follower: u32, n: usize) -> Told {
    match n % 2 {
        1 => Told::Hello(follower, 1),
        _ => Told::Bye(follower, 1),
    }
}

/// All interleavings of two streams.
fn merges(one: &[Told], other: &[Told]) -> Vec<Vec<Told>> {
    let with = |first: Told, rest: Vec<Vec<Told>>| {
        let put = |mut rest: Vec<Told>| {
            rest.insert(0, first);
            rest
        };
        rest.into_iter().map(put).collect::<Vec<_>>()
    };
    match (one, other) {
        ([], rest) | (rest, []) => vec![rest.to_vec()],
        ([a, one_rest @ ..], [b, other_rest @ ..]) => [
            with(*a, merges(one_rest, other)),
            with(*b, merges(one, other_rest)),
        ]
        .concat(),
    }
}

/// Alternating joins and leaves, `many` in all.
fn turns(many: usize) -> Vec<(char, usize)> {
    let sign = |n| if n % 2 == 1 { '+' } else { '-' };
    (1..=many).map(|n| (sign(n), 1)).collect()
}

#[test]
fn two_followers_in_any_order_tell_each_change_once() {
    let mut orders = 0;
    for last in 0..=5 {
        let old: Vec<Told> = (1..=last).map(|n| event(0, n)).collect();
        for after in 0..=last {
            for order in merges(&old, &stream(1, after, last)) {
                use Told::{Beat, Begun, Ended, Wait};
                let mut told = vec![Begun(0), Beat(0)];
                told.extend(&order);
                // Both stay active for longer than the allowed lag. Then the old one ends, as after a
                // change of the relay's address, and the new one continues alone.
                told.extend([Beat(0), Beat(1), Wait, Beat(0), Beat(1), Ended(0)]);
                told.extend((last + 1..=last + 3).map(|n| event(1, n)));
                told.push(Beat(1));
                assert_eq!(play(&told), turns(last + 3), "{told:?}");
                orders += 1;
            }
        }
    }
    assert!(orders > 1000, "{orders}");
}

#[test]
fn an_old_follower_that_falls_back_and_ends_hides_no_joining() {
    use Told::{Beat, Begun, Ended, Silent, Wait};
    for last in 0..=4 {
        for (heard, after) in (0..=last).flat_map(|h| (h..=last).map(move |a| (h, a))) {
            // The old one has reported `heard` changes when the new one starts, and reports no more.
            let mut before = vec![Begun(0), Beat(0)];
            before.extend((1..=heard).map(|n| event(0, n)));
            let new = stream(1, after, last);
            for (at, end) in (1..=new.len()).flat_map(|at| [(at, Silent(0)), (at, Ended(0))]) {
                let mut told = before.clone();
                told.extend(&new);
                told.insert(before.len() + at, end);
                told.extend([Wait, Beat(1)]);
                let known = play(&before).len();
                let out = play(&told);
                let joined = out.last().is_some_and(|(sign, _)| *sign == '+');
                assert_eq!(joined, last % 2 == 1, "{told:?}");
                // A proxy joined in the end may have rejoined unseen, so it must have joined anew.
                assert!(!joined || out.len() > known, "{told:?}");
            }
        }
    }
}
