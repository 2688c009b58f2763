//! Redelivery of refused messages and eviction of proxies that do not answer, without I/O: an
//! ordered list of rules, each a condition and an effect, applied to each proxy until none fires.
//!
//! [`DeliveryState`] is the delivery state of a joined proxy; [`next_action`] returns the next
//! thing to do about it, if any, and updates that state. All times are multiples of the service's
//! own settings.

use crate::ControllerSettings;

/// A proxy that does not answer is evicted after this many drain grace periods, this many message
/// latencies or the time in which a full channel empties twice, whichever is longest.
const EVICT_GRACE_PERIODS: f64 = 4.0;
const EVICT_LATENCIES: f64 = 30.0;
/// Delay of the first redelivery after a refusal, as a share of the drain grace period. Withdrawals
/// get several attempts within that period; the rest of a table can wait. The delay doubles with
/// each refusal, at most `MAX_DOUBLINGS` times.
const WITHDRAW_RETRY_GRACE_SHARE: f64 = 0.1;
const TABLE_RETRY_GRACE_SHARE: f64 = 1.0;
/// Withdrawals never wait longer than this share of the grace period: a proxy that accepts messages
/// again, after however many refusals, learns of a drain in time.
const WITHDRAW_RETRY_MAX_GRACE_SHARE: f64 = 0.25;
const MAX_DOUBLINGS: u32 = 5;
/// Tables are sent again only while less than this share of the lines that may wait are waiting:
/// the planner's own messages go first.
const RESEND_MAX_QUEUE_SHARE: f64 = 0.5;

/// The timeouts and the limit that the rules use.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryLimits {
    answer_timeout_ms: f64,
    withdraw_retry_ms: f64,
    withdraw_retry_max_ms: f64,
    table_retry_ms: f64,
    resend_max_queue_lines: f64,
}

impl DeliveryLimits {
    /// The limits for a service.
    pub fn new(settings: &ControllerSettings) -> DeliveryLimits {
        let latencies_ms = settings.message_latency_ms * EVICT_LATENCIES;
        // A full channel empties in half of this time; a proxy whose messages are last in it must
        // not count as silent.
        let drain_twice_ms = 2.0 * 1000.0 * settings.max_queued_lines / settings.lines_per_s;
        DeliveryLimits {
            answer_timeout_ms: (settings.drain_grace_ms * EVICT_GRACE_PERIODS)
                .max(latencies_ms)
                .max(drain_twice_ms),
            withdraw_retry_ms: settings.drain_grace_ms * WITHDRAW_RETRY_GRACE_SHARE,
            withdraw_retry_max_ms: settings.drain_grace_ms * WITHDRAW_RETRY_MAX_GRACE_SHARE,
            table_retry_ms: settings.drain_grace_ms * TABLE_RETRY_GRACE_SHARE,
            resend_max_queue_lines: settings.max_queued_lines * RESEND_MAX_QUEUE_SHARE,
        }
    }
}

/// The delivery state of a joined proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DeliveryState {
    /// Since when an answer is due.
    pub unacknowledged_since: Option<f64>,
    /// Consecutive refusals.
    pub refusals: u32,
    /// Time of the last refusal.
    pub refused_at: f64,
    /// A refused message held withdrawals that have not been sent again.
    pub owed_withdrawals: bool,
    /// The proxy holds an older table than the one it was sent.
    pub owed_table: bool,
}

impl DeliveryState {
    /// Records a refusal; `withdrawals`: a refused message held withdrawals.
    pub fn refused(&mut self, now: f64, withdrawals: bool) {
        self.refusals += 1;
        self.refused_at = now;
        self.owed_withdrawals |= withdrawals;
        self.owed_table = true;
    }

    /// Records that a message was applied; `whole`: it held a whole table, so that none is owed any
    /// more.
    pub fn applied(&mut self, whole: bool) {
        self.refusals = 0;
        if whole {
            self.owed_table = false;
        }
    }

    fn retry_at(&self, first_delay_ms: f64, max_delay_ms: f64) -> f64 {
        let factor = f64::from(1_u32 << (self.refusals.max(1) - 1).min(MAX_DOUBLINGS));
        self.refused_at + (first_delay_ms * factor).min(max_delay_ms)
    }

    fn withdraw_retry_at(&self, limits: &DeliveryLimits) -> f64 {
        self.retry_at(limits.withdraw_retry_ms, limits.withdraw_retry_max_ms)
    }

    fn table_retry_at(&self, limits: &DeliveryLimits) -> f64 {
        self.retry_at(limits.table_retry_ms, f64::INFINITY)
    }

    /// The next time at which a rule can fire if nothing else happens.
    pub fn next_deadline(&self, limits: &DeliveryLimits) -> Option<f64> {
        let evict = self
            .unacknowledged_since
            .map(|at| at + limits.answer_timeout_ms);
        let withdrawals = self
            .owed_withdrawals
            .then(|| self.withdraw_retry_at(limits));
        let table = self.owed_table.then(|| self.table_retry_at(limits));
        let owed = [withdrawals, table].into_iter().flatten();
        owed.chain(evict).reduce(f64::min)
    }
}

/// An action on a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Close its stream.
    Evict,
    /// Send all withdrawals again.
    ResendWithdrawals,
    /// Send the whole table again.
    ResendTable,
}

/// Takes the state, the time, the lines that wait in the channel, and the limits.
type Rule = fn(&mut DeliveryState, f64, f64, &DeliveryLimits) -> Option<Action>;

const RULES: [Rule; 3] = [evict_unresponsive, resend_withdrawals, resend_table];

/// The next action on a proxy, if any; `queued_lines` is the number of lines that wait in the
/// channel.
pub fn next_action(
    state: &mut DeliveryState,
    now: f64,
    queued_lines: f64,
    limits: &DeliveryLimits,
) -> Option<Action> {
    RULES
        .iter()
        .find_map(|rule| rule(state, now, queued_lines, limits))
}

/// Guards against a proxy that keeps its stream open but answers nothing: stopped, stuck, or behind
/// a link that drops packets. Closing its stream makes it reconnect and receive everything again,
/// and unacknowledged messages do not pile up here. Also catches proxies that lose answers. May
/// harm on a channel so slow that good answers take longer, so the timeout covers emptying a full
/// channel twice.
fn evict_unresponsive(
    state: &mut DeliveryState,
    now: f64,
    _: f64,
    limits: &DeliveryLimits,
) -> Option<Action> {
    let evict = state
        .unacknowledged_since
        .is_some_and(|at| now - at >= limits.answer_timeout_ms);
    evict.then(|| {
        state.unacknowledged_since = None;
        Action::Evict
    })
}

/// Guards against a drain that is lost because something else in the same message was refused: the
/// withdrawals are sent again on their own, at once the first time, then with growing delays, even
/// while the channel is full. The delays are bounded: without the bound, a proxy that had refused
/// for seconds learned of a drain too late. Costs little: a proxy that refuses everything gets one
/// small message per delay.
fn resend_withdrawals(
    state: &mut DeliveryState,
    now: f64,
    _: f64,
    limits: &DeliveryLimits,
) -> Option<Action> {
    let due =
        state.owed_withdrawals && (state.refusals <= 1 || now >= state.withdraw_retry_at(limits));
    due.then(|| {
        state.owed_withdrawals = false;
        Action::ResendWithdrawals
    })
}

/// Guards against a proxy that keeps an old table forever after one refusal: the whole table is
/// sent again, after a delay that doubles, while the channel has room.
fn resend_table(
    state: &mut DeliveryState,
    now: f64,
    queued_lines: f64,
    limits: &DeliveryLimits,
) -> Option<Action> {
    let due = state.owed_table
        && now >= state.table_retry_at(limits)
        && queued_lines < limits.resend_max_queue_lines;
    due.then(|| {
        state.owed_table = false;
        Action::ResendTable
    })
}

#[cfg(test)]
mod tests;
