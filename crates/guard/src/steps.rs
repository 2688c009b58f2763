//! From the wanted table to the one that may leave now: an ordered list of short rules, each a condition and an
//! effect on a draft, gone through once from the top; then what is left is judged again.
//!
//! How it is called: [`Guard::step`] with all lines of a part as they are wanted. The draft begins as these. If
//! no rule has anything to say, they leave as they are: a safe table is never touched. The order of the rules is
//! that of what is given up last: nobody is left empty, then who may be picked at all, then the cold, then
//! one server's share, last the size of the step. What no draft can mend is told as [`Step::borne`].
//!
//! Progress: every step that is not the wanted table itself ends at caps that grow as servers warm, or is a
//! part of the way as large as one step may be. With the fleet unchanged the second step ends there.

use crate::caps::{Share, apply_caps};
use crate::{
    AdminState, COLD_MOST, Guard, HEAVIER, HEAVY, Line, Part, Reason, SLACK, STEP, Table, Violation,
};
use std::collections::BTreeMap;

/// A line that a step would move by less than this share of itself stays: small corrections cost messages.
const STIR: f64 = 0.02;

/// What may leave now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Weights of open lines, by server; a server that is not here has none.
    pub weights: BTreeMap<usize, f64>,
    /// What was dangerous about the wanted table.
    pub violations: Vec<Violation>,
    /// What is dangerous about this one too: nothing better is to be had.
    pub remaining: Vec<Violation>,
    /// It is not the wanted table: another step is to follow.
    pub partial: bool,
}

/// What the rules change.
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

/// Guards against drains undone. Whatever is wanted, a line for a server that is not ready does not leave.
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

/// Guards against an empty pool: what stands and is ready stays; else all that is ready, as it is listed.
fn somebody_stays(d: &mut Draft) {
    if d.table.lines.is_empty() {
        d.keep(|_| true);
    }
}

/// Guards against a pool of servers that have just started while warm ones are there: these stay as they
/// stand, else as they are listed.
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

/// Guards against servers that have just started being pushed over, and against one server that is piled upon.
/// Only capped lines change. Where no weights keep all caps, what stands stays beside it; if that is not enough,
/// caps on one server's share are set aside: they guard against a mistake, and no server falls by them alone.
/// Where the cold have to carry all, each gets its part of it by what it can take.
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
        // Nothing but cold servers; all of them may be told to bear nothing at all.
        let known = takes.iter().all(|t| t.1.is_finite()) && takes.iter().any(|t| t.1 > 0.0);
        if known { takes } else { Vec::new() }
    });
    lines.into_iter().for_each(|(s, w)| d.set(s, w));
}

/// Guards against a whole table thrown over at once: as much of the way as one step may move. The tables before
/// and after keep the caps, so what lies between them does; where the one before does not, the whole way is gone
/// at once: a large step is less bad than a server that falls.
fn the_way_is_cut(d: &mut Draft) {
    let moved = d.moved();
    if moved <= STEP + SLACK {
        return;
    }
    // A hair less, so that rounding does not make it too large.
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

    /// Adds lines of ready servers of that kind: as they stand, else as they are listed.
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

    /// The most that a cold server's share may be: what all other parts may bring it, and older tables of this
    /// one, is taken off first. A share that it has already may stay, unless what stands pushes it over.
    fn cold_cap(&self, server: usize) -> f64 {
        let s = self.guard.server_of(server);
        if s.is_warm() || self.part.load <= 0.0 {
            return 1.0;
        }
        let had = self.before.share(server);
        let here = self.part.most(server);
        let brought = self.guard.brought.get(&server).copied().unwrap_or(here);
        let others = (brought - here).max(0.0);
        // A hair less, so that rounding does not make it too much.
        let most = COLD_MOST * s.overload_per_s * (1.0 - SLACK);
        let room = (most - others).max(0.0) / self.part.load;
        // While older tables bring it too much, it may not have more by the new one.
        let room = match others + here > COLD_MOST * s.overload_per_s {
            true => room.min(had),
            false => room,
        };
        let falls = others + self.part.load * had > s.overload_per_s;
        (if falls { room } else { room.max(had) }).min(1.0)
    }

    /// The draft's lines under their caps, if any weights keep them.
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

    fn heavy_cap(&self, server: usize) -> f64 {
        let part = self.guard.server_of(server).listed_weight / self.listed.max(SLACK);
        let most = (HEAVIER * part).max(HEAVY);
        most.max(self.before.share(server)).min(1.0)
    }

    /// The share that moves between servers that are ready.
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
    /// What may leave now, given all lines of a part as they are wanted.
    pub fn next_step(&self, part: usize, wanted: &[Line]) -> Step {
        let none = Part::default();
        let held = self.parts.get(&part).unwrap_or(&none);
        let nothing = Table::default();
        let before = held.newest.as_ref().unwrap_or(&nothing);
        let mut table = Table::default();
        wanted.iter().for_each(|l| table.set(l));
        let table = table.tidied();
        // What stands open already is no opening: its withdrawal is under way.
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

    /// Cold servers that fall by what stands, if the next table leaves them that: load has grown, or others
    /// have left, since it was found safe.
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

    /// The lines that a step changes against what stands: those that move by more than a little if it is not the
    /// wanted table itself, and all that come or go. Nothing if it is not worth a message.
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
