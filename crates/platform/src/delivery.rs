//! What is sent to the relay, what is sent again, and when a call is given up.
//!
//! One call is under way at a time, in the order decided; one decision's orders are one call, split
//! only above the size that a call may have. Orders set and do not add, so the end is the same whatever
//! is sent twice; but what is sent costs lines and messages. The rules, in their order:
//!
//! 1. **Overtaken**: an order that a later one sets again is not sent with its old value; a binding of
//!    a proxy that has left or joined anew since is not sent at all.
//! 2. **Taken**: `OK n` for all of it ends the call.
//! 3. **Halted**: `OK n` short of all: the order that halted it is left out, the rest goes at once.
//! 4. **Turned away** (`too_many_calls`): asked again after a wait, nothing is lost.
//! 5. **Not sent**: the call never left us whole: sent again, after waits that grow to a bound.
//! 6. **Unknown** (silence, a break after the last byte, an answer that cannot be read): what costs few
//!    lines goes again at once as it was, while all that went so lately stays a small share of what may
//!    wait in the channel. Guards against tables that stay behind their decision; may harm where the
//!    relay breaks every call, which the share bounds.
//! 7. Of a dearer one, what shuts servers out or lets them back goes again at once, ahead of all else:
//!    it is short, and the rules on drains wait for nobody. The rest waits aside for an answer to its
//!    mark, which shows that it was carried out; later calls go on meanwhile. Without one in time it was
//!    not carried out, and nothing of it waits in the channel: lines and levels go again, bindings are
//!    given back to the planner, which paces them.
//!    Either goes at once the first time, and after waits that grow from then on.
//! 8. **Refused** (`bad_request`): once sent again, then dropped and told.
//! 9. **Long out of reach**: what waits is cut down to what no later order sets again.
//! 10. **Acknowledged**: an answer to a mark that has left shows that its call was carried out, whenever
//!     it comes: before the call's end is known, while it waits to go again, or in doubt. It does not go
//!     again. Only the call that held the mark is shown: a part before it stays in doubt.

use crate::relay::{Command, MAX_CALL_BYTES, NameLookup, Reply};
use std::collections::{BTreeSet, VecDeque};

/// Waits before a call that did not leave, or was turned away, is sent again (ms).
const FIRST_WAIT_MS: f64 = 20.0;
const LONGEST_WAIT_MS: f64 = 320.0;
/// A mark's answer is on its way for a message's mean way and the time its lines wait before it; past
/// so many ways, and this much beside (ms), none will come.
const WAYS: f64 = 3.0;
const BESIDE_MS: f64 = 300.0;
/// Of the lines that may wait, the share that may go again unasked in the time that a full channel
/// takes. The planner leaves more than this free whatever it orders.
const AGAIN: f64 = 0.2;
/// Decisions that wait before they are cut down to what still counts.
const MANY: usize = 64;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    Replied(Reply),
    /// It did not leave us whole.
    NotSent,
    /// It left, and nothing that can be relied on came back.
    Unknown,
}

/// What a binding is to: a proxy, at one of its joinings.
pub type ProxyEpoch = (usize, u64);

#[derive(Clone, Debug)]
struct Batch {
    orders: Vec<Command>,
    /// The joining that each binding was for, in the order of the bindings.
    turns: Vec<ProxyEpoch>,
    mark: Option<u32>,
    /// Its mark has left with all that remains of it: an answer to it is an answer to this.
    marked: bool,
    /// That answer has come.
    acknowledged: bool,
    /// Lines that it costs in the channel.
    lines: f64,
    tries: u32,
    refused: bool,
}

struct Doubt {
    batch: Batch,
    until: f64,
}

/// A call to be made now.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub number: u64,
    pub text: String,
}

/// What the planner has to hear of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Feedback {
    /// Bindings that were not carried out.
    pub lost_bindings: Vec<ProxyEpoch>,
    pub notes: Vec<String>,
}

pub struct Delivery {
    queue: VecDeque<Batch>,
    doubts: Vec<Doubt>,
    /// The number of the call under way, how many orders of the first batch it holds, and whether its
    /// mark is among them.
    under_way: Option<(u64, usize, bool)>,
    next: u64,
    not_before: f64,
    patience_ms: f64,
    /// Lines that went again lately, when that was reckoned, and the pace at which they are forgotten.
    again: f64,
    again_at: f64,
    most_waiting: f64,
    lines_per_ms: f64,
}

impl Delivery {
    /// By the mean way of a message (ms), the lines that may wait and those sent by millisecond.
    pub fn new(way_ms: f64, most_waiting: f64, lines_per_ms: f64) -> Delivery {
        let backlog_ms = most_waiting / lines_per_ms.max(f64::MIN_POSITIVE);
        Delivery {
            queue: VecDeque::new(),
            doubts: Vec::new(),
            under_way: None,
            next: 0,
            not_before: f64::NEG_INFINITY,
            patience_ms: way_ms * WAYS + backlog_ms / 2.0 + BESIDE_MS,
            again: 0.0,
            again_at: f64::NEG_INFINITY,
            most_waiting,
            lines_per_ms,
        }
    }

    /// A decision's orders, in their order, the joinings that its bindings are for, and the lines that
    /// it costs.
    pub fn enqueue(
        &mut self,
        orders: Vec<Command>,
        turns: Vec<ProxyEpoch>,
        mark: Option<u32>,
        lines: f64,
    ) {
        if orders.is_empty() {
            return;
        }
        self.queue.push_back(Batch {
            orders,
            turns,
            mark,
            marked: false,
            acknowledged: false,
            lines,
            tries: 0,
            refused: false,
        });
        self.overtake_doubts();
        if self.queue.len() > MANY {
            self.cut_down();
        }
    }

    /// Rule 9: at most one order for each thing that orders set; a call under way is left as it is.
    fn cut_down(&mut self) {
        let fixed = usize::from(self.under_way.is_some());
        let mut later = BTreeSet::new();
        for batch in self.queue.iter_mut().skip(fixed).rev() {
            batch.keep(|key, _| !later.contains(&key));
            later.extend(batch.keys());
        }
        let mut place = 0;
        self.queue.retain(|batch| {
            place += 1;
            place <= fixed || !batch.orders.is_empty()
        });
    }

    /// Servers that an order names which may still be sent.
    pub fn referenced_servers(&self) -> BTreeSet<usize> {
        let doubted = self.doubts.iter().map(|d| &d.batch);
        let orders = self.queue.iter().chain(doubted).flat_map(|b| &b.orders);
        let named = orders.filter_map(|order| match order {
            Command::Share { server, .. } | Command::Withdraw { server, .. } => Some(*server),
            Command::Admit { .. } | Command::Bind { .. } | Command::Mark(_) => None,
        });
        named.collect()
    }

    /// Rule 1 for what is in doubt: it may go again after what has been decided since.
    fn overtake_doubts(&mut self) {
        if self.doubts.is_empty() {
            return;
        }
        let later: BTreeSet<Key> = self.queue.iter().flat_map(Batch::keys).collect();
        for doubt in &mut self.doubts {
            doubt.batch.keep(|key, _| !later.contains(&key));
        }
        self.doubts.retain(|d| !d.batch.orders.is_empty());
    }

    /// How many decisions wait to be sent, and how many are in doubt.
    pub fn pending_counts(&self) -> (usize, usize) {
        (self.queue.len(), self.doubts.len())
    }

    /// Rule 10: a proxy has answered for a mark.
    pub fn mark_acknowledged(&mut self, mark: u32) {
        self.doubts.retain(|d| !d.batch.is_shown_by(mark));
        let under_way = self.under_way.is_some();
        let mut place = 0;
        self.queue.retain_mut(|batch| {
            let shown = batch.is_shown_by(mark);
            batch.acknowledged |= shown;
            place += 1;
            // The call under way is still to end.
            !shown || under_way && place == 1
        });
    }

    /// When `next` has something to do without anything else coming.
    pub fn wake_at(&self) -> Option<f64> {
        let idle = self.under_way.is_none() && !self.queue.is_empty();
        let send = idle.then_some(self.not_before);
        let doubts = self.doubts.iter().map(|d| d.until);
        doubts.chain(send).min_by(f64::total_cmp)
    }

    /// The call to make now, if there is one and none is under way. `stands` tells whether a proxy is
    /// still at that joining.
    pub fn next_call(
        &mut self,
        now: f64,
        names: &dyn NameLookup,
        stands: &dyn Fn(ProxyEpoch) -> bool,
        returned: &mut Feedback,
    ) -> Option<Call> {
        self.settle_doubts(now, returned);
        if self.under_way.is_some() || now < self.not_before {
            return None;
        }
        loop {
            self.drop_overtaken(stands);
            let first = self.queue.front()?;
            if first.orders.is_empty() {
                self.queue.pop_front();
                continue;
            }
            break;
        }
        let first = self.queue.front()?;
        let (mut text, mut count) = (String::from("txn "), 0);
        for order in &first.orders {
            let before = text.len();
            if count > 0 {
                text.push(';');
            }
            order.write(names, &mut text);
            // A little is kept for the mark.
            if text.len() > MAX_CALL_BYTES - 32 && count > 0 {
                text.truncate(before);
                break;
            }
            count += 1;
        }
        let mark = first.mark.filter(|_| count == first.orders.len());
        if let Some(mark) = mark {
            text.push(';');
            Command::Mark(mark).write(names, &mut text);
        }
        text.push_str("\r\n");
        self.next += 1;
        self.under_way = Some((self.next, count, mark.is_some()));
        if let Some(first) = self.queue.front_mut() {
            first.marked |= mark.is_some();
        }
        Some(Call {
            number: self.next,
            text,
        })
    }

    /// Rule 1.
    fn drop_overtaken(&mut self, stands: &dyn Fn(ProxyEpoch) -> bool) {
        let Some(mut first) = self.queue.pop_front() else {
            return;
        };
        let later: BTreeSet<Key> = self.queue.iter().flat_map(Batch::keys).collect();
        first.keep(|key, turn| !later.contains(&key) && turn.is_none_or(stands));
        self.queue.push_front(first);
    }

    /// Rule 6, its end.
    fn settle_doubts(&mut self, now: f64, returned: &mut Feedback) {
        let over = |d: &Doubt| d.until <= now;
        if !self.doubts.iter().any(over) {
            return;
        }
        let (ended, kept): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.doubts).into_iter().partition(over);
        self.doubts = kept;
        for doubt in ended.into_iter().rev() {
            let mut batch = doubt.batch;
            returned.lost_bindings.append(&mut batch.turns);
            batch.orders.retain(|o| !matches!(o, Command::Bind { .. }));
            returned.notes.push(format!(
                "a call of unknown outcome was not carried out: {} orders go again",
                batch.orders.len()
            ));
            // Ahead of what was decided later, which overtakes it.
            let at = usize::from(self.under_way.is_some());
            self.queue.insert(at.min(self.queue.len()), batch);
        }
    }

    /// How the call under way ended.
    pub fn call_ended(
        &mut self,
        now: f64,
        number: u64,
        outcome: CallOutcome,
        returned: &mut Feedback,
    ) {
        let Some((under_way, count, marked)) = self.under_way else {
            return;
        };
        if under_way != number {
            return;
        }
        self.under_way = None;
        let gone = (now - self.again_at) * self.lines_per_ms * AGAIN;
        (self.again, self.again_at) = ((self.again - gone).max(0.0), now);
        let room = self.most_waiting * AGAIN - self.again;
        let Some(first) = self.queue.front_mut() else {
            return;
        };
        let sent = count + usize::from(marked);
        let outcome = match outcome {
            CallOutcome::Replied(Reply::Accepted(n)) if n <= sent => outcome,
            _ if first.acknowledged => CallOutcome::Replied(Reply::Accepted(sent)),
            _ => outcome,
        };
        let small = first.lines <= room;
        let wait = |tries: u32| (FIRST_WAIT_MS * f64::from(1 << tries.min(8))).min(LONGEST_WAIT_MS);
        let again = |tries: u32| match tries {
            0 => now,
            n => now + wait(n - 1),
        };
        match outcome {
            CallOutcome::Replied(Reply::Accepted(n)) if n == sent => {
                first.cut(count);
                first.tries = 0;
                if first.orders.is_empty() {
                    self.queue.pop_front();
                }
            }
            CallOutcome::Replied(Reply::Accepted(n)) if n < sent => {
                let halted = first.orders.get(n).cloned();
                returned.notes.push(format!(
                    "the relay halted at order {n} of {sent}: {halted:?}"
                ));
                // At its mark: all that it was for has been taken.
                first.cut((n + 1).min(count));
                if first.orders.is_empty() {
                    self.queue.pop_front();
                }
            }
            CallOutcome::Replied(Reply::TooManyCalls) => {
                self.not_before = now + wait(first.tries);
                first.tries += 1;
            }
            CallOutcome::NotSent => {
                self.not_before = now + wait(first.tries);
                first.tries += 1;
            }
            CallOutcome::Replied(Reply::BadRequest) if !first.refused => {
                first.refused = true;
                self.not_before = now + FIRST_WAIT_MS;
            }
            CallOutcome::Replied(Reply::BadRequest) => {
                returned.notes.push(format!(
                    "the relay refused a call of {sent} orders twice: dropped"
                ));
                self.queue.pop_front();
            }
            CallOutcome::Replied(_) | CallOutcome::Unknown if small => {
                self.again += first.lines;
                self.not_before = again(first.tries);
                first.tries += 1;
            }
            CallOutcome::Replied(_) | CallOutcome::Unknown => {
                let Some(mut batch) = self.queue.pop_front() else {
                    return;
                };
                // What the call did not hold yet follows as it would have.
                let rest = batch.split(count);
                if !rest.orders.is_empty() {
                    // The mark goes with them, and shows nothing of what is in doubt here.
                    batch.mark = None;
                    self.queue.push_front(rest);
                }
                let shuts = batch.take_shuts();
                if !shuts.is_empty() {
                    self.not_before = again(batch.tries);
                    self.queue.push_front(Batch {
                        orders: shuts,
                        turns: Vec::new(),
                        mark: None,
                        marked: false,
                        acknowledged: false,
                        lines: batch.lines,
                        tries: batch.tries + 1,
                        refused: false,
                    });
                }
                let until = now + self.patience_ms;
                if !batch.orders.is_empty() {
                    self.doubts.push(Doubt { batch, until });
                    self.overtake_doubts();
                }
            }
        }
    }
}

/// What an order sets: a later one of the same key overtakes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Share(usize, usize),
    Admit(usize, usize),
    Shut(usize),
    Bind(usize),
    Mark,
}

fn key(order: &Command) -> Key {
    match order {
        Command::Share { table, server, .. } => Key::Share(*table, *server),
        Command::Admit { table, class, .. } => Key::Admit(*table, *class),
        Command::Withdraw { server, .. } => Key::Shut(*server),
        Command::Bind { proxy, .. } => Key::Bind(*proxy),
        Command::Mark(_) => Key::Mark,
    }
}

impl Batch {
    fn is_shown_by(&self, mark: u32) -> bool {
        self.marked && self.mark == Some(mark)
    }

    fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.orders.iter().map(key)
    }

    /// Keeps the orders that pass, and the turns of the bindings that do.
    fn keep(&mut self, pass: impl Fn(Key, Option<ProxyEpoch>) -> bool) {
        let mut turns = std::mem::take(&mut self.turns).into_iter();
        let kept = &mut self.turns;
        self.orders.retain(|order| {
            let turn = match order {
                Command::Bind { .. } => turns.next(),
                _ => None,
            };
            let keeps = pass(key(order), turn);
            kept.extend(turn.filter(|_| keeps));
            keeps
        });
    }

    /// Drops the first so many orders.
    fn cut(&mut self, count: usize) {
        let rest = self.split(count);
        *self = rest;
    }

    /// Takes what lies behind the first so many orders away; the mark goes with the end.
    fn split(&mut self, count: usize) -> Batch {
        let orders = self.orders.split_off(count.min(self.orders.len()));
        let bound = |o: &&Command| matches!(o, Command::Bind { .. });
        let turns = self
            .turns
            .split_off(self.orders.iter().filter(bound).count());
        Batch {
            mark: if orders.is_empty() { None } else { self.mark },
            marked: self.marked && !orders.is_empty(),
            acknowledged: false,
            lines: self.lines,
            orders,
            turns,
            tries: 0,
            refused: false,
        }
    }

    fn take_shuts(&mut self) -> Vec<Command> {
        let (shuts, rest) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|o| matches!(o, Command::Withdraw { .. }));
        self.orders = rest;
        shuts
    }
}
