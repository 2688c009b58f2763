//! The interface of dahliapoint's decisions: plain values that go in and come out.
//!
//! Times are milliseconds with fractions on one clock that never goes back. Servers, proxies,
//! zones, kinds and classes are small indices that the caller hands out. Nothing here knows of any
//! wire; [`rules::Planner`] takes one call for each thing that happens and, when all that came at
//! one moment is told, answers with [`Orders`].

pub mod rules;
mod state;

/// A class of visits.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub soft_limit_ms: f64,
    pub earnings: f64,
}

/// How the proxies of a deployment take levels.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// A share of the visits is let in.
    Share,
    /// Levels are ignored, or are counted in a way the planner does not use.
    Unused,
}

/// What a planner is told when it begins; turned at once into the few figures that decisions use.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    pub zones: usize,
    pub classes: Vec<Class>,
    pub admission: Admission,
    /// Lines that may wait in the channel.
    pub max_queued_lines: f64,
    /// Lines that it sends by millisecond when all is well, and the mean way of a message after.
    pub lines_per_ms: f64,
    pub message_latency_ms: f64,
    /// Lines that a message costs beyond its own.
    pub message_overhead_lines: f64,
    /// A proxy closes a connection that was idle for so long.
    pub idle_timeout_ms: f64,
    /// Servers that a proxy draws for itself at its start.
    pub initial_servers: f64,
    /// Messages to one proxy within `message_window_ms`; 0: no such limit.
    pub max_messages: f64,
    pub message_window_ms: f64,
    pub report_interval_ms: f64,
    /// Lines of reports by millisecond that the controller is told at most.
    pub report_lines_per_ms: f64,
    /// A server starts at no less than this share of its capacity ...
    pub cold_capacity_share: f64,
    /// ... is warm after this long ...
    pub warm_up_ms: f64,
    /// ... and falls over at this multiple of what it can do.
    pub overload_multiple: f64,
    /// A server merely dropped from the list may stay in tables.
    pub keep_unlisted_servers: bool,
    /// How proxies try again where no order says otherwise.
    pub default_retry_policy: RetryPolicy,
    pub may_probe: bool,
    /// The list must be asked for.
    pub must_request_roster: bool,
    /// Tables belong to slices of keys; the shared table has no place there.
    pub sharded: bool,
}

/// When proxies try another server.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum RetryPolicy {
    Never,
    /// Once, after proof that the first try never ran.
    OnProof,
    /// Once, after any failure.
    OnFailure,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdminState {
    Ready,
    Draining,
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Copy, Debug)]
pub struct RosterEntry {
    pub server: usize,
    pub zone: usize,
    pub admin_state: AdminState,
    pub weight: f64,
    /// When it last started, if lately.
    pub started_ms: Option<f64>,
}

/// A list of servers: whole, or only what changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RosterUpdate {
    /// The list as this controller last held it; may be stale.
    Restored,
    Snapshot,
    Changes,
}

/// What the proxies of a zone met at a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct TryStats {
    pub zone: usize,
    pub server: usize,
    pub tries: f64,
    pub failed: f64,
    /// The stretch of time that this covers.
    pub window_ms: f64,
    /// Mean time of the tries that did not fail.
    pub mean_ms: f64,
}

/// What the planner believes of a server: its line, the health that scales it, and what was met lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    pub published_weight: f64,
    pub health: f64,
    pub withdrawn: bool,
    pub cold: bool,
    pub tries: f64,
    pub failed: f64,
    pub mean_ms: f64,
}

/// What a call leads to, to be carried out in the order of the fields, as one message a proxy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// Lines of the shared table: its part, server and weight; 0 takes the line away.
    pub lines: Vec<(usize, usize, f64)>,
    /// Levels of the shared table: its part, class, share let in, and when to try again.
    pub levels: Vec<(usize, usize, f64, RetryPolicy)>,
    /// Servers shut out of all tables (true), or allowed again.
    pub withdrawals: Vec<(usize, bool)>,
    /// Proxies to be bound to the shared table, and to which part of it.
    pub bindings: Vec<(usize, usize)>,
    /// A number that each proxy concerned answers with.
    pub mark: Option<u32>,
    /// Servers to probe.
    pub probes: Vec<usize>,
    /// Ask for the list, and for its changes from now on.
    pub request_roster: bool,
    /// Call [`rules::Planner::decide`] at this time.
    pub wake_at: Option<f64>,
    /// Lines for the operators' log.
    pub notes: Vec<String>,
}
