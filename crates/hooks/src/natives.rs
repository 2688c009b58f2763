//! The standard library: what programs may call beside their own functions. No I/O, no clock but the world's, no
//! chance. What a call costs beyond one step grows with what it goes through.

use crate::ast::Type;
use crate::value::{Value, World};
use std::sync::Arc;

macro_rules! natives {
    ($($variant:ident $name:literal $says:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Native { $($variant),* }

        impl Native {
            pub const ALL: &'static [(Native, &'static str, &'static str)] =
                &[$((Native::$variant, $name, $says)),*];
        }
    };
}

natives! {
    Servers "servers" "servers() -> list<server>";
    Proxies "proxies" "proxies() -> list<proxy>";
    Zones "zones" "zones() -> list<text>";
    Server "server" "server(name) -> server; fails if there is none";
    Known "known" "known(name) -> bool: there is such a server";
    Hour "hour" "hour() -> number: of the day, UTC, with fractions";
    Now "now" "now() -> time: since the epoch";
    Len "len" "len(list, map or text) -> number";
    Append "append" "append(list, value) -> list";
    Slice "slice" "slice(list, from, to) -> list";
    Contains "contains" "contains(list, value) or contains(text, part) -> bool";
    Sort "sort" "sort(list of numbers, times or texts) -> list";
    Reverse "reverse" "reverse(list) -> list";
    Range "range" "range(n) -> list<number>: 0 to n - 1";
    First "first" "first(list, otherwise) -> value";
    Sum "sum" "sum(list of numbers or times)";
    Mean "mean" "mean(list of numbers or times); 0 of none";
    Quantile "quantile" "quantile(list of numbers or times, share); 0 of none";
    Min "min" "min(a, b)";
    Max "max" "max(a, b)";
    Abs "abs" "abs(number)";
    Round "round" "round(number)";
    Floor "floor" "floor(number)";
    Mod "mod" "mod(a, b) -> number: what is left, never negative";
    Text "text" "text(value) -> text";
    Number "number" "number(text, otherwise) -> number";
    Seconds "seconds" "seconds(time) -> number";
    Starts "starts" "starts(text, with) -> bool";
    Ends "ends" "ends(text, with) -> bool";
    Split "split" "split(text, at) -> list<text>";
    Join "join" "join(list<text>, between) -> text";
    Lower "lower" "lower(text) -> text";
    Trim "trim" "trim(text) -> text";
    Replace "replace" "replace(text, what, with) -> text";
    Keys "keys" "keys(map) -> list<text>, sorted";
    Has "has" "has(map, key) -> bool";
    Get "get" "get(map, key, otherwise) -> value";
    Without "without" "without(map, key) -> map";
}

/// The parts of a name's type that a call's arguments must have.
fn ordered(t: &Type) -> bool {
    matches!(t, Type::Number | Type::Time)
}

impl Native {
    pub fn named(name: &str) -> Option<Native> {
        let found = Native::ALL.iter().find(|(_, n, _)| *n == name);
        found.map(|(native, ..)| *native)
    }

    pub fn says(self) -> &'static str {
        let found = Native::ALL.iter().find(|(n, ..)| *n == self);
        found.map_or("", |(.., says)| says)
    }

    /// What a call gives, for arguments of these types; nothing: they do not fit.
    pub fn gives(self, args: &[Type]) -> Option<Type> {
        use Type::{Any, Bool, List, Map, Number, Text, Time};
        let list = |of: Type| List(Box::new(of));
        let fits = |a: &Type, b: &Type| a == b || *a == Any || *b == Any;
        Some(match (self, args) {
            (Native::Servers, []) => list(Type::Server),
            (Native::Proxies, []) => list(Type::Proxy),
            (Native::Zones, []) => list(Text),
            (Native::Server, [Text]) => Type::Server,
            (Native::Known, [Text]) => Bool,
            (Native::Hour, []) => Number,
            (Native::Now, []) => Time,
            (Native::Len, [List(_) | Map(_) | Text]) => Number,
            (Native::Append, [List(of), value]) if fits(of, value) && *value != Type::Nothing => {
                list(if **of == Any {
                    value.clone()
                } else {
                    (**of).clone()
                })
            }
            (Native::Slice, [List(of), Number, Number]) => List(of.clone()),
            (Native::Contains, [List(of), value]) if fits(of, value) => Bool,
            (Native::Contains, [Text, Text]) => Bool,
            (Native::Sort, [List(of)]) if ordered(of) || **of == Text => List(of.clone()),
            (Native::Reverse, [List(of)]) => List(of.clone()),
            (Native::Range, [Number]) => list(Number),
            (Native::First, [List(of), other]) if fits(of, other) => other.clone(),
            (Native::Sum | Native::Mean, [List(of)]) if ordered(of) => (**of).clone(),
            (Native::Quantile, [List(of), Number]) if ordered(of) => (**of).clone(),
            (Native::Min | Native::Max, [a, b]) if a == b && ordered(a) => a.clone(),
            (Native::Abs, [a]) if ordered(a) => a.clone(),
            (Native::Round | Native::Floor, [Number]) => Number,
            (Native::Mod, [Number, Number]) => Number,
            (Native::Text, [a]) if *a != Type::Nothing => Text,
            (Native::Number, [Text, Number]) => Number,
            (Native::Seconds, [Time]) => Number,
            (Native::Starts | Native::Ends, [Text, Text]) => Bool,
            (Native::Split, [Text, Text]) => list(Text),
            (Native::Join, [List(of), Text]) if fits(of, &Text) => Text,
            (Native::Lower | Native::Trim, [Text]) => Text,
            (Native::Replace, [Text, Text, Text]) => Text,
            (Native::Keys, [Map(_)]) => list(Text),
            (Native::Has, [Map(_), Text]) => Bool,
            (Native::Get, [Map(of), Text, other]) if fits(of, other) => other.clone(),
            (Native::Without, [Map(of), Text]) => Map(of.clone()),
            _ => return None,
        })
    }
}

/// What a run may still use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Left {
    pub steps: u64,
    pub bytes: usize,
}

/// Why a call, or a run, ended early.
#[derive(Clone, Debug, PartialEq)]
pub enum Stop {
    /// It used up its steps, its memory, its depth, its wishes or its time.
    Cut(&'static str),
    /// It did what cannot be done.
    Wrong(String),
}

/// Steps for so many entries or bytes that a call goes through.
const EACH: u64 = 4;

impl Left {
    pub fn steps(&mut self, many: u64) -> Result<(), Stop> {
        if self.steps < many {
            self.steps = 0;
            return Err(Stop::Cut("steps"));
        }
        self.steps -= many;
        Ok(())
    }

    pub fn bytes(&mut self, many: usize) -> Result<(), Stop> {
        if self.bytes < many {
            return Err(Stop::Cut("memory"));
        }
        self.bytes -= many;
        // Making something takes time too.
        self.steps(many as u64 / 64)
    }

    fn each(&mut self, many: usize) -> Result<(), Stop> {
        self.steps(many as u64 / EACH)
    }

    /// Bounds a walk through a whole value.
    pub fn whole(&mut self, value: &Value) -> Result<(), Stop> {
        let most = usize::try_from(self.steps).unwrap_or(usize::MAX);
        let mut left = most;
        let all = value.within(&mut left);
        self.steps((most - left) as u64)?;
        match all {
            true => Ok(()),
            false => Err(Stop::Cut("steps")),
        }
    }

    /// Charges for a value that was just made.
    pub fn made(&mut self, value: Value) -> Result<Value, Stop> {
        self.bytes(value.size())?;
        Ok(value)
    }
}

fn wrong<T>(what: impl Into<String>) -> Result<T, Stop> {
    Err(Stop::Wrong(what.into()))
}

/// A number that is one.
pub fn sound(n: f64) -> Result<Value, Stop> {
    match n.is_finite() {
        true => Ok(Value::Number(n)),
        false => wrong("the result is no number: too large, or a division by 0"),
    }
}

fn whole_number(n: f64, most: usize) -> Result<usize, Stop> {
    if n < 0.0 || n.fract() != 0.0 || n > most as f64 {
        return wrong(format!("{n} is not a whole number from 0 to {most}"));
    }
    Ok(n as usize)
}

/// Entries that a range may have.
const MOST_RANGE: usize = 100_000;

/// Calls one; its arguments have the types that it was checked with.
pub fn call(native: Native, args: &[Value], world: &World, left: &mut Left) -> Result<Value, Stop> {
    use Value as V;
    let numbers = |l: &[Value]| -> Vec<f64> {
        let number = |v: &Value| if let V::Number(n) = v { *n } else { 0.0 };
        l.iter().map(number).collect()
    };
    match (native, args) {
        (Native::Servers, []) => {
            let all = (0..world.servers.len() as u32).map(V::Server).collect();
            left.made(V::list(all))
        }
        (Native::Proxies, []) => {
            let all = (0..world.proxies.len() as u32).map(V::Proxy).collect();
            left.made(V::list(all))
        }
        (Native::Zones, []) => {
            left.made(V::list(world.zones.iter().cloned().map(V::Text).collect()))
        }
        (Native::Server, [V::Text(name)]) => match world.by_name.get(name) {
            Some(i) => Ok(V::Server(*i)),
            None => wrong(format!("there is no server {name:?}")),
        },
        (Native::Known, [V::Text(name)]) => Ok(V::Bool(world.by_name.contains_key(name))),
        (Native::Hour, []) => Ok(V::Number(world.now_ms.rem_euclid(86.4e6) / 3.6e6)),
        (Native::Now, []) => Ok(V::Number(world.now_ms)),
        (Native::Len, [V::List(l)]) => Ok(V::Number(l.len() as f64)),
        (Native::Len, [V::Map(m)]) => Ok(V::Number(m.len() as f64)),
        (Native::Len, [V::Text(t)]) => {
            left.each(t.len())?;
            Ok(V::Number(t.chars().count() as f64))
        }
        (Native::Append, [V::List(l), value]) => {
            left.bytes(l.len() * 24 + 48)?;
            let mut out = Vec::with_capacity(l.len() + 1);
            out.extend(l.iter().cloned());
            out.push(value.clone());
            Ok(V::list(out))
        }
        (Native::Slice, [V::List(l), V::Number(from), V::Number(to)]) => {
            let (from, to) = (whole_number(*from, l.len())?, whole_number(*to, l.len())?);
            match l.get(from..to) {
                Some(part) => left.made(V::list(part.to_vec())),
                None => wrong(format!("from {from} to {to} is no part of a list")),
            }
        }
        (Native::Contains, [V::List(l), value]) => {
            left.whole(&V::List(l.clone()))?;
            left.whole(value)?;
            Ok(V::Bool(l.iter().any(|v| v.same(value))))
        }
        (Native::Contains, [V::Text(t), V::Text(part)]) => {
            left.each(t.len() + part.len())?;
            Ok(V::Bool(t.contains(&**part)))
        }
        (Native::Sort, [V::List(l)]) => {
            let logs = usize::BITS - l.len().leading_zeros();
            left.steps(l.len() as u64 * u64::from(logs))?;
            left.whole(&V::List(l.clone()))?;
            let mut out = l.to_vec();
            out.sort_by(|a, b| match (a, b) {
                (V::Number(a), V::Number(b)) => a.total_cmp(b),
                (V::Text(a), V::Text(b)) => a.cmp(b),
                _ => std::cmp::Ordering::Equal,
            });
            left.made(V::list(out))
        }
        (Native::Reverse, [V::List(l)]) => {
            left.bytes(l.len() * 24)?;
            Ok(V::list(l.iter().rev().cloned().collect()))
        }
        (Native::Range, [V::Number(n)]) => {
            let n = whole_number(*n, MOST_RANGE)?;
            left.bytes(n * 24 + 24)?;
            Ok(V::list((0..n).map(|i| V::Number(i as f64)).collect()))
        }
        (Native::First, [V::List(l), other]) => Ok(l.first().unwrap_or(other).clone()),
        (Native::Sum, [V::List(l)]) => {
            left.each(l.len())?;
            sound(numbers(l).iter().sum())
        }
        (Native::Mean, [V::List(l)]) => {
            left.each(l.len())?;
            sound(numbers(l).iter().sum::<f64>() / (l.len() as f64).max(1.0))
        }
        (Native::Quantile, [V::List(l), V::Number(share)]) => {
            if !(0.0..=1.0).contains(share) {
                return wrong(format!("{share} is no share from 0 to 1"));
            }
            let logs = usize::BITS - l.len().leading_zeros();
            left.steps(l.len() as u64 * u64::from(logs))?;
            let mut all = numbers(l);
            all.sort_by(f64::total_cmp);
            let at = (all.len() as f64 * share) as usize;
            let found = all.get(at.min(all.len().saturating_sub(1)));
            Ok(V::Number(found.copied().unwrap_or(0.0)))
        }
        (Native::Min, [V::Number(a), V::Number(b)]) => Ok(V::Number(a.min(*b))),
        (Native::Max, [V::Number(a), V::Number(b)]) => Ok(V::Number(a.max(*b))),
        (Native::Abs, [V::Number(a)]) => Ok(V::Number(a.abs())),
        (Native::Round, [V::Number(a)]) => Ok(V::Number(a.round())),
        (Native::Floor, [V::Number(a)]) => Ok(V::Number(a.floor())),
        (Native::Mod, [V::Number(a), V::Number(b)]) => sound(a.rem_euclid(*b)),
        (Native::Text, [value]) => {
            left.whole(value)?;
            left.made(V::text(value.shown(world)))
        }
        (Native::Number, [V::Text(t), V::Number(other)]) => {
            left.each(t.len())?;
            let read = t.trim().parse::<f64>().ok().filter(|n| n.is_finite());
            Ok(V::Number(read.unwrap_or(*other)))
        }
        (Native::Seconds, [V::Number(ms)]) => Ok(V::Number(ms / 1e3)),
        (Native::Starts, [V::Text(t), V::Text(with)]) => {
            left.each(with.len())?;
            Ok(V::Bool(t.starts_with(&**with)))
        }
        (Native::Ends, [V::Text(t), V::Text(with)]) => {
            left.each(with.len())?;
            Ok(V::Bool(t.ends_with(&**with)))
        }
        (Native::Split, [V::Text(t), V::Text(at)]) => {
            if at.is_empty() {
                return wrong("a text is split at something");
            }
            // Every part is a text of its own: the worst is one for each byte.
            left.bytes(t.len() * 2 + t.matches(&**at).count() * 48 + 64)?;
            left.each(t.len())?;
            Ok(V::list(t.split(&**at).map(V::text).collect()))
        }
        (Native::Join, [V::List(l), V::Text(between)]) => {
            left.each(l.len())?;
            let part = |v: &Value| if let V::Text(t) = v { t.len() } else { 0 };
            left.bytes(l.iter().map(part).sum::<usize>() + l.len() * between.len() + 16)?;
            let parts = l
                .iter()
                .filter_map(|v| if let V::Text(t) = v { Some(&**t) } else { None });
            Ok(V::text(parts.collect::<Vec<&str>>().join(between)))
        }
        (Native::Lower, [V::Text(t)]) => {
            left.bytes(t.len() * 3 + 16)?;
            Ok(V::text(t.to_lowercase()))
        }
        (Native::Trim, [V::Text(t)]) => left.made(V::text(t.trim())),
        (Native::Replace, [V::Text(t), V::Text(what), V::Text(with)]) => {
            if what.is_empty() {
                return wrong("what is replaced cannot be empty");
            }
            left.each(t.len())?;
            left.bytes(t.len() + t.matches(&**what).count() * with.len() + 16)?;
            Ok(V::text(t.replace(&**what, with)))
        }
        (Native::Keys, [V::Map(m)]) => left.made(V::list(m.keys().cloned().map(V::Text).collect())),
        (Native::Has, [V::Map(m), V::Text(key)]) => Ok(V::Bool(m.contains_key(key))),
        (Native::Get, [V::Map(m), V::Text(key), other]) => Ok(m.get(key).unwrap_or(other).clone()),
        (Native::Without, [V::Map(m), V::Text(key)]) => {
            if !m.contains_key(key) {
                return Ok(V::Map(m.clone()));
            }
            left.bytes(m.len() * 64 + 24)?;
            let mut out = (**m).clone();
            out.remove(key);
            Ok(V::Map(Arc::new(out)))
        }
        // The checker lets nothing else through.
        _ => wrong(format!("{} cannot take this", native.says())),
    }
}
