//! Tests of the order of tasks under a scripted clock, on fixed cases and on random input.

use dahliapoint_scheduler::{Budget, Class, Event, OwnerId, Scheduler, Task, TaskId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const UNLIMITED: Budget = Budget {
    cpu_ms: f64::INFINITY,
    max_queued: 1000,
};

fn budget(cpu_ms: f64, max_queued: usize) -> Budget {
    Budget { cpu_ms, max_queued }
}

fn task(class: Class, owner: OwnerId) -> Task {
    Task {
        class,
        owner,
        deadline: None,
    }
}

/// Runs tasks of one millisecond each during an interval; returns them in order.
fn run_tasks(s: &mut Scheduler, from: f64, until: f64, more: bool) -> Vec<(TaskId, Task)> {
    let (mut now, mut done) = (from, Vec::new());
    while now < until {
        match s.next(now) {
            Some((id, task)) => {
                now += 1.0;
                s.task_ran(now, id, 1.0, more);
                done.push((id, task));
            }
            None => now += 1.0,
        }
    }
    done
}

fn submit_many(s: &mut Scheduler, now: f64, count: usize, task: Task) {
    for _ in 0..count {
        s.submit(now, task);
    }
}

fn share(done: &[(TaskId, Task)], is: impl Fn(&Task) -> bool) -> f64 {
    done.iter().filter(|(_, p)| is(p)).count() as f64 / done.len().max(1) as f64
}

#[test]
fn unlimited_class_runs_first() {
    let mut s = Scheduler::new(
        0.0,
        100.0,
        &[UNLIMITED, budget(50.0, 100), budget(50.0, 100)],
    );
    for class in [2, 1, 0, 2, 0] {
        s.submit(0.0, task(class, 1));
    }
    let classes: Vec<_> = run_tasks(&mut s, 0.0, 10.0, false)
        .iter()
        .map(|(_, p)| p.class)
        .collect();
    assert_eq!(classes, [0, 0, 1, 2, 2]);
}

#[test]
fn left_over_time_goes_to_the_highest_class() {
    let mut s = Scheduler::new(
        0.0,
        100.0,
        &[budget(30.0, 10), budget(20.0, 10), budget(10.0, 10)],
    );
    for class in 0..3 {
        s.submit(0.0, task(class, 1));
    }
    let done = run_tasks(&mut s, 0.0, 100.0, true);
    let count = |class| done.iter().filter(|(_, p)| p.class == class).count();
    assert_eq!((count(0), count(1), count(2)), (70, 20, 10));
    let events = s.take_events();
    assert!(
        (0..3).all(|c| events.contains(&Event::Deferred(c))),
        "{events:?}"
    );
}

#[test]
fn owners_share_a_class_evenly() {
    let mut s = Scheduler::new(0.0, 100.0, &[budget(100.0, 10_000)]);
    for _ in 0..1000 {
        s.submit(0.0, task(0, 1));
    }
    for _ in 0..100 {
        s.submit(0.0, task(0, 2));
        s.submit(0.0, task(0, 3));
    }
    let done = run_tasks(&mut s, 0.0, 150.0, false);
    for owner in 1..=3 {
        let share_of_owner = share(&done, |p| p.owner == owner);
        assert!(
            (share_of_owner - 1.0 / 3.0).abs() < 0.02,
            "{owner}: {share_of_owner}"
        );
    }
    // An owner that arrives late does not catch up on the time before.
    let mut s = Scheduler::new(0.0, 100.0, &[budget(100.0, 10_000)]);
    submit_many(&mut s, 0.0, 900, task(0, 1));
    run_tasks(&mut s, 0.0, 400.0, false);
    submit_many(&mut s, 400.0, 200, task(0, 2));
    let done = run_tasks(&mut s, 400.0, 500.0, false);
    assert!((share(&done, |p| p.owner == 2) - 0.5).abs() < 0.03);
}

#[test]
fn near_deadlines_run_first_and_missed_ones_are_reported() {
    let mut s = Scheduler::new(0.0, 10.0, &[budget(10.0, 100)]);
    let first = s.submit(0.0, task(0, 1));
    let due_at = |at| Task {
        deadline: Some(at),
        ..task(0, 2)
    };
    let far = s.submit(0.0, due_at(500.0));
    let near = s.submit(0.0, due_at(5.0));
    let missed = s.submit(0.0, due_at(0.5));
    let done: Vec<_> = run_tasks(&mut s, 1.0, 10.0, false)
        .iter()
        .map(|(id, _)| Some(*id))
        .collect();
    assert_eq!(done, [near, first, far]);
    assert_eq!(s.take_events().first().copied(), missed.map(Event::Expired));
}

#[test]
fn starving_class_runs_occasionally() {
    // The first class asks for more than all the available time.
    let mut s = Scheduler::new(0.0, 10.0, &[budget(1000.0, 100_000), budget(0.0, 10)]);
    submit_many(&mut s, 0.0, 5000, task(0, 1));
    s.submit(0.0, task(1, 1));
    let done = run_tasks(&mut s, 0.0, 1000.0, true);
    let runs = done.iter().filter(|(_, p)| p.class == 1).count();
    assert!((15..=25).contains(&runs), "one in four periods: {runs}");
}

#[test]
fn overload_evicts_the_lowest_class() {
    let mut s = Scheduler::new(0.0, 10.0, &[budget(5.0, 2), budget(5.0, 2)]);
    let low: Vec<_> = (0..2).filter_map(|_| s.submit(0.0, task(1, 1))).collect();
    let high: Vec<_> = (0..5).filter_map(|_| s.submit(0.0, task(0, 1))).collect();
    let events = s.take_events();
    let expected = [
        Event::Evicted(low[1]),
        Event::Evicted(low[0]),
        Event::Evicted(high[4]),
    ];
    assert_eq!(events, expected);
    assert_eq!((s.waiting(0).0, s.waiting(1).0), (4, 0));
    assert_eq!(s.submit(0.0, task(7, 1)), None, "no such class");
}

#[test]
fn cancelled_tasks_do_not_run() {
    let mut s = Scheduler::new(0.0, 10.0, &[budget(10.0, 100)]);
    let ids: Vec<_> = (0..4)
        .filter_map(|i| s.submit(0.0, task(0, i % 2)))
        .collect();
    assert!(s.cancel(ids[0]));
    assert!(!s.cancel(ids[0]));
    let (running, _) = s.next(0.0).unwrap();
    assert_eq!(s.cancel_owner(1), 2);
    s.task_ran(1.0, running, 1.0, true);
    let rest: Vec<_> = run_tasks(&mut s, 1.0, 9.0, false)
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
    fn every_task_ends_exactly_once(
        script in prop::collection::vec((0_u8..6, 0_usize..3, 0_u64..4, 0.0..40.0_f64), 1..300),
    ) {
        let run = || {
            let budgets = [UNLIMITED, budget(4.0, 8), budget(2.0, 5)];
            let mut s = Scheduler::new(0.0, 10.0, &budgets);
            let (mut now, mut order) = (0.0, Vec::new());
            let mut all: BTreeSet<TaskId> = BTreeSet::new();
            let mut ended: BTreeMap<TaskId, &str> = BTreeMap::new();
            let mut end = |id: TaskId, how| assert_eq!(ended.insert(id, how), None, "{id} ended twice");
            for (action, class, owner, number) in &script {
                now += number / 10.0;
                match action {
                    0..=2 => {
                        let deadline = (*action == 2).then_some(now + number);
                        let task = Task { class: *class, owner: *owner, deadline };
                        all.extend(s.submit(now, task));
                    }
                    3 => {
                        let id = *number as TaskId + 1;
                        if s.cancel(id) {
                            end(id, "cancelled");
                        }
                    }
                    _ => {
                        if let Some((id, _)) = s.next(now) {
                            let more = *action == 5;
                            s.task_ran(now + 0.5, id, number / 10.0, more);
                            order.push(id);
                            if !more {
                                end(id, "done");
                            }
                        }
                    }
                }
                for event in s.take_events() {
                    match event {
                        Event::Expired(id) => end(id, "expired"),
                        Event::Evicted(id) => end(id, "evicted"),
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
