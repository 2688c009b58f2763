//! Reads the fields of the simulator's messages, with an error for each that is missing or has the
//! wrong type, and converts its units.

use dahliapoint::{AdminState, RetryPolicy};
use serde_json::{Map, Value};

/// Milliseconds of a time in nanoseconds.
pub fn ms_from_ns(ns: u64) -> f64 {
    ns as f64 / 1e6
}

/// Nanoseconds of a time in milliseconds, rounded up so that a timer doesn't fire early.
pub fn ns_from_ms(ms: f64) -> u64 {
    (ms * 1e6).ceil() as u64
}

/// The fields of one message, and its name for errors.
pub struct Fields<'a> {
    map: &'a Map<String, Value>,
    name: &'a str,
}

impl<'a> Fields<'a> {
    /// The fields of an object; `what` names the value in the error if it is not one.
    pub fn new(value: &'a Value, what: &str, name: &'a str) -> Result<Self, String> {
        let map = value.as_object();
        map.map(|map| Fields { map, name })
            .ok_or_else(|| format!("{what} is not an object"))
    }

    /// The error for a field that is missing or is not what is `expected`.
    pub fn error(&self, field: &str, expected: &str) -> String {
        match self.map.get(field) {
            None | Some(Value::Null) => format!("{}: field {field:?} is missing", self.name),
            Some(_) => format!("{}: field {field:?} is not {expected}", self.name),
        }
    }

    /// Reads a field; `expected` describes the expected value in the error.
    fn get<T>(
        &self,
        field: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        let value = self.map.get(field).and_then(read);
        value.ok_or_else(|| self.error(field, expected))
    }

    /// Reads a whole number.
    pub fn whole_number(&self, field: &str) -> Result<u64, String> {
        self.get(field, "a whole number", Value::as_u64)
    }

    /// Reads a whole number below `end`.
    pub fn whole_number_below(&self, field: &str, end: u64) -> Result<u64, String> {
        let read = |v: &Value| v.as_u64().filter(|n| *n < end);
        self.get(field, &format!("a whole number below {end}"), read)
    }

    /// Reads a number that is not negative.
    pub fn non_negative(&self, field: &str) -> Result<f64, String> {
        let read = |v: &Value| v.as_f64().filter(|n| *n >= 0.0);
        self.get(field, "a number from 0 up", read)
    }

    /// Reads a Boolean.
    pub fn boolean(&self, field: &str) -> Result<bool, String> {
        self.get(field, "true or false", Value::as_bool)
    }

    /// Reads a string.
    pub fn string(&self, field: &str) -> Result<&'a str, String> {
        self.get(field, "a string", Value::as_str)
    }

    /// Reads the name of an instance.
    pub fn instance_name(&self, field: &str) -> Result<&'a str, String> {
        let number = |s: &str| s.strip_prefix("controller/").map(str::parse::<u64>);
        let read = |v: &'a Value| v.as_str().filter(|s| matches!(number(s), Some(Ok(_))));
        self.get(field, "an instance name", read)
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
    pub fn check_load_report(&self, field: &str) -> Result<(), String> {
        let is_valid = match self.map.get(field) {
            None | Some(Value::Null) => true,
            Some(Value::Object(map)) => map.values().all(|v| v.is_null() || v.is_number()),
            Some(_) => false,
        };
        if !is_valid {
            return Err(self.error(field, "a load report of numbers"));
        }
        Ok(())
    }
}

/// One roster entry of a numbered list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    pub id: u64,
    pub zone: u64,
    pub admin_state: AdminState,
    pub weight: f64,
    pub started_ms: Option<f64>,
}

impl ListEntry {
    /// Reads an entry; a start time of 0 or null means that it is not known.
    pub fn new(value: &Value) -> Result<ListEntry, String> {
        let fields = Fields::new(value, "list entry", "Catalog: elements")?;
        let admin_state = match fields.string("availability")? {
            "active" => AdminState::Ready,
            "leaving" => AdminState::Draining,
            "left" => AdminState::Gone,
            _ => return Err(fields.error("availability", "an admin state")),
        };
        fields.whole_number("cohort")?;
        fields.whole_number("generationHw")?;
        let started_ns = match fields.map.get("startTimeNs") {
            None | Some(Value::Null) => 0,
            Some(_) => fields.whole_number("startTimeNs")?,
        };
        Ok(ListEntry {
            id: fields.whole_number_below("backend", 1 << 32)?,
            zone: fields.whole_number("campus")?,
            admin_state,
            weight: fields.non_negative("heft")?,
            started_ms: (started_ns > 0).then(|| ms_from_ns(started_ns)),
        })
    }
}

/// The simulator's number for a retry policy.
pub fn retry_mode(policy: RetryPolicy) -> u64 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::OnProof => 1,
        RetryPolicy::OnFailure => 2,
    }
}
