//! The platform's protocol without I/O: what its parties say, read line by line; what is ordered,
//! written; and the core that drives the one planner: `(now, inputs) -> effects`. Deterministic.
//!
//! The codecs ([`line_buffer`], [`chunked`], [`fields`], [`inbound`], [`relay`], [`discovery`]) know bytes and fields.
//! [`delivery`] holds the rules of what is sent and what is sent again, [`membership`] those of what
//! several followers of the news tell, [`slots`] names and indices. [`core`] puts them together.

pub mod chunked;
pub mod core;
pub mod delivery;
pub mod discovery;
pub mod fields;
pub mod inbound;
pub mod line_buffer;
pub mod membership;
pub mod relay;
pub mod slots;
