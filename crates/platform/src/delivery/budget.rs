//! What delivery asks of whoever counts the messages to the proxies.

use crate::commands::to_orders;
use crate::relay::Command;
use dahliapoint::rules::Planner;

/// Counts what is written to the proxies against the limits of the channel.
pub trait ChannelBudget {
    /// Whether commands that may have been carried out already may be sent once more now.
    fn may_resend(&mut self, now: f64, commands: &[Command]) -> bool;

    /// Counts commands that are sent once more, as a message of their own. Returns its mark; none if they
    /// concern no proxy.
    fn count_resent(&mut self, now: f64, commands: &[Command]) -> Option<u32>;

    /// The message with this mark was not carried out: nothing of it waits in the channel.
    fn message_lost(&mut self, mark: u32);
}

impl ChannelBudget for Planner {
    fn may_resend(&mut self, now: f64, commands: &[Command]) -> bool {
        Planner::may_resend(self, now, &to_orders(commands))
    }

    fn count_resent(&mut self, now: f64, commands: &[Command]) -> Option<u32> {
        self.orders_resent(now, &to_orders(commands))
    }

    fn message_lost(&mut self, mark: u32) {
        Planner::message_lost(self, mark);
    }
}
