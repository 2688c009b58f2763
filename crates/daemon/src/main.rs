//! `dahliapoint`: see [`dahliapoint_daemon::cli`].

use std::process::ExitCode;

fn main() -> ExitCode {
    dahliapoint_daemon::cli::main(std::env::args_os())
}
