//! Adapter between the simulator and the planner: decodes the simulator's events into method calls and
//! encodes the orders as actions. It maps names, units and ids, and decides nothing.

mod wire;

use dahliapoint::rules::Planner;
use dahliapoint::{Orders, RosterEntry, RosterUpdate, TryStats};
use dahliapoint_opening::parse_deployment;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, HashMap};
use wire::{Fields, ms};

/// Id of the only timer of an instance; setting it again replaces the earlier one.
const ALARM: u32 = 1;

/// All planner instances of this process. They share only the numbered roster lists.
#[derive(Default)]
pub struct Host {
    /// Lists of roster entries, by the number that events refer to.
    lists: BTreeMap<u64, Vec<wire::Entry>>,
    /// Every instance that was started, by name; none if it was stopped since.
    instances: BTreeMap<String, Option<Instance>>,
}

/// A planner and the ids that its indices stand for.
struct Instance {
    planner: Planner,
    /// Ids of the servers, by index.
    servers: Vec<u64>,
    /// Indices of the servers, by id.
    places: HashMap<u64, usize>,
    /// Number of zones.
    zones: u64,
    /// Number of classes.
    classes: u64,
}

impl Instance {
    /// Index of the server with this id; a new id gets the next index.
    fn place(&mut self, id: u64) -> usize {
        let next = self.servers.len();
        let place = *self.places.entry(id).or_insert(next);
        if place == next {
            self.servers.push(id);
        }
        place
    }
}

impl Host {
    /// Handles one batch of events, a JSON object, and returns the reply with the resulting actions.
    ///
    /// # Errors
    /// Names the event and the field that are invalid.
    pub fn handle_batch(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Value =
            serde_json::from_slice(line).map_err(|e| format!("not a JSON batch: {e}"))?;
        let batch = Fields::of(&batch, "batch", "batch")?;
        let turn = batch.whole("turn")?;
        let said = |e: String| format!("batch {turn}: {e}");
        let now = ms(batch.whole("atTimeNs").map_err(said)?);
        let events = batch.array("input").map_err(said)?;
        let mut concerned: Vec<&str> = Vec::new();
        for (number, event) in events.iter().enumerate() {
            let who = self
                .take(now, event)
                .map_err(|e| format!("batch {turn}, event {number}: {e}"))?;
            concerned.extend(who.filter(|who| !concerned.contains(who)));
        }
        // All events of a batch form one input: each instance concerned decides once.
        let mut actions = Vec::new();
        for who in concerned {
            if let Some(Some(i)) = self.instances.get_mut(who) {
                let orders = i.planner.decide(now);
                encode(who, i, orders, &mut actions);
            }
        }
        Ok(json!({"turn": turn, "actions": actions}).to_string())
    }

    /// Passes an event to the instance that it names. Returns that name, unless no decision is needed.
    fn take<'a>(&mut self, now: f64, event: &'a Value) -> Result<Option<&'a str>, String> {
        let name = Fields::of(event, "event", "event")?.text("verb")?;
        let f = Fields::of(event, "event", name)?;
        if name == "Catalog" {
            let entries = f.array("elements")?;
            let read: Result<Vec<_>, _> = entries.iter().map(wire::Entry::of).collect();
            self.lists.insert(f.below("sheet", 16)?, read?);
            return Ok(None);
        }
        let who = f.instance("who")?;
        if name == "Born" {
            let settings = f.object("settings")?;
            let opening = parse_deployment(&settings)
                .map_err(|e| format!("Born: {e}"))?
                .planner_settings;
            let (zones, classes) = (opening.zones as u64, opening.classes.len() as u64);
            let planner = Planner::new(now, f.whole("randomSeed")?, &opening);
            let instance = Instance {
                planner,
                servers: Vec::new(),
                places: HashMap::new(),
                zones,
                classes,
            };
            self.instances.insert(who.to_string(), Some(instance));
            return Ok(Some(who));
        }
        if name == "Retire" {
            self.instances.insert(who.to_string(), None);
            return Ok(None);
        }
        let lists = &self.lists;
        let Some(place) = self.instances.get_mut(who) else {
            return Err(f.wrong("who", "an instance that was started"));
        };
        let Some(i) = place else {
            return Ok(None);
        };
        match name {
            "Membership" => {
                let kind = f.text("kind")?;
                f.whole("gen")?;
                let extent = match kind {
                    "warm_copy" => RosterUpdate::Restored,
                    "total" => RosterUpdate::Snapshot,
                    "incr" => RosterUpdate::Changes,
                    "lost" => {
                        i.planner.roster_lost(now);
                        return Ok(Some(who));
                    }
                    _ => return Err(f.wrong("kind", "a kind of list")),
                };
                let sheet = f.below("sheet", 16)?;
                let entries = lists
                    .get(&sheet)
                    .ok_or_else(|| f.wrong("sheet", "a list"))?;
                let mut roster = Vec::with_capacity(entries.len());
                for entry in entries {
                    if entry.zone >= i.zones {
                        return Err(f.wrong("sheet", "a list of zones that the settings name"));
                    }
                    roster.push(RosterEntry {
                        server: i.place(entry.id),
                        zone: entry.zone as usize,
                        admin_state: entry.admin_state,
                        weight: entry.weight,
                        started_ms: entry.started_ms,
                    });
                }
                i.planner.roster_changed(now, extent, &roster);
            }
            "Connected" => {
                let zone = f.below("campus", i.zones)? as usize;
                f.flag("flag")?;
                let pace = f.number("heft")? / 1000.0;
                let proxy = f.below("agent", 65536)? as usize;
                i.planner.proxy_joined(proxy, zone, pace);
            }
            "DroppedOff" => i.planner.proxy_left(f.below("agent", 65536)? as usize),
            "Acked" => {
                f.whole("costTimeNs")?;
                let proxy = f.below("agent", 65536)? as usize;
                i.planner
                    .orders_applied(proxy, f.below("gen", 65536)? as u32);
            }
            "UpstreamStats" => {
                f.load("telemetry")?;
                let met = TryStats {
                    window_ms: ms(f.whole("windowNs")?),
                    zone: f.below("campus", i.zones)? as usize,
                    tries: f.whole("n")? as f64,
                    failed: f.whole("bad")? as f64,
                    mean_ms: ms(f.whole("costTimeNs")?),
                    server: i.place(f.below("backend", 1 << 32)?),
                };
                i.planner.tries_reported(now, &met);
            }
            "HealthResult" => {
                let took_ms = ms(f.whole("costTimeNs")?);
                f.load("telemetry")?;
                let fine = match f.text("rc")? {
                    "ok" => true,
                    "error" | "full" | "timeout" | "connect_failed" | "reset" | "cancelled"
                    | "moot" => false,
                    _ => return Err(f.wrong("rc", "an outcome")),
                };
                let server = i.place(f.below("backend", 1 << 32)?);
                i.planner.probe_answered(now, server, fine, took_ms);
            }
            "DeadlineHit" => {
                f.whole("ref")?;
            }
            "Ingress" => {
                f.whole("bad")?;
                let class = f.below("grade", i.classes)? as usize;
                let (visits, window) = (f.whole("n")? as f64, ms(f.whole("windowNs")?));
                let proxy = f.below("agent", 65536)? as usize;
                i.planner.visits_reported(proxy, class, visits, window);
            }
            // Events on shards and peers are checked, but no decision uses them.
            "Custody" => {
                f.whole("table")?;
                f.flag("flag")?;
            }
            "Held" => {
                f.whole("table")?;
                f.number("heft")?;
                f.below("backend", 1 << 32)?;
            }
            "Heat" => {
                for field in ["n", "windowNs", "table", "bad", "grade"] {
                    f.whole(field)?;
                }
            }
            "NeighbourSays" => {
                f.whole("src")?;
                f.text("bytes")?;
            }
            _ => return Err(format!("{name}: no such event")),
        }
        Ok(Some(who))
    }
}

/// Encodes orders as actions, in the order of the fields of [`Orders`].
fn encode(who: &str, i: &Instance, orders: Orders, out: &mut Vec<Value>) {
    let mut put = |verb: &str, fields: Value| {
        let mut action = Map::new();
        action.insert("verb".into(), verb.into());
        action.insert("who".into(), who.into());
        if let Value::Object(fields) = fields {
            action.extend(fields);
        }
        out.push(Value::Object(action));
    };
    for (table, server, weight) in orders.lines {
        let backend = i.servers[server];
        put(
            "PutLine",
            json!({"heft": weight, "table": table, "backend": backend}),
        );
    }
    for (table, class, share, tries) in orders.levels {
        let way = wire::way_of(tries);
        let mask = 1u64 << class;
        put(
            "Throttle",
            json!({"onFailure": way, "level": share, "table": table, "mask": mask}),
        );
    }
    for (server, out_of_all) in orders.withdrawals {
        put(
            "Mask",
            json!({"backend": i.servers[server], "flag": out_of_all}),
        );
    }
    for (proxy, table) in orders.bindings {
        put(
            "UseTable",
            json!({"mask": 0, "table": table, "agent": proxy}),
        );
    }
    if let Some(mark) = orders.mark {
        put("Mark", json!({"gen": mark, "flag": false}));
    }
    for server in orders.probes {
        put("HealthCheck", json!({"backend": i.servers[server]}));
    }
    if orders.request_roster {
        put("StreamChanges", json!({"flag": true}));
    }
    if let Some(at) = orders.wake_at {
        put("Sleep", json!({"atNs": wire::ns(at), "ref": ALARM}));
    }
    for text in orders.notes {
        put("WriteLog", json!({"text": text}));
    }
}
