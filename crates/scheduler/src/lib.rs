//! Schedules background work by priority class, within CPU budgets per period, with deadlines and
//! fairness between owners; the lowest classes are shed first under overload.
//!
//! Call [`Scheduler::submit`] for each task, [`Scheduler::next`] for the task to run now, and
//! [`Scheduler::task_ran`] with the time it took and whether more of it is left. `next` applies
//! [`RULES`] in order; the first that selects a task decides. [`Scheduler::take_events`] returns
//! the tasks that were dropped and the classes that were deferred. The crate reads no clock: times
//! are milliseconds measured by the caller, so a scripted clock always gives the same order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Periods after which a waiting class gets one task run beyond its budget.
const STARVED: f64 = 4.0;
/// A deadline nearer than this many periods goes before fairness between owners.
const NEAR: f64 = 1.0;
/// Milliseconds of credit an owner gets when it returns after a pause; it does not get back the
/// turns it did not use.
const CATCH_UP: f64 = 1.0;

/// A class of tasks; a lower number means a higher priority.
pub type Class = usize;
/// Identifies the owner of tasks.
pub type OwnerId = u64;
/// Identifies a task; never reused.
pub type TaskId = u64;

/// Limits of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// CPU time per period in milliseconds. An infinite budget always runs.
    pub cpu_ms: f64,
    /// Maximum number of queued tasks. Another one evicts the newest task of the lowest class.
    pub max_queued: usize,
}

/// A task: one piece of background work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Task {
    /// The task's class.
    pub class: Class,
    /// Owners share the budget of their class evenly.
    pub owner: OwnerId,
    /// Time after which the task is not worth running.
    pub deadline: Option<f64>,
}

/// What happened to tasks that did not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The task's deadline passed while it was queued.
    Expired(TaskId),
    /// The queue was full and this was the newest task of the lowest class.
    Evicted(TaskId),
    /// The class has used its budget and waits for the next period; reported once per period.
    Deferred(Class),
}

/// A queued task and when it was queued.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    piece: Task,
    since: f64,
}

/// A class: its budget, what it has used of it in this period, and its queued tasks.
struct Lane {
    budget: Budget,
    used: f64,
    put_off: bool,
    /// When a task of this class last ran, or when the class began to wait.
    served: f64,
    /// Queued tasks by owner, oldest first; and the time each owner has had, as a map and in order.
    by_owner: BTreeMap<OwnerId, VecDeque<TaskId>>,
    had: BTreeMap<OwnerId, f64>,
    turns: BTreeSet<(Bits, OwnerId)>,
    deadlines: BTreeSet<(Bits, TaskId)>,
    count: usize,
}

/// A non-negative time as its bit pattern, which sorts like the time itself.
type Bits = u64;

fn bits(time: f64) -> Bits {
    time.max(0.0).to_bits()
}

/// The queued and running tasks; see the crate documentation.
pub struct Scheduler {
    period_ms: f64,
    period_ends: f64,
    lanes: Vec<Lane>,
    waiting: BTreeMap<TaskId, Waiting>,
    /// Tasks returned by `next` and not yet reported by `task_ran`.
    at_work: BTreeMap<TaskId, Task>,
    next_id: TaskId,
    told: Vec<Event>,
}

/// Selects the task to run now, or none.
type Rule = fn(&Scheduler, f64) -> Option<TaskId>;

/// The rules that select the next task, in order; the first that selects one decides.
const RULES: [Rule; 4] = [
    what_has_no_bounds,
    what_starves,
    what_is_within_its_budget,
    what_else_there_is,
];

/// Classes without a budget limit run at once, highest class first, so that decisions and
/// withdrawals of servers never wait. If such tasks take all the time, nothing else runs.
fn what_has_no_bounds(s: &Scheduler, now: f64) -> Option<TaskId> {
    let free = |l: &&Lane| l.budget.cpu_ms.is_infinite() && l.count > 0;
    s.lanes
        .iter()
        .find(free)
        .and_then(|l| l.first(now, s.period_ms))
}

/// Prevents starvation of a class below others that always have work: after [`STARVED`] periods one
/// task of it runs. Costs the other classes one task's time in that many periods.
fn what_starves(s: &Scheduler, now: f64) -> Option<TaskId> {
    let starved = |l: &&Lane| l.count > 0 && now - l.served >= STARVED * s.period_ms;
    let mut lanes = s.lanes.iter().filter(|l| l.budget.cpu_ms.is_finite());
    lanes.find(starved).and_then(|l| l.first(now, s.period_ms))
}

/// Selects the highest class that has not used its budget of this period.
fn what_is_within_its_budget(s: &Scheduler, now: f64) -> Option<TaskId> {
    let within = |l: &&Lane| l.count > 0 && l.used < l.budget.cpu_ms;
    s.lanes
        .iter()
        .find(within)
        .and_then(|l| l.first(now, s.period_ms))
}

/// Gives left-over time to the highest waiting class, as long as the time used by all classes is
/// below the period.
fn what_else_there_is(s: &Scheduler, now: f64) -> Option<TaskId> {
    let used: f64 = s.lanes.iter().map(|l| l.used).sum();
    let waits = |l: &&Lane| l.count > 0;
    let free = used < s.period_ms;
    let lane = s.lanes.iter().find(waits).filter(|_| free);
    lane.and_then(|l| l.first(now, s.period_ms))
}

impl Lane {
    /// The next task of this class: the one with the nearest deadline if that is near, else the
    /// oldest task of the owner that has had the least time.
    fn first(&self, now: f64, period_ms: f64) -> Option<TaskId> {
        let near = bits(now + NEAR * period_ms);
        let urgent = self.deadlines.first().filter(|(at, _)| *at <= near);
        if let Some((_, id)) = urgent {
            return Some(*id);
        }
        let (_, owner) = self.turns.first()?;
        self.by_owner.get(owner)?.front().copied()
    }

    /// Queues a task.
    fn put(&mut self, id: TaskId, piece: Task) {
        let queue = self.by_owner.entry(piece.owner).or_default();
        if queue.is_empty() {
            // A returning owner starts at the current minimum, not at the time it had when it last
            // had tasks.
            let least = self
                .turns
                .first()
                .map_or(0.0, |(at, _)| f64::from_bits(*at));
            let had = self.had.entry(piece.owner).or_insert(least);
            *had = had.max(least - CATCH_UP);
            self.turns.insert((bits(*had), piece.owner));
        }
        queue.push_back(id);
        if let Some(at) = piece.deadline {
            self.deadlines.insert((bits(at), id));
        }
        self.count += 1;
    }

    /// Removes a queued task.
    fn remove(&mut self, id: TaskId, piece: Task) {
        if let Some(queue) = self.by_owner.get_mut(&piece.owner) {
            queue.retain(|q| *q != id);
            if queue.is_empty() {
                self.by_owner.remove(&piece.owner);
                let had = self.had.get(&piece.owner).copied().unwrap_or(0.0);
                self.turns.remove(&(bits(had), piece.owner));
            }
        }
        if let Some(at) = piece.deadline {
            self.deadlines.remove(&(bits(at), id));
        }
        self.count -= 1;
    }

    /// Charges run time to an owner.
    fn book(&mut self, owner: OwnerId, ms: f64) {
        let before = self.had.get(&owner).copied().unwrap_or(0.0);
        let after = before + ms.max(0.0);
        self.had.insert(owner, after);
        if self.turns.remove(&(bits(before), owner)) {
            self.turns.insert((bits(after), owner));
        }
        // Forget owners without tasks once all others have had as much time.
        if self.had.len() > 2 * self.by_owner.len() + 16 {
            let least = self
                .turns
                .first()
                .map_or(f64::INFINITY, |(at, _)| f64::from_bits(*at));
            let by_owner = &self.by_owner;
            self.had
                .retain(|o, had| by_owner.contains_key(o) || *had > least);
        }
    }
}

impl Scheduler {
    /// Creates a scheduler with budgets per period by class, the highest class first.
    pub fn new(now: f64, period_ms: f64, budgets: &[Budget]) -> Scheduler {
        let lane = |budget: &Budget| Lane {
            budget: *budget,
            used: 0.0,
            put_off: false,
            served: now,
            by_owner: BTreeMap::new(),
            had: BTreeMap::new(),
            turns: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            count: 0,
        };
        Scheduler {
            period_ms: period_ms.max(f64::MIN_POSITIVE),
            period_ends: now + period_ms,
            lanes: budgets.iter().map(lane).collect(),
            waiting: BTreeMap::new(),
            at_work: BTreeMap::new(),
            next_id: 0,
            told: Vec::new(),
        }
    }

    /// Queues a task. If its class is full, the newest task of the lowest class below it is
    /// evicted, or the new task itself if there is none. Returns `None` if the class does not
    /// exist.
    pub fn submit(&mut self, now: f64, piece: Task) -> Option<TaskId> {
        let most = self.lanes.get(piece.class)?.budget.max_queued;
        self.next_id += 1;
        let id = self.next_id;
        let room: usize = self.lanes.iter().map(|l| l.budget.max_queued).sum();
        if self.lanes[piece.class].count >= most || self.waiting.len() >= room {
            let lowest = (piece.class..self.lanes.len()).rev();
            let mut lowest = lowest.filter(|c| *c > piece.class && self.lanes[*c].count > 0);
            match lowest
                .next()
                .filter(|_| self.lanes[piece.class].count < 2 * most)
            {
                Some(class) => {
                    let newest = self.newest(class);
                    newest.into_iter().for_each(|id| {
                        self.take_out(id);
                        self.told.push(Event::Evicted(id));
                    });
                }
                None => {
                    self.told.push(Event::Evicted(id));
                    return Some(id);
                }
            }
        }
        let lane = &mut self.lanes[piece.class];
        if lane.count == 0 {
            lane.served = now;
        }
        lane.put(id, piece);
        self.waiting.insert(id, Waiting { piece, since: now });
        Some(id)
    }

    /// The newest queued task of a class.
    fn newest(&self, class: Class) -> Option<TaskId> {
        let lane = &self.lanes[class];
        lane.by_owner
            .values()
            .filter_map(|q| q.back())
            .max()
            .copied()
    }

    /// Removes a queued task and returns it.
    fn take_out(&mut self, id: TaskId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.lanes[waiting.piece.class].remove(id, waiting.piece);
        Some(waiting)
    }

    /// Cancels a task; a running one is not queued again when it returns. Returns whether the task
    /// existed.
    pub fn cancel(&mut self, id: TaskId) -> bool {
        self.take_out(id).is_some() || self.at_work.remove(&id).is_some()
    }

    /// Cancels all tasks of an owner, and returns their number.
    pub fn cancel_owner(&mut self, owner: OwnerId) -> usize {
        let of = |piece: &Task| piece.owner == owner;
        let waiting = self.waiting.iter().filter(|(_, w)| of(&w.piece));
        let at_work = self.at_work.iter().filter(|(_, p)| of(p));
        let ids: Vec<TaskId> = waiting
            .map(|(i, _)| *i)
            .chain(at_work.map(|(i, _)| *i))
            .collect();
        ids.iter().filter(|id| self.cancel(**id)).count()
    }

    /// Starts the current period, if the last one has ended, and renews the budgets.
    fn begin_period(&mut self, now: f64) {
        if now < self.period_ends {
            return;
        }
        let gone = ((now - self.period_ends) / self.period_ms).floor() + 1.0;
        self.period_ends += gone * self.period_ms;
        for lane in &mut self.lanes {
            // Time used beyond the budget is charged to the following periods.
            lane.used = (lane.used - lane.budget.cpu_ms * gone).max(0.0);
            if lane.budget.cpu_ms.is_infinite() {
                lane.used = 0.0;
            }
            lane.put_off = false;
        }
    }

    /// Drops queued tasks whose deadline has passed.
    fn end_the_late(&mut self, now: f64) {
        for class in 0..self.lanes.len() {
            while let Some((at, id)) = self.lanes[class].deadlines.first().copied()
                && f64::from_bits(at) < now
            {
                self.take_out(id);
                self.told.push(Event::Expired(id));
            }
        }
    }

    /// The task to run now; `None` if no task is queued, or if all have to wait for the next
    /// period.
    pub fn next(&mut self, now: f64) -> Option<(TaskId, Task)> {
        self.begin_period(now);
        self.end_the_late(now);
        let found = RULES.iter().find_map(|rule| rule(self, now));
        for (class, lane) in self.lanes.iter_mut().enumerate() {
            let spent = lane.count > 0 && lane.used >= lane.budget.cpu_ms;
            if spent && !lane.put_off {
                lane.put_off = true;
                self.told.push(Event::Deferred(class));
            }
        }
        let id = found?;
        let waiting = self.take_out(id)?;
        self.lanes[waiting.piece.class].served = now;
        self.at_work.insert(id, waiting.piece);
        Some((id, waiting.piece))
    }

    /// Records how long a task ran. If more of it is left, it is queued again behind its owner's
    /// other tasks.
    pub fn task_ran(&mut self, now: f64, id: TaskId, ms: f64, more: bool) {
        let Some(piece) = self.at_work.remove(&id) else {
            return;
        };
        let lane = &mut self.lanes[piece.class];
        lane.used += ms.max(0.0);
        lane.book(piece.owner, ms);
        if more {
            lane.put(id, piece);
            self.waiting.insert(id, Waiting { piece, since: now });
        }
    }

    /// When to call `next` again if nothing is submitted before: the start of the next period if
    /// tasks are queued.
    pub fn wake_at(&self) -> Option<f64> {
        (!self.waiting.is_empty()).then_some(self.period_ends)
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.told)
    }

    /// The number of queued tasks of a class, and the time since when the oldest has waited.
    pub fn waiting(&self, class: Class) -> (usize, Option<f64>) {
        let count = self.lanes.get(class).map_or(0, |l| l.count);
        let of = self.waiting.values().filter(|w| w.piece.class == class);
        (count, of.map(|w| w.since).reduce(f64::min))
    }
}
