//! Tests of the order of tasks under a scripted clock, on fixed cases and on random input.

use dahliapoint_scheduler::{Budget, Class, Event, OwnerId, Scheduler, Task, TaskId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const FREE: Budget = Budget {
    cpu_ms: f64::INFINITY,
    max_queued: 1000,
};

fn budget(ms: f64, most: usize) -> Budget {
    Budget {
        cpu_ms: ms,
        max_queued: most,
    }
}

fn piece(class: Class, owner: OwnerId) -> Task {
    Task {
        class,
        owner,
        deadline: None,
    }
}

/// Runs tasks of one millisecond each during an interval; returns them in order.
fn work(s: &mut Scheduler, from: f64, until: f64, more: bool) -> Vec<(TaskId, Task)> {
    let (mut now, mut done) = (from, Vec::new());
    while now < until {
        match s.next(now) {
            Some((id, piece)) => {
                now += 1.0;
                s.task_ran(now, id, 1.0, more);
                done.push((id, piece));
            }
            None => now += 1.0,
        }
    }
    done
}

fn many(s: &mut Scheduler, now: f64, count: usize, piece: Task) {
    for _ in 0..count {
        s.submit(now, piece);
    }
}

fn share(done: &[(TaskId, Task)], is: impl Fn(&Task) -> bool) -> f64 {
    done.iter().filter(|(_, p)| is(p)).count() as f64 / done.len().max(1) as f64
}

#[test]
fn what_has_no_budget_goes_before_all_else() {
    let mut s = Scheduler::new(0.0, 100.0, &[FREE, budget(50.0, 100), budget(50.0, 100)]);
    for class in [2, 1, 0, 2, 0] {
        s.submit(0.0, piece(class, 1));
    }
    let classes: Vec<_> = work(&mut s, 0.0, 10.0, false)
        .iter()
        .map(|(_, p)| p.class)
        .collect();
    assert_eq!(classes, [0, 0, 1, 2, 2]);
}

#[test]
fn budgets_share_a_period_and_what_is_left_over_goes_to_the_highest() {
    let mut s = Scheduler::new(
        0.0,
        100.0,
        &[budget(30.0, 10), budget(20.0, 10), budget(10.0, 10)],
    );
    for class in 0..3 {
        s.submit(0.0, piece(class, 1));
    }
    let done = work(&mut s, 0.0, 100.0, true);
    let count = |class| done.iter().filter(|(_, p)| p.class == class).count();
    assert_eq!((count(0), count(1), count(2)), (70, 20, 10));
    let told = s.take_events();
    assert!(
        (0..3).all(|c| told.contains(&Event::Deferred(c))),
        "{told:?}"
    );
}

#[test]
fn owners_of_a_class_share_it_however_much_they_bring() {
    let mut s = Scheduler::new(0.0, 100.0, &[budget(100.0, 10_000)]);
    for _ in 0..1000 {
        s.submit(0.0, piece(0, 1));
    }
    for _ in 0..100 {
        s.submit(0.0, piece(0, 2));
        s.submit(0.0, piece(0, 3));
    }
    let done = work(&mut s, 0.0, 150.0, false);
    for owner in 1..=3 {
        let part = share(&done, |p| p.owner == owner);
        assert!((part - 1.0 / 3.0).abs() < 0.02, "{owner}: {part}");
    }
    // An owner that arrives late does not catch up on the time before.
    let mut s = Scheduler::new(0.0, 100.0, &[budget(100.0, 10_000)]);
    many(&mut s, 0.0, 900, piece(0, 1));
    work(&mut s, 0.0, 400.0, false);
    many(&mut s, 400.0, 200, piece(0, 2));
    let done = work(&mut s, 400.0, 500.0, false);
    assert!((share(&done, |p| p.owner == 2) - 0.5).abs() < 0.03);
}

#[test]
fn near_deadlines_go_first_and_missed_ones_are_told() {
    let mut s = Scheduler::new(0.0, 10.0, &[budget(10.0, 100)]);
    let first = s.submit(0.0, piece(0, 1));
    let by = |at| Task {
        deadline: Some(at),
        ..piece(0, 2)
    };
    let far = s.submit(0.0, by(500.0));
    let near = s.submit(0.0, by(5.0));
    let missed = s.submit(0.0, by(0.5));
    let done: Vec<_> = work(&mut s, 1.0, 10.0, false)
        .iter()
        .map(|(id, _)| Some(*id))
        .collect();
    assert_eq!(done, [near, first, far]);
    assert_eq!(s.take_events().first().copied(), missed.map(Event::Expired));
}

#[test]
fn a_class_that_waits_for_ever_gets_a_turn_now_and_then() {
    // The first class asks for more than all the available time.
    let mut s = Scheduler::new(0.0, 10.0, &[budget(1000.0, 100_000), budget(0.0, 10)]);
    many(&mut s, 0.0, 5000, piece(0, 1));
    s.submit(0.0, piece(1, 1));
    let done = work(&mut s, 0.0, 1000.0, true);
    let turns = done.iter().filter(|(_, p)| p.class == 1).count();
    assert!((15..=25).contains(&turns), "one in four periods: {turns}");
}

#[test]
fn when_there_is_too_much_the_lowest_is_pushed_out_and_told() {
    let mut s = Scheduler::new(0.0, 10.0, &[budget(5.0, 2), budget(5.0, 2)]);
    let low: Vec<_> = (0..2).filter_map(|_| s.submit(0.0, piece(1, 1))).collect();
    let high: Vec<_> = (0..5).filter_map(|_| s.submit(0.0, piece(0, 1))).collect();
    let told = s.take_events();
    let wanted = [
        Event::Evicted(low[1]),
        Event::Evicted(low[0]),
        Event::Evicted(high[4]),
    ];
    assert_eq!(told, wanted);
    assert_eq!((s.waiting(0).0, s.waiting(1).0), (4, 0));
    assert_eq!(s.submit(0.0, piece(7, 1)), None, "no such class");
}

#[test]
fn what_is_cancelled_does_not_come_again() {
    let mut s = Scheduler::new(0.0, 10.0, &[budget(10.0, 100)]);
    let ids: Vec<_> = (0..4)
        .filter_map(|i| s.submit(0.0, piece(0, i % 2)))
        .collect();
    assert!(s.cancel(ids[0]));
    assert!(!s.cancel(ids[0]));
    let (at_work, _) = s.next(0.0).unwrap();
    assert_eq!(s.cancel_owner(1), 2);
    s.task_ran(1.0, at_work, 1.0, true);
    let rest: Vec<_> = work(&mut s, 1.0, 9.0, false)
        .iter()
        .map(|(id, _)| *id)
        .collect();
    assert_eq!(rest, [ids[2]]);
    s.task_ran(9.0, 9999, 1.0, true);
    assert_eq!(s.next(9.0), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever is submitted, cancelled and run: every task is either done, cancelled, reported as
    /// dropped or still queued, and the same script gives the same order.
    #[test]
    fn nothing_is_lost_nor_done_twice(
        script in prop::collection::vec((0_u8..6, 0_usize..3, 0_u64..4, 0.0..40.0_f64), 1..300),
    ) {
        let run = || {
            let budgets = [FREE, budget(4.0, 8), budget(2.0, 5)];
            let mut s = Scheduler::new(0.0, 10.0, &budgets);
            let (mut now, mut order) = (0.0, Vec::new());
            let mut all: BTreeSet<TaskId> = BTreeSet::new();
            let mut ended: BTreeMap<TaskId, &str> = BTreeMap::new();
            let mut end = |id: TaskId, how| assert_eq!(ended.insert(id, how), None, "{id} ended twice");
            for (what, class, owner, number) in &script {
                now += number / 10.0;
                match what {
                    0..=2 => {
                        let deadline = (*what == 2).then_some(now + number);
                        let piece = Task { class: *class, owner: *owner, deadline };
                        all.extend(s.submit(now, piece));
                    }
                    3 => {
                        let id = *number as TaskId + 1;
                        if s.cancel(id) {
                            end(id, "cancelled");
                        }
                    }
                    _ => {
                        if let Some((id, _)) = s.next(now) {
                            let more = *what == 5;
                            s.task_ran(now + 0.5, id, number / 10.0, more);
                            order.push(id);
                            if !more {
                                end(id, "done");
                            }
                        }
                    }
                }
                for told in s.take_events() {
                    match told {
                        Event::Expired(id) => end(id, "late"),
                        Event::Evicted(id) => end(id, "pushed out"),
                        Event::Deferred(_) => {}
                    }
                }
            }
            let waiting: usize = (0..3).map(|c| s.waiting(c).0).sum();
            (order, all.len(), ended.len() + waiting)
        };
        let (order, all, accounted) = run();
        prop_assert_eq!(all, accounted);
        prop_assert_eq!(order, run().0);
    }
}
