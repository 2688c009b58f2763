//! Reads the fields of the simulator's messages, with an error for each that is missing or has the
//! wrong type, and converts its units.

use dahliapoint::{AdminState, RetryPolicy};
use serde_json::{Map, Value};

/// Milliseconds of a time in nanoseconds.
pub fn ms(ns: u64) -> f64 {
    ns as f64 / 1e6
}

/// Nanoseconds of a time in milliseconds, rounded up so that a timer doesn't fire early.
pub fn ns(ms: f64) -> u64 {
    (ms * 1e6).ceil() as u64
}

/// The fields of one message, and its name for errors.
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    name: &'a str,
}

impl<'a> Fields<'a> {
    /// The fields of an object; `what` names the value in the error if it is not one.
    pub fn of(value: &'a Value, what: &str, name: &'a str) -> Result<Self, String> {
        let map = value.as_object();
        map.map(|map| Fields { map, name })
            .ok_or_else(|| format!("{what} is not an object"))
    }

    /// The error for a field that is missing or is not what is `wanted`.
    pub fn wrong(&self, field: &str, wanted: &str) -> String {
        match self.map.get(field) {
            None | Some(Value::Null) => format!("{}: field {field:?} is missing", self.name),
            Some(_) => format!("{}: field {field:?} is not {wanted}", self.name),
        }
    }

    /// Reads a field; `wanted` describes the expected value in the error.
    fn get<T>(
        &self,
        field: &str,
        wanted: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        let value = self.map.get(field).and_then(read);
        value.ok_or_else(|| self.wrong(field, wanted))
    }

    /// Reads a whole number.
    pub fn whole(&self, field: &str) -> Result<u64, String> {
        self.get(field, "a whole number", Value::as_u64)
    }

    /// Reads a whole number below `end`.
    pub fn below(&self, field: &str, end: u64) -> Result<u64, String> {
        let read = |v: &Value| v.as_u64().filter(|n| *n < end);
        self.get(field, &format!("a whole number below {end}"), read)
    }

    /// Reads a number that is not negative.
    pub fn number(&self, field: &str) -> Result<f64, String> {
        let read = |v: &Value| v.as_f64().filter(|n| *n >= 0.0);
        self.get(field, "a number from 0 up", read)
    }

    /// Reads a Boolean.
    pub fn flag(&self, field: &str) -> Result<bool, String> {
        self.get(field, "true or false", Value::as_bool)
    }

    /// Reads a string.
    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.get(field, "a text", Value::as_str)
    }

    /// Reads the name of an instance.
    pub fn instance(&self, field: &str) -> Result<&'a str, String> {
        let number = |s: &str| s.strip_prefix("controller/").map(str::parse::<u64>);
        let read = |v: &'a Value| v.as_str().filter(|s| matches!(number(s), Some(Ok(_))));
        self.get(field, "an instance", read)
    }

    /// Reads an array.
    pub fn array(&self, field: &str) -> Result<&'a [Value], String> {
        self.get(field, "an array", |v| v.as_array().map(Vec::as_slice))
    }

    /// Reads an object.
    pub fn object(&self, field: &str) -> Result<Value, String> {
        self.get(field, "an object", |v| v.is_object().then(|| v.clone()))
    }

    /// Checks the load report of a server, which may be missing and may have unknown fields. Its values
    /// are not used: the planner relies on the proxies' statistics.
    pub fn load(&self, field: &str) -> Result<(), String> {
        let fine = match self.map.get(field) {
            None | Some(Value::Null) => true,
            Some(Value::Object(map)) => map.values().all(|v| v.is_null() || v.is_number()),
            Some(_) => false,
        };
        let wrong = || self.wrong(field, "a load report of numbers");
        fine.then_some(()).ok_or_else(wrong)
    }
}

/// One roster entry of a numbered list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: u64,
    pub zone: u64,
    pub admin_state: AdminState,
    pub weight: f64,
    pub started_ms: Option<f64>,
}

impl Entry {
    /// Reads an entry; a start time of 0 or null means that it is not known.
    pub fn of(value: &Value) -> Result<Entry, String> {
        let f = Fields::of(value, "list entry", "Catalog: elements")?;
        let admin_state = match f.text("availability")? {
            "active" => AdminState::Ready,
            "leaving" => AdminState::Draining,
            "left" => AdminState::Gone,
            _ => return Err(f.wrong("availability", "a standing")),
        };
        f.whole("cohort")?;
        f.whole("generationHw")?;
        let started = match f.map.get("startTimeNs") {
            None | Some(Value::Null) => 0,
            Some(_) => f.whole("startTimeNs")?,
        };
        Ok(Entry {
            id: f.below("backend", 1 << 32)?,
            zone: f.whole("campus")?,
            admin_state,
            weight: f.number("heft")?,
            started_ms: (started > 0).then(|| ms(started)),
        })
    }
}

/// The simulator's number for a retry policy.
pub fn way_of(tries: RetryPolicy) -> u64 {
    match tries {
        RetryPolicy::Never => 0,
        RetryPolicy::OnProof => 1,
        RetryPolicy::OnFailure => 2,
    }
}
