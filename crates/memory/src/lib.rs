//! What a controller knows, kept over restarts.
//!
//! Free of I/O, clock and chance: [`facts`] (what is kept), [`restore`] (what it is worth when it is read
//! back). Around them: [`directory`] (the calls to a disk, each of which may fail or be lost), [`frames`] (how
//! bytes are checked), [`store`] (journal and snapshots in a directory), [`writer`] (the thread that writes
//! them, so that no decision waits for a disk).

pub mod clock;
pub mod directory;
pub mod facts;
pub mod frames;
pub mod restore;
pub mod store;
pub mod writer;
