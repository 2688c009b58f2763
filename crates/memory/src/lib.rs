//! Persists what a controller knows about its servers, so that a restart does not lose it.
//!
//! - [`facts`]: the stored state, and changes to it;
//! - [`restore`]: how far stored facts are still valid after a restart;
//! - [`directory`]: the file operations, each of which may fail or be lost in a power failure;
//! - [`frames`]: the framing and checking of bytes in files;
//! - [`store`]: the journal and the snapshots in a directory;
//! - [`writer`]: the thread that writes them, so that no decision waits for a disk;
//! - [`clock`]: the machine's clocks.
//!
//! `facts` and `restore` do no I/O, read no clock and use no randomness.

pub mod clock;
pub mod directory;
pub mod facts;
pub mod frames;
pub mod restore;
pub mod store;
pub mod writer;
