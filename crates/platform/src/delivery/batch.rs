//! The commands of one decision on their way to the relay.

use super::{ChannelBudget, Feedback, ProxyEpoch};
use crate::relay::Command;

/// Marks of earlier calls of a batch that are remembered; the oldest is forgotten.
const MAX_SENT_MARKS: usize = 8;

/// The commands of one decision that are not yet confirmed.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub commands: Vec<Command>,
    /// The proxy and epoch of each binding, in the order of the bindings.
    pub epochs: Vec<ProxyEpoch>,
    /// The mark to send after the last command.
    pub mark: Option<u32>,
    /// The marks of calls that contained all remaining commands, so that the acknowledgement of any of
    /// them confirms these.
    pub sent_marks: Vec<u32>,
    /// Whether the mark was acknowledged.
    pub acknowledged: bool,
    /// Failed attempts since the last accepted one.
    pub attempts: u32,
    /// Whether it was sent again after a call of unknown outcome, or set aside.
    pub is_resent: bool,
    /// Whether the relay refused it once (rule 8).
    pub refused: bool,
}

/// What a command sets: a later one with the same key supersedes it. Ordered only for use in sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CommandKey {
    Share(usize, usize),
    Admit(usize, usize),
    Withdraw(usize),
    Bind(usize),
    Mark,
}

fn command_key(command: &Command) -> CommandKey {
    match command {
        Command::Share { table, server, .. } => CommandKey::Share(*table, *server),
        Command::Admit { table, class, .. } => CommandKey::Admit(*table, *class),
        Command::Withdraw { server, .. } => CommandKey::Withdraw(*server),
        Command::Bind { proxy, .. } => CommandKey::Bind(*proxy),
        Command::Mark(_) => CommandKey::Mark,
    }
}

impl Batch {
    /// Whether the acknowledgement of a mark confirms this batch.
    pub fn is_confirmed_by(&self, mark: u32) -> bool {
        self.sent_marks.contains(&mark)
    }

    /// Records that a call with this mark and all remaining commands was made.
    pub fn mark_is_sent(&mut self, mark: Option<u32>) {
        self.sent_marks.extend(mark);
        if self.sent_marks.len() > MAX_SENT_MARKS {
            self.sent_marks.remove(0);
        }
    }

    /// Counts the commands as one more message, and takes its mark.
    pub fn count_resent(&mut self, now: f64, budget: &mut dyn ChannelBudget) {
        self.mark = budget.count_resent(now, &self.commands);
    }

    /// Prepares to send the commands once more, as one more message, if the limits of the channel have room
    /// for it. Returns whether they have.
    pub fn try_resend(&mut self, now: f64, budget: &mut dyn ChannelBudget) -> bool {
        let may_resend = budget.may_resend(now, &self.commands);
        if may_resend {
            self.count_resent(now, budget);
        }
        may_resend
    }

    /// Records that none of its calls was carried out: nothing of them waits in the channel, and its bindings
    /// return to the planner.
    pub fn is_not_carried_out(&mut self, budget: &mut dyn ChannelBudget, feedback: &mut Feedback) {
        for mark in &self.sent_marks {
            budget.message_lost(*mark);
        }
        feedback.lost_bindings.append(&mut self.epochs);
        self.commands
            .retain(|command| !matches!(command, Command::Bind { .. }));
        feedback.notes.push(format!(
            "a call of unknown outcome was not carried out: {} orders go again",
            self.commands.len()
        ));
    }

    /// Returns the keys of its commands.
    pub fn keys(&self) -> impl Iterator<Item = CommandKey> + '_ {
        self.commands.iter().map(command_key)
    }

    /// Keeps the commands that pass, with the epochs of the bindings among them. `pass` gets the epoch
    /// for bindings only.
    pub fn retain(&mut self, pass: impl Fn(CommandKey, Option<ProxyEpoch>) -> bool) {
        let mut epochs = std::mem::take(&mut self.epochs).into_iter();
        let kept = &mut self.epochs;
        self.commands.retain(|command| {
            let epoch = match command {
                Command::Bind { .. } => epochs.next(),
                _ => None,
            };
            let passes = pass(command_key(command), epoch);
            kept.extend(epoch.filter(|_| passes));
            passes
        });
    }

    /// Drops the first `count` commands.
    pub fn drop_first(&mut self, count: usize) {
        let rest = self.split_off(count);
        *self = rest;
    }

    /// Splits off the commands after the first `count`. The mark is with the last part.
    pub fn split_off(&mut self, count: usize) -> Batch {
        let commands = self.commands.split_off(count.min(self.commands.len()));
        let is_bind = |command: &&Command| matches!(command, Command::Bind { .. });
        let bind_count = self.commands.iter().filter(is_bind).count();
        let epochs = self.epochs.split_off(bind_count);
        Batch {
            mark: if commands.is_empty() { None } else { self.mark },
            sent_marks: self.sent_marks.clone(),
            acknowledged: false,
            commands,
            epochs,
            attempts: 0,
            is_resent: false,
            refused: false,
        }
    }

    /// Splits off the withdrawals and restores, which the acknowledgement of a mark sent so far confirms as well.
    pub fn split_withdrawals(&mut self) -> Batch {
        let (withdrawals, rest) = std::mem::take(&mut self.commands)
            .into_iter()
            .partition(|command| matches!(command, Command::Withdraw { .. }));
        self.commands = rest;
        Batch {
            commands: withdrawals,
            epochs: Vec::new(),
            mark: None,
            sent_marks: self.sent_marks.clone(),
            acknowledged: false,
            attempts: 0,
            is_resent: self.is_resent,
            refused: false,
        }
    }
}
