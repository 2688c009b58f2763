//! Stand-ins that tests of other packages use.

pub mod platform;
