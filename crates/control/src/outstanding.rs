//! Bookkeeping of the channel to the proxies: the unacknowledged messages of a proxy, the lines in
//! them, and the messages it was sent within the window of the rate limit. Only sums are kept here;
//! the planner decides who is written to.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A message that was sent and is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentMessage {
    pub serial: u64,
    /// The planner's acknowledgement number, if this message carries one.
    pub mark: Option<u32>,
    /// Its cost in lines.
    pub lines: f64,
    /// When it was sent.
    pub sent_at: f64,
    /// It carries a whole table.
    pub is_snapshot: bool,
    /// It withdraws or removes at least one line.
    pub withdraws: bool,
}

/// The unacknowledged messages of one proxy, and when it was sent messages.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    unacknowledged: VecDeque<SentMessage>,
    sent_times: VecDeque<f64>,
}

impl Outstanding {
    /// Records that a message was sent.
    pub fn record_sent(&mut self, message: SentMessage, window_ms: f64) {
        self.unacknowledged.push_back(message);
        self.expire(message.sent_at, window_ms);
        self.sent_times.push_back(message.sent_at);
    }

    /// Forgets the times of messages that were sent before the window.
    fn expire(&mut self, now: f64, window_ms: f64) {
        while self
            .sent_times
            .front()
            .is_some_and(|sent_at| now - sent_at >= window_ms)
        {
            self.sent_times.pop_front();
        }
    }

    /// Takes the answer to a serial and returns what it answers: that message and all before it. A
    /// serial that is not outstanding (answered before, or of another stream) answers nothing.
    pub fn acknowledge(&mut self, serial: u64) -> Vec<SentMessage> {
        match self.unacknowledged.iter().position(|m| m.serial == serial) {
            Some(position) => self.unacknowledged.drain(..=position).collect(),
            None => Vec::new(),
        }
    }

    /// The lines in all unacknowledged messages.
    pub fn lines(&self) -> f64 {
        self.unacknowledged.iter().map(|m| m.lines).sum()
    }

    /// The number of unacknowledged messages.
    pub fn count(&self) -> usize {
        self.unacknowledged.len()
    }

    /// When the oldest unacknowledged message was sent.
    pub fn oldest_sent_at(&self) -> Option<f64> {
        self.unacknowledged.front().map(|m| m.sent_at)
    }

    /// The serial of the oldest unacknowledged message.
    pub fn oldest_serial(&self) -> Option<u64> {
        self.unacknowledged.front().map(|m| m.serial)
    }

    /// Messages sent within the last `window_ms`.
    pub fn sent_within(&self, now: f64, window_ms: f64) -> usize {
        self.sent_times
            .iter()
            .filter(|sent_at| now - **sent_at < window_ms)
            .count()
    }
}

/// Counters since the start, and the present state of the channel.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Messages sent, and the lines in them.
    pub messages: u64,
    pub lines: u64,
    /// Lines that are sent and unacknowledged now, and the highest value of that.
    pub waiting: f64,
    #[serde(rename = "most_waiting")]
    pub max_waiting: f64,
    /// The most messages that any proxy was sent within the window of the rate limit.
    #[serde(rename = "most_messages")]
    pub max_messages: usize,
    /// Messages that a proxy refused.
    pub refused: u64,
    /// Answers to messages that were not outstanding: late, duplicate, or of another stream.
    #[serde(rename = "odd_answers")]
    pub unexpected_answers: u64,
    /// Streams that the controller closed.
    pub closed: u64,
    /// Report lines accepted.
    pub report_lines: u64,
    /// Report lines for unknown proxies, servers or classes.
    pub unknown_lines: u64,
    /// Reports refused because their figures are impossible.
    pub refused_reports: u64,
    /// Report lines whose window ended too long ago for decisions.
    pub late_lines: u64,
    /// Sums that were too uncertain for decisions.
    #[serde(rename = "vague")]
    pub imprecise: u64,
}
