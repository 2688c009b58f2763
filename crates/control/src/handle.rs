//! The handle by which fronts reach the thread that owns the controller.

use crate::{Input, LoadReport, Session};

/// Access to a controller that runs on another thread.
pub trait ControllerHandle: Send + Sync + 'static {
    /// Queues an input, waiting while the queue is full; false once the controller has ended.
    fn send(&self, input: Input) -> bool;
    /// A stream of load reports of a proxy begins or ends; `stream` is the number of that stream.
    fn report_stream(&self, proxy: &str, stream: Session, begins: bool);
    /// Hands over a report, without waiting.
    ///
    /// # Errors
    /// Returns why the report is not accepted.
    fn report(&self, proxy: &str, stream: Session, report: LoadReport) -> Result<(), String>;
    /// The interval at which proxies are to report at present.
    fn report_interval_ms(&self) -> f64;
    /// The present state as JSON, for the status page.
    fn overview(&self) -> serde_json::Value;
}
