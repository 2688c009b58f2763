//! Forecast of overload in the parts of the shared table.
//!
//! When many servers leave at once, the others may be overloaded within a second. Proxies then avoid
//! these and send nearly all visits to the servers that have just started, however low the weights
//! of these are. Reports show that several seconds too late. The forecast compares the load that the fleet
//! will have with the highest that it has served, so that it follows from a roster change at once.

/// A part counts as overloaded above this multiple of the highest load that the fleet has served: a
/// fleet is taken to have been planned for the loss of a third of its servers.
const OVERLOAD_FACTOR: f64 = 1.5;

/// Maximum of the values of a time window, or of up to twice that time.
#[derive(Default)]
struct WindowMaximum {
    started_at: f64,
    current: f64,
    previous: f64,
}

impl WindowMaximum {
    /// Adds a value, and returns the maximum.
    fn add(&mut self, now: f64, window_ms: f64, value: f64) -> f64 {
        if now - self.started_at >= window_ms {
            self.started_at = now;
            self.previous = self.current;
            self.current = 0.0;
        }
        self.current = self.current.max(value);
        self.current.max(self.previous)
    }
}

/// Which parts of the shared table are overloaded, or soon will be. A load is the number of visits per
/// millisecond that come to an average proxy, divided by the weight of the servers that serve them.
/// Thus proxies that move between controllers don't change it.
#[derive(Default)]
pub struct OverloadForecast {
    /// Time of the first load that was served.
    first_served_at: Option<f64>,
    /// Weight of the servers to which the visits that are reported now may have gone.
    reported_weight: WindowMaximum,
    /// Highest load that the fleet has served without overload; 0 if it is not known.
    served_load: f64,
    /// By part: the time until which it counts as overloaded.
    overloaded_until: Vec<f64>,
}

impl OverloadForecast {
    /// Records that the fleet serves visits at this rate per proxy without overload, by servers of this
    /// weight. Reports are up to `report_lag_ms` old.
    pub fn record_served(&mut self, now: f64, report_lag_ms: f64, visit_rate: f64, weight: f64) {
        let first_served_at = *self.first_served_at.get_or_insert(now);
        let reported_weight = self.reported_weight.add(now, report_lag_ms, weight);
        if now - first_served_at >= report_lag_ms && reported_weight > 0.0 {
            self.served_load = self.served_load.max(visit_rate / reported_weight);
        }
    }

    /// Evaluates a part, given the visits per proxy and the weight of the fleet's servers that can serve
    /// them if all parts do as this one. Returns how many times the highest served load that is, if the part
    /// becomes overloaded by it. A part stays so for `report_lag_ms`, until reports show the effect.
    pub fn update_part(
        &mut self,
        part: usize,
        now: f64,
        report_lag_ms: f64,
        visit_rate: f64,
        weight: f64,
    ) -> Option<f64> {
        if self.overloaded_until.len() <= part {
            self.overloaded_until.resize(part + 1, f64::NEG_INFINITY);
        }
        let served_visit_rate = self.served_load * weight;
        if served_visit_rate <= 0.0 || visit_rate <= OVERLOAD_FACTOR * served_visit_rate {
            return None;
        }
        let was_overloaded = self.is_overloaded(part, now);
        self.overloaded_until[part] = now + report_lag_ms;
        Some(visit_rate / served_visit_rate).filter(|_| !was_overloaded)
    }

    /// Whether a part is overloaded, or soon will be.
    pub fn is_overloaded(&self, part: usize, now: f64) -> bool {
        let until = self.overloaded_until.get(part);
        until.is_some_and(|until| now < *until)
    }
}
