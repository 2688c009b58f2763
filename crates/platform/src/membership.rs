//! Tracks which proxies are joined, from several followers of the relay's event stream.
//!
//! A follower is one subscription. It begins with a snapshot of the joined proxies and then reports
//! every join and leave once, in order. As long as one follower is uninterrupted nothing is missed, so
//! another one that reconnects must not change anything. Therefore the joins and leaves of each proxy
//! are counted, per follower and overall (the proxy's epoch, odd while it is joined), and an event is a
//! change only if it is ahead of the overall count. The rules, in order:
//!
//! 1. **Authoritative**: a follower that starts while no other is active is authoritative. A proxy may
//!    have left and rejoined unseen and lost its binding, so every proxy in its snapshot gets a new
//!    epoch.
//! 2. **Linked**: a follower that starts while another is trusted becomes trusted itself at the next
//!    event of that one, since there is no gap between the two streams. Trusted followers are those
//!    that are authoritative or linked, and not silent.
//! 3. **Promoted**: when the last trusted follower ends or falls silent, the oldest remaining one
//!    becomes authoritative, also for what it has already reported.
//! 4. **Estimated**: a snapshot has states, not counts, and may be older or newer than what other
//!    followers have reported. While followers may lag behind each other, the smallest count that fits
//!    the state is assumed, so that the follower that is ahead reports the change. After that time,
//!    equal states mean equal counts.
//! 5. **Last trusted**: when one trusted follower remains, its state decides at once, and each
//!    difference is a change.

use std::collections::BTreeMap;

/// Followers lag behind each other by less than this. A younger difference between a snapshot and the
/// known state may be lag; an older one is a change.
pub const MAX_FOLLOWER_LAG_MS: f64 = 1500.0;

/// A change of the set of joined proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MembershipChange {
    Joined {
        proxy: usize,
        zone: usize,
        visits_per_ms: f64,
    },
    Left {
        proxy: usize,
    },
}

/// The state of a proxy as merged from all followers.
#[derive(Clone, Copy, Default)]
struct ProxyState {
    /// Number of joins and leaves; odd while the proxy is joined.
    epoch: u64,
    /// The epoch before the latest changes, which some followers may not have reported yet.
    quiet_epoch: u64,
    /// Time of the last change (ms).
    changed_at: f64,
    zone: usize,
    visits_per_ms: f64,
}

impl ProxyState {
    fn is_joined(&self) -> bool {
        self.epoch % 2 == 1
    }

    /// Whether all followers have reported the last change by now.
    fn is_quiet(&self, now: f64) -> bool {
        now - self.changed_at >= MAX_FOLLOWER_LAG_MS
    }

    /// Records a change.
    fn advance_to(&mut self, epoch: u64, now: f64) {
        if self.is_quiet(now) {
            self.quiet_epoch = self.epoch;
        }
        (self.epoch, self.changed_at) = (epoch, now);
    }

    /// Rule 4: the smallest number from `quiet_epoch` on that fits the given state.
    fn smallest_epoch(&self, joined: bool) -> u64 {
        self.quiet_epoch + u64::from((self.quiet_epoch % 2 == 1) != joined)
    }
}

/// The number of joins and leaves of a proxy that a follower has reported.
#[derive(Clone, Copy)]
struct ReportedEpoch {
    epoch: u64,
    /// Whether it is estimated from a snapshot, which has no counts.
    estimated: bool,
}

impl ReportedEpoch {
    fn exact(epoch: u64) -> ReportedEpoch {
        let estimated = false;
        ReportedEpoch { epoch, estimated }
    }

    fn estimated(epoch: u64) -> ReportedEpoch {
        let estimated = true;
        ReportedEpoch { epoch, estimated }
    }

    fn is_joined(self) -> bool {
        self.epoch % 2 == 1
    }

    /// Rule 4: an estimate that agrees with the proxy's state becomes exact once no follower lags behind.
    fn resolved(self, state: &ProxyState, now: f64) -> ReportedEpoch {
        let same = self.is_joined() == state.is_joined();
        match self.estimated && same && state.is_quiet(now) {
            true => ReportedEpoch::exact(state.epoch),
            false => self,
        }
    }
}

/// One subscription to the event stream.
struct Follower {
    /// Position in the order in which followers started.
    sequence: u64,
    /// Whether its snapshot is complete.
    snapshot_complete: bool,
    /// Rules 1 and 3.
    authoritative: bool,
    /// Rule 2.
    linked: bool,
    /// Whether its heartbeat is overdue; it is not trusted until its next event.
    silent: bool,
    /// What it has reported, by proxy.
    reported: BTreeMap<usize, ReportedEpoch>,
}

impl Follower {
    /// Whether no event is missing from its stream (rules 1 to 3).
    fn is_trusted(&self) -> bool {
        (self.authoritative || self.linked) && !self.silent
    }

    /// Returns what it has reported of a proxy, or `None` while its snapshot is incomplete. A proxy
    /// missing from a complete snapshot counts as not joined.
    fn reported_epoch(&self, proxy: usize) -> Option<ReportedEpoch> {
        let unknown = self
            .snapshot_complete
            .then_some(ReportedEpoch::estimated(0));
        self.reported.get(&proxy).copied().or(unknown)
    }
}

/// Merges the event streams of several followers into one sequence of joins and leaves.
#[derive(Default)]
pub struct Membership {
    proxies: BTreeMap<usize, ProxyState>,
    /// The streams that are open, by the caller's number.
    followers: BTreeMap<u32, Follower>,
    /// Number of followers started so far.
    started_count: u64,
}

impl Membership {
    /// Whether a proxy is joined.
    pub fn is_joined(&self, proxy: usize) -> bool {
        self.proxies.get(&proxy).is_some_and(ProxyState::is_joined)
    }

    /// Returns a proxy's epoch. A binding is valid only in the epoch for which it was made.
    pub fn epoch(&self, proxy: usize) -> u64 {
        self.proxies.get(&proxy).map_or(0, |state| state.epoch)
    }

    /// Returns the number of joined proxies.
    pub fn count(&self) -> usize {
        let joined = self.proxies.values().filter(|state| state.is_joined());
        joined.count()
    }

    /// Whether another follower than this one is trusted.
    fn has_other_trusted(&self, id: u32) -> bool {
        let mut others = self.followers.iter().filter(|(other, _)| **other != id);
        others.any(|(_, follower)| follower.is_trusted())
    }

    /// A follower's stream starts; its snapshot comes next.
    pub fn follower_started(&mut self, id: u32) {
        self.followers.remove(&id);
        let authoritative = self.followers.values().all(|follower| follower.silent);
        if authoritative {
            // The silent followers' counts predate this one, so later events of theirs are ignored.
            self.followers.clear();
        }
        self.started_count += 1;
        let new = Follower {
            sequence: self.started_count,
            snapshot_complete: false,
            authoritative,
            linked: false,
            silent: false,
            reported: BTreeMap::new(),
        };
        self.followers.insert(id, new);
    }

    /// A follower's heartbeat is overdue.
    pub fn follower_silent(&mut self, id: u32, now: f64, out: &mut Vec<MembershipChange>) {
        if let Some(follower) = self.followers.get_mut(&id) {
            follower.silent = true;
            self.apply_trust_rules(now, out);
        }
    }

    /// Anything arrived from a follower, so its stream has had no gap so far.
    pub fn follower_active(&mut self, id: u32) {
        let Some(follower) = self.followers.get_mut(&id) else {
            return;
        };
        // The first event after a silence may be old: it links no follower that started meanwhile.
        let was_silent = std::mem::replace(&mut follower.silent, false);
        if follower.is_trusted() && !was_silent {
            let sequence = follower.sequence;
            let others = self.followers.values_mut();
            let later = others.filter(|other| other.sequence > sequence);
            later.for_each(|other| other.linked = true);
        }
    }

    /// A follower's stream ended.
    pub fn follower_ended(&mut self, id: u32, now: f64, out: &mut Vec<MembershipChange>) {
        if self.followers.remove(&id).is_some() {
            self.apply_trust_rules(now, out);
        }
    }

    /// After a follower ended or fell silent: promotes the oldest one if none is trusted (rule 3), and
    /// lets the last trusted one decide (rule 5).
    fn apply_trust_rules(&mut self, now: f64, out: &mut Vec<MembershipChange>) {
        let followers = self.followers.iter();
        let active = followers.filter(|(_, follower)| !follower.silent);
        let trusted = active.clone().filter(|(_, follower)| follower.is_trusted());
        let trusted: Vec<u32> = trusted.map(|(id, _)| *id).collect();
        let oldest = active.min_by_key(|(_, follower)| follower.sequence);
        let oldest = oldest.map(|(id, _)| *id);
        let (decider, promoted) = match (&trusted[..], oldest) {
            ([], Some(oldest)) => (oldest, true),
            ([decider], _) => (*decider, false),
            _ => return,
        };
        if promoted {
            self.followers.retain(|_, follower| !follower.silent);
        }
        let Some(follower) = self.followers.get_mut(&decider) else {
            return;
        };
        follower.authoritative |= promoted;
        for (proxy, state) in &mut self.proxies {
            let proxy = *proxy;
            let Some(reported) = follower.reported_epoch(proxy) else {
                continue;
            };
            if !reported.estimated && !promoted {
                continue;
            }
            let left = MembershipChange::Left { proxy };
            let joined = MembershipChange::Joined {
                proxy,
                zone: state.zone,
                visits_per_ms: state.visits_per_ms,
            };
            match (reported.is_joined(), state.is_joined()) {
                (true, true) if promoted => {
                    state.advance_to(state.epoch + 2, now);
                    out.extend([left, joined]);
                }
                (true, true) | (false, false) => {}
                (true, false) => {
                    state.advance_to(state.epoch + 1, now);
                    out.push(joined);
                }
                (false, true) => {
                    state.advance_to(state.epoch + 1, now);
                    out.push(left);
                }
            }
            let exact = ReportedEpoch::exact(state.epoch);
            follower.reported.insert(proxy, exact);
        }
        // The overall counts may have changed: the other followers' counts are estimates now.
        for (_, other) in self.followers.iter_mut().filter(|(id, _)| **id != decider) {
            let reported = other.reported.values_mut();
            reported.for_each(|epoch| epoch.estimated = true);
        }
    }

    /// A follower reports that a proxy is joined, in its snapshot or as a join.
    pub fn hello(
        &mut self,
        id: u32,
        proxy: usize,
        zone: usize,
        visits_per_ms: f64,
        now: f64,
        out: &mut Vec<MembershipChange>,
    ) {
        let other_trusted = self.has_other_trusted(id);
        let Some(follower) = self.followers.get_mut(&id) else {
            return;
        };
        let state = self.proxies.entry(proxy).or_default();
        (state.zone, state.visits_per_ms) = (zone, visits_per_ms);
        let (joined, quiet) = (state.is_joined(), state.is_quiet(now));
        let reported = follower.reported_epoch(proxy);
        let next = match reported.map(|reported| reported.resolved(state, now)) {
            // Rule 1: it may have left and rejoined unseen.
            None if follower.authoritative && joined => ReportedEpoch::exact(state.epoch + 2),
            None if other_trusted && !quiet => ReportedEpoch::estimated(state.smallest_epoch(true)),
            None if joined => ReportedEpoch::exact(state.epoch),
            None => ReportedEpoch::exact(state.epoch + 1),
            // A second join in one stream implies a leave in between.
            Some(ReportedEpoch { epoch, estimated }) => {
                let epoch = epoch + if epoch % 2 == 1 { 2 } else { 1 };
                ReportedEpoch { epoch, estimated }
            }
        };
        follower.reported.insert(proxy, next);
        if next.epoch > state.epoch {
            state.advance_to(next.epoch, now);
            if joined {
                out.push(MembershipChange::Left { proxy });
            }
            out.push(MembershipChange::Joined {
                proxy,
                zone,
                visits_per_ms,
            });
        }
    }

    /// A follower reports that a proxy left.
    pub fn bye(&mut self, id: u32, proxy: usize, now: f64, out: &mut Vec<MembershipChange>) {
        self.end_snapshot(id, now, out);
        let Some(follower) = self.followers.get_mut(&id) else {
            return;
        };
        let state = self.proxies.entry(proxy).or_default();
        let reported = follower.reported_epoch(proxy);
        let reported = reported.map(|reported| reported.resolved(state, now));
        let Some(mut reported) = reported.filter(|reported| reported.is_joined()) else {
            return;
        };
        reported.epoch += 1;
        follower.reported.insert(proxy, reported);
        if reported.epoch > state.epoch {
            state.advance_to(reported.epoch, now);
            out.push(MembershipChange::Left { proxy });
        }
    }

    /// Ends a follower's snapshot, as any event but a join does: a proxy missing from it has left.
    pub fn end_snapshot(&mut self, id: u32, now: f64, out: &mut Vec<MembershipChange>) {
        let other_trusted = self.has_other_trusted(id);
        let Some(follower) = self.followers.get_mut(&id) else {
            return;
        };
        if std::mem::replace(&mut follower.snapshot_complete, true) {
            return;
        }
        for (proxy, state) in &mut self.proxies {
            if follower.reported.contains_key(proxy) {
                continue;
            }
            let reported = match (other_trusted && !state.is_quiet(now), state.is_joined()) {
                (true, _) => ReportedEpoch::estimated(state.smallest_epoch(false)),
                (false, false) => ReportedEpoch::exact(state.epoch),
                (false, true) => {
                    state.advance_to(state.epoch + 1, now);
                    out.push(MembershipChange::Left { proxy: *proxy });
                    ReportedEpoch::exact(state.epoch)
                }
            };
            follower.reported.insert(*proxy, reported);
        }
    }

    /// Starts a new epoch of a joined proxy, because commands sent to it may be lost.
    pub fn renew_epoch(&mut self, proxy: usize) {
        // The followers' counts move along, so that their next events still count as changes.
        if let Some(state) = self.proxies.get_mut(&proxy) {
            (state.epoch, state.quiet_epoch) = (state.epoch + 2, state.quiet_epoch + 2);
            for follower in self.followers.values_mut() {
                if let Some(reported) = follower.reported.get_mut(&proxy) {
                    reported.epoch += 2;
                }
            }
        }
    }
}
