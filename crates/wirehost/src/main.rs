//! Runs planners for the simulator: reads batches of events from standard input and writes replies to
//! standard output, one JSON object per line.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = dahliapoint_wirehost::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => return refuse(&format!("standard input: {e}")),
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        let reply = match host.handle_batch(&line) {
            Ok(reply) => reply,
            Err(e) => return refuse(&e),
        };
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.write_all(b"\n"))
            .and_then(|()| output.flush());
        if let Err(e) = written {
            return refuse(&format!("standard output: {e}"));
        }
    }
}

/// Prints an error and returns the exit code 2.
fn refuse(why: &str) -> ExitCode {
    eprintln!("dahliapoint-wirehost: {why}");
    ExitCode::from(2)
}
