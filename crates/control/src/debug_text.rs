//! The `Debug` text of outputs. `dahliapoint replay` prints it, and operators compare and search
//! what it prints, so it keeps the names below even where the types in the code are called
//! otherwise.

use crate::{ClassPolicy, LineState, Message, Output, Scope};
use std::fmt::{self, Debug, Formatter};

impl Debug for LineState {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(match self {
            LineState::Open => "Open",
            LineState::Withdrawn => "Shut",
            LineState::Removed => "Away",
        })
    }
}

impl Debug for ClassPolicy {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let mut text = f.debug_struct("Way");
        text.field("share", &self.admitted_share);
        text.field("tries", &self.retry).finish()
    }
}

impl Debug for Scope {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Scope::Changes(part) => f.debug_tuple("Part").field(part).finish(),
            Scope::Snapshot(part) => f.debug_tuple("Whole").field(part).finish(),
            Scope::Unbound => f.write_str("Standing"),
        }
    }
}

impl Debug for Message {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.debug_struct("Message")
            .field("serial", &self.serial)
            .field("scope", &self.scope)
            .field("lines", &self.lines)
            .field("ways", &self.policies)
            .finish()
    }
}

impl Debug for Output {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Output::Write(sessions, message) => {
                let mut text = f.debug_tuple("Write");
                text.field(sessions).field(message).finish()
            }
            Output::Close(session, reason) => {
                let mut text = f.debug_tuple("Close");
                text.field(session).field(reason).finish()
            }
            Output::Probe { server, address } => f
                .debug_struct("Probe")
                .field("server", server)
                .field("address", address)
                .finish(),
            Output::Log(line) => f.debug_tuple("Note").field(line).finish(),
        }
    }
}

#[cfg(test)]
mod tests;
