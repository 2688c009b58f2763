//! Load reports between the fronts and the decisions, free of I/O, clock and chance from outside.
//!
//! - [`timeline`] puts a report where it belongs in time, by the differences of its reporter's own clock;
//! - [`report_queue`] takes reports in: bounded by reporter and in all, merged by stretch, never waiting;
//! - [`sampling`] chooses what is read when more came than can be, so that sums stay true on average;
//! - [`estimates`] keeps what was met by server, with an age and an error bound;
//! - [`trust`] sets a server's own word against what proxies met, and a proxy's against all others';
//! - [`coverage`] knows who tells of which server, and who has fallen silent;
//! - [`interval`] moves the reporting interval before anything has to be left unread;
//! - [`sketch`], [`ring`] and [`timer_wheel`] are the structures under them.
//!
//! Times are milliseconds on one clock that never goes back; servers and reporters are small indices
//! that the caller hands out, but for the mouth, whose keys are the caller's.

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
