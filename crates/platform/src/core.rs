//! The core: inputs of one moment in, what is to be done out. It drives the one planner directly and
//! decides nothing itself beyond the rules of [`crate::delivery`] and [`crate::joined`].

use crate::arriving::Report;
use crate::delivery::{Call, Delivery, Outcome, Returned};
use crate::discovery::List;
use crate::joined::{Change, Joined};
use crate::places::Places;
use crate::relay::{Names, News, Order};
use dahliapoint::rules::Planner;
use dahliapoint::{AdminState, Orders, RosterEntry, RosterUpdate, TryStats};
use dahliapoint_opening::Deployment;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What discovery has to tell counts as told no later than this long after (PROTOCOL, "Figures"; ms): no
/// discovery is further behind.
pub const TOLD_WITHIN_MS: f64 = 6000.0;

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// What a watch brought; watches are numbered in the order in which they asked.
    List {
        watch: u32,
        list: List,
    },
    News {
        follower: u32,
        news: News,
    },
    /// A follower's sign of life has stayed away.
    Silent {
        follower: u32,
    },
    /// A follower's connection is over.
    Unfollowed {
        follower: u32,
    },
    Report(Report),
    Probed {
        probe: Asked,
        fine: bool,
        took_ms: f64,
    },
    /// A probe that was never sent tells nothing of the server.
    Unasked(Asked),
    Called {
        number: u64,
        outcome: Outcome,
    },
}

/// What a probe was sent to: an index, and which name's turn it was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    pub server: usize,
    pub turn: u32,
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct Effects {
    pub call: Option<Call>,
    pub probes: Vec<(Asked, SocketAddr)>,
    /// Call again at this time at the latest.
    pub wake_at: Option<f64>,
    /// For the operators' log.
    pub notes: Vec<String>,
}

/// Counts of what was left out, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub reports: u64,
    /// Reports that named a server or a proxy that is not known.
    pub strangers: u64,
    pub old_lists: u64,
}

struct NamesOf<'a>(&'a Places, &'a Deployment);

impl Names for NamesOf<'_> {
    fn server(&self, index: usize) -> &str {
        &self.0.all[index].name
    }

    fn class(&self, index: usize) -> &str {
        &self.1.classes[index]
    }
}

pub struct Core {
    planner: Planner,
    told: Deployment,
    places: Places,
    joined: Joined,
    delivery: Delivery,
    /// The table that each joined proxy was bound to.
    tables: BTreeMap<usize, usize>,
    /// The newest list's version.
    index: u64,
    /// Watches from this one on ask by the numbering that counts.
    first_watch: u32,
    /// Since when, and by which watch, whole lists lie below the version that stands.
    below: Option<(f64, u32)>,
    alarm: Option<f64>,
    pub tally: Tally,
}

impl Core {
    /// Begins at that time, with the list as it was last known.
    pub fn begun(now: f64, seed: u64, told: Deployment, known: &List) -> Core {
        let opening = &told.planner_settings;
        let mut core = Core {
            planner: Planner::new(now, seed, opening),
            places: Places::default(),
            joined: Joined::default(),
            delivery: Delivery::of(
                opening.message_latency_ms,
                opening.max_queued_lines,
                opening.lines_per_ms,
            ),
            tables: BTreeMap::new(),
            index: known.index,
            first_watch: 0,
            below: None,
            alarm: Some(now),
            tally: Tally::default(),
            told,
        };
        core.listed(now, known, RosterUpdate::Restored);
        core
    }

    /// The version to ask discovery for the changes after.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// One line on the whole, and one on each server that is listed: what the module believes of it
    /// (see [`dahliapoint::ServerStatus`]). For the operators' debug log.
    pub fn beliefs(&self) -> Vec<String> {
        let (queued, doubted) = self.delivery.waiting();
        let mut out = vec![format!(
            "joined {} queued {queued} doubted {doubted} reports {} of strangers {} old lists {}",
            self.joined.count(),
            self.tally.reports,
            self.tally.strangers,
            self.tally.old_lists
        )];
        for (place, b) in self.places.all.iter().zip(self.planner.server_statuses()) {
            if place.standing == AdminState::Gone {
                continue;
            }
            out.push(format!(
                "server {} {:?} line {:.3} health {:.2} out {} cold {} tries {:.1} failed {:.1} mean_ms {:.1}",
                place.name, place.standing, b.published_weight, b.health, b.withdrawn, b.cold, b.tries, b.failed, b.mean_ms
            ));
        }
        out
    }

    /// Takes all that came at one moment, decides once, and tells what is to be done.
    pub fn step(&mut self, now: f64, inputs: impl IntoIterator<Item = Input>) -> Effects {
        let (mut effects, mut returned) = (Effects::default(), Returned::default());
        let mut told = false;
        for input in inputs {
            told |= self.take(now, input, &mut returned);
        }
        if self.alarm.is_some_and(|at| at <= now) {
            (self.alarm, told) = (None, true);
        }
        if told {
            self.decide(now, &mut effects);
        }
        // What a doubt gives back is news to the planner: once more, and no more than that.
        effects.call = self.next_call(now, &mut returned);
        if !returned.unbound.is_empty() {
            self.give_back(std::mem::take(&mut returned.unbound));
            self.decide(now, &mut effects);
            if effects.call.is_none() {
                effects.call = self.next_call(now, &mut returned);
            }
        }
        effects.notes.append(&mut returned.notes);
        let wakes = self.alarm.into_iter().chain(self.delivery.wake());
        effects.wake_at = wakes.min_by(f64::total_cmp);
        effects
    }

    fn next_call(&mut self, now: f64, returned: &mut Returned) -> Option<Call> {
        let names = NamesOf(&self.places, &self.told);
        let joined = &self.joined;
        let stands = |(proxy, turn)| joined.is_joined(proxy) && joined.turn(proxy) == turn;
        self.delivery.next(now, &names, &stands, returned)
    }

    /// Tells whether the planner was told anything.
    fn take(&mut self, now: f64, input: Input, returned: &mut Returned) -> bool {
        match input {
            Input::List { watch, list } => {
                let extent = match list.whole {
                    true => RosterUpdate::Snapshot,
                    false => RosterUpdate::Changes,
                };
                if !self.counts(now, watch, &list, returned) {
                    self.tally.old_lists += 1;
                    return false;
                }
                for fault in &list.left_out {
                    returned
                        .notes
                        .push(format!("list {}: left out: {fault}", list.index));
                }
                self.index = list.index;
                self.listed(now, &list, extent);
                true
            }
            Input::News { follower, news } => self.news(now, follower, news),
            Input::Silent { follower } => {
                let mut changes = Vec::new();
                self.joined.silent(follower, now, &mut changes);
                self.tell_joined(&changes)
            }
            Input::Unfollowed { follower } => {
                let mut changes = Vec::new();
                self.joined.ended(follower, now, &mut changes);
                self.tell_joined(&changes)
            }
            Input::Report(report) => self.report(now, &report),
            Input::Probed {
                probe,
                fine,
                took_ms,
            } => {
                let Some(place) = self.places.all.get_mut(probe.server) else {
                    return false;
                };
                if place.turn != probe.turn {
                    return false;
                }
                place.asked = false;
                self.planner
                    .probe_answered(now, probe.server, fine, took_ms);
                true
            }
            Input::Unasked(probe) => {
                let place = self.places.all.get_mut(probe.server);
                if let Some(place) = place.filter(|p| p.turn == probe.turn) {
                    place.asked = false;
                }
                false
            }
            Input::Called { number, outcome } => {
                self.delivery.ended(now, number, outcome, returned);
                false
            }
        }
    }

    /// Versions never go back, and a list told twice changes nothing: a watch beside another, or bytes
    /// that were held up, tell what is past. Discovery itself may begin its versions anew: then a
    /// watch that asks for what came after ours is told a whole list below it, and another one still
    /// is once no discovery can be that far behind. From then on older watches tell nothing.
    fn counts(&mut self, now: f64, watch: u32, list: &List, returned: &mut Returned) -> bool {
        if watch < self.first_watch {
            return false;
        }
        if list.index > self.index || list.index == self.index && list.whole {
            self.below = None;
            return true;
        }
        if !list.whole {
            return false;
        }
        let (since, first) = *self.below.get_or_insert((now, watch));
        let anew = list.index < self.index && watch > first && now - since >= TOLD_WITHIN_MS;
        if anew {
            (self.first_watch, self.below) = (watch, None);
            let (old, new) = (self.index, list.index);
            returned.notes.push(format!(
                "discovery's versions begin anew: {new} after {old}"
            ));
        }
        anew
    }

    fn listed(&mut self, now: f64, list: &List, extent: RosterUpdate) {
        self.places.forget(now, &self.delivery.servers());
        let mut roster = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            // One that nobody here ever knew cannot leave.
            if entry.standing == AdminState::Gone && self.places.find(&entry.name).is_none() {
                continue;
            }
            let server = self.places.place(entry, now);
            roster.push(RosterEntry {
                server,
                zone: entry.zone,
                admin_state: entry.standing,
                weight: entry.weight,
                started_ms: self.places.all[server].started,
            });
        }
        if extent != RosterUpdate::Changes {
            let listed: Vec<usize> = roster.iter().map(|l| l.server).collect();
            self.places.gone_but(&listed, now);
        }
        self.planner.roster_changed(now, extent, &roster);
    }

    fn news(&mut self, now: f64, follower: u32, news: News) -> bool {
        let mut changes = Vec::new();
        let mut told = false;
        self.joined.heard(follower);
        match news {
            News::Begun => self.joined.begun(follower),
            News::Hello {
                proxy, zone, pace, ..
            } => self
                .joined
                .hello(follower, (proxy, zone, pace / 1000.0), now, &mut changes),
            News::Bye { proxy } => self.joined.bye(follower, proxy, now, &mut changes),
            News::Alive => self.joined.settle(follower, now, &mut changes),
            News::Ack { proxy, mark } => {
                self.joined.settle(follower, now, &mut changes);
                if self.joined.is_joined(proxy) {
                    self.planner.orders_applied(proxy, mark);
                    self.delivery.answered(mark);
                    told = true;
                }
            }
        }
        self.tell_joined(&changes) || told
    }

    /// Tells whether there was anything to tell.
    fn tell_joined(&mut self, changes: &[Change]) -> bool {
        for change in changes {
            match change {
                Change::Joined { proxy, zone, pace } => {
                    self.planner.proxy_joined(*proxy, *zone, *pace);
                }
                Change::Left { proxy } => {
                    self.planner.proxy_left(*proxy);
                    self.tables.remove(proxy);
                }
            }
        }
        !changes.is_empty()
    }

    /// Bindings that were not carried out: the planner binds anew, at its own pace.
    fn give_back(&mut self, unbound: Vec<(usize, u64)>) {
        for (proxy, turn) in unbound {
            if self.joined.is_joined(proxy) && self.joined.turn(proxy) == turn {
                self.joined.turn_over(proxy);
                self.planner.binding_lost(proxy);
                self.tables.remove(&proxy);
            }
        }
    }

    fn report(&mut self, now: f64, report: &Report) -> bool {
        self.tally.reports += 1;
        match report {
            Report::Outcomes {
                zone,
                server,
                tries,
                failed,
                mean_ms,
                span_ms,
            } => {
                let Some(server) = self.places.find(server) else {
                    self.tally.strangers += 1;
                    return false;
                };
                let met = TryStats {
                    zone: *zone,
                    server,
                    tries: *tries,
                    failed: *failed,
                    window_ms: *span_ms,
                    mean_ms: *mean_ms,
                };
                self.planner.tries_reported(now, &met);
            }
            Report::Demand {
                proxy,
                class,
                visits,
                span_ms,
            } => {
                if !self.joined.is_joined(*proxy) {
                    self.tally.strangers += 1;
                    return false;
                }
                self.planner
                    .visits_reported(*proxy, *class, *visits, *span_ms);
            }
        }
        true
    }

    fn decide(&mut self, now: f64, effects: &mut Effects) {
        let orders = self.planner.decide(now);
        if let Some(at) = orders.wake_at {
            self.alarm = Some(at);
        }
        for server in &orders.probes {
            let place = &mut self.places.all[*server];
            if let Some(address) = place.address {
                place.asked = true;
                let asked = Asked {
                    server: *server,
                    turn: place.turn,
                };
                effects.probes.push((asked, address));
            }
        }
        for (table, server, weight) in &orders.lines {
            self.places.wrote(*server, *table, *weight, now);
        }
        let named = orders.notes.iter().map(|note| self.named(note));
        effects.notes.extend(named);
        let joined = &self.joined;
        let turns = orders.bindings.iter().map(|b| (b.0, joined.turn(b.0)));
        let turns = turns.collect();
        let mark = orders.mark;
        let lines = self.cost(&orders);
        self.tables.extend(orders.bindings.iter().copied());
        self.delivery.add(in_order(orders), turns, mark, lines);
    }

    /// A note of the planner's, with names in the place of indices.
    fn named(&self, note: &str) -> String {
        let mut words = note.splitn(3, ' ');
        let (Some(kind), Some(index), Some(rest)) = (words.next(), words.next(), words.next())
        else {
            return note.to_string();
        };
        let name = index.parse().ok().and_then(|index: usize| match kind {
            "server" => self.places.all.get(index).map(|p| p.name.as_str()),
            "zone" => self.told.zones.get(index).map(String::as_str),
            _ => None,
        });
        name.map_or_else(|| note.to_string(), |name| format!("{kind} {name} {rest}"))
    }

    /// The lines that orders cost in the channel: each proxy concerned is sent one message, of a head
    /// and its lines.
    fn cost(&self, orders: &Orders) -> f64 {
        let head = self.told.planner_settings.message_overhead_lines + 1.0;
        let mut changes: BTreeMap<usize, f64> = BTreeMap::new();
        let lines = orders.lines.iter().map(|l| l.0);
        for table in lines.chain(orders.levels.iter().map(|l| l.0)) {
            *changes.entry(table).or_default() += 1.0;
        }
        let mut everywhere = 0.0;
        for (server, _) in &orders.withdrawals {
            match self.places.all[*server].table {
                Some(table) => *changes.entry(table).or_default() += 1.0,
                None => everywhere += 1.0,
            }
        }
        let told = self.tables.values().map(|table| {
            let lines = changes.get(table).unwrap_or(&0.0) + everywhere;
            if lines > 0.0 { lines + head } else { 0.0 }
        });
        let whole = |table: usize| {
            let of = self.places.all.iter().filter(|p| p.table == Some(table));
            of.count() as f64 + self.told.classes.len() as f64 + head
        };
        let bound = orders.bindings.iter().map(|(_, table)| whole(*table));
        told.chain(bound).sum()
    }
}

/// As one message a proxy, in the order of the fields of [`Orders`].
fn in_order(orders: Orders) -> Vec<Order> {
    let lines = orders.lines.into_iter();
    let lines = lines.map(|(table, server, weight)| Order::Share {
        table,
        server,
        weight,
    });
    let levels = orders.levels.into_iter();
    let levels = levels.map(|(table, class, share, tries)| Order::Admit {
        table,
        class,
        share,
        tries,
    });
    let shuts = orders.withdrawals.into_iter();
    let shuts = shuts.map(|(server, out)| Order::Shut { server, out });
    let binds = orders.bindings.into_iter();
    let binds = binds.map(|(proxy, table)| Order::Bind { proxy, table });
    lines.chain(levels).chain(shuts).chain(binds).collect()
}
