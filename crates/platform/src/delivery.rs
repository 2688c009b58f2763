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
//! 6. **Unconfirmed** (no reply, a connection lost after the last byte, an unreadable reply): the call is
//!    sent again at once, one time, if the limits of the channel have room for it. This keeps tables from
//!    lagging behind their decision. If they have none, its withdrawals and restores are sent again by
//!    themselves, ahead of everything else, as long as these fit: drains must not be delayed.
//! 7. What is not sent again at once, and what is unconfirmed a second time, is set aside until a mark of
//!    it is acknowledged, which shows that it was carried out; later calls go on meanwhile. It is sent
//!    again whenever an acknowledgement should have arrived and the limits have room. Without an
//!    acknowledgement in time it was not carried out and nothing of it waits in the channel: bindings are
//!    returned to the planner, which paces them, and the rest is sent again once the limits have room.
//! 8. **Refused** (`bad_request`): sent once more, then dropped and logged.
//! 9. **Relay out of reach for long**: the queue is reduced to commands that no later one overrides.
//! 10. **Acknowledged**: the acknowledgement of a mark that was sent shows that its call was carried
//!     out, whenever it arrives: before the call's outcome is known, while the call waits to be resent,
//!     or while it is set aside. The call is not sent again. Only the call that contained the mark is
//!     confirmed: an earlier part of a split decision stays unconfirmed.
//! 11. **Counted**: a call that is sent again is one more message to each proxy concerned, as is what follows
//!     a command that halted the relay or the size limit of a call. The planner counts it
//!     ([`ChannelBudget`]) and gives it a mark of its own.

mod batch;
mod budget;

use crate::relay::{Command, MAX_CALL_BYTES, NameLookup, Reply};
use batch::{Batch, CommandKey};
pub use budget::ChannelBudget;
use std::collections::{BTreeSet, VecDeque};

/// First delay before a call is sent again; it doubles with each attempt.
const FIRST_RETRY_DELAY_MS: f64 = 20.0;
/// Bound of that delay.
const MAX_RETRY_DELAY_MS: f64 = 320.0;
/// An acknowledgement takes a message's latency and the time its lines wait in the channel. None is
/// expected after this many mean latencies, plus half the time of a full channel and `ACK_MARGIN_MS`.
const ACK_LATENCIES: f64 = 3.0;
/// An unconfirmed call is sent again after this many mean latencies without an acknowledgement.
const RESEND_LATENCIES: f64 = 2.0;
/// Fixed part of the time allowed for an acknowledgement.
const ACK_MARGIN_MS: f64 = 300.0;
/// Number of queued decisions above which superseded commands are removed (rule 9).
const MAX_QUEUED_DECISIONS: usize = 64;

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

/// A proxy and its epoch, as [`crate::membership::Membership::epoch`] returns it.
pub type ProxyEpoch = (usize, u64);

/// An unconfirmed batch that waits for its acknowledgement (rule 7).
struct UnconfirmedBatch {
    batch: Batch,
    /// When it is sent again if its limits allow it (ms).
    resend_at: f64,
    /// When it counts as not carried out (ms).
    expires_at: f64,
}

/// The call under way, made from the first batch of the queue.
#[derive(Clone, Copy)]
struct ActiveCall {
    number: u64,
    /// How many commands of the batch it contains, from the first.
    command_count: usize,
    /// Whether it contains the batch's mark.
    has_mark: bool,
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
    /// Batches set aside by rule 7.
    unconfirmed: Vec<UnconfirmedBatch>,
    active_call: Option<ActiveCall>,
    /// The number of the latest call.
    last_number: u64,
    /// No call is made before this time (ms).
    not_before: f64,
    /// Time allowed for an acknowledgement.
    ack_timeout_ms: f64,
    /// Time after which an unconfirmed call is sent again.
    resend_interval_ms: f64,
}

impl Delivery {
    /// Creates an empty queue from the mean latency of a message, the channel's capacity in lines and
    /// the rate at which it sends them.
    pub fn new(message_latency_ms: f64, max_queued_lines: f64, lines_per_ms: f64) -> Delivery {
        let backlog_ms = max_queued_lines / lines_per_ms.max(f64::MIN_POSITIVE);
        Delivery {
            queue: VecDeque::new(),
            unconfirmed: Vec::new(),
            active_call: None,
            last_number: 0,
            not_before: f64::NEG_INFINITY,
            ack_timeout_ms: message_latency_ms * ACK_LATENCIES + backlog_ms / 2.0 + ACK_MARGIN_MS,
            resend_interval_ms: (message_latency_ms * RESEND_LATENCIES).max(MAX_RETRY_DELAY_MS),
        }
    }

    /// Queues the commands of a decision. `epochs` are the proxies and epochs of its bindings, in their
    /// order.
    pub fn enqueue(&mut self, commands: Vec<Command>, epochs: Vec<ProxyEpoch>, mark: Option<u32>) {
        if commands.is_empty() {
            return;
        }
        self.queue.push_back(Batch {
            commands,
            epochs,
            mark,
            sent_marks: Vec::new(),
            acknowledged: false,
            attempts: 0,
            is_resent: false,
            refused: false,
        });
        self.drop_superseded_unconfirmed();
        if self.queue.len() > MAX_QUEUED_DECISIONS {
            self.drop_all_superseded();
        }
    }

    /// Rule 9: keeps only the last command for each key. A call under way stays as it is.
    fn drop_all_superseded(&mut self) {
        let active = usize::from(self.active_call.is_some());
        let mut later = BTreeSet::new();
        for batch in self.queue.iter_mut().skip(active).rev() {
            batch.retain(|key, _| !later.contains(&key));
            later.extend(batch.keys());
        }
        let mut position = 0;
        self.queue.retain(|batch| {
            position += 1;
            position <= active || !batch.commands.is_empty()
        });
    }

    /// Returns the servers named by commands that may still be sent.
    pub fn referenced_servers(&self) -> BTreeSet<usize> {
        let unconfirmed = self.unconfirmed.iter().map(|pending| &pending.batch);
        let batches = self.queue.iter().chain(unconfirmed);
        let commands = batches.flat_map(|batch| &batch.commands);
        let named = commands.filter_map(|command| match command {
            Command::Share { server, .. } | Command::Withdraw { server, .. } => Some(*server),
            Command::Admit { .. } | Command::Bind { .. } | Command::Mark(_) => None,
        });
        named.collect()
    }

    /// Rule 1 for unconfirmed batches, which may be resent after later decisions.
    fn drop_superseded_unconfirmed(&mut self) {
        if self.unconfirmed.is_empty() {
            return;
        }
        let later: BTreeSet<CommandKey> = self.queue.iter().flat_map(Batch::keys).collect();
        for pending in &mut self.unconfirmed {
            pending.batch.retain(|key, _| !later.contains(&key));
        }
        self.unconfirmed
            .retain(|pending| !pending.batch.commands.is_empty());
    }

    /// Returns the number of queued decisions and of unconfirmed ones.
    pub fn pending_counts(&self) -> (usize, usize) {
        (self.queue.len(), self.unconfirmed.len())
    }

    /// Rule 10: a proxy has acknowledged a mark.
    pub fn mark_acknowledged(&mut self, mark: u32) {
        self.unconfirmed
            .retain(|pending| !pending.batch.is_confirmed_by(mark));
        let has_active_call = self.active_call.is_some();
        let mut position = 0;
        self.queue.retain_mut(|batch| {
            let confirmed = batch.is_confirmed_by(mark);
            batch.acknowledged |= confirmed;
            position += 1;
            // The outcome of the call under way is still to come.
            !confirmed || has_active_call && position == 1
        });
    }

    /// Returns when [`Delivery::next_call`] has something to do without further input (ms).
    pub fn wake_at(&self) -> Option<f64> {
        let idle = self.active_call.is_none() && !self.queue.is_empty();
        let send = idle.then_some(self.not_before);
        let resend = self.unconfirmed.iter().map(|pending| pending.resend_at);
        resend.chain(send).min_by(f64::total_cmp)
    }

    /// Returns the call to make now, if there is one and none is under way. `is_current` tells whether a
    /// proxy is still joined in the given epoch.
    pub fn next_call(
        &mut self,
        now: f64,
        names: &dyn NameLookup,
        is_current: &dyn Fn(ProxyEpoch) -> bool,
        budget: &mut dyn ChannelBudget,
        feedback: &mut Feedback,
    ) -> Option<Call> {
        self.resend_unconfirmed(now, budget, feedback);
        if self.active_call.is_some() || now < self.not_before {
            return None;
        }
        loop {
            self.drop_superseded_in_first(is_current);
            let first = self.queue.front()?;
            if first.commands.is_empty() {
                self.queue.pop_front();
                continue;
            }
            break;
        }
        let first = self.queue.front()?;
        let (mut text, mut count) = (String::from("txn "), 0);
        for command in &first.commands {
            let before = text.len();
            if count > 0 {
                text.push(';');
            }
            command.write(names, &mut text);
            // Leave room for the mark.
            if text.len() > MAX_CALL_BYTES - 32 && count > 0 {
                text.truncate(before);
                break;
            }
            count += 1;
        }
        let mark = first.mark.filter(|_| count == first.commands.len());
        if let Some(mark) = mark {
            text.push(';');
            Command::Mark(mark).write(names, &mut text);
        }
        text.push_str("\r\n");
        self.last_number += 1;
        self.active_call = Some(ActiveCall {
            number: self.last_number,
            command_count: count,
            has_mark: mark.is_some(),
        });
        if let Some(first) = self.queue.front_mut() {
            first.mark_is_sent(mark);
        }
        Some(Call {
            number: self.last_number,
            text,
        })
    }

    /// Applies rule 1 to the first batch.
    fn drop_superseded_in_first(&mut self, is_current: &dyn Fn(ProxyEpoch) -> bool) {
        let Some(mut first) = self.queue.pop_front() else {
            return;
        };
        let later: BTreeSet<CommandKey> = self.queue.iter().flat_map(Batch::keys).collect();
        first.retain(|key, epoch| !later.contains(&key) && epoch.is_none_or(is_current));
        self.queue.push_front(first);
    }

    /// Rule 7: resends what was not acknowledged in time. What counts as not carried out returns its bindings.
    fn resend_unconfirmed(
        &mut self,
        now: f64,
        budget: &mut dyn ChannelBudget,
        feedback: &mut Feedback,
    ) {
        let is_due = |pending: &UnconfirmedBatch| pending.resend_at <= now;
        if !self.unconfirmed.iter().any(is_due) {
            return;
        }
        let (due, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition(is_due);
        self.unconfirmed = kept;
        for mut pending in due.into_iter().rev() {
            if pending.expires_at <= now {
                pending.expires_at = f64::INFINITY;
                pending.batch.is_not_carried_out(budget, feedback);
            }
            if pending.batch.commands.is_empty() {
                continue;
            }
            if pending.batch.try_resend(now, budget) {
                // Ahead of later decisions, which supersede it.
                let at = usize::from(self.active_call.is_some());
                self.queue.insert(at.min(self.queue.len()), pending.batch);
            } else {
                pending.resend_at = (now + MAX_RETRY_DELAY_MS).min(pending.expires_at);
                self.unconfirmed.push(pending);
            }
        }
    }

    /// Records how the call under way ended.
    pub fn call_ended(
        &mut self,
        now: f64,
        number: u64,
        outcome: CallOutcome,
        budget: &mut dyn ChannelBudget,
        feedback: &mut Feedback,
    ) {
        let Some(call) = self.active_call.take_if(|call| call.number == number) else {
            return;
        };
        let Some(mut batch) = self.queue.pop_front() else {
            return;
        };
        let sent = call.command_count + usize::from(call.has_mark);
        let outcome = match outcome {
            CallOutcome::Replied(Reply::Accepted(n)) if n <= sent => outcome,
            _ if batch.acknowledged => CallOutcome::Replied(Reply::Accepted(sent)),
            _ => outcome,
        };
        match outcome {
            CallOutcome::Replied(Reply::Accepted(n)) if n == sent => {
                batch.drop_first(call.command_count);
                batch.attempts = 0;
                self.continue_batch(now, batch, budget);
            }
            CallOutcome::Replied(Reply::Accepted(n)) if n < sent => {
                let halted = batch.commands.get(n).cloned();
                feedback.notes.push(format!(
                    "the relay halted at order {n} of {sent}: {halted:?}"
                ));
                // Halted at the mark, all commands before it were accepted.
                batch.drop_first((n + 1).min(call.command_count));
                self.continue_batch(now, batch, budget);
            }
            CallOutcome::Replied(Reply::TooManyCalls) | CallOutcome::NotSent => {
                self.not_before = now + retry_delay(batch.attempts);
                batch.attempts += 1;
                self.queue.push_front(batch);
            }
            CallOutcome::Replied(Reply::BadRequest) if !batch.refused => {
                batch.refused = true;
                self.not_before = now + FIRST_RETRY_DELAY_MS;
                self.queue.push_front(batch);
            }
            CallOutcome::Replied(Reply::BadRequest) => {
                feedback.notes.push(format!(
                    "the relay refused a call of {sent} orders twice: dropped"
                ));
            }
            CallOutcome::Replied(_) | CallOutcome::Unknown => {
                self.outcome_unknown(now, call, batch, budget);
            }
        }
    }

    /// Queues what is left of a batch after a part of it was carried out, as one more message.
    fn continue_batch(&mut self, now: f64, mut batch: Batch, budget: &mut dyn ChannelBudget) {
        if !batch.commands.is_empty() {
            batch.count_resent(now, budget);
            self.queue.push_front(batch);
        }
    }

    /// Rule 6: the outcome of a call of the batch is unknown.
    fn outcome_unknown(
        &mut self,
        now: f64,
        call: ActiveCall,
        mut batch: Batch,
        budget: &mut dyn ChannelBudget,
    ) {
        let is_first = !std::mem::replace(&mut batch.is_resent, true);
        if is_first && batch.try_resend(now, budget) {
            self.queue_first(now, batch);
            return;
        }
        // Commands that did not fit into this call stay queued.
        let mut rest = batch.split_off(call.command_count);
        if !rest.commands.is_empty() {
            // The mark goes with them and does not confirm the unconfirmed part.
            rest.count_resent(now, budget);
            self.queue.push_front(rest);
        }
        let mut withdrawals = batch.split_withdrawals();
        if is_first && !withdrawals.commands.is_empty() && withdrawals.try_resend(now, budget) {
            self.queue_first(now, withdrawals);
        } else {
            self.set_aside(now, withdrawals);
        }
        self.set_aside(now, batch);
        self.drop_superseded_unconfirmed();
    }

    /// Queues a batch to be sent at once, ahead of all others.
    fn queue_first(&mut self, now: f64, batch: Batch) {
        self.not_before = now;
        self.queue.push_front(batch);
    }

    /// Rule 7: keeps a batch until a mark of it is acknowledged, or it is sent again.
    fn set_aside(&mut self, now: f64, batch: Batch) {
        if batch.commands.is_empty() {
            return;
        }
        self.unconfirmed.push(UnconfirmedBatch {
            batch,
            resend_at: now + self.resend_interval_ms.min(self.ack_timeout_ms),
            expires_at: now + self.ack_timeout_ms,
        });
    }
}

/// Delay after this many failed attempts.
fn retry_delay(attempts: u32) -> f64 {
    (FIRST_RETRY_DELAY_MS * f64::from(1 << attempts.min(8))).min(MAX_RETRY_DELAY_MS)
}
