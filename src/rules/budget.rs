//! The limits of the channel to the proxies: lines that may be queued, and messages to one proxy.
//!
//! All that is written to proxies is counted in one place, [`Channel`](crate::state::Channel): each decision
//! as one message to every proxy concerned, and orders that are sent again as another one.

use super::{MESSAGE_SHARE, Planner, QUEUE_SHARE, URGENT_QUEUE_SHARE};
use crate::message_pacing::{MessageLimit, MessageUsage};
use crate::state::{Proxy, Server};
use crate::{Orders, PlannerSettings};

/// Share of the channel's queue that withdrawals may fill.
pub(super) const WITHDRAWAL_QUEUE_SHARE: f64 = 1.0;
/// Withdrawals that are gathered wait for at most this share of the drain grace: a message takes time, too.
const GATHERING_GRACE_SHARE: f64 = 0.75;

impl Planner {
    /// Whether orders that may have been carried out already may be sent once more now: both copies count.
    /// Withdrawals by themselves may use the whole channel, like those of a decision.
    pub fn may_resend(&mut self, now: f64, orders: &Orders) -> bool {
        self.now = now;
        self.begin_resent_message(now, orders);
        let mut concerned = self.channel.concerned(&self.proxies);
        if orders.are_withdrawals_only() {
            return self.fits_queue(WITHDRAWAL_QUEUE_SHARE, 0.0)
                && concerned.all(|p| self.next_withdrawal_to(p) <= now);
        }
        let limit = self.channel.message_limit;
        self.fits_queue(QUEUE_SHARE, 0.0)
            && concerned.all(|p| self.may_send(MESSAGE_SHARE, p.message_usage(now, limit)))
    }

    /// Counts orders that are sent once more, as a message of their own to every proxy concerned. Returns
    /// its mark; none if they concern no proxy.
    pub fn orders_resent(&mut self, now: f64, orders: &Orders) -> Option<u32> {
        self.begin_resent_message(now, orders);
        self.channel.finish_message(now, &mut self.proxies)
    }

    /// The message with this mark was not carried out, so that none of its lines is queued. It still counts as
    /// a message, since that is only known from the absence of acknowledgements.
    pub fn message_lost(&mut self, mark: u32) {
        for proxy in self.proxies.values_mut() {
            proxy.forget_message(mark);
        }
    }

    /// Begins a message that consists of orders of earlier decisions.
    fn begin_resent_message(&mut self, now: f64, orders: &Orders) {
        self.channel.begin_message(now, &mut self.proxies);
        let lines = orders.lines.iter().map(|(part, _, _)| *part);
        let levels = orders.levels.iter().map(|(part, _, _, _)| *part);
        for part in lines.chain(levels) {
            self.channel.add(Some(part), 1.0, 0.0);
        }
        for (server, _) in &orders.withdrawals {
            let part = self.servers[*server].part;
            let unbound_lines = self.unbound_withdrawal_lines();
            self.channel.add(part, 1.0, unbound_lines);
        }
        for (proxy, part) in &orders.bindings {
            let lines = self.binding_lines(*part);
            if let Some(proxy) = self.proxies.get_mut(proxy) {
                proxy.binding_lines = lines;
                self.channel.add(None, 0.0, lines);
            }
        }
    }

    /// Number of lines that a binding to a part sends: weights, withdrawals and levels, and the fixed cost.
    pub(super) fn binding_lines(&self, part: usize) -> f64 {
        let servers = self.servers.iter().filter(|s| s.part == Some(part));
        let lines = servers.filter(|s| s.published_weight > 0.0 || s.may_be_withdrawn());
        (lines.count() + self.ordered_levels.len()) as f64 + self.settings.message_overhead_lines
    }

    /// Lines that a withdrawal costs the proxies that are not bound yet, on average: each holds a few servers
    /// of its own, perhaps this one.
    pub(super) fn unbound_withdrawal_lines(&self) -> f64 {
        let unbound = self.proxies.values().filter(|p| p.part.is_none());
        let unbound = unbound.count() as f64;
        let held_share = self.settings.initial_servers / self.servers.len() as f64;
        let message_lines = 1.0 + self.settings.message_overhead_lines;
        unbound * held_share.min(1.0) * message_lines
    }

    /// Whether more lines fit into a share of the channel's queue. All lines that no proxy has
    /// acknowledged may still be queued, except those that can be in flight. Ordinary lines leave room
    /// for urgent ones, even in case nothing is in flight.
    pub(super) fn fits_queue(&self, share: f64, more: f64) -> bool {
        let unacknowledged = self.channel.queued_lines;
        let lines = unacknowledged + self.channel.added_lines + more;
        let queued = lines - self.settings.max_in_flight_lines.min(unacknowledged);
        queued.max(lines * share / share.max(URGENT_QUEUE_SHARE))
            <= self.settings.max_queued_lines * share
    }

    /// The most that any proxy of a server's part was sent recently.
    pub(super) fn messages_of_part(&self, s: &Server) -> MessageUsage {
        s.part.map_or(MessageUsage::default(), |part| {
            self.channel.message_usage(Some(part))
        })
    }

    /// Whether a proxy with this usage may be sent another message, within a share of its limit that leaves
    /// enough for withdrawals. For a part, the proxy with the most messages counts; other parts don't wait
    /// for it.
    pub(super) fn may_send(&self, share: f64, usage: MessageUsage) -> bool {
        self.may_move(share, usage)
            && usage.interval_after_next_ms <= self.settings.max_withdrawal_interval_ms
    }

    /// The same for a message that moves a proxy to another part. It need not leave any for withdrawals: the
    /// proxy's servers are leaving or overloaded.
    pub(super) fn may_move(&self, share: f64, usage: MessageUsage) -> bool {
        usage.messages < self.channel.message_limit.messages * share
    }

    /// When a withdrawal of a server may be sent: at once while it is in a message that is written anyway,
    /// or while each proxy that may hold the server has much of its limit left.
    pub(super) fn next_withdrawal_of(&self, server: &Server) -> f64 {
        let has_message = |part: usize| self.channel.parts[part].added_lines > 0.0;
        if server.part.is_some_and(has_message) {
            return self.now;
        }
        let holds = |p: &&Proxy| p.part.is_none() || p.part == server.part;
        let holders = self.proxies.values().filter(holds);
        let times = holders.map(|p| self.next_withdrawal_to(p));
        times.fold(f64::NEG_INFINITY, f64::max)
    }

    /// When a withdrawal may be sent to a proxy: at once while others could follow soon enough, and else at
    /// even intervals, so that the limit on messages is never used up.
    fn next_withdrawal_to(&self, proxy: &Proxy) -> f64 {
        let limit = self.channel.message_limit;
        let usage = proxy.message_usage(self.now, limit);
        if usage.interval_after_next_ms <= self.settings.max_withdrawal_interval_ms {
            return self.now;
        }
        let sent = proxy.recent_message_times(self.now, limit);
        let last = sent.last().copied().unwrap_or(f64::NEG_INFINITY);
        last + limit.sustained_interval_ms(&sent, last)
    }
}

/// The limit on messages to one proxy: one less than allowed, since the relay counts a message a little later
/// than the planner does.
pub(super) fn message_limit(settings: &PlannerSettings) -> MessageLimit {
    let messages = if settings.max_messages > 0.0 {
        (settings.max_messages - 1.0).max(1.0)
    } else {
        f64::INFINITY
    };
    MessageLimit {
        messages,
        window_ms: settings.message_window_ms,
    }
}

/// The interval at which it must always be possible to send withdrawals: a share of the drain grace, or the
/// shortest that the limit allows for ever. Without a known grace, twice that.
pub(super) fn max_withdrawal_interval_ms(drain_grace_ms: f64, limit: MessageLimit) -> f64 {
    let shortest_ms = limit.sustained_interval_ms(&[], 0.0);
    if drain_grace_ms > 0.0 {
        (drain_grace_ms * GATHERING_GRACE_SHARE).max(shortest_ms)
    } else {
        2.0 * shortest_ms
    }
}
