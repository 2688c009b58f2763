//! Judges every table before it leaves, free of I/O, clock and chance.
//!
//! How it is called: [`Guard::server`] whenever something about a server changes, [`Guard::proxies`] when
//! a part's load changes, [`Guard::wants`] with the lines that a part's next table changes: it answers with all
//! that is dangerous about them. [`Guard::step`] with the whole wanted table answers with what may leave now,
//! and what is held back for which reason ([`steps`]). [`Guard::sent`] when a table leaves, with its serial,
//! [`Guard::settled`] when all proxies of the part have answered up to a serial. Names end before its door:
//! servers and parts are small indices; loads are visits a second; all figures are ratios to what the caller
//! tells.
//!
//! A judgement costs by what changed: what a part holds, its sums, and what each cold server may be brought by
//! all tables that are in force or under way are kept, not found anew.

pub mod capacity;
pub mod caps;
pub mod steps;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A cold server may be brought this share of what pushes it over: tables are one cause of load, bursts and
/// proxies' own choices are others.
const COLD_MOST: f64 = 0.8;
/// One server's share of a table beyond so many times its share of the listed weight, and beyond so much.
const HEAVIER: f64 = 6.0;
const HEAVY: f64 = 0.4;
/// One step may move so much of the share from servers that are ready to others.
const STEP: f64 = 0.6;
/// Shares that differ by less are the same.
const SLACK: f64 = 1e-9;
/// Tables of a part that are told apart while they are under way; older ones are kept as the worst of them.
const APART: usize = 8;

/// What the roster says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdminState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A server as it is now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Server {
    pub admin_state: AdminState,
    pub listed_weight: f64,
    /// Visits a second that push it over while it is cold; infinite once it is warm.
    pub overload_per_s: f64,
}

impl Server {
    fn is_warm(&self) -> bool {
        self.overload_per_s == f64::INFINITY
    }
}

/// Why a table is dangerous; the order is that of the rules, the gravest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No ready server is left to pick, and the roster has one for this part.
    Empty,
    /// A line is open for a server that is draining or gone.
    NotReady,
    /// A cold server could be brought more than it can take, by some mixture of old and new tables.
    Cold,
    /// Only cold servers are left, and the roster has a warm one for this part.
    OnlyCold,
    /// One server has far more than its listed part.
    Overweight,
    /// Too much moves in one step that withdraws nobody.
    LargeStep,
    /// Tries that may repeat an effect were ordered for a class.
    UnsafeRetry,
    /// The channel has no room for lines that can wait.
    ChannelFull,
}

/// What is dangerous, and about which server if it is about one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Violation {
    pub reason: Reason,
    pub server: Option<usize>,
    /// What was found, and what is borne.
    pub found: f64,
    pub limit: f64,
}

/// A line as wanted; nothing: it is not in the table any more. A shut one is there and not picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub server: usize,
    pub weight: f64,
    pub open: bool,
}

/// A table: open weights by server, and their sum.
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

    /// The sum anew: what rounding adds up over many changes is gone.
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

type Shares = BTreeMap<usize, f64>;

/// A table that some proxies may hold still, or the worst of several: for each server the largest share.
#[derive(Clone, Debug, Default, PartialEq)]
struct Older {
    serial: u64,
    shares: Shares,
}

/// A part of the shared table: the newest table, those before it that some proxy may hold, and the load that
/// its servers are brought together.
#[derive(Clone, Debug, Default)]
struct Part {
    newest: Option<Table>,
    serial: u64,
    older: VecDeque<Older>,
    load: f64,
    /// Servers that the roster deals to it.
    members: BTreeSet<usize>,
}

impl Part {
    fn share(&self, server: usize) -> f64 {
        self.newest.as_ref().map_or(0.0, |t| t.share(server))
    }

    /// The most of its load that any mixture of the tables that may be held brings a server: proxies apply at
    /// different moments, and the worst mixture is that all hold the table that brings it most.
    fn most(&self, server: usize) -> f64 {
        let older = self.older.iter();
        let older = older.map(|o| o.shares.get(&server).copied().unwrap_or(0.0));
        self.load * older.fold(self.share(server), f64::max)
    }

    /// The newest table is one of the older ones from now on. Where there are many, the two oldest become
    /// one: what it says of a server is the worse of both, so nothing is judged milder.
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

    /// All that its proxies were sent up to this serial is answered: what is older than the newest of it is
    /// held by nobody.
    fn settle(&mut self, serial: u64) {
        if self.serial <= serial {
            self.older.clear();
        }
        while self.older.get(1).is_some_and(|o| o.serial <= serial) {
            self.older.pop_front();
        }
    }

    fn named(&self) -> BTreeSet<usize> {
        let newest = self.newest.iter().flat_map(|t| t.lines.keys());
        let older = self.older.iter().flat_map(|o| o.shares.keys());
        newest.chain(older).copied().collect()
    }
}

/// See the crate's head.
#[derive(Clone, Debug, Default)]
pub struct Guard {
    servers: BTreeMap<usize, Server>,
    parts: BTreeMap<usize, Part>,
    /// What all parts together may bring a server, kept for those that are cold.
    brought: BTreeMap<usize, f64>,
}

/// What a rule looks at: the part, its next table, and the one before.
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

fn one(reason: Reason, server: Option<usize>, found: f64, most: f64) -> Vec<Violation> {
    vec![Violation {
        reason,
        server,
        found,
        limit: most,
    }]
}

/// Guards against a table that empties a pool, whatever made it. A part whose roster has no ready server may
/// be empty: nothing better is to be had.
fn nobody_is_left_empty(w: &Wanted) -> Vec<Violation> {
    let ready = w.ready();
    match w.next.lines.is_empty() && ready.count() > 0 {
        true => one(Reason::Empty, None, 0.0, 1.0),
        false => Vec::new(),
    }
}

/// Guards against drains undone by a table: only lines that change are looked at, since the roster's own
/// changes lead to withdrawals that always pass.
fn nobody_is_sent_to_who_is_not_ready(w: &Wanted) -> Vec<Violation> {
    let open = w.changed.iter().filter(|l| l.open && l.weight > 0.0);
    let wrong = open.filter(|l| w.guard.server_of(l.server).admin_state != AdminState::Ready);
    let danger = |l: &Line| one(Reason::NotReady, Some(l.server), l.weight, 0.0);
    wrong.flat_map(danger).collect()
}

/// Guards against a site piled onto a server that has just started: over all parts, with the tables that are
/// in force, under way and new, at their worst mixture. Only what grows is dangerous; a table that brings a
/// cold server less passes even if it is too much still.
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

/// Guards against a part that is left to servers which have just started while warm ones are there.
fn somebody_is_warm(w: &Wanted) -> Vec<Violation> {
    let warm = |s: &usize| w.guard.server_of(*s).is_warm();
    let any = w.next.lines.keys().any(warm);
    let lost = !w.next.lines.is_empty() && !any && w.ready().any(|s| warm(&s));
    match lost {
        true => one(Reason::OnlyCold, None, 0.0, 1.0),
        false => Vec::new(),
    }
}

/// Guards against weights that are wrong by an order of magnitude. May harm where nearly all others are
/// trimmed for good reason: so both the ratio and a large share are wanted, and a server may always have
/// what it has had.
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

/// Guards against a whole table thrown over at once by something that is not the fleet's own change: what
/// leaves servers that are not ready any more is no step, nor is the first table of a part.
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
    /// The ready servers that the roster deals to this part.
    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        let members = self.part.members.iter().copied();
        members.filter(|s| self.guard.server_of(*s).admin_state == AdminState::Ready)
    }
}

impl Reason {
    /// Its code, for logs and people.
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
    /// Whether a part has a table.
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

    /// What is now known of a server, and which part it is dealt to.
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

    /// The load that the servers of a part are brought together now.
    pub fn set_load(&mut self, part: usize, load: f64) {
        self.parts.entry(part).or_default().load = load.max(0.0);
        self.weigh_named(part);
    }

    fn weigh_named(&mut self, part: usize) {
        let named = self.parts.get(&part).map(Part::named);
        let cold = |s: &usize| !self.server_of(*s).is_warm();
        let cold: Vec<usize> = named.into_iter().flatten().filter(cold).collect();
        cold.into_iter().for_each(|s| self.weigh(s));
    }

    /// What all parts may bring a server; kept for cold ones alone.
    fn weigh(&mut self, server: usize) {
        match self.server_of(server).is_warm() {
            true => self.brought.remove(&server),
            false => {
                let all = self.parts.values().map(|p| p.most(server)).sum();
                self.brought.insert(server, all)
            }
        };
    }

    /// A part's next table: what it has now with these lines changed, or these alone.
    fn next(&self, part: &Part, changed: &[Line], whole: bool) -> Table {
        let mut next = match whole {
            true => Table::default(),
            false => part.newest.clone().unwrap_or_default(),
        };
        changed.iter().for_each(|l| next.set(l));
        next.tidied()
    }

    /// All that is dangerous about a part's next table, the gravest first; nothing: it may leave.
    pub fn check(&self, part: usize, changed: &[Line], whole: bool) -> Vec<Violation> {
        let none = Part::default();
        let held = self.parts.get(&part).unwrap_or(&none);
        let next = self.next(held, changed, whole);
        self.judge(held, &next, changed)
    }

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

    /// A table leaves: from now on some proxies may hold it and some what was before. Serials grow.
    pub fn record_sent(&mut self, part: usize, changed: &[Line], whole: bool, serial: u64) {
        let mut held = self.parts.remove(&part).unwrap_or_default();
        let next = self.next(&held, changed, whole);
        held.put(serial, next);
        self.parts.insert(part, held);
        self.weigh_named(part);
    }

    /// All proxies of a part have applied what they were sent up to this serial.
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

    /// Four servers of one part: three warm, the fourth cold, falling over at 10 visits a second; load 100.
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
        // Another part brings the same cold server load by an old table that some still hold.
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
        // Nobody is ready: an empty table is all there is.
        (2..4).for_each(|s| guard.set_server(s, Some(0), drains));
        assert_eq!(guard.check(0, &[0, 1, 2].map(shut), false), []);
    }
}
