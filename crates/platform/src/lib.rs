//! The platform's protocol without I/O, and the core that drives the planner: a deterministic function
//! `(now, inputs) -> effects`.
//!
//! The codecs [`line_buffer`], [`chunked`], [`fields`], [`inbound`], [`relay`] and [`discovery`] parse
//! and write bytes. [`delivery`] decides what is sent to the relay and what is sent again,
//! [`membership`] merges several event streams of the relay, and [`slots`] maps server names to
//! indices. [`commands`] converts between orders and commands. [`core`] puts all of it together.

pub mod chunked;
pub mod commands;
pub mod core;
pub mod delivery;
pub mod discovery;
pub mod fields;
pub mod inbound;
pub mod line_buffer;
pub mod membership;
pub mod relay;
pub mod slots;
