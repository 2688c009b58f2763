//! Decisions of dahliapoint, independent of any transport.
//!
//! This module defines the plain values that go in and out of [`rules::Planner`]: settings, roster
//! entries, statistics and [`Orders`]. Times are fractional milliseconds of one monotonic clock.
//! Servers, proxies, zones and classes are small indices that the caller assigns.
//!
//! The caller reports each event by one method call. After all events of one moment it calls
//! [`rules::Planner::decide`], which returns the orders to carry out.

mod message_pacing;
mod overload;
pub mod rules;
mod state;

/// A class of visits.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Time after which a visit counts as late.
    pub soft_limit_ms: f64,
    /// Value of one served visit; the classes with the lowest are limited first in overload.
    pub earnings: f64,
}

/// How the proxies of a deployment apply admission levels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A level is the share of visits that is admitted.
    Share,
    /// Levels are ignored, or have a meaning that the planner doesn't support.
    Unused,
}

/// Settings of a planner: the deployment's limits and capabilities.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Number of zones.
    pub zones: usize,
    /// Classes of visits, by index.
    pub classes: Vec<Class>,
    /// How proxies apply admission levels.
    pub admission: Admission,
    /// Table lines that may be queued in the channel to the proxies.
    pub max_queued_lines: f64,
    /// Lines that the channel sends per millisecond when nothing is wrong.
    pub lines_per_ms: f64,
    /// Mean time from sending a message to its arrival.
    pub message_latency_ms: f64,
    /// Fixed cost of a message, in lines.
    pub message_overhead_lines: f64,
    /// Proxies close a connection that was idle for this long.
    pub idle_timeout_ms: f64,
    /// Number of servers that a proxy picks by itself at its start, before it is bound to a table.
    pub initial_servers: f64,
    /// Messages that one proxy may be sent within `message_window_ms`; 0 means no limit.
    pub max_messages: f64,
    /// The window in which `max_messages` applies.
    pub message_window_ms: f64,
    /// Time within which proxies must stop sending to a server that is draining or gone; 0 if not known.
    pub drain_grace_ms: f64,
    /// Interval at which proxies report.
    pub report_interval_ms: f64,
    /// Lines of reports per millisecond that reach the controller at most.
    pub report_lines_per_ms: f64,
    /// Share of its capacity that a server has at least when it has just started.
    pub cold_capacity_share: f64,
    /// Time from a server's start to its full capacity.
    pub warm_up_ms: f64,
    /// A server breaks down at this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Consecutive failures after which a proxy avoids a server for some seconds; 0 means never.
    pub failures_until_avoided: u32,
    /// A server that is merely missing from a roster snapshot may stay in the tables.
    pub keep_unlisted_servers: bool,
    /// The retry policy that proxies follow until they are ordered another one.
    pub default_retry_policy: RetryPolicy,
    /// Servers may be probed.
    pub may_probe: bool,
    /// The roster is only sent on request.
    pub must_request_roster: bool,
    /// Tables belong to shards of keys, so there is no shared table.
    pub sharded: bool,
}

/// When a proxy tries another server after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum RetryPolicy {
    /// Not at all.
    Never,
    /// Once, if the first try provably never ran.
    OnProof,
    /// Once, after any failure.
    OnFailure,
}

/// The state that the roster gives a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdminState {
    /// It may be sent visits.
    Ready,
    /// It finishes what it has and must get no new visits.
    Draining,
    /// It doesn't exist any more.
    Gone,
}

/// One server in the roster.
#[derive(Clone, Copy, Debug)]
pub struct RosterEntry {
    pub server: usize,
    pub zone: usize,
    pub admin_state: AdminState,
    /// Capacity relative to other servers; 0 means not given and counts as 1.
    pub weight: f64,
    /// Time of its last start, if known.
    pub started_ms: Option<f64>,
}

/// What a list of roster entries covers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RosterUpdate {
    /// The whole roster as saved by an earlier run of the controller; may be stale.
    Restored,
    /// The whole roster; servers that it lacks count as gone (but see
    /// [`PlannerSettings::keep_unlisted_servers`]).
    Snapshot,
    /// Only the entries that changed.
    Changes,
}

/// Statistics of the tries that the proxies of one zone made at one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct TryStats {
    /// Zone of the proxies.
    pub zone: usize,
    pub server: usize,
    /// All tries, failed ones included.
    pub tries: f64,
    pub failed: f64,
    /// The time span that the statistics cover.
    pub window_ms: f64,
    /// Mean duration of the tries that did not fail.
    pub mean_ms: f64,
}

/// The planner's view of one server, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /// Weight of its line in the shared table; 0 if it has none.
    pub published_weight: f64,
    /// Factor on its listed weight: 1 if it works well, 0 if it is ejected.
    pub health: f64,
    /// It is shut out of all tables, or may be.
    pub withdrawn: bool,
    /// It may not have warmed up since its last start.
    pub cold: bool,
    /// Recent tries at it.
    pub tries: f64,
    /// Recent tries that failed.
    pub failed: f64,
    /// Mean duration of the recent tries that did not fail.
    pub mean_ms: f64,
}

/// The result of a decision. It is carried out in the order of the fields, as one message per proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// Changed lines of the shared table, as (part, server, weight); weight 0 removes the line.
    pub lines: Vec<(usize, usize, f64)>,
    /// Changed admission levels, as (part, class, share admitted, retry policy).
    pub levels: Vec<(usize, usize, f64, RetryPolicy)>,
    /// Servers to shut out of all tables (true) or to allow again (false).
    pub withdrawals: Vec<(usize, bool)>,
    /// Proxies to bind to a part of the shared table, as (proxy, part).
    pub bindings: Vec<(usize, usize)>,
    /// Number by which each proxy that gets a message acknowledges it; none if nothing is sent.
    pub mark: Option<u32>,
    /// Servers to probe.
    pub probes: Vec<usize>,
    /// Request the roster and all later changes of it.
    pub request_roster: bool,
    /// Time of the next call of [`rules::Planner::decide`], if the earlier one no longer holds.
    pub wake_at: Option<f64>,
    /// Messages for the operators' log.
    pub notes: Vec<String>,
}

impl Orders {
    /// Whether they consist of servers to shut out or to allow again, and nothing else is sent to proxies.
    pub(crate) fn are_withdrawals_only(&self) -> bool {
        self.lines.is_empty() && self.levels.is_empty() && self.bindings.is_empty()
    }
}
