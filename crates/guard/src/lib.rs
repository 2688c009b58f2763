//! Checks every table before it is sent, without I/O, clock or randomness.
//!
//! Call [`Guard::set_server`] when something about a server changes and [`Guard::set_load`] when the load of a part
//! changes. [`Guard::check`] takes the lines that the next table of a part changes and returns all rules that it violates.
//! [`Guard::next_step`] takes the whole wanted table and returns what may be sent now and what it violates ([`steps`]).
//! Call [`Guard::record_sent`] when a table is sent, with its serial, and [`Guard::record_applied`] when all proxies of
//! the part have answered up to a serial. Servers and parts are small indices; loads are visits a second; all limits are
//! ratios of the caller's figures.
//!
//! The cost of a check depends on what changes: the tables of a part, their sums, and the load that all tables in force
//! or in transit can bring to each cold server are kept and not computed anew.

pub mod capacity;
pub mod caps;
pub mod steps;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share of its overload limit that tables may bring to a cold server: bursts and the proxies' own choices bring load
/// too.
const COLD_MOST: f64 = 0.8;
/// A server's share of a table may be this multiple of its share of the listed weight ...
const HEAVIER: f64 = 6.0;
/// ... or this share of the table, whichever is larger.
const HEAVY: f64 = 0.4;
/// Share of a table that one step may move away from ready servers.
const STEP: f64 = 0.6;
/// Shares that differ by no more than this are equal.
const SLACK: f64 = 1e-9;
/// Tables of a part in transit that are kept separately; older ones are merged into their maximum.
const APART: usize = 8;

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

/// A line of a wanted table. A line with a weight of 0 is not in the table; a line that is not open is in it, but not
/// picked.
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
    sum: f64,
}

impl Table {
    fn set(&mut self, line: &Line) {
        let weight = if line.open { line.weight.max(0.0) } else { 0.0 };
        let before = match weight > 0.0 {
            true => self.lines.insert(line.server, weight),
            false => self.lines.remove(&line.server),
        };
        self.sum += weight - before.unwrap_or(0.0);
        if self.lines.is_empty() {
            self.sum = 0.0;
        }
    }

    /// Computes the sum anew, so that rounding errors do not add up over many changes.
    fn tidied(mut self) -> Table {
        self.sum = self.lines.values().sum();
        self
    }

    fn share(&self, server: usize) -> f64 {
        match self.sum > 0.0 {
            true => self.lines.get(&server).copied().unwrap_or(0.0) / self.sum,
            false => 0.0,
        }
    }

    fn shares(&self) -> Shares {
        let share = |(s, w): (&usize, &f64)| (*s, w / self.sum);
        match self.sum > 0.0 {
            true => self.lines.iter().map(share).collect(),
            false => Shares::new(),
        }
    }
}

/// Shares of a table by server.
type Shares = BTreeMap<usize, f64>;

/// A table that some proxies may still hold, or the maximum of several: for each server the largest share.
#[derive(Clone, Debug, Default, PartialEq)]
struct Older {
    serial: u64,
    shares: Shares,
}

/// A part of the shared table: the newest table, the older ones that some proxies may still hold, and the load that its
/// proxies bring to its servers together.
#[derive(Clone, Debug, Default)]
struct Part {
    newest: Option<Table>,
    serial: u64,
    older: VecDeque<Older>,
    load: f64,
    /// Servers that are assigned to the part.
    members: BTreeSet<usize>,
}

impl Part {
    fn share(&self, server: usize) -> f64 {
        self.newest.as_ref().map_or(0.0, |t| t.share(server))
    }

    /// The highest load that any mixture of the tables in transit brings to a server. Proxies apply tables at different
    /// times; in the worst mixture all of them hold the table that brings it most.
    fn most(&self, server: usize) -> f64 {
        let older = self.older.iter();
        let older = older.map(|o| o.shares.get(&server).copied().unwrap_or(0.0));
        self.load * older.fold(self.share(server), f64::max)
    }

    /// Makes a table the newest; the previous one joins the older ones. If there are too many of these, the two oldest
    /// are merged by their maximum, so that the check never becomes more lenient.
    fn put(&mut self, serial: u64, table: Table) {
        if let Some(before) = self.newest.replace(table) {
            let shares = before.shares();
            let serial = self.serial;
            self.older.push_back(Older { serial, shares });
        }
        self.serial = serial;
        if self.older.len() > APART
            && let (Some(first), Some(second)) = (self.older.pop_front(), self.older.front_mut())
        {
            for (server, share) in first.shares {
                let worse = second.shares.entry(server).or_default();
                *worse = worse.max(share);
            }
        }
    }

    /// All proxies have answered up to this serial: no proxy holds a table older than the newest one up to it.
    fn settle(&mut self, serial: u64) {
        if self.serial <= serial {
            self.older.clear();
        }
        while self.older.get(1).is_some_and(|o| o.serial <= serial) {
            self.older.pop_front();
        }
    }

    /// The servers in any table that may be held.
    fn named(&self) -> BTreeSet<usize> {
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
    /// The highest load that all parts together can bring to a server, kept for cold servers.
    brought: BTreeMap<usize, f64>,
}

/// The arguments of a rule: a part, its present table, its next one, and the lines that change.
struct Wanted<'a> {
    guard: &'a Guard,
    part: &'a Part,
    next: &'a Table,
    before: &'a Table,
    changed: &'a [Line],
}

type Rule = fn(&Wanted) -> Vec<Violation>;

const RULES: [Rule; 6] = [
    nobody_is_left_empty,
    nobody_is_sent_to_who_is_not_ready,
    no_cold_server_is_pushed_over,
    somebody_is_warm,
    nobody_is_piled_upon,
    no_step_is_too_large,
];

/// A single violation.
fn one(reason: Reason, server: Option<usize>, found: f64, most: f64) -> Vec<Violation> {
    vec![Violation {
        reason,
        server,
        found,
        limit: most,
    }]
}

/// Guards against a table that empties a part, whatever made it. A part without a ready server may be empty.
fn nobody_is_left_empty(w: &Wanted) -> Vec<Violation> {
    let ready = w.ready();
    match w.next.lines.is_empty() && ready.count() > 0 {
        true => one(Reason::Empty, None, 0.0, 1.0),
        false => Vec::new(),
    }
}

/// Guards against tables that undo a drain. Only changed lines are checked, since changes of the roster lead to
/// withdrawals, which always pass.
fn nobody_is_sent_to_who_is_not_ready(w: &Wanted) -> Vec<Violation> {
    let open = w.changed.iter().filter(|l| l.open && l.weight > 0.0);
    let wrong = open.filter(|l| w.guard.server_of(l.server).admin_state != AdminState::Ready);
    let danger = |l: &Line| one(Reason::NotReady, Some(l.server), l.weight, 0.0);
    wrong.flat_map(danger).collect()
}

/// Guards against overloading a server that has just started: over all parts, with the worst mixture of the tables in
/// force, in transit and new. Only growth is a violation: a table that brings a cold server less load passes, even if that
/// is still too much.
fn no_cold_server_is_pushed_over(w: &Wanted) -> Vec<Violation> {
    let mut out = Vec::new();
    for server in w.next.lines.keys() {
        let s = w.guard.server_of(*server);
        if s.is_warm() || s.admin_state != AdminState::Ready {
            continue;
        }
        let next = w.part.load * w.next.share(*server);
        let here = w.part.most(*server);
        if next <= w.part.load * w.before.share(*server) * (1.0 + SLACK) {
            continue;
        }
        let brought = w.guard.brought.get(server).copied().unwrap_or(0.0);
        let found = brought - here + next.max(here);
        let most = COLD_MOST * s.overload_per_s;
        if found > most {
            out.extend(one(Reason::Cold, Some(*server), found, most));
        }
    }
    out
}

/// Guards against leaving a part to cold servers while it has a warm one.
fn somebody_is_warm(w: &Wanted) -> Vec<Violation> {
    let warm = |s: &usize| w.guard.server_of(*s).is_warm();
    let any = w.next.lines.keys().any(warm);
    let lost = !w.next.lines.is_empty() && !any && w.ready().any(|s| warm(&s));
    match lost {
        true => one(Reason::OnlyCold, None, 0.0, 1.0),
        false => Vec::new(),
    }
}

/// Guards against weights that are wrong by an order of magnitude. It could harm where nearly all other servers are
/// reduced for good reason, so it needs both a large ratio and a large share, and a server may always keep its share.
fn nobody_is_piled_upon(w: &Wanted) -> Vec<Violation> {
    let listed: f64 = w.ready().map(|s| w.guard.server_of(s).listed_weight).sum();
    let mut out = Vec::new();
    for server in w.next.lines.keys() {
        let share = w.next.share(*server);
        let part = w.guard.server_of(*server).listed_weight / listed.max(SLACK);
        let most = (HEAVIER * part).max(HEAVY);
        if share > most + SLACK && share > w.before.share(*server) + SLACK {
            out.extend(one(Reason::Overweight, Some(*server), share, most));
        }
    }
    out
}

/// Guards against replacing a whole table at once without a change of the fleet: shares that leave servers which are no
/// longer ready do not count, and the first table of a part passes.
fn no_step_is_too_large(w: &Wanted) -> Vec<Violation> {
    if w.before.lines.is_empty() || w.next.lines.is_empty() {
        return Vec::new();
    }
    let ready = |s: &usize| w.guard.server_of(*s).admin_state == AdminState::Ready;
    let left: f64 = w
        .before
        .lines
        .iter()
        .filter(|(s, _)| ready(s))
        .map(|(_, w)| w)
        .sum();
    if left <= 0.0 {
        return Vec::new();
    }
    let stays: f64 = w
        .next
        .lines
        .iter()
        .filter(|(s, _)| ready(s))
        .map(|(_, w)| w)
        .sum();
    let part = |t: &Table, s: &usize, of: f64| match of > 0.0 {
        true => t.lines.get(s).copied().unwrap_or(0.0) / of,
        false => 0.0,
    };
    let lost = w.before.lines.keys().filter(|s| ready(s));
    let lost = lost.map(|s| part(w.before, s, left) - part(w.next, s, stays));
    let moved: f64 = lost.map(|l| l.max(0.0)).sum();
    match moved > STEP + SLACK {
        true => one(Reason::LargeStep, None, moved, STEP),
        false => Vec::new(),
    }
}

impl Wanted<'_> {
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

    fn server_of(&self, server: usize) -> Server {
        self.servers.get(&server).copied().unwrap_or_default()
    }

    /// Sets the present state of a server and the part it is assigned to.
    pub fn set_server(&mut self, server: usize, part: Option<usize>, now: Server) {
        for (index, p) in &mut self.parts {
            if Some(*index) != part {
                p.members.remove(&server);
            }
        }
        if let Some(part) = part {
            self.parts.entry(part).or_default().members.insert(server);
        }
        let before = self.servers.insert(server, now);
        if !now.is_warm() || before.is_some_and(|b| !b.is_warm()) {
            self.weigh(server);
        }
    }

    /// Sets the load that the proxies of a part bring to its servers together, in visits a second.
    pub fn set_load(&mut self, part: usize, load: f64) {
        self.parts.entry(part).or_default().load = load.max(0.0);
        self.weigh_named(part);
    }

    /// Updates `brought` for the cold servers in the tables of a part.
    fn weigh_named(&mut self, part: usize) {
        let named = self.parts.get(&part).map(Part::named);
        let cold = |s: &usize| !self.server_of(*s).is_warm();
        let cold: Vec<usize> = named.into_iter().flatten().filter(cold).collect();
        cold.into_iter().for_each(|s| self.weigh(s));
    }

    /// Updates `brought` for a server.
    fn weigh(&mut self, server: usize) {
        match self.server_of(server).is_warm() {
            true => self.brought.remove(&server),
            false => {
                let all = self.parts.values().map(|p| p.most(server)).sum();
                self.brought.insert(server, all)
            }
        };
    }

    /// The next table of a part: the newest one with these lines changed, or, if `whole`, these lines alone.
    fn next(&self, part: &Part, changed: &[Line], whole: bool) -> Table {
        let mut next = match whole {
            true => Table::default(),
            false => part.newest.clone().unwrap_or_default(),
        };
        changed.iter().for_each(|l| next.set(l));
        next.tidied()
    }

    /// All violations of the next table of a part, the gravest first; none: it may be sent.
    pub fn check(&self, part: usize, changed: &[Line], whole: bool) -> Vec<Violation> {
        let none = Part::default();
        let held = self.parts.get(&part).unwrap_or(&none);
        let next = self.next(held, changed, whole);
        self.judge(held, &next, changed)
    }

    /// Applies all rules.
    fn judge(&self, held: &Part, next: &Table, changed: &[Line]) -> Vec<Violation> {
        let nothing = Table::default();
        let wanted = Wanted {
            guard: self,
            part: held,
            next,
            before: held.newest.as_ref().unwrap_or(&nothing),
            changed,
        };
        RULES.iter().flat_map(|rule| rule(&wanted)).collect()
    }

    /// Records that a table is sent: from now on some proxies may hold it and some an older one. Serials grow.
    pub fn record_sent(&mut self, part: usize, changed: &[Line], whole: bool, serial: u64) {
        let mut held = self.parts.remove(&part).unwrap_or_default();
        let next = self.next(&held, changed, whole);
        held.put(serial, next);
        self.parts.insert(part, held);
        self.weigh_named(part);
    }

    /// Records that all proxies of a part have applied what they were sent up to this serial.
    pub fn record_applied(&mut self, part: usize, serial: u64) {
        let named = self.parts.get(&part).map(Part::named).unwrap_or_default();
        if let Some(p) = self.parts.get_mut(&part) {
            p.settle(serial);
        }
        let cold = named.into_iter().filter(|s| !self.server_of(*s).is_warm());
        let cold: Vec<usize> = cold.collect();
        cold.into_iter().for_each(|s| self.weigh(s));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use AdminState::{Draining, Ready};
    use Reason::*;

    fn line(server: usize, weight: f64) -> Line {
        Line {
            server,
            weight,
            open: true,
        }
    }

    /// Four servers in one part: three warm, the fourth cold and overloaded at 10 visits a second; load 100.
    fn fleet() -> Guard {
        let mut guard = Guard::default();
        for s in 0..4 {
            let now = Server {
                admin_state: Ready,
                listed_weight: 1.0,
                overload_per_s: if s == 3 { 10.0 } else { f64::INFINITY },
            };
            guard.set_server(s, Some(0), now);
        }
        guard.set_load(0, 100.0);
        guard.record_sent(0, &[line(0, 1.0), line(1, 1.0), line(2, 1.0)], true, 1);
        guard
    }

    #[test]
    fn each_rule_names_its_danger_and_only_that() {
        let all = |w: [f64; 4]| [0, 1, 2, 3].map(|s| line(s, w[s]));
        let cases: [(&str, Vec<Line>, &[Reason]); 9] = [
            ("as it is", vec![], &[]),
            ("the cold one gets a little", vec![line(3, 0.2)], &[]),
            ("the cold one gets much", vec![line(3, 0.5)], &[Cold]),
            ("nobody", all([0.0; 4]).to_vec(), &[Empty]),
            (
                "the cold one alone",
                all([0.0, 0.0, 0.0, 0.001]).to_vec(),
                &[Cold, OnlyCold, LargeStep],
            ),
            (
                "one has all",
                all([1.0, 0.0, 0.0, 0.0]).to_vec(),
                &[LargeStep],
            ),
            ("two have all", all([1.0, 1.0, 0.0, 0.0]).to_vec(), &[]),
            ("10,000 beside 1", vec![line(1, 10_000.0)], &[LargeStep]),
            ("all alike", all([1.0; 4]).to_vec(), &[Cold]),
        ];
        for (name, changed, wanted) in cases {
            let found = fleet().check(0, &changed, false);
            let reasons: Vec<Reason> = found.iter().map(|d| d.reason).collect();
            assert_eq!(reasons, wanted, "{name}: {found:?}");
        }
    }

    #[test]
    fn one_of_many_is_not_piled_upon() {
        let mut guard = Guard::default();
        for s in 0..20 {
            let now = Server {
                admin_state: Ready,
                listed_weight: 1.0,
                overload_per_s: f64::INFINITY,
            };
            guard.set_server(s, Some(0), now);
        }
        let lines: Vec<Line> = (0..20).map(|s| line(s, 1.0)).collect();
        guard.record_sent(0, &lines, true, 1);
        assert_eq!(guard.check(0, &[line(3, 12.0)], false), [], "a third of it");
        let found = guard.check(0, &[line(3, 15.0)], false);
        assert_eq!(
            found.iter().map(|d| d.reason).collect::<Vec<_>>(),
            [Overweight]
        );
        guard.record_sent(0, &[line(3, 15.0)], false, 2);
        assert_eq!(
            guard.check(0, &[line(5, 1.1)], false),
            [],
            "what it has had it may keep"
        );
    }

    #[test]
    fn mixtures_count_until_all_have_settled() {
        let mut guard = fleet();
        // Another part brings load to the same cold server by an old table that some proxies still hold.
        guard.set_load(1, 100.0);
        guard.record_sent(1, &[line(0, 0.94), line(3, 0.06)], true, 2);
        guard.record_sent(1, &[line(0, 1.0)], true, 3);
        assert_eq!(guard.check(0, &[line(3, 0.1)], false)[0].reason, Cold);
        guard.record_applied(1, 2);
        assert_eq!(guard.check(0, &[line(3, 0.1)], false)[0].reason, Cold);
        guard.record_applied(1, 3);
        assert_eq!(guard.check(0, &[line(3, 0.1)], false), []);
    }

    #[test]
    fn withdrawals_pass_and_drains_are_not_undone() {
        let mut guard = fleet();
        let drains = Server {
            admin_state: Draining,
            listed_weight: 1.0,
            overload_per_s: f64::INFINITY,
        };
        (0..2).for_each(|s| guard.set_server(s, Some(0), drains));
        let shut = |server| Line {
            server,
            weight: 1.0,
            open: false,
        };
        assert_eq!(
            guard.check(0, &[shut(0), shut(1)], false),
            [],
            "two of three drain"
        );
        let found = guard.check(0, &[line(0, 1.0)], false);
        assert_eq!(
            found.iter().map(|d| d.reason).collect::<Vec<_>>(),
            [NotReady]
        );
        // No server is ready: the table may be empty.
        (2..4).for_each(|s| guard.set_server(s, Some(0), drains));
        assert_eq!(guard.check(0, &[0, 1, 2].map(shut), false), []);
    }
}
