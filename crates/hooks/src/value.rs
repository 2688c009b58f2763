//! Values, and the world that hooks see. Lists and maps are values: who changes one changes its own.

use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Ready,
    Draining,
    Gone,
}

impl State {
    pub fn word(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nothing,
    Bool(bool),
    /// Also times, in milliseconds.
    Number(f64),
    Text(Arc<str>),
    State(State),
    /// Places in the world's lists.
    Server(u32),
    Proxy(u32),
    Line(u32),
    List(Arc<Vec<Value>>),
    Map(Arc<BTreeMap<Arc<str>, Value>>),
}

/// A server as hooks see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSeen {
    pub name: Arc<str>,
    pub zone: Arc<str>,
    pub state: State,
    pub listed: f64,
    /// Its line in the table that stands, and whether it is shut.
    pub weight: f64,
    pub shut: bool,
    /// Negative: it is in no part.
    pub part: f64,
    pub age_ms: f64,
    pub tries_per_s: f64,
    pub failed_share: f64,
    pub mean_ms: f64,
    pub in_flight: f64,
    pub stale: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ProxySeen {
    pub name: Arc<str>,
    pub zone: Arc<str>,
    pub part: f64,
    pub unanswered: f64,
    pub silent: bool,
    pub contrary: bool,
}

/// A line of a table that is to leave, or has left.
#[derive(Clone, Debug, PartialEq)]
pub struct LineSeen {
    pub server: Arc<str>,
    pub weight: f64,
    pub open: bool,
    /// Its weight in the table before.
    pub before: f64,
}

/// The world at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct World {
    /// Milliseconds of the day's clock, for hours and days.
    pub now_ms: f64,
    pub zones: Vec<Arc<str>>,
    pub servers: Vec<ServerSeen>,
    pub proxies: Vec<ProxySeen>,
    /// Only at publications.
    pub lines: Vec<LineSeen>,
    /// Places of servers by name.
    pub by_name: BTreeMap<Arc<str>, u32>,
}

impl World {
    /// Indexes the servers by name; to be called once they are in.
    pub fn indexed(mut self) -> World {
        let all = self.servers.iter().zip(0..);
        self.by_name = all.map(|(s, i)| (s.name.clone(), i)).collect();
        self
    }
}

impl Value {
    pub fn text(text: impl Into<Arc<str>>) -> Value {
        Value::Text(text.into())
    }

    pub fn list(values: Vec<Value>) -> Value {
        Value::List(Arc::new(values))
    }

    /// Bytes that it takes by itself, without what others share with it; for budgets, not to the byte.
    pub fn size(&self) -> usize {
        match self {
            Value::Text(t) => 16 + t.len(),
            Value::List(l) => 24 + l.len() * 24,
            Value::Map(m) => 24 + m.len() * 64,
            _ => 8,
        }
    }

    /// Goes through all that is in it, no further than `left` allows; tells whether that was all. Lists may share
    /// what is in them many times over, so a value can be far larger than the memory that it takes.
    pub fn within(&self, left: &mut usize) -> bool {
        let cost = match self {
            Value::Text(t) => 1 + t.len() / 16,
            _ => 1,
        };
        if *left < cost {
            return false;
        }
        *left -= cost;
        match self {
            Value::List(l) => l.iter().all(|v| v.within(left)),
            Value::Map(m) => m.values().all(|v| v.within(left)),
            _ => true,
        }
    }

    /// Whether both are the same; both were found within bounds before.
    pub fn same(&self, other: &Value) -> bool {
        self == other
    }

    /// For people, and for `text(x)`; to be found within bounds before.
    pub fn shown(&self, world: &World) -> String {
        match self {
            Value::Nothing => "nothing".into(),
            Value::Bool(b) => b.to_string(),
            Value::Number(n) => format!("{n}"),
            Value::Text(t) => t.to_string(),
            Value::State(s) => s.word().into(),
            Value::Server(i) => named(world.servers.get(*i as usize).map(|s| &s.name)),
            Value::Proxy(i) => named(world.proxies.get(*i as usize).map(|p| &p.name)),
            Value::Line(i) => named(world.lines.get(*i as usize).map(|l| &l.server)),
            Value::List(l) => {
                let inner: Vec<String> = l.iter().map(|v| v.shown(world)).collect();
                format!("[{}]", inner.join(", "))
            }
            Value::Map(m) => {
                let inner = m.iter().map(|(k, v)| format!("{k}: {}", v.shown(world)));
                format!("{{{}}}", inner.collect::<Vec<_>>().join(", "))
            }
        }
    }
}

fn named(name: Option<&Arc<str>>) -> String {
    name.map_or("?".into(), |n| n.to_string())
}
