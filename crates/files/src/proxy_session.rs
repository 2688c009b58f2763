//! The table of one proxy served by files, free of I/O: the controller's messages are applied to it, it tells when
//! the table must be written, and it turns the proxy's acks into acknowledgements of the controller's marks.

use crate::formats::{TABLE_FORMAT_VERSION, Table, TableClass, TableLine};
use dahliapoint_control::{Input, LineState, Message, Scope, Session};
use std::collections::VecDeque;

/// A failed publication is retried after so many rounds.
const RETRY_DELAY_ROUNDS: f64 = 1.0;
/// The retry delay doubles with each failure, at most so many times.
const MAX_RETRY_DOUBLINGS: u32 = 5;
/// A table is published anew after this share of its validity.
const REFRESH_SHARE: f64 = 0.5;
/// Unacknowledged generations that are remembered.
const MAX_UNACKNOWLEDGED: usize = 64;

/// Why, and how urgently, a table must be written; the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A server was withdrawn.
    Withdrawal,
    /// Something else has changed.
    Update,
    /// Nothing has changed, but the published table is about to expire.
    Refresh,
}

/// One incarnation of a proxy.
#[derive(Clone, Debug)]
pub struct ProxySession {
    pub session: Session,
    pub proxy: String,
    pub incarnation: u64,
    /// The zone in its last heartbeat.
    pub zone: String,
    /// The visits per second in its last heartbeat.
    pub visits_per_s: Option<f64>,
    table: Table,
    part: Option<usize>,
    /// Set while there are unpublished changes.
    pending: Option<Urgency>,
    /// Published generations, each with the newest mark in it.
    unacknowledged: VecDeque<(u64, u64)>,
    /// Infinity before the first publication, so that nothing is refreshed.
    published_at: f64,
    failures: u32,
    retry_at: f64,
}

impl ProxySession {
    /// `previous` is the table that an earlier run of the controller published and the proxy may use.
    pub fn new(
        session: Session,
        proxy: &str,
        incarnation: u64,
        service: &str,
        previous: Option<Table>,
    ) -> ProxySession {
        let mut table = previous.unwrap_or_default();
        table.format_version = TABLE_FORMAT_VERSION;
        table.service = service.into();
        table.serial = 0;
        ProxySession {
            session,
            proxy: proxy.into(),
            incarnation,
            zone: String::new(),
            visits_per_s: None,
            table,
            part: None,
            pending: None,
            unacknowledged: VecDeque::new(),
            published_at: f64::INFINITY,
            failures: 0,
            retry_at: 0.0,
        }
    }

    /// The proxy's heartbeat as input of the controller.
    pub fn heartbeat(&self) -> Input {
        Input::Heartbeat {
            session: self.session,
            proxy: self.proxy.clone(),
            zone: self.zone.clone(),
            visits_per_s: self.visits_per_s,
        }
    }

    /// Applies a message of the controller to the table.
    pub fn apply(&mut self, message: &Message, classes: &[String]) {
        let table = &mut self.table;
        table.serial = table.serial.max(message.serial);
        for (class, policy) in &message.policies {
            if let Some(name) = classes.get(*class) {
                let policy = TableClass {
                    admitted_share: policy.admitted_share,
                    retry: policy.retry,
                };
                table.classes.insert(name.clone(), policy);
            }
        }
        let lines = message.lines.iter();
        match message.scope {
            Scope::Unbound => lines.for_each(|l| {
                match l.state {
                    LineState::Removed => table.withdrawn.remove(&*l.server),
                    _ => table.withdrawn.insert(l.server.to_string()),
                };
            }),
            Scope::Snapshot(part) => {
                self.part = Some(part);
                table.bound = true;
                // From here on the lines themselves say what is withdrawn.
                table.withdrawn.clear();
                table.lines = lines
                    .map(|l| (l.server.to_string(), TableLine::from_line(l)))
                    .collect();
            }
            Scope::Changes(part) if self.part == Some(part) => lines.for_each(|l| {
                match l.state {
                    LineState::Removed => table.lines.remove(&*l.server),
                    _ => table
                        .lines
                        .insert(l.server.to_string(), TableLine::from_line(l)),
                };
            }),
            // Changes of a part that the proxy is not bound to (any more): sent before it was bound anew.
            Scope::Changes(_) => {}
        }
        let withdraws = message.lines.iter().any(|l| l.state != LineState::Open);
        let urgency = if withdraws {
            Urgency::Withdrawal
        } else {
            Urgency::Update
        };
        self.pending = Some(self.pending.map_or(urgency, |p| p.min(urgency)));
    }

    /// Whether the table must be written now, and how urgently.
    pub fn due(&self, now: f64, valid_ms: f64) -> Option<Urgency> {
        let expiring = now - self.published_at >= valid_ms * REFRESH_SHARE;
        let urgency = self.pending.or(expiring.then_some(Urgency::Refresh));
        urgency.filter(|_| now >= self.retry_at)
    }

    /// When the table will be due without further messages.
    pub fn wake_at(&self, valid_ms: f64) -> f64 {
        match self.pending {
            Some(_) => self.retry_at,
            None => (self.published_at + valid_ms * REFRESH_SHARE).max(self.retry_at),
        }
    }

    /// The table to write now.
    pub fn table(&self, report_every_ms: f64) -> Table {
        Table {
            report_every_ms,
            ..self.table.clone()
        }
    }

    /// Records that the table was published as a generation.
    pub fn published(&mut self, now: f64, generation: u64) {
        self.unacknowledged
            .push_back((generation, self.table.serial));
        if self.unacknowledged.len() > MAX_UNACKNOWLEDGED {
            self.unacknowledged.pop_front();
        }
        (self.pending, self.failures, self.retry_at) = (None, 0, now);
        self.published_at = now;
    }

    /// Records a failed publication and schedules the retry; true for the first failure in a row, to be logged.
    pub fn publication_failed(&mut self, now: f64, interval_ms: f64) -> bool {
        let factor = f64::from(1_u32 << self.failures.min(MAX_RETRY_DOUBLINGS));
        self.retry_at = now + RETRY_DELAY_ROUNDS * interval_ms * factor;
        self.failures += 1;
        self.failures == 1
    }

    /// The controller's input for the proxy's ack or refusal of a generation. One generation may contain several
    /// messages: its newest mark stands for all of them.
    pub fn acknowledge(&mut self, generation: u64, refused: Option<String>) -> Option<Input> {
        let at = self
            .unacknowledged
            .iter()
            .position(|(g, _)| *g == generation)?;
        let (_, serial) = self.unacknowledged.drain(..=at).next_back()?;
        // A refresh of a table that an earlier run of the controller published has no mark of this one.
        (serial > 0).then_some(match refused {
            None => Input::Applied(self.session, serial),
            Some(why) => Input::Refused(self.session, serial, why),
        })
    }

    /// Generations without an ack.
    pub fn unacknowledged(&self) -> usize {
        self.unacknowledged.len()
    }
}

#[cfg(test)]
mod tests;
