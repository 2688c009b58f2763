//! Collects load reports from proxies and turns them into estimates for the controller. The crate
//! does no I/O, reads no clock and takes its random seed from the caller.
//!
//! - [`timeline`]: places a report in time, using only differences of the reporter's own clock;
//! - [`report_queue`]: a bounded queue that never blocks and merges pending reports by reporter and
//!   window;
//! - [`sampling`]: samples lines when more are pending than can be read, keeping sums unbiased;
//! - [`estimates`]: load estimates by server, with an age and an error bound;
//! - [`trust`]: checks a server's self-reported load against the proxies' measurements, and each
//!   proxy's reports against those of all others;
//! - [`coverage`]: tracks which proxies report on which server, and which have gone silent;
//! - [`interval`]: lengthens the report interval before lines have to be sampled out;
//! - [`sketch`], [`ring`] and [`timer_wheel`]: the underlying data structures.
//!
//! Times are milliseconds on one monotonic clock. Servers and reporters are small indices assigned
//! by the caller, except in the report queue, whose key types the caller chooses.

pub mod coverage;
pub mod estimates;
pub mod interval;
pub mod report_queue;
pub mod ring;
pub mod sampling;
pub mod sketch;
pub mod timeline;
pub mod timer_wheel;
pub mod trust;
