//! Schedules background work by priority class, within CPU budgets per period, with deadlines and
//! fairness between owners; the lowest classes are shed first under overload.
//!
//! Call [`Scheduler::submit`] for each task, [`Scheduler::next`] for the task to run now, and
//! [`Scheduler::task_ran`] with the time it took and whether more of it is left. `next` applies
//! its rules in order; the first that selects a task decides. [`Scheduler::take_events`] returns
//! the tasks that were dropped and the classes that were deferred. The crate reads no clock: times
//! are milliseconds measured by the caller, so a scripted clock always gives the same order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Periods after which a waiting class gets one task run beyond its budget.
const STARVATION_PERIODS: f64 = 4.0;
/// A deadline nearer than this many periods takes precedence over fairness between owners.
const NEAR_PERIODS: f64 = 1.0;
/// Milliseconds of credit an owner gets when it returns after a pause; it does not get back the
/// turns it did not use.
const RETURN_CREDIT_MS: f64 = 1.0;

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
struct QueuedTask {
    task: Task,
    queued_at: f64,
}

/// A class: its budget, what it has used of it in this period, and its queued tasks.
struct ClassQueue {
    budget: Budget,
    used_ms: f64,
    deferred: bool,
    /// When a task of this class last ran, or when the class began to wait.
    last_run_ms: f64,
    /// Queued tasks by owner, oldest first.
    by_owner: BTreeMap<OwnerId, VecDeque<TaskId>>,
    /// Run time that each owner has had, in milliseconds.
    time_used: BTreeMap<OwnerId, f64>,
    /// Owners with queued tasks, in the order of that time.
    owners_by_time: BTreeSet<(Bits, OwnerId)>,
    /// Queued tasks with a deadline, in its order.
    deadlines: BTreeSet<(Bits, TaskId)>,
    /// Number of queued tasks.
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
    period_end: f64,
    classes: Vec<ClassQueue>,
    queued: BTreeMap<TaskId, QueuedTask>,
    /// Tasks returned by `next` and not yet reported by `task_ran`.
    running: BTreeMap<TaskId, Task>,
    next_id: TaskId,
    events: Vec<Event>,
}

/// Selects the task to run now, or none.
type Rule = fn(&Scheduler, f64) -> Option<TaskId>;

/// The rules that select the next task, in order; the first that selects one decides.
const RULES: [Rule; 4] = [
    unlimited_class,
    starving_class,
    class_within_budget,
    left_over_time,
];

/// Classes without a budget limit run at once, highest class first, so that decisions and
/// withdrawals of servers never wait. If such tasks take all the time, nothing else runs.
fn unlimited_class(s: &Scheduler, now: f64) -> Option<TaskId> {
    let free = |c: &&ClassQueue| c.budget.cpu_ms.is_infinite() && c.count > 0;
    s.classes
        .iter()
        .find(free)
        .and_then(|c| c.first(now, s.period_ms))
}

/// Prevents starvation of a class below others that always have work: after [`STARVATION_PERIODS`]
/// periods one task of it runs. Costs the other classes one task's time in that many periods.
fn starving_class(s: &Scheduler, now: f64) -> Option<TaskId> {
    let starved =
        |c: &&ClassQueue| c.count > 0 && now - c.last_run_ms >= STARVATION_PERIODS * s.period_ms;
    let mut classes = s.classes.iter().filter(|c| c.budget.cpu_ms.is_finite());
    classes
        .find(starved)
        .and_then(|c| c.first(now, s.period_ms))
}

/// Selects the highest class that has not used its budget of this period.
fn class_within_budget(s: &Scheduler, now: f64) -> Option<TaskId> {
    let within = |c: &&ClassQueue| c.count > 0 && c.used_ms < c.budget.cpu_ms;
    s.classes
        .iter()
        .find(within)
        .and_then(|c| c.first(now, s.period_ms))
}

/// Gives left-over time to the highest waiting class, as long as the time used by all classes is
/// below the period.
fn left_over_time(s: &Scheduler, now: f64) -> Option<TaskId> {
    let used_ms: f64 = s.classes.iter().map(|c| c.used_ms).sum();
    let waits = |c: &&ClassQueue| c.count > 0;
    let free = used_ms < s.period_ms;
    let class_queue = s.classes.iter().find(waits).filter(|_| free);
    class_queue.and_then(|c| c.first(now, s.period_ms))
}

impl ClassQueue {
    /// The next task of this class: the one with the nearest deadline if that is near, else the
    /// oldest task of the owner that has had the least time.
    fn first(&self, now: f64, period_ms: f64) -> Option<TaskId> {
        let near = bits(now + NEAR_PERIODS * period_ms);
        let urgent = self.deadlines.first().filter(|(at, _)| *at <= near);
        if let Some((_, id)) = urgent {
            return Some(*id);
        }
        let (_, owner) = self.owners_by_time.first()?;
        self.by_owner.get(owner)?.front().copied()
    }

    /// Queues a task.
    fn push(&mut self, id: TaskId, task: Task) {
        let queue = self.by_owner.entry(task.owner).or_default();
        if queue.is_empty() {
            // A returning owner starts at the current minimum, not at the time it had when it last
            // had tasks.
            let min_time = self
                .owners_by_time
                .first()
                .map_or(0.0, |(at, _)| f64::from_bits(*at));
            let time_used = self.time_used.entry(task.owner).or_insert(min_time);
            *time_used = time_used.max(min_time - RETURN_CREDIT_MS);
            self.owners_by_time.insert((bits(*time_used), task.owner));
        }
        queue.push_back(id);
        if let Some(at) = task.deadline {
            self.deadlines.insert((bits(at), id));
        }
        self.count += 1;
    }

    /// Removes a queued task.
    fn remove(&mut self, id: TaskId, task: Task) {
        if let Some(queue) = self.by_owner.get_mut(&task.owner) {
            queue.retain(|q| *q != id);
            if queue.is_empty() {
                self.by_owner.remove(&task.owner);
                let time_used = self.time_used.get(&task.owner).copied().unwrap_or(0.0);
                self.owners_by_time.remove(&(bits(time_used), task.owner));
            }
        }
        if let Some(at) = task.deadline {
            self.deadlines.remove(&(bits(at), id));
        }
        self.count -= 1;
    }

    /// Charges run time to an owner.
    fn charge(&mut self, owner: OwnerId, ms: f64) {
        let before = self.time_used.get(&owner).copied().unwrap_or(0.0);
        let after = before + ms.max(0.0);
        self.time_used.insert(owner, after);
        if self.owners_by_time.remove(&(bits(before), owner)) {
            self.owners_by_time.insert((bits(after), owner));
        }
        // Forget owners without tasks once all others have had as much time.
        if self.time_used.len() > 2 * self.by_owner.len() + 16 {
            let min_time = self
                .owners_by_time
                .first()
                .map_or(f64::INFINITY, |(at, _)| f64::from_bits(*at));
            let by_owner = &self.by_owner;
            self.time_used
                .retain(|o, time_used| by_owner.contains_key(o) || *time_used > min_time);
        }
    }
}

impl Scheduler {
    /// Creates a scheduler with budgets per period by class, the highest class first.
    pub fn new(now: f64, period_ms: f64, budgets: &[Budget]) -> Scheduler {
        let class_queue = |budget: &Budget| ClassQueue {
            budget: *budget,
            used_ms: 0.0,
            deferred: false,
            last_run_ms: now,
            by_owner: BTreeMap::new(),
            time_used: BTreeMap::new(),
            owners_by_time: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            count: 0,
        };
        Scheduler {
            period_ms: period_ms.max(f64::MIN_POSITIVE),
            period_end: now + period_ms,
            classes: budgets.iter().map(class_queue).collect(),
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
            next_id: 0,
            events: Vec::new(),
        }
    }

    /// Queues a task. If its class or the whole scheduler is full, the newest task of the lowest
    /// class below it is evicted, as long as its own class has less than twice its maximum;
    /// otherwise the new task itself is evicted. Returns `None` if the class does not exist.
    pub fn submit(&mut self, now: f64, task: Task) -> Option<TaskId> {
        let max_queued = self.classes.get(task.class)?.budget.max_queued;
        self.next_id += 1;
        let id = self.next_id;
        let capacity: usize = self.classes.iter().map(|c| c.budget.max_queued).sum();
        if self.classes[task.class].count >= max_queued || self.queued.len() >= capacity {
            let lowest = (task.class..self.classes.len()).rev();
            let mut lowest = lowest.filter(|c| *c > task.class && self.classes[*c].count > 0);
            match lowest
                .next()
                .filter(|_| self.classes[task.class].count < 2 * max_queued)
            {
                Some(class) => {
                    let newest = self.newest(class);
                    newest.into_iter().for_each(|id| {
                        self.dequeue(id);
                        self.events.push(Event::Evicted(id));
                    });
                }
                None => {
                    self.events.push(Event::Evicted(id));
                    return Some(id);
                }
            }
        }
        let class_queue = &mut self.classes[task.class];
        if class_queue.count == 0 {
            class_queue.last_run_ms = now;
        }
        class_queue.push(id, task);
        self.queued.insert(
            id,
            QueuedTask {
                task,
                queued_at: now,
            },
        );
        Some(id)
    }

    /// The newest queued task of a class.
    fn newest(&self, class: Class) -> Option<TaskId> {
        let class_queue = &self.classes[class];
        class_queue
            .by_owner
            .values()
            .filter_map(|q| q.back())
            .max()
            .copied()
    }

    /// Removes a queued task and returns it.
    fn dequeue(&mut self, id: TaskId) -> Option<QueuedTask> {
        let queued = self.queued.remove(&id)?;
        self.classes[queued.task.class].remove(id, queued.task);
        Some(queued)
    }

    /// Cancels a task; a running one is not queued again when it returns. Returns whether the task
    /// existed.
    pub fn cancel(&mut self, id: TaskId) -> bool {
        self.dequeue(id).is_some() || self.running.remove(&id).is_some()
    }

    /// Cancels all tasks of an owner, and returns their number.
    pub fn cancel_owner(&mut self, owner: OwnerId) -> usize {
        let is_owned = |task: &Task| task.owner == owner;
        let queued = self.queued.iter().filter(|(_, q)| is_owned(&q.task));
        let running = self.running.iter().filter(|(_, task)| is_owned(task));
        let ids: Vec<TaskId> = queued
            .map(|(i, _)| *i)
            .chain(running.map(|(i, _)| *i))
            .collect();
        ids.iter().filter(|id| self.cancel(**id)).count()
    }

    /// Starts the current period, if the last one has ended, and renews the budgets.
    fn begin_period(&mut self, now: f64) {
        if now < self.period_end {
            return;
        }
        let periods = ((now - self.period_end) / self.period_ms).floor() + 1.0;
        self.period_end += periods * self.period_ms;
        for class_queue in &mut self.classes {
            // Time used beyond the budget is charged to the following periods.
            class_queue.used_ms =
                (class_queue.used_ms - class_queue.budget.cpu_ms * periods).max(0.0);
            if class_queue.budget.cpu_ms.is_infinite() {
                class_queue.used_ms = 0.0;
            }
            class_queue.deferred = false;
        }
    }

    /// Drops queued tasks whose deadline has passed.
    fn drop_expired(&mut self, now: f64) {
        for class in 0..self.classes.len() {
            while let Some((at, id)) = self.classes[class].deadlines.first().copied()
                && f64::from_bits(at) < now
            {
                self.dequeue(id);
                self.events.push(Event::Expired(id));
            }
        }
    }

    /// The task to run now; `None` if no task is queued, or if all have to wait for the next
    /// period.
    pub fn next(&mut self, now: f64) -> Option<(TaskId, Task)> {
        self.begin_period(now);
        self.drop_expired(now);
        let found = RULES.iter().find_map(|rule| rule(self, now));
        for (class, class_queue) in self.classes.iter_mut().enumerate() {
            let spent = class_queue.count > 0 && class_queue.used_ms >= class_queue.budget.cpu_ms;
            if spent && !class_queue.deferred {
                class_queue.deferred = true;
                self.events.push(Event::Deferred(class));
            }
        }
        let id = found?;
        let queued = self.dequeue(id)?;
        self.classes[queued.task.class].last_run_ms = now;
        self.running.insert(id, queued.task);
        Some((id, queued.task))
    }

    /// Records how long a task ran. If more of it is left, it is queued again behind its owner's
    /// other tasks.
    pub fn task_ran(&mut self, now: f64, id: TaskId, ms: f64, more: bool) {
        let Some(task) = self.running.remove(&id) else {
            return;
        };
        let class_queue = &mut self.classes[task.class];
        class_queue.used_ms += ms.max(0.0);
        class_queue.charge(task.owner, ms);
        if more {
            class_queue.push(id, task);
            self.queued.insert(
                id,
                QueuedTask {
                    task,
                    queued_at: now,
                },
            );
        }
    }

    /// When to call `next` again if nothing is submitted before: the start of the next period if
    /// tasks are queued.
    pub fn wake_at(&self) -> Option<f64> {
        (!self.queued.is_empty()).then_some(self.period_end)
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The number of queued tasks of a class, and the time since when the oldest has waited.
    pub fn waiting(&self, class: Class) -> (usize, Option<f64>) {
        let count = self.classes.get(class).map_or(0, |c| c.count);
        let queued = self.queued.values().filter(|q| q.task.class == class);
        (count, queued.map(|q| q.queued_at).reduce(f64::min))
    }
}
