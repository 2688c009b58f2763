//! The command line: runs a controller, checks its files, asks one for its status, replays a record. Doc comments of
//! commands and arguments are the texts of `--help`.

use crate::daemon::{Daemon, RosterSource};
use crate::deployment::{self, Deployment, LogFormat};
use crate::import::{self, ImportSettings};
use crate::roster::{self, RosterWatcher};
use crate::{guard_explain, hook_commands, hook_runner, memory, sample, status};
use clap::{Parser, Subcommand};
use dahliapoint_control::record::{End, encode_outputs, replay};
use dahliapoint_files::formats::Format;
use dahliapoint_import::ConfigFormat;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::ffi::OsString;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::EnvFilter;

/// A control service that hands weights to plain proxies.
#[derive(Parser)]
#[command(name = "dahliapoint", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

/// Files that can be imported.
#[derive(Clone, Copy, clap::ValueEnum)]
enum ImportFormat {
    Apache,
    #[value(name = "mod_jk")]
    Jk,
}

#[derive(Subcommand)]
enum HookCommand {
    /// Tell all that is wrong with files.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Put files into their one form.
    Fmt {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Only tell which are not in it.
        #[arg(long)]
        check: bool,
    },
    /// Run a file's hooks on a written night, and tell what they wish.
    Run { file: PathBuf, night: PathBuf },
    /// Run files' hooks on the nights beside them (night.hook: night.test.yaml); exit code 1 if one comes out
    /// otherwise than it says.
    Test {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller; without a file, the embedded sample on loopback.
    Run {
        file: Option<PathBuf>,
        /// Write every input down, to be played again.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Listen here instead of where the file says (port 0: one that the system picks).
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Write the address that is listened on to this file.
        #[arg(long)]
        address_file: Option<PathBuf>,
    },
    /// Be a controller of the platform, as NODE_CONFIG says; in the foreground.
    Node,
    /// Check a deployment file and its roster; tells all that is wrong.
    Check { file: PathBuf },
    /// Ask a running controller for its state.
    Status {
        #[arg(long, default_value = "127.0.0.1:18000")]
        at: SocketAddr,
        #[arg(long)]
        json: bool,
    },
    /// Print the present table of a running controller.
    Export {
        #[arg(long, default_value = "127.0.0.1:18000")]
        at: SocketAddr,
        /// The part of the shared table.
        #[arg(long, default_value_t = 0)]
        part: usize,
        #[arg(long, value_enum, default_value = "json")]
        form: ExportFormat,
    },
    /// Read Apache's balancer or mod_jk's worker files, and print the roster that they say.
    Import {
        file: PathBuf,
        #[arg(long, value_enum)]
        form: ImportFormat,
        /// The balancer, if there are several.
        #[arg(long)]
        balancer: Option<String>,
        /// The zone of hosts that say none.
        #[arg(long)]
        zone: Option<String>,
        /// A name that holds in <IfModule> and <IfDefine>.
        #[arg(long)]
        assume: Vec<String>,
        /// Where relative paths begin, if not in the file's folder.
        #[arg(long)]
        root: Option<String>,
        /// Tell what these files would be with the weights and states of this roster.
        #[arg(long)]
        write_back: Option<PathBuf>,
        /// And write them.
        #[arg(long, requires = "write_back")]
        in_place: bool,
    },
    /// Check, format, run and test hooks.
    Hook {
        #[command(subcommand)]
        what: HookCommand,
    },
    /// Judge tables by the guard's rules.
    Guard {
        #[command(subcommand)]
        what: GuardCommand,
    },
    /// Look into a directory of what a controller knows.
    State {
        #[arg(value_enum)]
        what: StateCommand,
        dir: PathBuf,
        /// The key file that it is sealed with.
        #[arg(long)]
        key: Option<PathBuf>,
    },
    /// Play a record again: what was ordered, and the sum of it.
    Replay {
        file: PathBuf,
        /// Only the sum.
        #[arg(long)]
        quiet: bool,
    },
}

#[derive(Subcommand)]
enum GuardCommand {
    /// Say what is dangerous about a table in a file; exit code 1 if something is.
    Explain { file: PathBuf },
}

/// What to do with a directory of stored state.
#[derive(Clone, Copy, clap::ValueEnum)]
enum StateCommand {
    /// Print what is known.
    Show,
    /// Say whether all of it can be read; exit code 1 if something was passed over.
    Verify,
    /// Write it as one snapshot; no controller may hold it.
    Compact,
}

/// Format in which a table is printed.
#[derive(Clone, Copy, clap::ValueEnum)]
enum ExportFormat {
    Json,
    /// Apache `BalancerMember` lines.
    Balancer,
    /// mod_jk `workers.properties`.
    Workers,
    /// HAProxy's server-state columns.
    State,
}

/// Exit code if a file or a setting cannot be used.
const EXIT_INVALID: u8 = 2;

/// Runs a command line, whose first word is the program's name, and returns the exit code.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let result = match Arguments::parse_from(arguments).command {
        Command::Run {
            file,
            record,
            listen,
            address_file,
        } => run(file.as_deref(), record, listen, address_file.as_deref()),
        Command::Node => dahliapoint_node::run().map_err(invalid),
        Command::Check { file } => check(&file),
        Command::Status { at, json } => print_status(at, json),
        Command::Export { at, part, form } => export(at, part, form),
        Command::Hook { what } => hook(what),
        Command::Import {
            file,
            form,
            balancer,
            zone,
            assume,
            root,
            write_back,
            in_place,
        } => {
            let kind = match form {
                ImportFormat::Apache => ConfigFormat::Apache,
                ImportFormat::Jk => ConfigFormat::Jk,
            };
            let settings = ImportSettings {
                kind,
                balancer,
                assumed: assume,
                root,
                zone,
            };
            import_files(&file, &settings, write_back.as_deref(), in_place)
        }
        Command::Guard {
            what: GuardCommand::Explain { file },
        } => guard_explain_file(&file),
        Command::State { what, dir, key } => state(what, &dir, key.as_deref()),
        Command::Replay { file, quiet } => replay_record(&file, quiet),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, why)) => {
            eprintln!("{why}");
            ExitCode::from(code)
        }
    }
}

/// An error is an exit code and a message.
type CommandResult = Result<(), (u8, String)>;

/// An error with [`EXIT_INVALID`].
fn invalid(why: impl ToString) -> (u8, String) {
    (EXIT_INVALID, why.to_string())
}

/// Prints to standard output. An error is ignored: the reader of a pipe may have ended.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Reads a deployment file.
fn load(file: &Path) -> Result<Deployment, (u8, String)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| invalid(format!("{name}: {e}")))?;
    deployment::parse(&name, &text).map_err(invalid)
}

/// Sets up logging with the settings of the deployment.
pub fn init_logging(deployment: &Deployment) {
    // The coroutine runtime logs every socket at `info`.
    let filter = EnvFilter::new(format!("{},may=warn", deployment.log_level));
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match deployment.log_format {
        LogFormat::Text => subscriber.with_ansi(false).init(),
        LogFormat::Json => subscriber.json().init(),
    }
}

fn run(
    file: Option<&Path>,
    record: Option<PathBuf>,
    listen: Option<SocketAddr>,
    address_file: Option<&Path>,
) -> CommandResult {
    let mut deployment = match file {
        Some(file) => load(file)?,
        None => deployment::parse("the embedded sample", sample::DEPLOYMENT).map_err(invalid)?,
    };
    deployment.listen = listen.unwrap_or(deployment.listen);
    init_logging(&deployment);
    // Before anything starts, so that no signal is missed.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(invalid)?;
    let source = match file {
        Some(_) => RosterSource::File,
        None => RosterSource::Fixed(sample::servers(&deployment.settings.zones).map_err(invalid)?),
    };
    let daemon = Daemon::start(&deployment, source, record).map_err(invalid)?;
    if let Some(path) = address_file {
        // Written under another name and renamed, so that nobody reads half of it.
        let temporary = path.with_extension("aside");
        std::fs::write(&temporary, daemon.address().to_string())
            .and_then(|()| std::fs::rename(&temporary, path))
            .map_err(|e| invalid(format!("{}: {e}", path.display())))?;
    }
    if signals.forever().next().is_some() {
        tracing::info!("shutting down on a signal");
    }
    daemon.end(Duration::from_secs(5));
    Ok(())
}

fn check(file: &Path) -> CommandResult {
    let deployment = load(file)?;
    let zones = &deployment.settings.zones;
    let result =
        RosterWatcher::new(&deployment.roster_path, &deployment.roster_format, zones).poll();
    let entries = match result {
        roster::PollResult::Changed(entries) => entries,
        roster::PollResult::Refused(why) => return Err(invalid(why)),
        roster::PollResult::Unchanged => {
            return Err(invalid("the roster changed while it was read"));
        }
    };
    if let Some(hooks) = &deployment.hooks {
        let set = hook_runner::load(&hooks.dir).map_err(|f| invalid(f.trim_end()))?;
        println!("{}: {} files of hooks", hooks.dir.display(), set.len());
    }
    println!(
        "{}: service {}, {} classes, {} zones, {} servers",
        file.display(),
        deployment.settings.service,
        deployment.settings.classes.len(),
        zones.len(),
        entries.len()
    );
    Ok(())
}

fn print_status(at: SocketAddr, json: bool) -> CommandResult {
    let (overview, rows) = status::fetch(at).map_err(|e| (1, format!("{at}: {e}")))?;
    let text = match json {
        true => format!("{:#}\n", status::as_json(&overview, &rows)),
        false => status::as_table(&overview, &rows),
    };
    print(&text);
    Ok(())
}

fn import_files(
    file: &Path,
    settings: &ImportSettings,
    back: Option<&Path>,
    in_place: bool,
) -> CommandResult {
    let text = match back {
        Some(roster) => import::write_back(file, settings, roster, in_place).map_err(invalid)?,
        None => {
            let import = import::import(&mut import::LocalFiles::default(), file, settings)
                .map_err(invalid)?;
            let entries = import::entries(&import, settings, None).map_err(invalid)?;
            import::as_yaml(&entries)
        }
    };
    print(&text);
    Ok(())
}

fn hook(what: HookCommand) -> CommandResult {
    match what {
        HookCommand::Check { files } => {
            let all: Vec<_> = files.iter().map(|f| hook_commands::check(f)).collect();
            all.iter().flatten().for_each(|text| print(text));
            let faults: Vec<String> = all.into_iter().filter_map(Result::err).collect();
            if faults.is_empty() {
                Ok(())
            } else {
                Err(invalid(faults.concat().trim_end()))
            }
        }
        HookCommand::Fmt { files, check } => {
            let mut unformatted = Vec::new();
            for file in &files {
                let (before, after) =
                    hook_commands::format(file).map_err(|f| invalid(f.trim_end()))?;
                if before == after {
                    continue;
                }
                unformatted.push(file.display().to_string());
                if !check {
                    let temporary = file.with_extension("hook.new");
                    let written = std::fs::write(&temporary, after)
                        .and_then(|()| std::fs::rename(&temporary, file));
                    written.map_err(|e| (1, format!("{}: {e}", file.display())))?;
                }
            }
            match check && !unformatted.is_empty() {
                true => Err((1, format!("not in their form: {}", unformatted.join(", ")))),
                false => Ok(()),
            }
        }
        HookCommand::Run { file, night } => {
            let (text, _) =
                hook_commands::play(&file, &night).map_err(|f| invalid(f.trim_end()))?;
            print(&text);
            Ok(())
        }
        HookCommand::Test { files } => {
            let mut failed = 0;
            for file in &files {
                let night = file.with_extension("test.yaml");
                let (text, mismatches) =
                    hook_commands::play(file, &night).map_err(|f| invalid(f.trim_end()))?;
                match mismatches {
                    0 => print(&format!("{}: as wanted\n", file.display())),
                    _ => print(&text),
                }
                failed += mismatches;
            }
            match failed {
                0 => Ok(()),
                n => Err((1, format!("{n} steps came out otherwise than wanted"))),
            }
        }
    }
}

fn guard_explain_file(file: &Path) -> CommandResult {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| invalid(format!("{name}: {e}")))?;
    let (text, is_safe) = guard_explain::explain(&name, &text).map_err(invalid)?;
    print(&text);
    match is_safe {
        true => Ok(()),
        false => Err((1, format!("{name}: the table is dangerous"))),
    }
}

fn state(what: StateCommand, dir: &Path, key: Option<&Path>) -> CommandResult {
    let (facts, found) = match what {
        StateCommand::Show | StateCommand::Verify => memory::read(dir, key).map_err(invalid)?,
        StateCommand::Compact => {
            let (_, facts, found) = memory::open(dir, key).map_err(invalid)?;
            (facts, found)
        }
    };
    let text = match what {
        StateCommand::Show => memory::as_table(&facts),
        StateCommand::Verify | StateCommand::Compact => {
            let found = serde_json::to_string(&found).map_err(invalid)?;
            format!("{} servers, {found}\n", facts.servers.len())
        }
    };
    print(&text);
    let is_complete = found.passed_over.is_empty() && found.torn_bytes == 0;
    match what {
        StateCommand::Verify if !is_complete => {
            Err((1, format!("{}: not all of it can be read", dir.display())))
        }
        _ => Ok(()),
    }
}

fn export(at: SocketAddr, part: usize, form: ExportFormat) -> CommandResult {
    let (overview, _) = status::fetch(at).map_err(|e| (1, format!("{at}: {e}")))?;
    let table = status::table(&overview, part);
    if table.lines.is_empty() {
        return Err((1, format!("{at}: part {part} has no lines")));
    }
    let text = match form {
        ExportFormat::Json => serde_json::to_string_pretty(&table).map_err(invalid)? + "\n",
        ExportFormat::Balancer => Format::Balancer.render(&table),
        ExportFormat::Workers => Format::Workers.render(&table),
        ExportFormat::State => Format::HaproxyState.render(&table),
    };
    print(&text);
    Ok(())
}

fn replay_record(file: &Path, quiet: bool) -> CommandResult {
    let name = file.display().to_string();
    let opened = File::open(file).map_err(|e| invalid(format!("{name}: {e}")))?;
    let (mut steps, mut bytes, mut checksum) = (0_u64, 0_u64, crc32fast::Hasher::new());
    let mut out = std::io::stdout().lock();
    let result = replay(BufReader::new(opened), |now, outputs| {
        let encoded = encode_outputs(outputs);
        steps += 1;
        bytes += encoded.len() as u64;
        checksum.update(&encoded);
        if !quiet {
            for output in outputs {
                let _ = writeln!(out, "{now:.3} {output:?}");
            }
        }
    });
    let (_, end) = result.map_err(|why| invalid(format!("{name}: {why}")))?;
    let _ = writeln!(
        out,
        "{steps} moments, {bytes} bytes of orders, sum {:08x}",
        checksum.finalize()
    );
    match end {
        End::Complete => Ok(()),
        End::Truncated => {
            let _ = writeln!(out, "the last moment is cut off, as after a kill");
            Ok(())
        }
        End::Corrupt(frame, why) => Err(invalid(format!("{name}: frame {frame}: {why}"))),
    }
}
