//! Checks every table before it is sent, without I/O, clock or randomness.
//!
//! Call [`Guard::set_server`] when something about a server changes and [`Guard::set_load`] when
//! the load of a part changes. [`Guard::check`] takes the lines that the next table of a part
//! changes and returns all rules that it violates. [`Guard::next_step`] takes the whole wanted
//! table and returns what may be sent now and what it violates ([`steps`]). Call
//! [`Guard::record_sent`] when a table is sent, with its serial, and [`Guard::record_applied`] when
//! all proxies of the part have answered up to a serial. Servers and parts are small indices; loads
//! are visits a second; all limits are ratios of the caller's figures.
//!
//! The cost of a check depends on what changes: the tables of a part, their sums, and the load that
//! all tables in force or in transit can bring to each cold server are kept and not computed anew.

pub mod capacity;
pub mod caps;
pub mod steps;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share of its overload limit that tables may bring to a cold server: bursts and the proxies' own
/// choices bring load too.
const MAX_COLD_LOAD_SHARE: f64 = 0.8;
/// A server's share of a table may be this multiple of its share of the listed weight ...
const OVERWEIGHT_RATIO: f64 = 6.0;
/// ... or this share of the table, whichever is larger.
const OVERWEIGHT_SHARE: f64 = 0.4;
/// Share of a table that one step may move away from ready servers.
const MAX_STEP_SHARE: f64 = 0.6;
/// Shares that differ by no more than this are equal.
const EPSILON: f64 = 1e-9;
/// Tables of a part in transit that are kept separately; older ones are merged into their maximum.
const MAX_OLDER_TABLES: usize = 8;

/// State of a server in the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdminState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// The present state of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Server {
    pub admin_state: AdminState,
    pub listed_weight: f64,
    /// Visits a second that overload it while it is cold; infinite once it is warm.
    pub overload_per_s: f64,
}

impl Server {
    fn is_warm(&self) -> bool {
        self.overload_per_s == f64::INFINITY
    }
}

/// The rule that a table violates, in the order of the rules, the gravest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No line is open, although the roster has a ready server for this part.
    Empty,
    /// A line is open for a server that is draining or gone.
    NotReady,
    /// Some mixture of old and new tables could bring a cold server more than it can take.
    Cold,
    /// Only cold servers are open, although the roster has a warm one for this part.
    OnlyCold,
    /// A server's share is far above its share of the listed weight.
    Overweight,
    /// Too much moves away from ready servers in one step.
    LargeStep,
    /// Retries that could execute a visit twice were ordered for a class that is not idempotent.
    UnsafeRetry,
    /// The channel has no room for lines that can wait.
    ChannelFull,
}

/// A violated rule, and the server if it is about one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Violation {
    pub reason: Reason,
    pub server: Option<usize>,
    /// The value that was found.
    pub found: f64,
    /// The value that is allowed.
    pub limit: f64,
}

/// A line of a wanted table. A line with a weight of 0 is not in the table; a line that is not open
/// is in it, but not picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub server: usize,
    pub weight: f64,
    pub open: bool,
}

/// A table: the weights of open lines by server, and their sum.
#[derive(Clone, Debug, Default, PartialEq)]
struct Table {
    lines: BTreeMap<usize, f64>,
    total: f64,
}

impl Table {
    /// Sets a line; one that is not open or has no weight is removed.
    fn set(&mut self, line: &Line) {
        let weight = if line.open { line.weight.max(0.0) } else { 0.0 };
        let before = match weight > 0.0 {
            true => self.lines.insert(line.server, weight),
            false => self.lines.remove(&line.server),
        };
        self.total += weight - before.unwrap_or(0.0);
        if self.lines.is_empty() {
            self.total = 0.0;
        }
    }

    /// Computes the sum anew, so that rounding errors do not add up over many changes.
    fn with_exact_total(mut self) -> Table {
        self.total = self.lines.values().sum();
        self
    }

    /// The share of a server, 0 in an empty table.
    fn share(&self, server: usize) -> f64 {
        match self.total > 0.0 {
            true => self.lines.get(&server).copied().unwrap_or(0.0) / self.total,
            false => 0.0,
        }
    }

    fn shares(&self) -> Shares {
        let share = |(s, weight): (&usize, &f64)| (*s, weight / self.total);
        match self.total > 0.0 {
            true => self.lines.iter().map(share).collect(),
            false => Shares::new(),
        }
    }
}

/// Shares of a table by server.
type Shares = BTreeMap<usize, f64>;

/// A table that some proxies may still hold, or the maximum of several: for each server the largest
/// share.
#[derive(Clone, Debug, Default, PartialEq)]
struct OlderTable {
    serial: u64,
    shares: Shares,
}

/// A part of the shared table: the newest table, the older ones that some proxies may still hold,
/// and the load that its proxies bring to its servers together.
#[derive(Clone, Debug, Default)]
struct Part {
    newest: Option<Table>,
    serial: u64,
    older: VecDeque<OlderTable>,
    load: f64,
    /// Servers that are assigned to the part.
    members: BTreeSet<usize>,
}

impl Part {
    fn share(&self, server: usize) -> f64 {
        self.newest.as_ref().map_or(0.0, |t| t.share(server))
    }

    /// The highest load that any mixture of the tables in transit brings to a server. Proxies apply
    /// tables at different times; in the worst mixture all of them hold the table that brings it
    /// most.
    fn max_load(&self, server: usize) -> f64 {
        let older = self.older.iter();
        let older = older.map(|o| o.shares.get(&server).copied().unwrap_or(0.0));
        self.load * older.fold(self.share(server), f64::max)
    }

    /// Makes a table the newest; the previous one joins the older ones. If there are too many of
    /// these, the two oldest are merged by their maximum, so that the check never becomes more
    /// lenient.
    fn push(&mut self, serial: u64, table: Table) {
        if let Some(before) = self.newest.replace(table) {
            let shares = before.shares();
            let serial = self.serial;
            self.older.push_back(OlderTable { serial, shares });
        }
        self.serial = serial;
        if self.older.len() > MAX_OLDER_TABLES
            && let (Some(first), Some(second)) = (self.older.pop_front(), self.older.front_mut())
        {
            for (server, share) in first.shares {
                let max_share = second.shares.entry(server).or_default();
                *max_share = max_share.max(share);
            }
        }
    }

    /// All proxies have answered up to this serial: no proxy holds a table older than the newest
    /// one up to it.
    fn record_applied(&mut self, serial: u64) {
        if self.serial <= serial {
            self.older.clear();
        }
        while self.older.get(1).is_some_and(|o| o.serial <= serial) {
            self.older.pop_front();
        }
    }

    /// The servers in any table that may be held.
    fn servers_in_tables(&self) -> BTreeSet<usize> {
        let newest = self.newest.iter().flat_map(|t| t.lines.keys());
        let older = self.older.iter().flat_map(|o| o.shares.keys());
        newest.chain(older).copied().collect()
    }
}

/// The guard over all parts. See the crate documentation.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    servers: BTreeMap<usize, Server>,
    parts: BTreeMap<usize, Part>,
    /// The highest load that all parts together can bring to each cold server.
    max_loads: BTreeMap<usize, f64>,
}

/// The next table of a part, as the rules see it.
struct Candidate<'a> {
    guard: &'a Guard,
    part: &'a Part,
    next: &'a Table,
    /// The newest table that was sent.
    before: &'a Table,
    changed: &'a [Line],
}

type Rule = fn(&Candidate) -> Vec<Violation>;

const RULES: [Rule; 6] = [
    check_empty,
    check_not_ready,
    check_cold,
    check_only_cold,
    check_overweight,
    check_large_step,
];

/// A single violation.
fn violation(reason: Reason, server: Option<usize>, found: f64, limit: f64) -> Vec<Violation> {
    vec![Violation {
        reason,
        server,
        found,
        limit,
    }]
}

/// Guards against a table that empties a part, whatever made it. A part without a ready server may
/// be empty.
fn check_empty(candidate: &Candidate) -> Vec<Violation> {
    let ready = candidate.ready();
    match candidate.next.lines.is_empty() && ready.count() > 0 {
        true => violation(Reason::Empty, None, 0.0, 1.0),
        false => Vec::new(),
    }
}

/// Guards against tables that undo a drain. Only changed lines are checked, since changes of the
/// roster lead to withdrawals, which always pass.
fn check_not_ready(candidate: &Candidate) -> Vec<Violation> {
    let open = candidate
        .changed
        .iter()
        .filter(|l| l.open && l.weight > 0.0);
    let not_ready =
        open.filter(|l| candidate.guard.server_of(l.server).admin_state != AdminState::Ready);
    let not_ready_line = |l: &Line| violation(Reason::NotReady, Some(l.server), l.weight, 0.0);
    not_ready.flat_map(not_ready_line).collect()
}

/// Guards against overloading a server that has just started: over all parts, with the worst
/// mixture of the tables in force, in transit and new. Only growth is a violation: a table that
/// brings a cold server less load passes, even if that is still too much.
fn check_cold(candidate: &Candidate) -> Vec<Violation> {
    let mut out = Vec::new();
    for server in candidate.next.lines.keys() {
        let s = candidate.guard.server_of(*server);
        if s.is_warm() || s.admin_state != AdminState::Ready {
            continue;
        }
        let next_load = candidate.part.load * candidate.next.share(*server);
        let part_load = candidate.part.max_load(*server);
        if next_load <= candidate.part.load * candidate.before.share(*server) * (1.0 + EPSILON) {
            continue;
        }
        let total_load = candidate
            .guard
            .max_loads
            .get(server)
            .copied()
            .unwrap_or(0.0);
        let found = total_load - part_load + next_load.max(part_load);
        let limit = MAX_COLD_LOAD_SHARE * s.overload_per_s;
        if found > limit {
            out.extend(violation(Reason::Cold, Some(*server), found, limit));
        }
    }
    out
}

/// Guards against leaving a part to cold servers while it has a warm one.
fn check_only_cold(candidate: &Candidate) -> Vec<Violation> {
    let warm = |s: &usize| candidate.guard.server_of(*s).is_warm();
    let any_warm = candidate.next.lines.keys().any(warm);
    let only_cold =
        !candidate.next.lines.is_empty() && !any_warm && candidate.ready().any(|s| warm(&s));
    match only_cold {
        true => violation(Reason::OnlyCold, None, 0.0, 1.0),
        false => Vec::new(),
    }
}

/// Guards against weights that are wrong by an order of magnitude. It could harm where nearly all
/// other servers are reduced for good reason, so it needs both a large ratio and a large share, and
/// a server may always keep its share.
fn check_overweight(candidate: &Candidate) -> Vec<Violation> {
    let total_listed: f64 = candidate
        .ready()
        .map(|s| candidate.guard.server_of(s).listed_weight)
        .sum();
    let mut out = Vec::new();
    for server in candidate.next.lines.keys() {
        let share = candidate.next.share(*server);
        let listed_share =
            candidate.guard.server_of(*server).listed_weight / total_listed.max(EPSILON);
        let limit = (OVERWEIGHT_RATIO * listed_share).max(OVERWEIGHT_SHARE);
        if share > limit + EPSILON && share > candidate.before.share(*server) + EPSILON {
            out.extend(violation(Reason::Overweight, Some(*server), share, limit));
        }
    }
    out
}

/// Guards against replacing a whole table at once without a change of the fleet: shares that leave
/// servers which are no longer ready do not count, and the first table of a part passes.
fn check_large_step(candidate: &Candidate) -> Vec<Violation> {
    if candidate.before.lines.is_empty() || candidate.next.lines.is_empty() {
        return Vec::new();
    }
    let ready = |s: &usize| candidate.guard.server_of(*s).admin_state == AdminState::Ready;
    let before_total: f64 = candidate
        .before
        .lines
        .iter()
        .filter(|(s, _)| ready(s))
        .map(|(_, weight)| weight)
        .sum();
    if before_total <= 0.0 {
        return Vec::new();
    }
    let next_total: f64 = candidate
        .next
        .lines
        .iter()
        .filter(|(s, _)| ready(s))
        .map(|(_, weight)| weight)
        .sum();
    let share = |t: &Table, s: &usize, total: f64| match total > 0.0 {
        true => t.lines.get(s).copied().unwrap_or(0.0) / total,
        false => 0.0,
    };
    let servers = candidate.before.lines.keys().filter(|s| ready(s));
    let lost = servers
        .map(|s| share(candidate.before, s, before_total) - share(candidate.next, s, next_total));
    let moved: f64 = lost.map(|l| l.max(0.0)).sum();
    match moved > MAX_STEP_SHARE + EPSILON {
        true => violation(Reason::LargeStep, None, moved, MAX_STEP_SHARE),
        false => Vec::new(),
    }
}

impl Candidate<'_> {
    /// The ready servers of this part.
    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        let members = self.part.members.iter().copied();
        members.filter(|s| self.guard.server_of(*s).admin_state == AdminState::Ready)
    }
}

impl Reason {
    /// Its code in logs and on the status page.
    pub fn code(self) -> &'static str {
        match self {
            Reason::Empty => "empty",
            Reason::NotReady => "not-ready",
            Reason::Cold => "cold",
            Reason::OnlyCold => "only-cold",
            Reason::Overweight => "heavy",
            Reason::LargeStep => "step",
            Reason::UnsafeRetry => "repeats",
            Reason::ChannelFull => "channel",
        }
    }
}

impl Guard {
    /// Whether a table of the part has been sent.
    pub fn has_table(&self, part: usize) -> bool {
        self.parts.get(&part).is_some_and(|p| p.newest.is_some())
    }

    /// Whether proxies of a part may hold different tables.
    pub fn is_mixed(&self, part: usize) -> bool {
        self.parts.get(&part).is_some_and(|p| !p.older.is_empty())
    }

    /// The state of a server; an unknown one counts as gone.
    fn server_of(&self, server: usize) -> Server {
        self.servers.get(&server).copied().unwrap_or_default()
    }

    /// Sets the present state of a server and the part it is assigned to.
    pub fn set_server(&mut self, server: usize, part: Option<usize>, state: Server) {
        for (index, p) in &mut self.parts {
            if Some(*index) != part {
                p.members.remove(&server);
            }
        }
        if let Some(part) = part {
            self.parts.entry(part).or_default().members.insert(server);
        }
        let before = self.servers.insert(server, state);
        if !state.is_warm() || before.is_some_and(|b| !b.is_warm()) {
            self.update_max_load(server);
        }
    }

    /// Sets the load that the proxies of a part bring to its servers together, in visits a second.
    pub fn set_load(&mut self, part: usize, load: f64) {
        self.parts.entry(part).or_default().load = load.max(0.0);
        self.update_max_loads(part);
    }

    /// Updates `max_loads` for the cold servers in the tables of a part.
    fn update_max_loads(&mut self, part: usize) {
        let servers_in_tables = self.parts.get(&part).map(Part::servers_in_tables);
        let cold = |s: &usize| !self.server_of(*s).is_warm();
        let cold: Vec<usize> = servers_in_tables
            .into_iter()
            .flatten()
            .filter(cold)
            .collect();
        cold.into_iter().for_each(|s| self.update_max_load(s));
    }

    /// Updates `max_loads` for a server.
    fn update_max_load(&mut self, server: usize) {
        match self.server_of(server).is_warm() {
            true => self.max_loads.remove(&server),
            false => {
                let total = self.parts.values().map(|p| p.max_load(server)).sum();
                self.max_loads.insert(server, total)
            }
        };
    }

    /// The next table of a part: the newest one with these lines changed, or, if `whole`, these
    /// lines alone.
    fn next(&self, part: &Part, changed: &[Line], whole: bool) -> Table {
        let mut next = match whole {
            true => Table::default(),
            false => part.newest.clone().unwrap_or_default(),
        };
        changed.iter().for_each(|l| next.set(l));
        next.with_exact_total()
    }

    /// All violations of the next table of a part, the gravest first; none: it may be sent.
    pub fn check(&self, part: usize, changed: &[Line], whole: bool) -> Vec<Violation> {
        let none = Part::default();
        let part_state = self.parts.get(&part).unwrap_or(&none);
        let next = self.next(part_state, changed, whole);
        self.apply_rules(part_state, &next, changed)
    }

    /// Applies all rules.
    fn apply_rules(&self, part_state: &Part, next: &Table, changed: &[Line]) -> Vec<Violation> {
        let nothing = Table::default();
        let candidate = Candidate {
            guard: self,
            part: part_state,
            next,
            before: part_state.newest.as_ref().unwrap_or(&nothing),
            changed,
        };
        RULES.iter().flat_map(|rule| rule(&candidate)).collect()
    }

    /// Records that a table is sent: from now on some proxies may hold it and some an older one.
    /// Serials grow.
    pub fn record_sent(&mut self, part: usize, changed: &[Line], whole: bool, serial: u64) {
        let mut part_state = self.parts.remove(&part).unwrap_or_default();
        let next = self.next(&part_state, changed, whole);
        part_state.push(serial, next);
        self.parts.insert(part, part_state);
        self.update_max_loads(part);
    }

    /// Records that all proxies of a part have applied what they were sent up to this serial.
    pub fn record_applied(&mut self, part: usize, serial: u64) {
        let servers_in_tables = self
            .parts
            .get(&part)
            .map(Part::servers_in_tables)
            .unwrap_or_default();
        if let Some(p) = self.parts.get_mut(&part) {
            p.record_applied(serial);
        }
        let cold = servers_in_tables
            .into_iter()
            .filter(|s| !self.server_of(*s).is_warm());
        let cold: Vec<usize> = cold.collect();
        cold.into_iter().for_each(|s| self.update_max_load(s));
    }
}

#[cfg(test)]
mod tests;
