//! The controller without I/O. [`Controller::take`] is told a moment and all that came at it, and says
//! what to write, probe, close and log; [`Controller::wake_at`] says when it wants to be called again.
//!
//! Names end here: inside are small indices, and the planner (`dahliapoint::rules`) decides. This crate
//! keeps what the planner must not know (names, sessions, what each proxy was sent and has answered) and
//! decides only on membership and on repeated delivery, in [`delivery`]. It reads no clock and draws no
//! chance: the same inputs give the same outputs, byte for byte, so a day can be written down
//! ([`record`]) and played again.

mod accounts;
mod controller;
mod debug_text;
pub mod delivery;
mod owner;
pub mod presence;
pub mod record;
mod reports;
pub mod rollout;
mod servers;

pub use accounts::Counters;
pub use controller::{
    Controller, FaultInjector, Gate, Overview, PendingLine, ProxyView, ServerView,
};
pub use owner::ControllerHandle;
pub use reports::{ClassView, EstimateView, report_error};

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One stream of a proxy, numbered by whoever holds the streams; a number is used once.
pub type Session = u64;

/// What a controller is told about the service when it begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerSettings {
    pub service: String,
    pub zones: Vec<String>,
    pub classes: Vec<ClassSettings>,
    /// Levels: a share of the visits of a class is let in; without it proxies let everything in.
    pub admission_control: bool,
    /// The channel: lines that may wait, lines it sends a second, mean way of a message, lines that a
    /// message costs beyond its own; messages to one proxy within a span (0: no limit).
    pub max_queued_lines: f64,
    pub lines_per_s: f64,
    pub message_latency_ms: f64,
    pub message_overhead_lines: f64,
    pub max_messages: f64,
    pub message_window_ms: f64,
    /// What the fronts make of one message at most, and of a joining, in messages of the limit above.
    pub writes_per_message: f64,
    pub writes_per_join: f64,
    /// A proxy closes a connection idle for so long, draws so many servers for itself at its start, and
    /// is taken to have so many visits a second if it does not say.
    pub idle_timeout_ms: f64,
    pub initial_servers: f64,
    pub default_visits_per_s: f64,
    pub report_interval_ms: f64,
    pub reports_per_s: f64,
    /// The cold rule: share at the start, time until warm, multiple that pushes over.
    pub cold_capacity_share: f64,
    pub warm_up_ms: f64,
    pub overload_multiple: f64,
    /// The drain rule's grace.
    pub drain_grace_ms: f64,
    pub keep_unlisted_servers: bool,
    /// How proxies try again where no order says otherwise.
    pub default_retry_policy: RetryPolicy,
    pub may_probe: bool,
    /// How often a proxy without a stream is to give a sign of life.
    pub heartbeat_interval_ms: f64,
    /// What is done about tables that are dangerous.
    pub guard_mode: rollout::GuardMode,
}

/// A class of visits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSettings {
    pub name: String,
    pub soft_limit_ms: f64,
    pub earnings: f64,
    /// Its visits may be tried again after any failure: no effect comes twice by it.
    pub idempotent: bool,
}

/// What the roster says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdminState {
    Ready,
    Draining,
    Gone,
}

/// One entry of the roster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RosterEntry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub state: AdminState,
    pub weight: f64,
    /// How long ago it last started, by the roster's own clock, and a stamp that is the same as long as
    /// the start is the same: a clock that jumps makes no new start.
    pub started: Option<(f64, u64)>,
}

/// What a proxy met at a server with the visits of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportLine {
    /// Name or address.
    pub server: String,
    /// The class, by its place in the terms.
    pub class: usize,
    pub tries: f64,
    pub failed: f64,
    /// Summed time of the tries that did not fail.
    pub success_ms: f64,
    /// Variance of the tries, where this line stands for others that were not read.
    pub variance: f64,
    /// The server's own words: how many answers carried one, and the sums of its queue and its time.
    pub load_samples: f64,
    pub queue_sum: f64,
    pub service_ms_sum: f64,
    /// Visits under way at the end of the stretch.
    pub in_flight: f64,
}

/// A load report of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The stretch of time that it covers, and how long ago that ended.
    pub window_ms: f64,
    pub ended_ago_ms: f64,
    pub lines: Vec<ReportLine>,
    /// Visits that came, by class.
    pub arrivals: Vec<(String, f64)>,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The whole roster. The first one is what the controller begins with.
    Roster(Vec<RosterEntry>),
    /// Only entries that changed; a gone one is named as such.
    RosterChanges(Vec<RosterEntry>),
    Joined {
        session: Session,
        proxy: String,
        zone: String,
        /// Visits a second that usually come to it, if it says.
        visits_per_s: Option<f64>,
    },
    Left(Session),
    /// The proxy applied the message with that serial and all before it.
    Applied(Session, u64),
    /// The proxy refused that message and keeps what it holds.
    Refused(Session, u64, String),
    /// A report of the proxy of that name.
    Reported(String, LoadReport),
    /// All reports of a round were told: now they are judged together.
    RoundEnded,
    Probed {
        server: String,
        healthy: bool,
        took_ms: f64,
    },
    /// A sign of life of a proxy that has no stream; a session of it is one life.
    Heartbeat {
        session: Session,
        proxy: String,
        zone: String,
        visits_per_s: Option<f64>,
    },
    /// A proxy without a stream leaves by its own word.
    Deregistered(Session),
    /// Parts whose tables are to stay as they are for so long, all that there are; withdrawals pass.
    Pinned(Vec<(usize, f64)>),
    /// In records only: parts whose lines a gate held back in the moment just before.
    Gated(Vec<usize>),
}

/// How a line stands in a table.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LineState {
    Open,
    /// Withdrawn: not to be picked, whatever its weight.
    Withdrawn,
    /// Not in the table any more.
    Removed,
}

/// A line of a table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub server: Arc<str>,
    pub address: Arc<str>,
    pub zone: usize,
    pub weight: f64,
    pub state: LineState,
}

/// When proxies may try another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    Never,
    OnProof,
    OnFailure,
}

/// What is let in of a class, and when its visits are tried again.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClassPolicy {
    #[serde(rename = "share")]
    pub admitted_share: f64,
    #[serde(rename = "tries")]
    pub retry: RetryPolicy,
}

/// What the lines of a message are about.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Changes of the part that the proxy is bound to.
    Changes(usize),
    /// All of a part: the proxy is bound to it from now on.
    Snapshot(usize),
    /// Withdrawals for a proxy that is not bound: they hold for whatever tables it has.
    Unbound,
}

/// One message; the proxy answers for its serial.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub serial: u64,
    pub scope: Scope,
    pub lines: Vec<Line>,
    /// By class; only those that changed, all of them in a whole table.
    pub policies: Vec<(usize, ClassPolicy)>,
}

/// What is to be done, in this order.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// One message for all these sessions.
    Write(Vec<Session>, Arc<Message>),
    /// End a stream.
    Close(Session, String),
    /// Call a server and say how it went.
    Probe { server: String, address: String },
    /// For the operators' log.
    Log(String),
}
