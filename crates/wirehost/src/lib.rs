//! Adapter between the simulator and the planner: decodes the simulator's events into method calls and
//! encodes the orders as actions. It maps names, units and ids, and decides nothing.

mod wire;

use dahliapoint::rules::Planner;
use dahliapoint::{Orders, RosterEntry, RosterUpdate, TryStats};
use dahliapoint_opening::parse_deployment;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, HashMap};
use wire::{Fields, ListEntry, ms_from_ns, ns_from_ms};

/// Id of the only timer of an instance; setting it again replaces the earlier one.
const TIMER_ID: u32 = 1;
/// Roster lists are numbered below this.
const LIST_IDS: u64 = 16;
/// Proxies are numbered below this.
const PROXY_IDS: u64 = 65536;
/// Servers are numbered below this.
const SERVER_IDS: u64 = 1 << 32;
/// Marks are below this.
const MARKS: u64 = 65536;

/// All planner instances of this process. They share only the numbered roster lists.
#[derive(Default)]
pub struct Host {
    /// Lists of roster entries, by the number that events refer to.
    lists: BTreeMap<u64, Vec<ListEntry>>,
    /// Every instance that was started, by name; none if it was stopped since.
    instances: BTreeMap<String, Option<Instance>>,
}

/// A planner and the ids that its indices stand for.
struct Instance {
    planner: Planner,
    /// Ids of the servers, by index.
    server_ids: Vec<u64>,
    /// Indices of the servers, by id.
    server_indices: HashMap<u64, usize>,
    /// Number of zones.
    zone_count: u64,
    /// Number of classes.
    class_count: u64,
}

impl Instance {
    /// Starts a planner with the settings of a `Born` event.
    fn start(now: f64, fields: &Fields) -> Result<Instance, String> {
        let settings = fields.object("settings")?;
        let settings = parse_deployment(&settings)
            .map_err(|e| format!("Born: {e}"))?
            .planner_settings;
        Ok(Instance {
            planner: Planner::new(now, fields.whole_number("randomSeed")?, &settings),
            server_ids: Vec::new(),
            server_indices: HashMap::new(),
            zone_count: settings.zones as u64,
            class_count: settings.classes.len() as u64,
        })
    }

    /// Index of the server with this id; a new id gets the next index.
    fn server_index(&mut self, id: u64) -> usize {
        let next = self.server_ids.len();
        let index = *self.server_indices.entry(id).or_insert(next);
        if index == next {
            self.server_ids.push(id);
        }
        index
    }

    /// Passes an event to the planner.
    fn apply_event(
        &mut self,
        now: f64,
        name: &str,
        fields: &Fields,
        lists: &BTreeMap<u64, Vec<ListEntry>>,
    ) -> Result<(), String> {
        match name {
            "Membership" => self.apply_roster(now, fields, lists)?,
            "Connected" => {
                let zone = fields.whole_number_below("campus", self.zone_count)? as usize;
                fields.boolean("flag")?;
                let visit_rate = fields.non_negative("heft")? / 1000.0;
                let proxy = fields.whole_number_below("agent", PROXY_IDS)? as usize;
                self.planner.proxy_joined(proxy, zone, visit_rate);
            }
            "DroppedOff" => {
                let proxy = fields.whole_number_below("agent", PROXY_IDS)? as usize;
                self.planner.proxy_left(proxy);
            }
            "Acked" => {
                fields.whole_number("costTimeNs")?;
                let proxy = fields.whole_number_below("agent", PROXY_IDS)? as usize;
                let mark = fields.whole_number_below("gen", MARKS)? as u32;
                self.planner.orders_applied(proxy, mark);
            }
            "UpstreamStats" => {
                fields.check_load_report("telemetry")?;
                let stats = TryStats {
                    window_ms: ms_from_ns(fields.whole_number("windowNs")?),
                    zone: fields.whole_number_below("campus", self.zone_count)? as usize,
                    tries: fields.whole_number("n")? as f64,
                    failed: fields.whole_number("bad")? as f64,
                    mean_ms: ms_from_ns(fields.whole_number("costTimeNs")?),
                    server: self.server_index(fields.whole_number_below("backend", SERVER_IDS)?),
                };
                self.planner.tries_reported(now, &stats);
            }
            "HealthResult" => {
                let took_ms = ms_from_ns(fields.whole_number("costTimeNs")?);
                fields.check_load_report("telemetry")?;
                let healthy = match fields.string("rc")? {
                    "ok" => true,
                    "error" | "full" | "timeout" | "connect_failed" | "reset" | "cancelled"
                    | "moot" => false,
                    _ => return Err(fields.error("rc", "an outcome")),
                };
                let server = self.server_index(fields.whole_number_below("backend", SERVER_IDS)?);
                self.planner.probe_answered(now, server, healthy, took_ms);
            }
            "DeadlineHit" => {
                fields.whole_number("ref")?;
            }
            "Ingress" => {
                fields.whole_number("bad")?;
                let class = fields.whole_number_below("grade", self.class_count)? as usize;
                let visits = fields.whole_number("n")? as f64;
                let window_ms = ms_from_ns(fields.whole_number("windowNs")?);
                let proxy = fields.whole_number_below("agent", PROXY_IDS)? as usize;
                self.planner
                    .visits_reported(proxy, class, visits, window_ms);
            }
            // Events on shards and peers are checked, but no decision uses them yet.
            "Custody" => {
                fields.whole_number("table")?;
                fields.boolean("flag")?;
            }
            "Held" => {
                fields.whole_number("table")?;
                fields.non_negative("heft")?;
                fields.whole_number_below("backend", SERVER_IDS)?;
            }
            "Heat" => {
                for field in ["n", "windowNs", "table", "bad", "grade"] {
                    fields.whole_number(field)?;
                }
            }
            "NeighbourSays" => {
                fields.whole_number("src")?;
                fields.string("bytes")?;
            }
            _ => return Err(format!("{name}: no such event")),
        }
        Ok(())
    }

    /// Passes a roster update to the planner, or the loss of the roster's source.
    fn apply_roster(
        &mut self,
        now: f64,
        fields: &Fields,
        lists: &BTreeMap<u64, Vec<ListEntry>>,
    ) -> Result<(), String> {
        let kind = fields.string("kind")?;
        fields.whole_number("gen")?;
        let update = match kind {
            "warm_copy" => RosterUpdate::Restored,
            "total" => RosterUpdate::Snapshot,
            "incr" => RosterUpdate::Changes,
            "lost" => {
                self.planner.roster_lost(now);
                return Ok(());
            }
            _ => return Err(fields.error("kind", "a kind of list")),
        };
        let list = fields.whole_number_below("sheet", LIST_IDS)?;
        let entries = lists
            .get(&list)
            .ok_or_else(|| fields.error("sheet", "a list"))?;
        let mut roster = Vec::with_capacity(entries.len());
        for entry in entries {
            if entry.zone >= self.zone_count {
                return Err(fields.error("sheet", "a list of zones that the settings name"));
            }
            roster.push(RosterEntry {
                server: self.server_index(entry.id),
                zone: entry.zone as usize,
                admin_state: entry.admin_state,
                weight: entry.weight,
                started_ms: entry.started_ms,
            });
        }
        self.planner.roster_changed(now, update, &roster);
        Ok(())
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
        let batch = Fields::new(&batch, "batch", "batch")?;
        let turn = batch.whole_number("turn")?;
        let in_batch = |e: String| format!("batch {turn}: {e}");
        let now = ms_from_ns(batch.whole_number("atTimeNs").map_err(in_batch)?);
        let events = batch.array("input").map_err(in_batch)?;
        let mut concerned: Vec<&str> = Vec::new();
        for (number, event) in events.iter().enumerate() {
            let instance = self
                .apply_event(now, event)
                .map_err(|e| format!("batch {turn}, event {number}: {e}"))?;
            concerned.extend(instance.filter(|name| !concerned.contains(name)));
        }
        // All events of a batch form one input: each instance concerned decides once.
        let mut actions = Vec::new();
        for name in concerned {
            if let Some(Some(instance)) = self.instances.get_mut(name) {
                let orders = instance.planner.decide(now);
                encode_orders(name, instance, orders, &mut actions);
            }
        }
        Ok(json!({"turn": turn, "actions": actions}).to_string())
    }

    /// Applies an event. Returns the name of the instance that it concerns, unless no decision is needed.
    fn apply_event<'a>(&mut self, now: f64, event: &'a Value) -> Result<Option<&'a str>, String> {
        let event_name = Fields::new(event, "event", "event")?.string("verb")?;
        let fields = Fields::new(event, "event", event_name)?;
        if event_name == "Catalog" {
            let entries = fields.array("elements")?;
            let entries: Result<Vec<_>, _> = entries.iter().map(ListEntry::new).collect();
            let list = fields.whole_number_below("sheet", LIST_IDS)?;
            self.lists.insert(list, entries?);
            return Ok(None);
        }
        let name = fields.instance_name("who")?;
        if event_name == "Born" {
            let instance = Instance::start(now, &fields)?;
            self.instances.insert(name.to_string(), Some(instance));
            return Ok(Some(name));
        }
        if event_name == "Retire" {
            self.instances.insert(name.to_string(), None);
            return Ok(None);
        }
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(fields.error("who", "an instance that was started"));
        };
        let Some(instance) = instance else {
            return Ok(None);
        };
        instance.apply_event(now, event_name, &fields, &self.lists)?;
        Ok(Some(name))
    }
}

/// Encodes orders as actions, in the order of the fields of [`Orders`].
fn encode_orders(name: &str, instance: &Instance, orders: Orders, actions: &mut Vec<Value>) {
    let mut push = |verb: &str, fields: Value| {
        let mut action = Map::new();
        action.insert("verb".into(), verb.into());
        action.insert("who".into(), name.into());
        if let Value::Object(fields) = fields {
            action.extend(fields);
        }
        actions.push(Value::Object(action));
    };
    let server_id = |server: usize| instance.server_ids[server];
    for (part, server, weight) in orders.lines {
        push(
            "PutLine",
            json!({"heft": weight, "table": part, "backend": server_id(server)}),
        );
    }
    for (part, class, share, policy) in orders.levels {
        let retry_mode = wire::retry_mode(policy);
        let class_mask = 1u64 << class;
        push(
            "Throttle",
            json!({"onFailure": retry_mode, "level": share, "table": part, "mask": class_mask}),
        );
    }
    for (server, withdrawn) in orders.withdrawals {
        push(
            "Mask",
            json!({"backend": server_id(server), "flag": withdrawn}),
        );
    }
    for (proxy, part) in orders.bindings {
        push(
            "UseTable",
            json!({"mask": 0, "table": part, "agent": proxy}),
        );
    }
    if let Some(mark) = orders.mark {
        push("Mark", json!({"gen": mark, "flag": false}));
    }
    for server in orders.probes {
        push("HealthCheck", json!({"backend": server_id(server)}));
    }
    if orders.request_roster {
        push("StreamChanges", json!({"flag": true}));
    }
    if let Some(at) = orders.wake_at {
        push("Sleep", json!({"atNs": ns_from_ms(at), "ref": TIMER_ID}));
    }
    for text in orders.notes {
        push("WriteLog", json!({"text": text}));
    }
}
