//! The owner of a controller, as fronts see it.

use crate::{Input, LoadReport, Session};

/// The owner of the controller, as a front sees it.
pub trait ControllerHandle: Send + Sync + 'static {
    /// Puts an input into its queue, waiting for room; false once it has ended.
    fn send(&self, input: Input) -> bool;
    /// A stream of load reports of a proxy begins, or ends; `stream` is its own number.
    fn report_stream(&self, proxy: &str, stream: Session, begins: bool);
    /// Takes a report in, without waiting.
    ///
    /// # Errors
    /// Why it is not taken.
    fn report(&self, proxy: &str, stream: Session, report: LoadReport) -> Result<(), String>;
    /// How often proxies are to report now.
    fn report_interval_ms(&self) -> f64;
    /// The present state, for people.
    fn overview(&self) -> serde_json::Value;
}
