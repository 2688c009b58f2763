//! The limits of the channel to the proxies: lines that may be queued, and messages to one proxy.
//!
//! All that is written to proxies is counted in one place, [`Channel`](crate::state::Channel): each decision
//! as one message to every proxy concerned, and orders that are sent again as another one.

use super::{MESSAGE_SHARE, Planner, QUEUE_SHARE, URGENT_QUEUE_SHARE};
use crate::Orders;
use crate::state::Server;

/// Share of the channel's queue that withdrawals may fill.
pub(super) const WITHDRAWAL_QUEUE_SHARE: f64 = 1.0;
/// Share of a proxy's message limit that withdrawals may use.
pub(super) const WITHDRAWAL_MESSAGE_SHARE: f64 = 1.0;

impl Planner {
    /// Whether orders that may have been carried out already may be sent once more now: both copies count.
    /// Withdrawals by themselves may use the whole channel, like those of a decision.
    pub fn may_resend(&mut self, now: f64, orders: &Orders) -> bool {
        let (queue_share, message_share) = if orders.are_withdrawals_only() {
            (WITHDRAWAL_QUEUE_SHARE, WITHDRAWAL_MESSAGE_SHARE)
        } else {
            (QUEUE_SHARE, MESSAGE_SHARE)
        };
        self.begin_resent_message(now, orders);
        let most_messages = self.channel.most_messages_of_concerned(now, &self.proxies);
        self.fits_queue(queue_share, 0.0) && self.may_send(message_share, most_messages)
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

    /// Most messages that any proxy of a server's part was sent recently.
    pub(super) fn messages_of_part(&self, s: &Server) -> f64 {
        s.part
            .map_or(0.0, |part| self.channel.max_messages(Some(part)))
    }

    /// Whether a proxy that was sent this many messages recently may be sent another one, within a share
    /// of its limit. For a part, the proxy with the most messages counts; other parts don't wait for it.
    pub(super) fn may_send(&self, share: f64, recent_messages: f64) -> bool {
        recent_messages < (self.settings.max_messages - 1.0) * share
    }
}
