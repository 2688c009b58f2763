//! The controller without I/O. [`Controller::handle`] takes a time and all inputs that arrived at
//! it, and returns what to write, probe, close and log; [`Controller::wake_at`] gives the time of
//! the next call that it needs.
//!
//! Names end here: the planner (`dahliapoint::rules`) decides, and it works on small indices. This
//! crate keeps what the planner does not know (names, sessions, what each proxy was sent and has
//! answered) and decides only on the presence of proxies ([`presence`]) and on redelivery
//! ([`delivery`]); [`rollout`] sends the planner's orders in steps that the guard finds safe. The
//! crate reads no clock and no entropy: the same inputs give the same outputs, byte for byte, so
//! that a day can be recorded ([`record`]) and replayed.

mod controller;
mod debug_text;
pub mod delivery;
mod handle;
mod outstanding;
pub mod presence;
pub mod record;
mod reports;
pub mod rollout;
mod servers;

pub use controller::{
    Controller, FaultInjector, Gate, Overview, PendingLine, ProxyView, ServerView,
};
pub use handle::ControllerHandle;
pub use outstanding::Counters;
pub use reports::{ClassView, EstimateView, report_error};

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of one stream of a proxy, assigned by the front that holds the streams; a number is never
/// reused.
pub type Session = u64;

/// Settings that a controller starts with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerSettings {
    pub service: String,
    pub zones: Vec<String>,
    pub classes: Vec<ClassSettings>,
    /// Proxies admit a share of the visits of each class, as the planner orders; without it they
    /// admit all.
    pub admission_control: bool,
    /// Lines that may wait in the channel to the proxies.
    pub max_queued_lines: f64,
    /// Lines that the channel sends in a second.
    pub lines_per_s: f64,
    /// Mean latency of a message.
    pub message_latency_ms: f64,
    /// Cost of a message beyond its lines, in lines.
    pub message_overhead_lines: f64,
    /// Messages that one proxy may be sent within `message_window_ms`; 0: no limit.
    pub max_messages: f64,
    /// Window of that limit.
    pub message_window_ms: f64,
    /// Writes that a front makes of one message at most, counted against `max_messages`.
    pub writes_per_message: f64,
    /// Writes that a front makes when a proxy joins, counted against `max_messages`.
    pub writes_per_join: f64,
    /// A proxy closes a connection that was idle for this long.
    pub idle_timeout_ms: f64,
    /// Servers that a proxy draws for itself at its start.
    pub initial_servers: f64,
    /// Visits a second of a proxy that does not declare a rate.
    pub default_visits_per_s: f64,
    /// Interval of the load reports of a proxy.
    pub report_interval_ms: f64,
    /// Report lines a second that the controller takes at most.
    pub report_lines_per_s: f64,
    /// A server that has just started has this share of its capacity ...
    pub cold_capacity_share: f64,
    /// ... has all of it after this long ...
    pub warm_up_ms: f64,
    /// ... and fails under a load of this multiple of what it can do.
    pub overload_multiple: f64,
    /// Grace period of a drain: how long visits may still reach a draining server.
    pub drain_grace_ms: f64,
    /// A server that is merely dropped from the roster may stay in tables.
    pub keep_unlisted_servers: bool,
    /// Retry policy of the proxies where no order says otherwise.
    pub default_retry_policy: RetryPolicy,
    /// The controller may ask for probes of servers.
    pub may_probe: bool,
    /// Interval of the heartbeats of a proxy without a stream.
    pub heartbeat_interval_ms: f64,
    /// What the guard does about dangerous tables.
    pub guard_mode: rollout::GuardMode,
}

/// Settings of a class of visits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSettings {
    pub name: String,
    /// Time within which visits of the class should be answered.
    pub soft_limit_ms: f64,
    /// Worth of a visit that is answered in time, relative to other classes.
    pub earnings: f64,
    /// Its visits may be retried after any failure: a second execution has no further effect.
    pub idempotent: bool,
}

/// State of a server in the roster.
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
    /// Milliseconds since the last start by the roster's clock, and a stamp that identifies that
    /// start, so that a jump of the clock is not taken for a new start.
    pub started: Option<(f64, u64)>,
}

/// Result of the tries of one proxy at one server with visits of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportLine {
    /// Name or address of the server.
    pub server: String,
    /// Index of the class in [`ControllerSettings::classes`].
    pub class: usize,
    pub tries: f64,
    pub failed: f64,
    /// Summed time of the successful tries.
    pub success_ms: f64,
    /// Variance of `tries`, where this line is a sample that stands for lines that were not read.
    pub variance: f64,
    /// Answers that carried the server's own load, and the sums of the queue lengths and service
    /// times in them.
    pub load_samples: f64,
    pub queue_sum: f64,
    pub service_ms_sum: f64,
    /// Visits in flight at the end of the window.
    pub in_flight: f64,
}

/// A load report of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Length of the window that the report covers.
    pub window_ms: f64,
    /// Time since the end of that window.
    pub ended_ago_ms: f64,
    pub lines: Vec<ReportLine>,
    /// Visits that arrived, by name of the class.
    pub arrivals: Vec<(String, f64)>,
}

/// An event that the controller handles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The whole roster. The first one is the state that the controller starts from.
    Roster(Vec<RosterEntry>),
    /// Only the entries that changed; a removed server is listed as gone.
    RosterChanges(Vec<RosterEntry>),
    /// A proxy opened a stream.
    Joined {
        session: Session,
        proxy: String,
        zone: String,
        /// Visits a second that it usually receives, if it declares them.
        visits_per_s: Option<f64>,
    },
    /// A stream ended.
    Left(Session),
    /// The proxy applied the message with that serial and all before it.
    Applied(Session, u64),
    /// The proxy refused the message with that serial and keeps what it holds.
    Refused(Session, u64, String),
    /// A load report of the proxy of that name.
    Reported(String, LoadReport),
    /// All reports of a round have been handed over and are now evaluated together.
    RoundEnded,
    /// The result of a probe.
    Probed {
        server: String,
        healthy: bool,
        took_ms: f64,
    },
    /// A heartbeat of a proxy that has no stream; its session identifies one run of the proxy.
    Heartbeat {
        session: Session,
        proxy: String,
        zone: String,
        visits_per_s: Option<f64>,
    },
    /// A proxy without a stream says that it leaves.
    Deregistered(Session),
    /// All parts whose tables are pinned, and for how many milliseconds; withdrawals still pass.
    Pinned(Vec<(usize, f64)>),
    /// In records only: parts whose lines the gate held back in the moment just before.
    Gated(Vec<usize>),
}

/// State of a line in a table.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LineState {
    Open,
    /// In the table, but not to be picked, whatever its weight.
    Withdrawn,
    /// No longer in the table.
    Removed,
}

/// A line of a table: one server with its weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub server: Arc<str>,
    pub address: Arc<str>,
    pub zone: usize,
    pub weight: f64,
    pub state: LineState,
}

/// When proxies may retry a visit at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryPolicy {
    Never,
    /// Once, after proof that the first try never ran.
    OnProof,
    /// Once, after any failure.
    OnFailure,
}

/// Admission and retries of one class.
#[derive(Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ClassPolicy {
    /// Share of its visits that proxies admit.
    #[serde(rename = "share")]
    pub admitted_share: f64,
    #[serde(rename = "tries")]
    pub retry: RetryPolicy,
}

/// What the lines of a message apply to.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Changes of the part that the proxy is bound to.
    Changes(usize),
    /// The whole table of a part: the proxy is bound to that part from now on.
    Snapshot(usize),
    /// Withdrawals for a proxy that is not bound: they apply to whatever tables it has.
    Unbound,
}

/// One message; the proxy answers with its serial.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub serial: u64,
    pub scope: Scope,
    pub lines: Vec<Line>,
    /// Policies by class: those that changed, all of them in a snapshot.
    pub policies: Vec<(usize, ClassPolicy)>,
}

/// An action for the caller. Actions are carried out in the order in which they are returned.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Send one message to all these sessions.
    Write(Vec<Session>, Arc<Message>),
    /// End a stream, with the reason.
    Close(Session, String),
    /// Probe a server and return the result as [`Input::Probed`].
    Probe { server: String, address: String },
    /// Write a line to the operators' log.
    Log(String),
}
