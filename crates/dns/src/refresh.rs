//! When to look up next, and which targets hold meanwhile. An ordered list of rules decides what an answer changes. Free
//! of I/O and clock.
//!
//! The caller looks up at [`Refresh::next_lookup_at`], passes each answer to [`Refresh::handle_answer`], and reads the
//! current targets from [`Refresh::targets`]. Times are milliseconds.

use crate::{Answer, Target};

/// TTLs are clamped to this range, so that records with a TTL of 0 are not looked up without pause.
const TTL_RANGE_MS: (f64, f64) = (1_000.0, 300_000.0);
/// The next lookup starts after this share of the TTL, so that its answer is there when the TTL ends.
const REFRESH_SHARE: f64 = 0.8;
/// The first and the longest delay after failures; it doubles in between.
const RETRY_DELAYS_MS: (f64, f64) = (500.0, 30_000.0);
/// An answer that lacks more than this share of the current targets must be confirmed by a second one.
const MAX_LOST_SHARE: f64 = 0.5;

/// How current the targets are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Within their TTL.
    Fresh,
    /// Past their TTL, because lookups fail. They still hold: only an answer removes a host (RFC 8767, serving stale
    /// data).
    Stale,
    NeverAnswered,
}

/// The current targets and the schedule of lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refresh {
    targets: Vec<Target>,
    /// When the targets become stale; `None` before the first answer.
    fresh_until: Option<f64>,
    /// Failures in a row.
    failures: u32,
    next_lookup_at: f64,
    /// The targets of a smaller answer that is not confirmed yet.
    unconfirmed: Option<Vec<Target>>,
    pub lookups: u64,
    pub failed_lookups: u64,
    pub unconfirmed_answers: u64,
    pub last_error: Option<String>,
}

/// What an answer changes.
#[derive(Clone, Debug, PartialEq)]
enum Update {
    /// The targets are replaced; they hold for the TTL.
    Replace(Vec<Target>, f64),
    /// The current targets hold; the lookup is repeated soon, and these need a second answer.
    Confirm(Vec<Target>),
    /// The current targets hold; the lookup is retried with a growing delay.
    Retry(String),
}

type Rule = fn(&Refresh, &Answer) -> Option<Update>;

const RULES: [Rule; 4] = [
    retry_after_failure,
    confirm_much_smaller_answer,
    accept_no_records,
    accept_targets,
];

/// Guards against taking a failed lookup for an empty list.
fn retry_after_failure(_: &Refresh, a: &Answer) -> Option<Update> {
    match a {
        Answer::Failed(why) => Some(Update::Retry(why.clone())),
        _ => None,
    }
}

/// Guards against an answer that is truncated without the flag, a DNS server that has just started with half of a zone,
/// and a zone emptied by mistake. Where so many hosts really disappear at once, it costs one more lookup.
fn confirm_much_smaller_answer(r: &Refresh, a: &Answer) -> Option<Update> {
    let found: &[Target] = match a {
        Answer::Targets(found, _) => found,
        _ => &[],
    };
    let kept = r
        .targets
        .iter()
        .filter(|t| found.iter().any(|f| f.address == t.address));
    let lost = r.targets.len() - kept.count();
    let much_smaller = lost as f64 > MAX_LOST_SHARE * r.targets.len() as f64;
    let confirmed = r
        .unconfirmed
        .as_deref()
        .is_some_and(|before| same_addresses(before, found));
    (much_smaller && !confirmed).then(|| Update::Confirm(found.to_vec()))
}

fn accept_no_records(_: &Refresh, a: &Answer) -> Option<Update> {
    match a {
        Answer::NoRecords(ttl_ms) => Some(Update::Replace(Vec::new(), *ttl_ms)),
        _ => None,
    }
}

fn accept_targets(_: &Refresh, a: &Answer) -> Option<Update> {
    match a {
        Answer::Targets(found, ttl_ms) => Some(Update::Replace(found.clone(), *ttl_ms)),
        _ => None,
    }
}

/// Whether both have the same addresses, in any order.
fn same_addresses(a: &[Target], b: &[Target]) -> bool {
    a.len() == b.len() && a.iter().all(|t| b.iter().any(|o| o.address == t.address))
}

impl Refresh {
    /// The state after a restart: targets of an earlier run, stale until the first answer.
    pub fn restored(targets: Vec<Target>) -> Refresh {
        Refresh {
            fresh_until: Some(f64::NEG_INFINITY),
            targets,
            ..Refresh::default()
        }
    }

    /// When to look up next.
    pub fn next_lookup_at(&self) -> f64 {
        self.next_lookup_at
    }

    /// Takes the answer of a lookup; true if the targets may have changed.
    pub fn handle_answer(&mut self, now: f64, answer: &Answer) -> bool {
        self.lookups += 1;
        let update = RULES.iter().find_map(|rule| rule(self, answer));
        match update {
            Some(Update::Replace(mut targets, ttl_ms)) => {
                targets.sort_by_key(|t| t.address);
                targets.dedup_by_key(|t| t.address);
                let ttl_ms = if ttl_ms.is_finite() {
                    ttl_ms.clamp(TTL_RANGE_MS.0, TTL_RANGE_MS.1)
                } else {
                    TTL_RANGE_MS.0
                };
                let changed = targets != self.targets || self.fresh_until.is_none();
                (self.targets, self.unconfirmed, self.failures) = (targets, None, 0);
                self.fresh_until = Some(now + ttl_ms);
                self.next_lookup_at = now + ttl_ms * REFRESH_SHARE;
                self.last_error = None;
                changed
            }
            Some(Update::Confirm(found)) => {
                self.unconfirmed_answers += 1;
                self.unconfirmed = Some(found);
                self.next_lookup_at = now + TTL_RANGE_MS.0;
                false
            }
            Some(Update::Retry(why)) => {
                self.failed_lookups += 1;
                let factor = f64::from(1_u32 << self.failures.min(16));
                self.failures += 1;
                self.next_lookup_at = now + (RETRY_DELAYS_MS.0 * factor).min(RETRY_DELAYS_MS.1);
                self.last_error = Some(why);
                false
            }
            None => false,
        }
    }

    /// The current targets, and how current they are.
    pub fn targets(&self, now: f64) -> (&[Target], Freshness) {
        let freshness = match self.fresh_until {
            Some(until) if now < until => Freshness::Fresh,
            Some(_) => Freshness::Stale,
            None => Freshness::NeverAnswered,
        };
        (&self.targets, freshness)
    }
}

#[cfg(test)]
mod tests;
