//! The command line: runs a controller, checks its files, asks one for its state, plays a record again.

use crate::daemon::{Daemon, RosterSource};
use crate::deployment::{self, Deployment, LogFormat};
use crate::import::{self, ImportSettings};
use crate::roster::{self, RosterWatcher};
use crate::{guard_explain, hook_commands, hook_runner, memory, sample, status};
use clap::{Parser, Subcommand};
use dahliapoint_control::record::{End, encode_outputs, replay};
use dahliapoint_files::forms::Form;
use dahliapoint_import::Kind;
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
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Theirs {
    Apache,
    #[value(name = "mod_jk")]
    Jk,
}

#[derive(Subcommand)]
enum HookWork {
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
        form: Written,
    },
    /// Read Apache's balancer or mod_jk's worker files, and print the roster that they say.
    Import {
        file: PathBuf,
        #[arg(long, value_enum)]
        form: Theirs,
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
        what: HookWork,
    },
    /// Judge tables by the guard's rules.
    Guard {
        #[command(subcommand)]
        what: Judge,
    },
    /// Look into a directory of what a controller knows.
    State {
        #[arg(value_enum)]
        what: Look,
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
enum Judge {
    /// Say what is dangerous about a table in a file; exit code 1 if something is.
    Explain { file: PathBuf },
}

/// What is done with a directory of memory.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Look {
    /// Print what is known.
    Show,
    /// Say whether all of it can be read; exit code 1 if something was passed over.
    Verify,
    /// Write it as one snapshot; no controller may hold it.
    Compact,
}

/// A form that a table is printed in.
#[derive(Clone, Copy, clap::ValueEnum)]
enum Written {
    Json,
    /// Apache `BalancerMember` lines.
    Balancer,
    /// mod_jk `workers.properties`.
    Workers,
    /// HAProxy's server-state columns.
    State,
}

const WRONG: u8 = 2;

/// Runs a command line, the program's name first; tells the exit code.
pub fn main(line: impl Iterator<Item = OsString>) -> ExitCode {
    let done = match Line::parse_from(line).command {
        Command::Run {
            file,
            record,
            listen,
            address_file,
        } => run(file.as_deref(), record, listen, address_file.as_deref()),
        Command::Node => dahliapoint_node::run().map_err(wrong),
        Command::Check { file } => check(&file),
        Command::Status { at, json } => ask(at, json),
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
                Theirs::Apache => Kind::Apache,
                Theirs::Jk => Kind::Jk,
            };
            let foreign = ImportSettings {
                kind,
                balancer,
                assumed: assume,
                root,
                zone,
            };
            take_over(&file, &foreign, write_back.as_deref(), in_place)
        }
        Command::Guard {
            what: Judge::Explain { file },
        } => explain(&file),
        Command::State { what, dir, key } => state(what, &dir, key.as_deref()),
        Command::Replay { file, quiet } => again(&file, quiet),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, why)) => {
            eprintln!("{why}");
            ExitCode::from(code)
        }
    }
}

type Done = Result<(), (u8, String)>;

fn wrong(why: impl ToString) -> (u8, String) {
    (WRONG, why.to_string())
}

/// Reads a deployment file.
fn load(file: &Path) -> Result<Deployment, (u8, String)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| wrong(format!("{name}: {e}")))?;
    deployment::parse(&name, &text).map_err(wrong)
}

/// Sets up the log as the deployment says.
pub fn init_logging(deployment: &Deployment) {
    // The runtime tells of every socket at `info`.
    let filter = EnvFilter::new(format!("{},may=warn", deployment.log_level));
    let to = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match deployment.log_format {
        LogFormat::Text => to.with_ansi(false).init(),
        LogFormat::Json => to.json().init(),
    }
}

fn run(
    file: Option<&Path>,
    record: Option<PathBuf>,
    listen: Option<SocketAddr>,
    address_file: Option<&Path>,
) -> Done {
    let mut deployment = match file {
        Some(file) => load(file)?,
        None => deployment::parse("the embedded sample", sample::DEPLOYMENT).map_err(wrong)?,
    };
    deployment.listen = listen.unwrap_or(deployment.listen);
    init_logging(&deployment);
    // Before any part starts, so that no signal is missed.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(wrong)?;
    let source = match file {
        Some(_) => RosterSource::File,
        None => RosterSource::Fixed(sample::servers(&deployment.settings.zones).map_err(wrong)?),
    };
    let daemon = Daemon::start(&deployment, source, record).map_err(wrong)?;
    if let Some(path) = address_file {
        // Written aside and renamed: whoever waits for it reads all of it.
        let aside = path.with_extension("aside");
        std::fs::write(&aside, daemon.address().to_string())
            .and_then(|()| std::fs::rename(&aside, path))
            .map_err(|e| wrong(format!("{}: {e}", path.display())))?;
    }
    if signals.forever().next().is_some() {
        tracing::info!("told to end");
    }
    daemon.end(Duration::from_secs(5));
    Ok(())
}

fn check(file: &Path) -> Done {
    let deployment = load(file)?;
    let zones = &deployment.settings.zones;
    let look = RosterWatcher::new(&deployment.roster_path, &deployment.roster_format, zones).poll();
    let entries = match look {
        roster::PollResult::Changed(entries) => entries,
        roster::PollResult::Refused(why) => return Err(wrong(why)),
        roster::PollResult::Unchanged => return Err(wrong("the roster changes while it is read")),
    };
    if let Some(place) = &deployment.hooks {
        let set = hook_runner::load(&place.dir).map_err(|f| wrong(f.trim_end()))?;
        println!("{}: {} files of hooks", place.dir.display(), set.len());
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

fn ask(at: SocketAddr, json: bool) -> Done {
    let (overview, rows) = status::fetch(at).map_err(|e| (1, format!("{at}: {e}")))?;
    let text = match json {
        true => format!("{:#}\n", status::as_json(&overview, &rows)),
        false => status::as_table(&overview, &rows),
    };
    // A reader that has gone away is no fault of ours.
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(())
}

fn take_over(file: &Path, foreign: &ImportSettings, back: Option<&Path>, in_place: bool) -> Done {
    let told = match back {
        Some(roster) => import::write_back(file, foreign, roster, in_place).map_err(wrong)?,
        None => {
            let import =
                import::import(&mut import::LocalFiles::default(), file, foreign).map_err(wrong)?;
            let entries = import::entries(&import, foreign, None).map_err(wrong)?;
            import::as_yaml(&entries)
        }
    };
    // A reader that has gone away is no fault of ours.
    let _ = std::io::stdout().write_all(told.as_bytes());
    Ok(())
}

fn hook(what: HookWork) -> Done {
    let say = |text: &str| {
        // A reader that has gone away is no fault of ours.
        let _ = std::io::stdout().write_all(text.as_bytes());
    };
    match what {
        HookWork::Check { files } => {
            let all: Vec<_> = files.iter().map(|f| hook_commands::check(f)).collect();
            all.iter().flatten().for_each(|told| say(told));
            let faults: Vec<String> = all.into_iter().filter_map(Result::err).collect();
            if faults.is_empty() {
                Ok(())
            } else {
                Err(wrong(faults.concat().trim_end()))
            }
        }
        HookWork::Fmt { files, check } => {
            let mut other = Vec::new();
            for file in &files {
                let (before, after) =
                    hook_commands::format(file).map_err(|f| wrong(f.trim_end()))?;
                if before == after {
                    continue;
                }
                other.push(file.display().to_string());
                if !check {
                    let aside = file.with_extension("hook.new");
                    let put =
                        std::fs::write(&aside, after).and_then(|()| std::fs::rename(&aside, file));
                    put.map_err(|e| (1, format!("{}: {e}", file.display())))?;
                }
            }
            match check && !other.is_empty() {
                true => Err((1, format!("not in their form: {}", other.join(", ")))),
                false => Ok(()),
            }
        }
        HookWork::Run { file, night } => {
            let (told, _) = hook_commands::play(&file, &night).map_err(|f| wrong(f.trim_end()))?;
            say(&told);
            Ok(())
        }
        HookWork::Test { files } => {
            let mut failed = 0;
            for file in &files {
                let night = file.with_extension("test.yaml");
                let (told, otherwise) =
                    hook_commands::play(file, &night).map_err(|f| wrong(f.trim_end()))?;
                match otherwise {
                    0 => say(&format!("{}: as wanted\n", file.display())),
                    _ => say(&told),
                }
                failed += otherwise;
            }
            match failed {
                0 => Ok(()),
                n => Err((1, format!("{n} steps came out otherwise than wanted"))),
            }
        }
    }
}

fn explain(file: &Path) -> Done {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| wrong(format!("{name}: {e}")))?;
    let (told, is_safe) = guard_explain::explain(&name, &text).map_err(wrong)?;
    let _ = std::io::stdout().write_all(told.as_bytes());
    match is_safe {
        true => Ok(()),
        false => Err((1, format!("{name}: the table is dangerous"))),
    }
}

fn state(what: Look, dir: &Path, key: Option<&Path>) -> Done {
    let (facts, found) = match what {
        Look::Show | Look::Verify => memory::read(dir, key).map_err(wrong)?,
        Look::Compact => {
            let (_, facts, found) = memory::open(dir, key).map_err(wrong)?;
            (facts, found)
        }
    };
    let told = match what {
        Look::Show => memory::as_table(&facts),
        Look::Verify | Look::Compact => {
            let found = serde_json::to_string(&found).map_err(wrong)?;
            format!("{} servers, {found}\n", facts.servers.len())
        }
    };
    let _ = std::io::stdout().write_all(told.as_bytes());
    let whole = found.passed_over.is_empty() && found.torn_bytes == 0;
    match what {
        Look::Verify if !whole => Err((1, format!("{}: not all of it can be read", dir.display()))),
        _ => Ok(()),
    }
}

fn export(at: SocketAddr, part: usize, form: Written) -> Done {
    let (overview, _) = status::fetch(at).map_err(|e| (1, format!("{at}: {e}")))?;
    let table = status::table(&overview, part);
    if table.lines.is_empty() {
        return Err((1, format!("{at}: part {part} has no lines")));
    }
    let text = match form {
        Written::Json => serde_json::to_string_pretty(&table).map_err(wrong)? + "\n",
        Written::Balancer => Form::Balancer.write(&table),
        Written::Workers => Form::Workers.write(&table),
        Written::State => Form::State.write(&table),
    };
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(())
}

fn again(file: &Path, quiet: bool) -> Done {
    let name = file.display().to_string();
    let opened = File::open(file).map_err(|e| wrong(format!("{name}: {e}")))?;
    let (mut moments, mut bytes, mut sum) = (0_u64, 0_u64, crc32fast::Hasher::new());
    let mut out = std::io::stdout().lock();
    let ended = replay(BufReader::new(opened), |now, outputs| {
        let told = encode_outputs(outputs);
        moments += 1;
        bytes += told.len() as u64;
        sum.update(&told);
        if !quiet {
            for output in outputs {
                let _ = writeln!(out, "{now:.3} {output:?}");
            }
        }
    });
    let (_, end) = ended.map_err(|why| wrong(format!("{name}: {why}")))?;
    let _ = writeln!(
        out,
        "{moments} moments, {bytes} bytes of orders, sum {:08x}",
        sum.finalize()
    );
    match end {
        End::Complete => Ok(()),
        End::Truncated => {
            let _ = writeln!(out, "the last moment is cut off, as after a kill");
            Ok(())
        }
        End::Corrupt(frame, why) => Err(wrong(format!("{name}: frame {frame}: {why}"))),
    }
}
