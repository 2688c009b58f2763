//! The table that may be sent now on the way to the wanted one: an ordered list of rules, each a condition and an effect
//! on a draft, applied once from the top; then the result is checked again.
//!
//! [`Guard::next_step`] takes all lines of a part as they are wanted. The draft starts as these lines; if they violate
//! nothing, they are returned unchanged. The order of the rules is that of what is given up last: a part is never empty,
//! then who may be picked at all, then cold servers, then the share of one server, last the size of the step. Violations
//! that no draft avoids are returned as [`Step::remaining`].
//!
//! Progress: every step that is not the wanted table ends at caps that grow as servers warm up, or goes as far as one step
//! may move. While the fleet does not change, the second step reaches these caps.

use crate::caps::{Share, apply_caps};
use crate::{
    AdminState, COLD_MOST, Guard, HEAVIER, HEAVY, Line, Part, Reason, SLACK, STEP, Table, Violation,
};
use std::collections::BTreeMap;

/// A line that a step would change by no more than this share of its weight stays: small corrections cost messages.
const STIR: f64 = 0.02;

/// The table that may be sent now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Weights of the open lines by server; a server that is not listed has none.
    pub weights: BTreeMap<usize, f64>,
    /// What the wanted table violates.
    pub violations: Vec<Violation>,
    /// What this table violates too, since no better one exists.
    pub remaining: Vec<Violation>,
    /// It is not the wanted table yet: another step is to follow.
    pub partial: bool,
}

/// The table that the rules work on.
struct Draft<'a> {
    guard: &'a Guard,
    part: &'a Part,
    before: &'a Table,
    table: Table,
    /// Listed weight of the part's ready servers.
    listed: f64,
}

type Rule = fn(&mut Draft);

const RULES: [Rule; 5] = [
    who_is_not_ready_goes,
    somebody_stays,
    somebody_warm_stays,
    shares_are_capped,
    the_way_is_cut,
];

/// Guards against undoing a drain: whatever is wanted, lines for servers that are not ready are removed.
fn who_is_not_ready_goes(d: &mut Draft) {
    let wrong: Vec<usize> = d
        .table
        .lines
        .keys()
        .copied()
        .filter(|s| !d.is_ready(*s))
        .collect();
    wrong.into_iter().for_each(|s| d.set(s, 0.0));
}

/// Guards against an empty table: the present lines of ready servers stay; if there are none, all ready servers get their
/// listed weights.
fn somebody_stays(d: &mut Draft) {
    if d.table.lines.is_empty() {
        d.keep(|_| true);
    }
}

/// Guards against leaving a part to cold servers while it has warm ones: the present lines of warm servers stay; if there
/// are none, warm servers get their listed weights.
fn somebody_warm_stays(d: &mut Draft) {
    if !d
        .table
        .lines
        .keys()
        .any(|s| d.guard.server_of(*s).is_warm())
    {
        d.keep(|s| d.guard.server_of(s).is_warm());
    }
}

/// Guards against overloading cold servers and against too large a share of one server. Only capped lines change. If no
/// weights keep all caps, the present lines stay in addition; if that is not enough, the caps on the share of one server
/// are dropped, since they guard against mistakes and no server fails without them. If cold servers must carry all load,
/// it is shared in proportion to what each can take.
fn shares_are_capped(d: &mut Draft) {
    let mut found = d.capped(true);
    if found.is_none() {
        let stands: Vec<(usize, f64)> = d.before.lines.iter().map(|(s, w)| (*s, *w)).collect();
        for (s, w) in stands {
            if d.is_ready(s) && !d.table.lines.contains_key(&s) {
                d.set(s, w);
            }
        }
        found = d.capped(true).or_else(|| d.capped(false));
    }
    let lines: Vec<(usize, f64)> = found.unwrap_or_else(|| {
        let takes = d
            .table
            .lines
            .keys()
            .map(|s| (*s, d.guard.server_of(*s).overload_per_s));
        let takes: Vec<(usize, f64)> = takes.collect();
        // Only cold servers are left; their limits may all be 0.
        let known = takes.iter().all(|t| t.1.is_finite()) && takes.iter().any(|t| t.1 > 0.0);
        if known { takes } else { Vec::new() }
    });
    lines.into_iter().for_each(|(s, w)| d.set(s, w));
}

/// Guards against replacing a whole table at once: the step goes as far as one step may move. The present table and the
/// draft keep the caps, and so does any mixture of them. If the present table breaks a cap, the whole step is made: a
/// large step is better than an overloaded server.
fn the_way_is_cut(d: &mut Draft) {
    let moved = d.moved();
    if moved <= STEP + SLACK {
        return;
    }
    // Slightly less than allowed, so that rounding does not exceed the limit.
    let way = (STEP - SLACK) / moved;
    let ready = |s: &usize| d.is_ready(*s);
    let left: f64 = d
        .before
        .lines
        .iter()
        .filter(|(s, _)| ready(s))
        .map(|(_, w)| w)
        .sum();
    let sum = d.table.sum;
    let mut shares: BTreeMap<usize, f64> = BTreeMap::new();
    for (s, w) in d.before.lines.iter().filter(|(s, _)| ready(s)) {
        *shares.entry(*s).or_default() += (1.0 - way) * w / left;
    }
    for (s, w) in &d.table.lines {
        *shares.entry(*s).or_default() += way * w / sum;
    }
    let falls = |(s, share): (&usize, &f64)| *share > d.cold_cap(*s) * (1.0 + SLACK);
    if shares.iter().any(falls) {
        return;
    }
    for (s, share) in shares {
        d.set(s, share * sum);
    }
}

impl Draft<'_> {
    fn is_ready(&self, server: usize) -> bool {
        self.guard.server_of(server).admin_state == AdminState::Ready
    }

    fn set(&mut self, server: usize, weight: f64) {
        let open = weight > 0.0;
        self.table.set(&Line {
            server,
            weight,
            open,
        });
    }

    /// Adds lines of the ready servers that `kind` selects: the present lines or, if there are none, listed weights.
    fn keep(&mut self, kind: impl Fn(usize) -> bool) {
        let stands = self.before.lines.iter().map(|(s, w)| (*s, *w));
        let stands = stands.filter(|(s, _)| self.is_ready(*s) && kind(*s));
        let mut kept: Vec<(usize, f64)> = stands.collect();
        if kept.is_empty() {
            let ready = self
                .part
                .members
                .iter()
                .filter(|s| self.is_ready(**s) && kind(**s));
            let listed = |s: &usize| (*s, self.guard.server_of(*s).listed_weight.max(SLACK));
            kept = ready.map(listed).collect();
        }
        kept.into_iter().for_each(|(s, w)| self.set(s, w));
    }

    /// The highest share that a cold server may have: what all other parts may bring to it is subtracted first. A share that
    /// it already has may stay, unless the present tables overload it.
    fn cold_cap(&self, server: usize) -> f64 {
        let s = self.guard.server_of(server);
        if s.is_warm() || self.part.load <= 0.0 {
            return 1.0;
        }
        let had = self.before.share(server);
        let here = self.part.most(server);
        let brought = self.guard.brought.get(&server).copied().unwrap_or(here);
        let others = (brought - here).max(0.0);
        // Slightly less than allowed, so that rounding does not exceed the limit.
        let most = COLD_MOST * s.overload_per_s * (1.0 - SLACK);
        let room = (most - others).max(0.0) / self.part.load;
        // While older tables bring it too much, the new one must not bring it more than the present one.
        let room = match others + here > COLD_MOST * s.overload_per_s {
            true => room.min(had),
            false => room,
        };
        let falls = others + self.part.load * had > s.overload_per_s;
        (if falls { room } else { room.max(had) }).min(1.0)
    }

    /// The weights of the draft under their caps, if any weights keep them; `heavy`: with caps on the share of one server.
    fn capped(&self, heavy: bool) -> Option<Vec<(usize, f64)>> {
        let lines = self.table.lines.iter();
        let wanted = lines.map(|(s, weight)| Share {
            weight: *weight,
            cap: self
                .cold_cap(*s)
                .min(if heavy { self.heavy_cap(*s) } else { 1.0 }),
        });
        let found = apply_caps(&wanted.collect::<Vec<Share>>())?;
        Some(self.table.lines.keys().copied().zip(found).collect())
    }

    /// The highest share that one server may have.
    fn heavy_cap(&self, server: usize) -> f64 {
        let part = self.guard.server_of(server).listed_weight / self.listed.max(SLACK);
        let most = (HEAVIER * part).max(HEAVY);
        most.max(self.before.share(server)).min(1.0)
    }

    /// The share that moves between ready servers.
    fn moved(&self) -> f64 {
        let ready = |s: &usize| self.is_ready(*s);
        let sum = |t: &Table| -> f64 {
            t.lines
                .iter()
                .filter(|(s, _)| ready(s))
                .map(|(_, w)| w)
                .sum()
        };
        let (left, stays) = (sum(self.before), sum(&self.table));
        if left <= 0.0 || stays <= 0.0 {
            return 0.0;
        }
        let lost = self
            .before
            .lines
            .iter()
            .filter(|(s, _)| ready(s))
            .map(|(s, w)| {
                let next = self.table.lines.get(s).copied().unwrap_or(0.0);
                (w / left - next / stays).max(0.0)
            });
        lost.sum()
    }
}

impl Guard {
    /// The table that may be sent now, given all lines of a part as they are wanted.
    pub fn next_step(&self, part: usize, wanted: &[Line]) -> Step {
        let none = Part::default();
        let held = self.parts.get(&part).unwrap_or(&none);
        let nothing = Table::default();
        let before = held.newest.as_ref().unwrap_or(&nothing);
        let mut table = Table::default();
        wanted.iter().for_each(|l| table.set(l));
        let table = table.tidied();
        // A line that is already open is not opened by this table: if its server is not ready, its withdrawal is on its way.
        let opened = wanted
            .iter()
            .filter(|l| !before.lines.contains_key(&l.server));
        let opened: Vec<Line> = opened.copied().collect();
        let mut danger = self.judge(held, &table, &opened);
        let falls: Vec<Violation> = self.falls(held, &table);
        danger.extend(falls);
        if danger.is_empty() {
            let open = table.lines;
            return Step {
                weights: open,
                ..Step::default()
            };
        }
        let ready = held.members.iter().map(|s| self.server_of(*s));
        let ready = ready.filter(|s| s.admin_state == AdminState::Ready);
        let listed = ready.map(|s| s.listed_weight).sum();
        let mut draft = Draft {
            guard: self,
            part: held,
            before,
            table,
            listed,
        };
        for rule in RULES {
            rule(&mut draft);
            draft.table = draft.table.tidied();
        }
        let table = draft.table;
        let opened: Vec<Line> = table
            .lines
            .iter()
            .filter(|(s, _)| !before.lines.contains_key(s))
            .map(|(s, w)| Line {
                server: *s,
                weight: *w,
                open: true,
            })
            .collect();
        let mut borne = self.judge(held, &table, &opened);
        borne.extend(self.falls(held, &table));
        Step {
            weights: table.lines,
            violations: danger,
            remaining: borne,
            partial: true,
        }
    }

    /// Cold servers that the present tables overload and that the next table does not relieve enough: load has grown, or
    /// other servers have left, since the table was checked.
    fn falls(&self, part: &Part, next: &Table) -> Vec<Violation> {
        let mut out = Vec::new();
        for server in next.lines.keys() {
            let s = self.server_of(*server);
            if s.is_warm() || s.admin_state != AdminState::Ready {
                continue;
            }
            let here = part.most(*server);
            let others = self.brought.get(server).copied().unwrap_or(here) - here;
            let had = part.load * part.share(*server);
            let has = part.load * next.share(*server);
            let grows = has > had * (1.0 + SLACK);
            if !grows
                && others + had > s.overload_per_s
                && others + has > COLD_MOST * s.overload_per_s * (1.0 + SLACK)
            {
                out.push(Violation {
                    reason: Reason::Cold,
                    server: Some(*server),
                    found: others + has,
                    limit: COLD_MOST * s.overload_per_s,
                });
            }
        }
        out
    }

    /// The lines that a step changes against the newest table, with their weights (0: removed): all that are new or go
    /// away, and those that change by more than a little if the step is partial.
    pub fn changes(&self, part: usize, step: &Step) -> Vec<(usize, f64)> {
        let newest = self.parts.get(&part).and_then(|p| p.newest.as_ref());
        let nothing = BTreeMap::new();
        let before = newest.map_or(&nothing, |t| &t.lines);
        let mut out: Vec<(usize, f64)> = Vec::new();
        for (s, w) in &step.weights {
            let had = before.get(s).copied().unwrap_or(0.0);
            let stir = if step.partial { STIR } else { SLACK };
            if (had - w).abs() > stir * had.max(*w) || had == 0.0 {
                out.push((*s, *w));
            }
        }
        let gone = before.keys().filter(|s| !step.weights.contains_key(s));
        out.extend(gone.map(|s| (*s, 0.0)));
        out
    }
}
