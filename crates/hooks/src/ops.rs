//! What both machines do with values: operators, fields, entries, wishes. One place, so that the code and the plain
//! interpreter differ only in how they get there.

use crate::hir::{Field, Op};
use crate::natives::{Left, Stop, sound};
use crate::points::WishKind;
use crate::value::{Value, World};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a run wished for, by names.
#[derive(Clone, Debug, PartialEq)]
pub struct Wished {
    pub kind: WishKind,
    /// The server's name, or the note's key.
    pub whom: Arc<str>,
    /// A factor, a weight or a part.
    pub number: f64,
    pub text: Arc<str>,
    /// How long it is to hold, if that was said.
    pub lasts_ms: Option<f64>,
    pub reason: Arc<str>,
}

pub fn both(op: Op, a: &Value, b: &Value, left: &mut Left) -> Result<Value, Stop> {
    use Value as V;
    Ok(match (op, a, b) {
        (Op::Add, V::Number(a), V::Number(b)) => sound(a + b)?,
        (Op::Sub, V::Number(a), V::Number(b)) => sound(a - b)?,
        (Op::Mul, V::Number(a), V::Number(b)) => sound(a * b)?,
        (Op::Div, V::Number(_), V::Number(b)) if *b == 0.0 => {
            return Err(Stop::Wrong("a division by 0".into()));
        }
        (Op::Div, V::Number(a), V::Number(b)) => sound(a / b)?,
        (Op::Lt, V::Number(a), V::Number(b)) => V::Bool(a < b),
        (Op::Le, V::Number(a), V::Number(b)) => V::Bool(a <= b),
        (Op::Gt, V::Number(a), V::Number(b)) => V::Bool(a > b),
        (Op::Ge, V::Number(a), V::Number(b)) => V::Bool(a >= b),
        (Op::TextLt, V::Text(a), V::Text(b)) => V::Bool(a < b),
        (Op::TextLe, V::Text(a), V::Text(b)) => V::Bool(a <= b),
        (Op::TextGt, V::Text(a), V::Text(b)) => V::Bool(a > b),
        (Op::TextGe, V::Text(a), V::Text(b)) => V::Bool(a >= b),
        (Op::Join, V::Text(a), V::Text(b)) => {
            left.bytes(a.len() + b.len() + 16)?;
            V::text([&**a, &**b].concat())
        }
        (Op::Chain, V::List(a), V::List(b)) => {
            left.bytes((a.len() + b.len()) * 24 + 24)?;
            V::list(a.iter().chain(b.iter()).cloned().collect())
        }
        (Op::Eq | Op::Ne, a, b) => {
            left.whole(a)?;
            left.whole(b)?;
            V::Bool(a.same(b) == (op == Op::Eq))
        }
        // The checker lets nothing else through.
        _ => return Err(Stop::Wrong("these values do not fit".into())),
    })
}

pub fn neg(a: &Value) -> Result<Value, Stop> {
    match a {
        Value::Number(n) => Ok(Value::Number(-n)),
        _ => Err(Stop::Wrong("this value does not fit".into())),
    }
}

pub fn truth(a: &Value) -> bool {
    *a == Value::Bool(true)
}

pub fn field(f: Field, of: &Value, world: &World) -> Result<Value, Stop> {
    use Value as V;
    let gone = || Stop::Wrong("this is not there any more".into());
    Ok(match (f, of) {
        (_, V::Server(i)) => {
            let s = world.servers.get(*i as usize).ok_or_else(gone)?;
            match f {
                Field::ServerName => V::Text(s.name.clone()),
                Field::ServerZone => V::Text(s.zone.clone()),
                Field::ServerState => V::State(s.state),
                Field::ServerListed => V::Number(s.listed),
                Field::ServerWeight => V::Number(s.weight),
                Field::ServerShut => V::Bool(s.shut),
                Field::ServerPart => V::Number(s.part),
                Field::ServerAge => V::Number(s.age_ms),
                Field::ServerTries => V::Number(s.tries_per_s),
                Field::ServerFailed => V::Number(s.failed_share),
                Field::ServerTime => V::Number(s.mean_ms),
                Field::ServerInFlight => V::Number(s.in_flight),
                Field::ServerStale => V::Bool(s.stale),
                _ => return Err(gone()),
            }
        }
        (_, V::Proxy(i)) => {
            let p = world.proxies.get(*i as usize).ok_or_else(gone)?;
            match f {
                Field::ProxyName => V::Text(p.name.clone()),
                Field::ProxyZone => V::Text(p.zone.clone()),
                Field::ProxyPart => V::Number(p.part),
                Field::ProxyUnanswered => V::Number(p.unanswered),
                Field::ProxySilent => V::Bool(p.silent),
                Field::ProxyContrary => V::Bool(p.contrary),
                _ => return Err(gone()),
            }
        }
        (_, V::Line(i)) => {
            let l = world.lines.get(*i as usize).ok_or_else(gone)?;
            match f {
                Field::LineServer => V::Text(l.server.clone()),
                Field::LineWeight => V::Number(l.weight),
                Field::LineOpen => V::Bool(l.open),
                Field::LineBefore => V::Number(l.before),
                _ => return Err(gone()),
            }
        }
        _ => return Err(gone()),
    })
}

fn place(n: f64, len: usize) -> Result<usize, Stop> {
    if n < 0.0 || n.fract() != 0.0 || n >= len as f64 {
        return Err(Stop::Wrong(format!(
            "there is no entry {n} in a list of {len}"
        )));
    }
    Ok(n as usize)
}

pub fn at(of: &Value, key: &Value) -> Result<Value, Stop> {
    match (of, key) {
        (Value::List(l), Value::Number(n)) => Ok(l[place(*n, l.len())?].clone()),
        (Value::Map(m), Value::Text(key)) => {
            let found = m.get(key).cloned();
            found.ok_or_else(|| {
                Stop::Wrong(format!(
                    "there is no entry {key:?}; get(map, key, otherwise) bears that"
                ))
            })
        }
        _ => Err(Stop::Wrong("this has no entries".into())),
    }
}

/// Sets an entry in place; who shares the list or map keeps the old one.
pub fn set_at(of: &mut Value, key: &Value, value: Value, left: &mut Left) -> Result<(), Stop> {
    match (of, key) {
        (Value::List(l), Value::Number(n)) => {
            let at = place(*n, l.len())?;
            if Arc::get_mut(l).is_none() {
                left.bytes(l.len() * 24 + 24)?;
            }
            Arc::make_mut(l)[at] = value;
            Ok(())
        }
        (Value::Map(m), Value::Text(key)) => {
            let shared = Arc::get_mut(m).is_none();
            left.bytes(if shared { m.len() * 64 + 24 } else { 0 } + 64 + key.len())?;
            Arc::make_mut(m).insert(key.clone(), value);
            Ok(())
        }
        _ => Err(Stop::Wrong("this has no entries".into())),
    }
}

pub fn list(values: Vec<Value>, left: &mut Left) -> Result<Value, Stop> {
    left.made(Value::list(values))
}

/// Keys and values in turn; the last of the same key stays.
pub fn map(values: Vec<Value>, left: &mut Left) -> Result<Value, Stop> {
    let mut out = BTreeMap::new();
    let mut values = values.into_iter();
    while let (Some(key), Some(value)) = (values.next(), values.next()) {
        if let Value::Text(key) = key {
            out.insert(key, value);
        }
    }
    left.made(Value::Map(Arc::new(out)))
}

/// A wish, by names.
pub fn wished(
    kind: WishKind,
    args: &[Value],
    lasts: &Value,
    reason: &Value,
    world: &World,
) -> Result<Wished, Stop> {
    let name = |i: u32| {
        let server = world.servers.get(i as usize);
        server
            .map(|s| s.name.clone())
            .ok_or_else(|| Stop::Wrong("this server is not there any more".into()))
    };
    let empty: Arc<str> = "".into();
    let mut out = Wished {
        kind,
        whom: empty.clone(),
        number: 0.0,
        text: empty.clone(),
        lasts_ms: None,
        reason: match reason {
            Value::Text(t) => t.clone(),
            _ => empty,
        },
    };
    if let Value::Number(ms) = lasts {
        if *ms <= 0.0 {
            return Err(Stop::Wrong("a wish holds for a time of more than 0".into()));
        }
        out.lasts_ms = Some(*ms);
    }
    match args {
        [] => {}
        [Value::Server(i)] => out.whom = name(*i)?,
        [Value::Server(i), Value::Number(n)] => (out.whom, out.number) = (name(*i)?, *n),
        [Value::Number(n)] => out.number = *n,
        [Value::Text(t)] => out.text = t.clone(),
        [Value::Text(key), Value::Text(t)] => (out.whom, out.text) = (key.clone(), t.clone()),
        _ => return Err(Stop::Wrong("these values do not fit a wish".into())),
    }
    Ok(out)
}
