//! The running set of hooks: which are due for what happened, what each may use, what became of it. Free of I/O:
//! the caller brings the world and says when a run's time is over.

use crate::code::Ready;
use crate::discipline::{Deed, End, Record};
use crate::fault::{Fault, told};
use crate::ops::Wished;
use crate::points::{Point, WishKind};
use crate::run::{Allowance, Stopped, TimeIsUp, run};
use crate::value::{LineSeen, State, Value, World};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Something that happened, by names.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A part, and its changed lines; the world's lines are these.
    BeforePublication(usize),
    AfterPublication(usize, Vec<LineSeen>),
    /// Servers that the roster says something else of.
    RosterChanged(Vec<Arc<str>>),
    GuardHeld(usize, Vec<Arc<str>>),
    ServerChanged(Arc<str>, State),
    ProxyJoined(Arc<str>),
    ProxyLeft(Arc<str>),
    Flagged(Arc<str>, Arc<str>),
    /// A timer of one hook.
    Timer(Id),
}

/// A hook: its file's place in the set, and its own in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id {
    pub file: usize,
    pub hook: usize,
}

/// A file that was loaded whole.
#[derive(Clone, Debug)]
pub struct Loaded {
    pub name: Arc<str>,
    pub source: Arc<str>,
    pub ready: Arc<Ready>,
}

impl Loaded {
    /// # Errors
    /// All that is wrong with it, as text for people.
    pub fn new(name: &str, source: &str) -> Result<Loaded, String> {
        let ready = crate::load(source).map_err(|faults| {
            let all: Vec<String> = faults.iter().map(|f| told(name, source, f)).collect();
            all.concat()
        })?;
        Ok(Loaded {
            name: name.into(),
            source: source.into(),
            ready: Arc::new(ready),
        })
    }
}

struct Hooked {
    loaded: Loaded,
    keeps: Arc<Vec<Value>>,
    records: Vec<Record>,
    /// When each hook's timer is due; infinite for others.
    due: Vec<f64>,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Ran {
    pub hook: Arc<str>,
    /// Empty if the run did not end well, or is not heard.
    pub wishes: Vec<Wished>,
    /// What is to be said of it.
    pub said: Option<String>,
    pub steps: u64,
    pub end: End,
}

/// What all hooks may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    pub allowance: Allowance,
    /// Wishes of a hook that are heard in a minute.
    pub wishes_a_minute: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            allowance: Allowance::default(),
            wishes_a_minute: 240,
        }
    }
}

/// See the module's head.
#[derive(Default)]
pub struct Host {
    hooked: Vec<Hooked>,
    pub bounds: Bounds,
    /// Counts sets that were put in force.
    pub version: u64,
}

fn args_of(event: &Event, world: &World) -> Option<Vec<Value>> {
    let server = |name: &Arc<str>| world.by_name.get(name).map(|i| Value::Server(*i));
    let lines = || Value::list((0..world.lines.len() as u32).map(Value::Line).collect());
    let text = |t: &Arc<str>| Value::Text(t.clone());
    Some(match event {
        Event::BeforePublication(part) | Event::AfterPublication(part, _) => {
            vec![Value::Number(*part as f64), lines()]
        }
        Event::RosterChanged(names) => vec![Value::list(names.iter().filter_map(server).collect())],
        Event::GuardHeld(part, reasons) => {
            let reasons = reasons.iter().map(text).collect();
            vec![Value::Number(*part as f64), Value::list(reasons)]
        }
        // Who is not there any more has no world to be seen in.
        Event::ServerChanged(name, before) => vec![server(name)?, Value::State(*before)],
        Event::ProxyJoined(name) => {
            let at = world.proxies.iter().position(|p| p.name == *name)?;
            vec![Value::Proxy(at as u32)]
        }
        Event::ProxyLeft(name) => vec![text(name)],
        Event::Flagged(name, what) => vec![text(name), text(what)],
        Event::Timer(_) => Vec::new(),
    })
}

impl Event {
    pub fn point(&self) -> Point {
        match self {
            Event::BeforePublication(_) => Point::BeforePublication,
            Event::AfterPublication(..) => Point::AfterPublication,
            Event::RosterChanged(_) => Point::RosterChanged,
            Event::GuardHeld(..) => Point::GuardHeld,
            Event::ServerChanged(..) => Point::ServerChanged,
            Event::ProxyJoined(_) => Point::ProxyJoined,
            Event::ProxyLeft(_) => Point::ProxyLeft,
            Event::Flagged(..) => Point::Flagged,
            Event::Timer(_) => Point::Timer,
        }
    }
}

/// What happened between two worlds: servers' states, proxies' coming and going, flags. A flood between them is
/// one change.
pub fn events_between(before: &World, after: &World) -> Vec<Event> {
    let mut out = Vec::new();
    for s in &after.servers {
        let was = before
            .by_name
            .get(&s.name)
            .and_then(|i| before.servers.get(*i as usize));
        let state = was.map_or(State::Gone, |w| w.state);
        if state != s.state {
            out.push(Event::ServerChanged(s.name.clone(), state));
        }
        if s.stale && !was.is_some_and(|w| w.stale) {
            out.push(Event::Flagged(s.name.clone(), "stale".into()));
        }
    }
    let were: BTreeMap<&Arc<str>, bool> = before
        .proxies
        .iter()
        .map(|p| (&p.name, p.contrary))
        .collect();
    let are: BTreeSet<&Arc<str>> = after.proxies.iter().map(|p| &p.name).collect();
    for p in &after.proxies {
        match were.get(&p.name) {
            None => out.push(Event::ProxyJoined(p.name.clone())),
            Some(contrary) if p.contrary && !contrary => {
                out.push(Event::Flagged(p.name.clone(), "contrary".into()));
            }
            _ => {}
        }
    }
    let left = before.proxies.iter().filter(|p| !are.contains(&p.name));
    out.extend(left.map(|p| Event::ProxyLeft(p.name.clone())));
    out
}

impl Host {
    /// Puts a set in force, whole. What is kept goes over by file, name and type; who is the same keeps its
    /// record and its timer.
    pub fn swap(&mut self, now: f64, set: Vec<Loaded>) {
        let mut before: BTreeMap<Arc<str>, Hooked> = std::mem::take(&mut self.hooked)
            .into_iter()
            .map(|h| (h.loaded.name.clone(), h))
            .collect();
        for loaded in set {
            let mut old = before.remove(&loaded.name);
            if let Some(same) = old.take_if(|old| old.loaded.source == loaded.source) {
                self.hooked.push(same);
                continue;
            }
            let keeps = loaded.ready.keeps.iter().map(|slot| {
                let found = old.as_ref().and_then(|old| {
                    let slots = old.loaded.ready.keeps.iter().zip(old.keeps.iter());
                    let mut same =
                        slots.filter(|(s, _)| s.name == slot.name && s.kind == slot.kind);
                    same.next().map(|(_, v)| v.clone())
                });
                found.unwrap_or_else(|| slot.begins.clone())
            });
            let keeps = Arc::new(keeps.collect());
            let due = loaded.ready.hooks.iter().map(|h| match h.point {
                Point::Timer => now + h.every_ms,
                _ => f64::INFINITY,
            });
            let due = due.collect();
            let records = vec![Record::default(); loaded.ready.hooks.len()];
            self.hooked.push(Hooked {
                loaded,
                keeps,
                records,
                due,
            });
        }
        self.version += 1;
    }

    pub fn names(&self) -> BTreeSet<Arc<str>> {
        self.hooked.iter().map(|h| h.loaded.name.clone()).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.hooked.is_empty()
    }

    /// Hooks that wait for this; of a timer its own one.
    pub fn due(&self, now: f64, event: &Event) -> Vec<Id> {
        if let Event::Timer(id) = event {
            return vec![*id];
        }
        self.waiting_for(event.point())
            .filter(|id| self.may_run(now, *id))
            .collect()
    }

    pub fn waiting_for(&self, point: Point) -> impl Iterator<Item = Id> + '_ {
        self.hooked.iter().enumerate().flat_map(move |(file, h)| {
            let hooks = h.loaded.ready.hooks.iter().enumerate();
            let fits = hooks.filter(move |(_, hook)| hook.point == point);
            fits.map(move |(hook, _)| Id { file, hook })
        })
    }

    fn may_run(&self, now: f64, id: Id) -> bool {
        self.hooked
            .get(id.file)
            .and_then(|h| h.records.get(id.hook))
            .is_some_and(|r| r.may_run(now))
    }

    /// Timers that are due; each is set anew, and one that missed several turns gets one.
    pub fn timers(&mut self, now: f64) -> Vec<Event> {
        let mut out = Vec::new();
        for (file, h) in self.hooked.iter_mut().enumerate() {
            for (hook, due) in h.due.iter_mut().enumerate().filter(|(_, due)| **due <= now) {
                *due = now + h.loaded.ready.hooks[hook].every_ms;
                if h.records[hook].may_run(now) {
                    out.push(Event::Timer(Id { file, hook }));
                }
            }
        }
        out
    }

    pub fn wake_at(&self) -> f64 {
        let due = self.hooked.iter().flat_map(|h| h.due.iter().copied());
        due.fold(f64::INFINITY, f64::min)
    }

    /// A hook's name for people: its file and what it waits for.
    pub fn name(&self, id: Id) -> String {
        let found = self
            .hooked
            .get(id.file)
            .and_then(|h| Some((h, h.loaded.ready.hooks.get(id.hook)?)));
        found.map_or_else(String::new, |(h, hook)| {
            format!("{} on {}", h.loaded.name, hook.point.name())
        })
    }

    /// Runs a hook. Nothing of a run that does not end well takes effect.
    pub fn run(
        &mut self,
        now: f64,
        id: Id,
        event: &Event,
        world: &World,
        time_is_up: TimeIsUp,
    ) -> Option<Ran> {
        let name = self.name(id);
        let bounds = self.bounds;
        let h = self.hooked.get_mut(id.file)?;
        let hook = h.loaded.ready.hooks.get(id.hook)?;
        let args = args_of(event, world)?;
        let ended = run(
            &h.loaded.ready,
            hook.function,
            args,
            &h.keeps,
            world,
            bounds.allowance,
            time_is_up,
        );
        let record = &mut h.records[id.hook];
        let file = h.loaded.name.clone();
        Some(match ended {
            Ok(outcome) => {
                let deed = record.ran(now, End::Well, outcome.wishes.len(), bounds.wishes_a_minute);
                let heard = deed != Deed::NotHeard;
                if let Some(keeps) = outcome.keeps.filter(|_| heard) {
                    h.keeps = Arc::new(keeps);
                }
                let most = bounds.wishes_a_minute;
                Ran {
                    hook: file,
                    wishes: if heard { outcome.wishes } else { Vec::new() },
                    said: (!heard).then(|| {
                        format!("{name} wishes over {most} times a minute: this run is not heard")
                    }),
                    steps: outcome.steps,
                    end: End::Well,
                }
            }
            Err(stopped) => {
                let end = if stopped.was_cut() {
                    End::CutOff
                } else {
                    End::Failed
                };
                let deed = record.ran(now, end, 0, bounds.wishes_a_minute);
                let fault = told(&file, &h.loaded.source, &stopped.fault());
                let rests = match deed {
                    Deed::Rests(ms) => format!("it rests for {} s\n", ms / 1e3),
                    _ => String::new(),
                };
                Ran {
                    hook: file,
                    wishes: Vec::new(),
                    said: Some(format!(
                        "{name} ended early, nothing of this run takes effect\n{fault}{rests}"
                    )),
                    steps: stopped.steps,
                    end,
                }
            }
        })
    }

    /// A gate that judges publications, with what is kept as it is now, without those who rest.
    pub fn gate(&self, now: f64) -> Gate {
        let ids = self.waiting_for(Point::BeforePublication);
        let ids: Vec<Id> = ids.filter(|id| self.may_run(now, *id)).collect();
        let hooks = ids.into_iter().map(|id| {
            let h = &self.hooked[id.file];
            GateHook {
                id,
                name: self.name(id),
                loaded: h.loaded.clone(),
                keeps: h.keeps.clone(),
            }
        });
        Gate {
            hooks: hooks.collect(),
            allowance: self.bounds.allowance,
        }
    }

    /// What a gate told of its runs goes into the records.
    pub fn gate_ran(&mut self, now: f64, id: Id, end: End) -> Deed {
        let most = self.bounds.wishes_a_minute;
        let record = self
            .hooked
            .get_mut(id.file)
            .and_then(|h| h.records.get_mut(id.hook));
        record.map_or(Deed::Nothing, |r| r.ran(now, end, 0, most))
    }

    /// What is kept, by file and name, for memory.
    pub fn kept(&self) -> Vec<(Arc<str>, Arc<str>, Value)> {
        let all = self.hooked.iter().flat_map(|h| {
            let slots = h.loaded.ready.keeps.iter().zip(h.keeps.iter());
            slots.map(|(s, v)| (h.loaded.name.clone(), s.name.clone(), v.clone()))
        });
        all.collect()
    }

    /// Puts back what was kept, where file, name and type still fit.
    pub fn put_back(&mut self, kept: &[(Arc<str>, Arc<str>, Value)]) {
        for h in &mut self.hooked {
            let mut keeps = (*h.keeps).clone();
            for (slot, value) in h.loaded.ready.keeps.iter().zip(keeps.iter_mut()) {
                let found = kept.iter().find(|(f, n, v)| {
                    *f == h.loaded.name && *n == slot.name && is_a(v, &slot.kind)
                });
                if let Some((.., old)) = found {
                    *value = old.clone();
                }
            }
            h.keeps = Arc::new(keeps);
        }
    }

    /// For people: each hook, its runs, faults and rest.
    pub fn told(&self, now: f64) -> Vec<(String, Record, Option<f64>)> {
        let all = self.hooked.iter().enumerate().flat_map(|(file, h)| {
            let records = h.records.iter().enumerate();
            records
                .map(move |(hook, r)| (self.name(Id { file, hook }), r.clone(), r.rests_until(now)))
        });
        all.collect()
    }
}

/// Whether a value is of a type that can be kept.
pub fn is_a(value: &Value, kind: &crate::ast::Type) -> bool {
    use crate::ast::Type;
    match (value, kind) {
        (Value::Bool(_), Type::Bool)
        | (Value::Text(_), Type::Text)
        | (Value::State(_), Type::State) => true,
        (Value::Number(n), Type::Number | Type::Time) => n.is_finite(),
        (Value::List(l), Type::List(of)) => l.iter().all(|v| is_a(v, of)),
        (Value::Map(m), Type::Map(of)) => m.values().all(|v| is_a(v, of)),
        _ => false,
    }
}

/// A hook before publications, to be run where tables leave.
#[derive(Clone, Debug)]
struct GateHook {
    id: Id,
    name: String,
    loaded: Loaded,
    keeps: Arc<Vec<Value>>,
}

/// Judges publications where they leave; a copy of what it needs, so nobody waits for the host.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    hooks: Vec<GateHook>,
    pub allowance: Allowance,
}

/// What hooks say of a publication.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The table that stands is to stay.
    pub hold: bool,
    /// Alerts of those who ended well: hook, text.
    pub alerts: Vec<(Arc<str>, Arc<str>)>,
    pub ran: Vec<(Id, End)>,
    pub said: Vec<String>,
}

/// The time of several runs, as the caller measures it: each gets its part of what is left.
pub trait Turns {
    /// The next of so many runs begins.
    fn begins(&mut self, left: usize);
    /// The run at hand has had its part.
    fn is_up(&mut self) -> bool;
    /// There is no time for another.
    fn are_over(&mut self) -> bool;
}

/// No bounds but the allowance's.
pub struct Unbounded;

impl Turns for Unbounded {
    fn begins(&mut self, _: usize) {}

    fn is_up(&mut self) -> bool {
        false
    }

    fn are_over(&mut self) -> bool {
        false
    }
}

impl Gate {
    pub fn is_empty(&self) -> bool {
        self.hooks.is_empty()
    }

    /// Asks each hook in turn, unless the time for all is over. Who throws or is cut off has not been there: the
    /// table leaves as it would without it. One that says hold is enough.
    pub fn judge(&self, part: usize, world: &World, turns: &mut dyn Turns) -> Verdict {
        let mut out = Verdict::default();
        let event = Event::BeforePublication(part);
        for (i, hook) in self.hooks.iter().enumerate() {
            if turns.are_over() {
                let why = "the time for all was over";
                out.said.push(format!("{} was not asked: {why}", hook.name));
                continue;
            }
            let ready = &hook.loaded.ready;
            let Some(args) = args_of(&event, world) else {
                continue;
            };
            let function = ready.hooks[hook.id.hook].function;
            turns.begins(self.hooks.len() - i);
            let mut is_up = || turns.is_up();
            match run(
                ready,
                function,
                args,
                &hook.keeps,
                world,
                self.allowance,
                &mut is_up,
            ) {
                Ok(outcome) => {
                    out.ran.push((hook.id, End::Well));
                    for w in outcome.wishes {
                        match w.kind {
                            WishKind::Hold => out.hold = true,
                            _ => out.alerts.push((hook.loaded.name.clone(), w.text)),
                        }
                    }
                }
                Err(stopped) => {
                    let end = if stopped.was_cut() {
                        End::CutOff
                    } else {
                        End::Failed
                    };
                    out.ran.push((hook.id, end));
                    out.said.push(gate_fault(hook, &stopped));
                }
            }
        }
        out
    }
}

fn gate_fault(hook: &GateHook, stopped: &Stopped) -> String {
    let fault: Fault = stopped.fault();
    let text = told(&hook.loaded.name, &hook.loaded.source, &fault);
    format!(
        "{} ended early, the table leaves as it would without it\n{text}",
        hook.name
    )
}
