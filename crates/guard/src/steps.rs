//! The table that may be sent now on the way to the wanted one: an ordered list of rules, each a
//! condition and an effect on a draft, applied once from the top; then the result is checked again.
//!
//! [`Guard::next_step`] takes all lines of a part as they are wanted. The draft starts as these
//! lines; if they violate nothing, they are returned unchanged. The order of the rules is that of
//! what is given up last: a part is never empty, then who may be picked at all, then cold servers,
//! then the share of one server, last the size of the step. Violations that no draft avoids are
//! returned as [`Step::remaining`].
//!
//! Progress: every step that is not the wanted table ends at caps that grow as servers warm up, or
//! goes as far as one step may move. While the fleet does not change, the second step reaches these
//! caps.

use crate::caps::{WantedWeight, apply_caps};
use crate::{
    AdminState, EPSILON, Guard, Line, MAX_COLD_LOAD_SHARE, MAX_STEP_SHARE, OVERWEIGHT_RATIO,
    OVERWEIGHT_SHARE, Part, Reason, Table, Violation,
};
use std::collections::BTreeMap;

/// A line that a step would change by no more than this share of its weight stays: small
/// corrections cost messages.
const MIN_CHANGE_SHARE: f64 = 0.02;

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
    total_listed: f64,
}

type Rule = fn(&mut Draft);

const RULES: [Rule; 5] = [
    remove_not_ready,
    keep_any,
    keep_warm,
    cap_shares,
    limit_step,
];

/// Guards against undoing a drain: whatever is wanted, lines for servers that are not ready are
/// removed.
fn remove_not_ready(draft: &mut Draft) {
    let not_ready: Vec<usize> = draft
        .table
        .lines
        .keys()
        .copied()
        .filter(|s| !draft.is_ready(*s))
        .collect();
    not_ready.into_iter().for_each(|s| draft.set(s, 0.0));
}

/// Guards against an empty table: the present lines of ready servers stay; if there are none, all
/// ready servers get their listed weights.
fn keep_any(draft: &mut Draft) {
    if draft.table.lines.is_empty() {
        draft.keep(|_| true);
    }
}

/// Guards against leaving a part to cold servers while it has warm ones: the present lines of warm
/// servers stay; if there are none, warm servers get their listed weights.
fn keep_warm(draft: &mut Draft) {
    if !draft
        .table
        .lines
        .keys()
        .any(|s| draft.guard.server_of(*s).is_warm())
    {
        draft.keep(|s| draft.guard.server_of(s).is_warm());
    }
}

/// Guards against overloading cold servers and against too large a share of one server. Only capped
/// lines change. If no weights keep all caps, the present lines stay in addition; if that is not
/// enough, the caps on the share of one server are dropped, since they guard against mistakes and
/// no server fails without them. If cold servers must carry all load, it is shared in proportion to
/// what each can take.
fn cap_shares(draft: &mut Draft) {
    let mut weights = draft.capped_weights(true);
    if weights.is_none() {
        let present: Vec<(usize, f64)> = draft.before.lines.iter().map(|(s, w)| (*s, *w)).collect();
        for (s, w) in present {
            if draft.is_ready(s) && !draft.table.lines.contains_key(&s) {
                draft.set(s, w);
            }
        }
        weights = draft
            .capped_weights(true)
            .or_else(|| draft.capped_weights(false));
    }
    let lines: Vec<(usize, f64)> = weights.unwrap_or_else(|| {
        let limits = draft
            .table
            .lines
            .keys()
            .map(|s| (*s, draft.guard.server_of(*s).overload_per_s));
        let limits: Vec<(usize, f64)> = limits.collect();
        // Only cold servers are left; their limits may all be 0.
        let usable = limits.iter().all(|l| l.1.is_finite()) && limits.iter().any(|l| l.1 > 0.0);
        if usable { limits } else { Vec::new() }
    });
    lines.into_iter().for_each(|(s, w)| draft.set(s, w));
}

/// Guards against replacing a whole table at once: the step goes as far as one step may move. The
/// present table and the draft keep the caps, and so does any mixture of them. If the present table
/// breaks a cap, the whole step is made: a large step is better than an overloaded server.
fn limit_step(draft: &mut Draft) {
    let moved_share = draft.moved_share();
    if moved_share <= MAX_STEP_SHARE + EPSILON {
        return;
    }
    // Slightly less than allowed, so that rounding does not exceed the limit.
    let progress = (MAX_STEP_SHARE - EPSILON) / moved_share;
    let ready = |s: &usize| draft.is_ready(*s);
    let before_total: f64 = draft
        .before
        .lines
        .iter()
        .filter(|(s, _)| ready(s))
        .map(|(_, w)| w)
        .sum();
    let total = draft.table.total;
    let mut shares: BTreeMap<usize, f64> = BTreeMap::new();
    for (s, w) in draft.before.lines.iter().filter(|(s, _)| ready(s)) {
        *shares.entry(*s).or_default() += (1.0 - progress) * w / before_total;
    }
    for (s, w) in &draft.table.lines {
        *shares.entry(*s).or_default() += progress * w / total;
    }
    let exceeds_cap = |(s, share): (&usize, &f64)| *share > draft.cold_cap(*s) * (1.0 + EPSILON);
    if shares.iter().any(exceeds_cap) {
        return;
    }
    for (s, share) in shares {
        draft.set(s, share * total);
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

    /// Adds lines of the ready servers that `kind` selects: the present lines or, if there are
    /// none, listed weights.
    fn keep(&mut self, kind: impl Fn(usize) -> bool) {
        let present = self.before.lines.iter().map(|(s, w)| (*s, *w));
        let present = present.filter(|(s, _)| self.is_ready(*s) && kind(*s));
        let mut kept: Vec<(usize, f64)> = present.collect();
        if kept.is_empty() {
            let ready = self
                .part
                .members
                .iter()
                .filter(|s| self.is_ready(**s) && kind(**s));
            let listed = |s: &usize| (*s, self.guard.server_of(*s).listed_weight.max(EPSILON));
            kept = ready.map(listed).collect();
        }
        kept.into_iter().for_each(|(s, w)| self.set(s, w));
    }

    /// The highest share that a cold server may have: what all other parts may bring to it is
    /// subtracted first. A share that it already has may stay, unless the present tables overload
    /// it.
    fn cold_cap(&self, server: usize) -> f64 {
        let s = self.guard.server_of(server);
        if s.is_warm() || self.part.load <= 0.0 {
            return 1.0;
        }
        let current_share = self.before.share(server);
        let part_load = self.part.max_load(server);
        let total_load = self
            .guard
            .max_loads
            .get(&server)
            .copied()
            .unwrap_or(part_load);
        let other_load = (total_load - part_load).max(0.0);
        // Slightly less than allowed, so that rounding does not exceed the limit.
        let limit = MAX_COLD_LOAD_SHARE * s.overload_per_s * (1.0 - EPSILON);
        let allowed_share = (limit - other_load).max(0.0) / self.part.load;
        // While older tables bring it too much, the new one must not bring it more than the present
        // one.
        let allowed_share = match other_load + part_load > MAX_COLD_LOAD_SHARE * s.overload_per_s {
            true => allowed_share.min(current_share),
            false => allowed_share,
        };
        let overloaded = other_load + self.part.load * current_share > s.overload_per_s;
        (if overloaded {
            allowed_share
        } else {
            allowed_share.max(current_share)
        })
        .min(1.0)
    }

    /// The weights of the draft under their caps, if any weights keep them; `cap_overweight`: with
    /// caps on the share of one server.
    fn capped_weights(&self, cap_overweight: bool) -> Option<Vec<(usize, f64)>> {
        let lines = self.table.lines.iter();
        let wanted = lines.map(|(s, weight)| WantedWeight {
            weight: *weight,
            cap: self.cold_cap(*s).min(if cap_overweight {
                self.overweight_cap(*s)
            } else {
                1.0
            }),
        });
        let weights = apply_caps(&wanted.collect::<Vec<WantedWeight>>())?;
        Some(self.table.lines.keys().copied().zip(weights).collect())
    }

    /// The highest share that one server may have.
    fn overweight_cap(&self, server: usize) -> f64 {
        let listed_share =
            self.guard.server_of(server).listed_weight / self.total_listed.max(EPSILON);
        let cap = (OVERWEIGHT_RATIO * listed_share).max(OVERWEIGHT_SHARE);
        cap.max(self.before.share(server)).min(1.0)
    }

    /// The share that moves between ready servers.
    fn moved_share(&self) -> f64 {
        let ready = |s: &usize| self.is_ready(*s);
        let ready_total = |t: &Table| -> f64 {
            t.lines
                .iter()
                .filter(|(s, _)| ready(s))
                .map(|(_, w)| w)
                .sum()
        };
        let (before_total, next_total) = (ready_total(self.before), ready_total(&self.table));
        if before_total <= 0.0 || next_total <= 0.0 {
            return 0.0;
        }
        let lost = self
            .before
            .lines
            .iter()
            .filter(|(s, _)| ready(s))
            .map(|(s, w)| {
                let next = self.table.lines.get(s).copied().unwrap_or(0.0);
                (w / before_total - next / next_total).max(0.0)
            });
        lost.sum()
    }
}

impl Guard {
    /// The table that may be sent now, given all lines of a part as they are wanted.
    pub fn next_step(&self, part: usize, wanted: &[Line]) -> Step {
        let none = Part::default();
        let part_state = self.parts.get(&part).unwrap_or(&none);
        let nothing = Table::default();
        let before = part_state.newest.as_ref().unwrap_or(&nothing);
        let mut table = Table::default();
        wanted.iter().for_each(|l| table.set(l));
        let table = table.with_exact_total();
        // A line that is already open is not opened by this table: if its server is not ready, its
        // withdrawal is on its way.
        let opened = wanted
            .iter()
            .filter(|l| !before.lines.contains_key(&l.server));
        let opened: Vec<Line> = opened.copied().collect();
        let mut violations = self.apply_rules(part_state, &table, &opened);
        let overloaded: Vec<Violation> = self.overloaded(part_state, &table);
        violations.extend(overloaded);
        if violations.is_empty() {
            let weights = table.lines;
            return Step {
                weights,
                ..Step::default()
            };
        }
        let ready = part_state.members.iter().map(|s| self.server_of(*s));
        let ready = ready.filter(|s| s.admin_state == AdminState::Ready);
        let total_listed = ready.map(|s| s.listed_weight).sum();
        let mut draft = Draft {
            guard: self,
            part: part_state,
            before,
            table,
            total_listed,
        };
        for rule in RULES {
            rule(&mut draft);
            draft.table = draft.table.with_exact_total();
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
        let mut remaining = self.apply_rules(part_state, &table, &opened);
        remaining.extend(self.overloaded(part_state, &table));
        Step {
            weights: table.lines,
            violations,
            remaining,
            partial: true,
        }
    }

    /// Cold servers that the present tables overload and that the next table does not relieve
    /// enough: load has grown, or other servers have left, since the table was checked.
    fn overloaded(&self, part: &Part, next: &Table) -> Vec<Violation> {
        let mut out = Vec::new();
        for server in next.lines.keys() {
            let s = self.server_of(*server);
            if s.is_warm() || s.admin_state != AdminState::Ready {
                continue;
            }
            let part_load = part.max_load(*server);
            let other_load = self.max_loads.get(server).copied().unwrap_or(part_load) - part_load;
            let current_load = part.load * part.share(*server);
            let next_load = part.load * next.share(*server);
            let grows = next_load > current_load * (1.0 + EPSILON);
            if !grows
                && other_load + current_load > s.overload_per_s
                && other_load + next_load > MAX_COLD_LOAD_SHARE * s.overload_per_s * (1.0 + EPSILON)
            {
                out.push(Violation {
                    reason: Reason::Cold,
                    server: Some(*server),
                    found: other_load + next_load,
                    limit: MAX_COLD_LOAD_SHARE * s.overload_per_s,
                });
            }
        }
        out
    }

    /// The lines that a step changes against the newest table, with their weights (0: removed): all
    /// that are new or go away, and those that change by more than a little if the step is partial.
    pub fn changes(&self, part: usize, step: &Step) -> Vec<(usize, f64)> {
        let newest = self.parts.get(&part).and_then(|p| p.newest.as_ref());
        let nothing = BTreeMap::new();
        let before = newest.map_or(&nothing, |t| &t.lines);
        let mut out: Vec<(usize, f64)> = Vec::new();
        for (s, w) in &step.weights {
            let current = before.get(s).copied().unwrap_or(0.0);
            let min_change = if step.partial {
                MIN_CHANGE_SHARE
            } else {
                EPSILON
            };
            if (current - w).abs() > min_change * current.max(*w) || current == 0.0 {
                out.push((*s, *w));
            }
        }
        let removed = before.keys().filter(|s| !step.weights.contains_key(s));
        out.extend(removed.map(|s| (*s, 0.0)));
        out
    }
}
