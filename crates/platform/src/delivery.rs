//! Decides what is sent to the relay, what is sent again, and when a call counts as lost.
//!
//! One call is under way at a time, in the order of the decisions. The commands of one decision are one
//! call, split only above the size limit of a call. Commands set values and do not add to them, so
//! sending one twice has the same result, but everything sent costs lines and messages. The rules, in
//! order:
//!
//! 1. **Superseded**: a command that a later one overrides is not sent with its old value. A binding of
//!    a proxy that has left or rejoined since is not sent at all.
//! 2. **Accepted**: `OK n` for all commands ends the call.
//! 3. **Halted**: `OK n` for fewer: the command that halted the relay is dropped, the rest is sent at
//!    once.
//! 4. **Turned away** (`too_many_calls`): sent again after a delay; nothing is lost.
//! 5. **Not sent**: the call did not leave completely: sent again, with delays that grow to a bound.
//! 6. **Unconfirmed** (no reply, a connection lost after the last byte, an unreadable reply): a call of
//!    few lines is sent again unchanged at once, while all lines resent this way recently stay a small
//!    share of what may wait in the channel. This keeps tables from lagging behind their decision. It
//!    could do harm where the relay breaks every call, so the share bounds it.
//! 7. Of an unconfirmed call of more lines, withdrawals and restores are sent again at once, ahead of
//!    everything else: they are short, and drains must not be delayed. The rest is set aside until its
//!    mark is acknowledged, which shows that it was carried out; later calls go on meanwhile. Without
//!    an acknowledgement in time it was not carried out and nothing of it waits in the channel:
//!    weights and levels are sent again, bindings are returned to the planner, which paces them.
//!    Calls are resent by rules 6 and 7 at once the first time, and after growing delays from then on.
//! 8. **Refused** (`bad_request`): sent once more, then dropped and logged.
//! 9. **Relay out of reach for long**: the queue is reduced to commands that no later one overrides.
//! 10. **Acknowledged**: the acknowledgement of a mark that was sent shows that its call was carried
//!     out, whenever it arrives: before the call's outcome is known, while the call waits to be resent,
//!     or while it is set aside. The call is not sent again. Only the call that contained the mark is
//!     confirmed: an earlier part of a split decision stays unconfirmed.

use crate::relay::{Command, MAX_CALL_BYTES, NameLookup, Reply};
use std::collections::{BTreeSet, VecDeque};

/// First delay before a call is sent again; it doubles with each attempt.
const FIRST_WAIT_MS: f64 = 20.0;
/// Bound of that delay.
const LONGEST_WAIT_MS: f64 = 320.0;
/// An acknowledgement takes a message's latency and the time its lines wait in the channel. None is
/// expected after this many mean latencies, plus half the time of a full channel and `BESIDE_MS`.
const WAYS: f64 = 3.0;
/// Fixed part of the time allowed for an acknowledgement.
const BESIDE_MS: f64 = 300.0;
/// Share of the channel's capacity that may be resent at once (rule 6) within the time that a full
/// channel takes to empty. The planner always leaves more than this free.
const AGAIN: f64 = 0.2;
/// Number of queued decisions above which superseded commands are removed (rule 9).
const MANY: usize = 64;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The relay replied.
    Replied(Reply),
    /// The call did not leave completely.
    NotSent,
    /// The call left, but no usable reply arrived.
    Unknown,
}

/// A proxy and the epoch in which it is bound (see [`Membership::epoch`](crate::membership::Membership::epoch)).
pub type ProxyEpoch = (usize, u64);

/// The commands of one decision that are not yet confirmed.
#[derive(Clone, Debug)]
struct Batch {
    orders: Vec<Command>,
    /// The proxy and epoch of each binding, in the order of the bindings.
    turns: Vec<ProxyEpoch>,
    /// The mark sent after the last command.
    mark: Option<u32>,
    /// Whether the mark was sent with all remaining commands, so that its acknowledgement confirms them.
    marked: bool,
    /// Whether the mark was acknowledged.
    acknowledged: bool,
    /// Lines that the decision costs in the channel.
    lines: f64,
    /// Failed attempts so far.
    tries: u32,
    /// Whether the relay refused it once (rule 8).
    refused: bool,
}

/// An unconfirmed batch that waits for its acknowledgement (rule 7).
struct Doubt {
    batch: Batch,
    /// When it counts as not carried out (ms).
    until: f64,
}

/// A call to make now.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifies the call when its outcome is reported.
    pub number: u64,
    /// The line to send, with its end.
    pub text: String,
}

/// What the delivery reports back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Feedback {
    /// Bindings that were not carried out and must be decided again.
    pub lost_bindings: Vec<ProxyEpoch>,
    /// Lines for the operators' log.
    pub notes: Vec<String>,
}

/// The queue of calls to the relay, with retries and unconfirmed calls.
pub struct Delivery {
    /// Batches in the order of their decisions; a call under way belongs to the first.
    queue: VecDeque<Batch>,
    doubts: Vec<Doubt>,
    /// The call under way: its number, how many commands of the first batch it contains, and whether it
    /// contains the mark.
    under_way: Option<(u64, usize, bool)>,
    /// The number of the latest call.
    next: u64,
    /// No call is made before this time (ms).
    not_before: f64,
    /// Time allowed for an acknowledgement.
    patience_ms: f64,
    /// Lines resent recently by rule 6; they decay with time.
    again: f64,
    /// When that number was last updated (ms).
    again_at: f64,
    /// Capacity of the channel's queue, in lines.
    most_waiting: f64,
    lines_per_ms: f64,
}

impl Delivery {
    /// Creates an empty queue from the mean latency of a message, the channel's capacity in lines and
    /// the rate at which it sends them.
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

    /// Queues the commands of a decision. `turns` are the proxies and epochs of its bindings, in their
    /// order; `lines` is what it costs in the channel.
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

    /// Rule 9: keeps only the last command for each key. A call under way stays as it is.
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

    /// Returns the servers named by commands that may still be sent.
    pub fn referenced_servers(&self) -> BTreeSet<usize> {
        let doubted = self.doubts.iter().map(|d| &d.batch);
        let orders = self.queue.iter().chain(doubted).flat_map(|b| &b.orders);
        let named = orders.filter_map(|order| match order {
            Command::Share { server, .. } | Command::Withdraw { server, .. } => Some(*server),
            Command::Admit { .. } | Command::Bind { .. } | Command::Mark(_) => None,
        });
        named.collect()
    }

    /// Rule 1 for unconfirmed batches, which may be resent after later decisions.
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

    /// Returns the number of queued decisions and of unconfirmed ones.
    pub fn pending_counts(&self) -> (usize, usize) {
        (self.queue.len(), self.doubts.len())
    }

    /// Rule 10: a proxy has acknowledged a mark.
    pub fn mark_acknowledged(&mut self, mark: u32) {
        self.doubts.retain(|d| !d.batch.is_shown_by(mark));
        let under_way = self.under_way.is_some();
        let mut place = 0;
        self.queue.retain_mut(|batch| {
            let shown = batch.is_shown_by(mark);
            batch.acknowledged |= shown;
            place += 1;
            // The outcome of the call under way is still to come.
            !shown || under_way && place == 1
        });
    }

    /// Returns when [`Delivery::next_call`] has something to do without further input (ms).
    pub fn wake_at(&self) -> Option<f64> {
        let idle = self.under_way.is_none() && !self.queue.is_empty();
        let send = idle.then_some(self.not_before);
        let doubts = self.doubts.iter().map(|d| d.until);
        doubts.chain(send).min_by(f64::total_cmp)
    }

    /// Returns the call to make now, if there is one and none is under way. `stands` tells whether a
    /// proxy is still joined in the given epoch.
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
            // Leave room for the mark.
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

    /// Applies rule 1 to the first batch.
    fn drop_overtaken(&mut self, stands: &dyn Fn(ProxyEpoch) -> bool) {
        let Some(mut first) = self.queue.pop_front() else {
            return;
        };
        let later: BTreeSet<Key> = self.queue.iter().flat_map(Batch::keys).collect();
        first.keep(|key, turn| !later.contains(&key) && turn.is_none_or(stands));
        self.queue.push_front(first);
    }

    /// Rule 7: resends what was not acknowledged in time, and returns its bindings.
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
            // Ahead of later decisions, which supersede it.
            let at = usize::from(self.under_way.is_some());
            self.queue.insert(at.min(self.queue.len()), batch);
        }
    }

    /// Records how the call under way ended.
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
                // Halted at the mark, all commands before it were accepted.
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
                // Commands that did not fit into this call stay queued.
                let rest = batch.split(count);
                if !rest.orders.is_empty() {
                    // The mark stays with them and does not confirm the unconfirmed part.
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

/// What a command sets: a later one with the same key supersedes it. Ordered only for use in sets.
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
    /// Whether the acknowledgement of a mark confirms this batch.
    fn is_shown_by(&self, mark: u32) -> bool {
        self.marked && self.mark == Some(mark)
    }

    fn keys(&self) -> impl Iterator<Item = Key> + '_ {
        self.orders.iter().map(key)
    }

    /// Keeps the commands that pass, with the epochs of the bindings among them.
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

    /// Drops the first `count` commands.
    fn cut(&mut self, count: usize) {
        let rest = self.split(count);
        *self = rest;
    }

    /// Splits off the commands after the first `count`. The mark is with the last part.
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

    /// Takes out the withdrawals and restores.
    fn take_shuts(&mut self) -> Vec<Command> {
        let (shuts, rest) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|o| matches!(o, Command::Withdraw { .. }));
        self.orders = rest;
        shuts
    }
}
