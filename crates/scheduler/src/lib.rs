//! Which background work comes next: by priority, within budgets of CPU time a period, with deadlines,
//! fair between owners, and with the lowest put off first when there is too much.
//!
//! How it is called: [`Scheduler::submit`] for each piece of work, [`Scheduler::next`] for the one to do
//! now, [`Scheduler::task_ran`] with the time that it took and whether more of it is left. `next` goes
//! through [`RULES`] from the top; the first that names a piece of work decides. What was put off or
//! given up is told by [`Scheduler::take_events`]. It reads no clock: times are milliseconds that the caller
//! measures, so a scripted clock gives the same order each time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A piece of work whose class has waited for so many periods gets a turn beyond its budget.
const STARVED: f64 = 4.0;
/// A deadline nearer than this share of a period goes before fairness.
const NEAR: f64 = 1.0;
/// An owner that comes back after a pause does not get the turns that it did not ask for.
const CATCH_UP: f64 = 1.0;

/// A class of work; the lower its number, the sooner it goes.
pub type Class = usize;
pub type OwnerId = u64;
pub type TaskId = u64;

/// What a class may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// CPU time in a period, in milliseconds; infinite: it always goes.
    pub cpu_ms: f64,
    /// Pieces that may wait; one more pushes the last one of the lowest class out.
    pub max_queued: usize,
}

/// A piece of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Task {
    pub class: Class,
    /// Owners of a class share it evenly.
    pub owner: OwnerId,
    /// Not worth doing after this time.
    pub deadline: Option<f64>,
}

/// What became of work that was not done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Its deadline passed while it waited.
    Expired(TaskId),
    /// There was no room: it was the newest of the lowest class.
    Evicted(TaskId),
    /// A class has used its budget and waits for the next period; told once a period.
    Deferred(Class),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    piece: Task,
    since: f64,
}

struct Lane {
    budget: Budget,
    used: f64,
    put_off: bool,
    /// When a piece of this class last had a turn, or began to wait.
    served: f64,
    /// Waiting pieces by owner, oldest first, and owners by the time that they have had.
    by_owner: BTreeMap<OwnerId, VecDeque<TaskId>>,
    had: BTreeMap<OwnerId, f64>,
    turns: BTreeSet<(Bits, OwnerId)>,
    deadlines: BTreeSet<(Bits, TaskId)>,
    count: usize,
}

/// A time that is not negative, ordered as its bits are.
type Bits = u64;

fn bits(time: f64) -> Bits {
    time.max(0.0).to_bits()
}

/// See the crate's head.
pub struct Scheduler {
    period_ms: f64,
    period_ends: f64,
    lanes: Vec<Lane>,
    waiting: BTreeMap<TaskId, Waiting>,
    /// Pieces at work: taken and not yet told of.
    at_work: BTreeMap<TaskId, Task>,
    next_id: TaskId,
    told: Vec<Event>,
}

type Rule = fn(&Scheduler, f64) -> Option<TaskId>;

const RULES: [Rule; 4] = [
    what_has_no_bounds,
    what_starves,
    what_is_within_its_budget,
    what_else_there_is,
];

/// Work without a budget goes at once, the highest class first. Guards decisions and withdrawals against
/// waiting behind anything. May harm when such work itself is too much: nothing else goes then.
fn what_has_no_bounds(s: &Scheduler, now: f64) -> Option<TaskId> {
    let free = |l: &&Lane| l.budget.cpu_ms.is_infinite() && l.count > 0;
    s.lanes
        .iter()
        .find(free)
        .and_then(|l| l.first(now, s.period_ms))
}

/// Guards against a class that never gets a turn since those above it always have work: once it has
/// waited for some periods, one piece of it goes. May harm by one piece's time in that many periods.
fn what_starves(s: &Scheduler, now: f64) -> Option<TaskId> {
    let starved = |l: &&Lane| l.count > 0 && now - l.served >= STARVED * s.period_ms;
    let mut lanes = s.lanes.iter().filter(|l| l.budget.cpu_ms.is_finite());
    lanes.find(starved).and_then(|l| l.first(now, s.period_ms))
}

/// The highest class that has not used its budget of this period.
fn what_is_within_its_budget(s: &Scheduler, now: f64) -> Option<TaskId> {
    let within = |l: &&Lane| l.count > 0 && l.used < l.budget.cpu_ms;
    s.lanes
        .iter()
        .find(within)
        .and_then(|l| l.first(now, s.period_ms))
}

/// Nothing is within its budget: time is left over, and the highest class that waits may have it, as
/// long as the budgets of all together leave room in the period.
fn what_else_there_is(s: &Scheduler, now: f64) -> Option<TaskId> {
    let used: f64 = s.lanes.iter().map(|l| l.used).sum();
    let waits = |l: &&Lane| l.count > 0;
    let free = used < s.period_ms;
    let lane = s.lanes.iter().find(waits).filter(|_| free);
    lane.and_then(|l| l.first(now, s.period_ms))
}

impl Lane {
    /// The piece of this class that goes first: the nearest deadline if it is near, else the oldest of
    /// the owner that has had least.
    fn first(&self, now: f64, period_ms: f64) -> Option<TaskId> {
        let near = bits(now + NEAR * period_ms);
        let urgent = self.deadlines.first().filter(|(at, _)| *at <= near);
        if let Some((_, id)) = urgent {
            return Some(*id);
        }
        let (_, owner) = self.turns.first()?;
        self.by_owner.get(owner)?.front().copied()
    }

    fn put(&mut self, id: TaskId, piece: Task) {
        let queue = self.by_owner.entry(piece.owner).or_default();
        if queue.is_empty() {
            // From now on, not from when it last had something.
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

    /// Books time to an owner.
    fn book(&mut self, owner: OwnerId, ms: f64) {
        let before = self.had.get(&owner).copied().unwrap_or(0.0);
        let after = before + ms.max(0.0);
        self.had.insert(owner, after);
        if self.turns.remove(&(bits(before), owner)) {
            self.turns.insert((bits(after), owner));
        }
        // Owners without work are forgotten once all others have had as much.
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
    /// Budgets by class, the highest first, for each period.
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

    /// Takes a piece of work in. Where its class is full, the newest piece of the lowest class that has
    /// any is pushed out, or this one if none is lower. None for a class that does not exist.
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

    fn newest(&self, class: Class) -> Option<TaskId> {
        let lane = &self.lanes[class];
        lane.by_owner
            .values()
            .filter_map(|q| q.back())
            .max()
            .copied()
    }

    fn take_out(&mut self, id: TaskId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        self.lanes[waiting.piece.class].remove(id, waiting.piece);
        Some(waiting)
    }

    /// Takes work back; also one that is at work, whose rest then does not come again. Tells whether
    /// there was any.
    pub fn cancel(&mut self, id: TaskId) -> bool {
        self.take_out(id).is_some() || self.at_work.remove(&id).is_some()
    }

    /// Takes back all work of an owner.
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

    fn begin_period(&mut self, now: f64) {
        if now < self.period_ends {
            return;
        }
        let gone = ((now - self.period_ends) / self.period_ms).floor() + 1.0;
        self.period_ends += gone * self.period_ms;
        for lane in &mut self.lanes {
            // What went beyond the budget is owed to the periods after.
            lane.used = (lane.used - lane.budget.cpu_ms * gone).max(0.0);
            if lane.budget.cpu_ms.is_infinite() {
                lane.used = 0.0;
            }
            lane.put_off = false;
        }
    }

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

    /// The piece to work on now; none if nothing waits, or if what waits has to wait for its period.
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

    /// A piece was worked on for so long; if more of it is left it waits again, behind its owner's.
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

    /// When `next` is worth calling again, if nothing is submitted before: the next period if work waits.
    pub fn wake_at(&self) -> Option<f64> {
        (!self.waiting.is_empty()).then_some(self.period_ends)
    }

    /// What was put off, pushed out or too late since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.told)
    }

    /// Pieces that wait in a class, and since when the oldest does.
    pub fn waiting(&self, class: Class) -> (usize, Option<f64>) {
        let count = self.lanes.get(class).map_or(0, |l| l.count);
        let of = self.waiting.values().filter(|w| w.piece.class == class);
        (count, of.map(|w| w.since).reduce(f64::min))
    }
}
