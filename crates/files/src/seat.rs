//! What one proxy of this front is to have, free of I/O: messages come in, a table comes out, answers go
//! back as the controller's own marks.

use crate::formats::{TABLE_FORMAT_VERSION, Table, TableClass, TableLine};
use dahliapoint_control::{Input, LineState, Message, Scope, Session};
use std::collections::VecDeque;

/// A publication that failed is tried again after so many rounds, doubling so many times.
const AGAIN_ROUNDS: f64 = 1.0;
const DOUBLINGS: u32 = 5;
/// A table is written anew once this share of the time that it holds is over.
const REFRESH: f64 = 0.5;
/// Generations under way that are remembered.
const MOST_UNDER_WAY: usize = 64;

/// What is to be written for a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wants {
    /// A withdrawal: before everything.
    Urgently,
    Soon,
    /// The same again, since what is there grows old.
    Refresh,
}

/// One life of a proxy at this front.
#[derive(Clone, Debug)]
pub struct Seat {
    pub session: Session,
    pub proxy: String,
    pub life: u64,
    /// As it last said.
    pub zone: String,
    pub pace: Option<f64>,
    table: Table,
    part: Option<usize>,
    dirty: Option<Wants>,
    /// What was published: the generation, and the newest mark in it.
    under_way: VecDeque<(u64, u64)>,
    published_at: f64,
    failures: u32,
    again_at: f64,
}

impl Seat {
    /// `before` is what an earlier life of the controller published and the proxy may hold.
    pub fn new(
        session: Session,
        proxy: &str,
        life: u64,
        service: &str,
        before: Option<Table>,
    ) -> Seat {
        let mut table = before.unwrap_or_default();
        table.format_version = TABLE_FORMAT_VERSION;
        table.service = service.into();
        table.serial = 0;
        Seat {
            session,
            proxy: proxy.into(),
            life,
            zone: String::new(),
            pace: None,
            table,
            part: None,
            dirty: None,
            under_way: VecDeque::new(),
            published_at: f64::INFINITY,
            failures: 0,
            again_at: 0.0,
        }
    }

    /// A sign of life, as the controller takes it.
    pub fn beat(&self) -> Input {
        Input::Heartbeat {
            session: self.session,
            proxy: self.proxy.clone(),
            zone: self.zone.clone(),
            visits_per_s: self.pace,
        }
    }

    /// Takes a message of the controller.
    pub fn deliver(&mut self, message: &Message, classes: &[String]) {
        let table = &mut self.table;
        table.serial = table.serial.max(message.serial);
        for (class, way) in &message.policies {
            if let Some(name) = classes.get(*class) {
                let way = TableClass {
                    admitted_share: way.admitted_share,
                    retry: way.retry,
                };
                table.classes.insert(name.clone(), way);
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
                // The table now says itself what is withdrawn.
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
            // A part that it is not bound to: told before it was bound anew.
            Scope::Changes(_) => {}
        }
        let withdraws = message.lines.iter().any(|l| l.state != LineState::Open);
        let wants = if withdraws {
            Wants::Urgently
        } else {
            Wants::Soon
        };
        self.dirty = Some(self.dirty.map_or(wants, |d| d.min(wants)));
    }

    /// What is to be written now, if anything.
    pub fn wants(&self, now: f64, valid_ms: f64) -> Option<Wants> {
        let old = now - self.published_at >= valid_ms * REFRESH;
        let wants = self.dirty.or(old.then_some(Wants::Refresh));
        wants.filter(|_| now >= self.again_at)
    }

    /// When it will want something by itself.
    pub fn wake_at(&self, valid_ms: f64) -> f64 {
        match self.dirty {
            Some(_) => self.again_at,
            None => (self.published_at + valid_ms * REFRESH).max(self.again_at),
        }
    }

    /// The table to write now.
    pub fn table(&self, report_every_ms: f64) -> Table {
        Table {
            report_every_ms,
            ..self.table.clone()
        }
    }

    pub fn published(&mut self, now: f64, generation: u64) {
        self.under_way.push_back((generation, self.table.serial));
        if self.under_way.len() > MOST_UNDER_WAY {
            self.under_way.pop_front();
        }
        (self.dirty, self.failures, self.again_at) = (None, 0, now);
        self.published_at = now;
    }

    /// A publication failed: the first of a row is told.
    pub fn failed(&mut self, now: f64, every_ms: f64) -> bool {
        let doubled = f64::from(1_u32 << self.failures.min(DOUBLINGS));
        self.again_at = now + AGAIN_ROUNDS * every_ms * doubled;
        self.failures += 1;
        self.failures == 1
    }

    /// The proxy's answer to a generation, as the controller wants to hear it. One generation may hold
    /// several messages: the newest mark answers for all.
    pub fn answered(&mut self, generation: u64, refused: Option<String>) -> Option<Input> {
        let at = self.under_way.iter().position(|(g, _)| *g == generation)?;
        let (_, serial) = self.under_way.drain(..=at).next_back()?;
        // A refresh, or what an earlier life of the controller published, carries no mark of ours.
        (serial > 0).then_some(match refused {
            None => Input::Applied(self.session, serial),
            Some(why) => Input::Refused(self.session, serial, why),
        })
    }

    /// Publications without an answer.
    pub fn unanswered(&self) -> usize {
        self.under_way.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use dahliapoint_control::Line;

    fn line(server: &str, state: LineState) -> Line {
        Line {
            server: server.into(),
            address: "127.0.0.1:1".into(),
            zone: 0,
            weight: 1.0,
            state,
        }
    }

    fn message(serial: u64, scope: Scope, lines: &[(&str, LineState)]) -> Message {
        Message {
            serial,
            scope,
            lines: lines.iter().map(|(s, state)| line(s, *state)).collect(),
            policies: vec![],
        }
    }

    use LineState::{Open, Removed, Withdrawn};

    #[test]
    fn messages_become_a_table_and_answers_become_marks() {
        let mut seat = Seat::new(1, "p", 7, "s", None);
        assert_eq!(seat.wants(0.0, 1e3), None, "nothing was told");
        let steps = [
            (
                message(1, Scope::Unbound, &[("x", Withdrawn)]),
                Wants::Urgently,
                "/x",
            ),
            (
                message(2, Scope::Snapshot(0), &[("a", Open), ("b", Withdrawn)]),
                Wants::Urgently,
                "a,(b)/",
            ),
            (
                message(3, Scope::Changes(0), &[("c", Open)]),
                Wants::Soon,
                "a,(b),c/",
            ),
            (
                message(4, Scope::Changes(1), &[("d", Open)]),
                Wants::Soon,
                "a,(b),c/",
            ),
            (
                message(5, Scope::Changes(0), &[("a", Removed), ("b", Open)]),
                Wants::Urgently,
                "b,c/",
            ),
        ];
        for (i, (message, wanted, lines)) in steps.iter().enumerate() {
            seat.deliver(message, &[]);
            assert_eq!(seat.wants(0.0, 1e3), Some(*wanted), "{lines}");
            let table = seat.table(500.0);
            let shown = table.lines.values().map(|l| match l.open {
                true => l.server.clone(),
                false => format!("({})", l.server),
            });
            let shown: Vec<String> = shown.collect();
            let shut: Vec<String> = table.withdrawn.iter().cloned().collect();
            assert_eq!(format!("{}/{}", shown.join(","), shut.join(",")), *lines);
            seat.published(0.0, 100 + i as u64);
        }
        assert_eq!(seat.answered(99, None), None, "of another life");
        assert_eq!(seat.answered(102, None), Some(Input::Applied(1, 3)));
        assert_eq!(seat.answered(101, None), None, "answered before");
        let no = || Some("no".to_string());
        assert_eq!(
            seat.answered(104, no()),
            Some(Input::Refused(1, 5, "no".into()))
        );
    }

    #[test]
    fn failures_wait_longer_each_time_and_tables_are_refreshed() {
        let mut seat = Seat::new(1, "p", 7, "s", None);
        seat.deliver(&message(1, Scope::Snapshot(0), &[("a", Open)]), &[]);
        let waits: Vec<f64> = (0..8)
            .map(|_| {
                seat.failed(1_000.0, 100.0);
                seat.wake_at(1e9) - 1_000.0
            })
            .collect();
        assert_eq!(
            waits,
            [100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0, 3200.0, 3200.0]
        );
        assert_eq!(seat.wants(4_199.0, 1e9), None);
        assert_eq!(seat.wants(4_200.0, 1e9), Some(Wants::Soon));
        seat.published(5_000.0, 2);
        assert_eq!(seat.wants(5_499.0, 1_000.0), None);
        assert_eq!(seat.wants(5_500.0, 1_000.0), Some(Wants::Refresh));
    }
}
