//! The channel's accounts: which messages a proxy was sent and has not answered, the lines in them, and
//! how many it was written lately. Sums only; who may be written is decided elsewhere.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A message under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub serial: u64,
    /// The planner's mark, if this message carries one.
    pub mark: Option<u32>,
    pub lines: f64,
    pub at: f64,
    /// It carries a whole table; it withdraws something.
    pub whole: bool,
    pub withdraws: bool,
}

/// The messages of one proxy.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    sent: VecDeque<Sent>,
    written: VecDeque<f64>,
}

impl Outstanding {
    pub fn wrote(&mut self, message: Sent, span_ms: f64) {
        self.sent.push_back(message);
        self.forget(message.at, span_ms);
        self.written.push_back(message.at);
    }

    fn forget(&mut self, now: f64, span_ms: f64) {
        while self.written.front().is_some_and(|at| now - at >= span_ms) {
            self.written.pop_front();
        }
    }

    /// An answer to one message answers all before it. A serial that is not under way (answered before,
    /// or of another stream) answers nothing. Tells what was answered.
    pub fn answered(&mut self, serial: u64) -> Vec<Sent> {
        match self.sent.iter().position(|m| m.serial == serial) {
            Some(at) => self.sent.drain(..=at).collect(),
            None => Vec::new(),
        }
    }

    pub fn lines(&self) -> f64 {
        self.sent.iter().map(|m| m.lines).sum()
    }

    pub fn count(&self) -> usize {
        self.sent.len()
    }

    /// When the oldest message without an answer was written.
    pub fn oldest(&self) -> Option<f64> {
        self.sent.front().map(|m| m.at)
    }

    /// The oldest serial without an answer.
    pub fn oldest_serial(&self) -> Option<u64> {
        self.sent.front().map(|m| m.serial)
    }

    pub fn lately(&self, now: f64, span_ms: f64) -> usize {
        self.written
            .iter()
            .filter(|at| now - **at < span_ms)
            .count()
    }
}

/// Sums since the start, and the present state of the channel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    pub messages: u64,
    pub lines: u64,
    /// Lines under way now, and the most there ever were.
    pub waiting: f64,
    pub most_waiting: f64,
    /// The most messages that any proxy was written within the span.
    pub most_messages: usize,
    pub refused: u64,
    /// Answers for messages that were not under way: late, doubled, or of another stream.
    #[serde(rename = "odd_answers")]
    pub unexpected_answers: u64,
    pub closed: u64,
    /// Report lines taken, for servers or classes that nobody knows, and refused as impossible.
    pub report_lines: u64,
    pub unknown_lines: u64,
    pub refused_reports: u64,
    /// Lines of stretches that ended too long ago to be news, and sums too uncertain to be told.
    pub late_lines: u64,
    pub vague: u64,
}
