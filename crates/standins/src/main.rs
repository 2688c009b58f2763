//! `dahliapoint-standins`: runs fault scenarios ("bad days") against the controller, with test servers,
//! proxies, links and a roster, and checks the five rules.

mod faulty_controller;
mod faulty_link;
mod random_search;
mod real_proxy;
mod rule_checker;
mod run_state;
mod runner;
mod scenario;
mod scripted_proxy;
mod test_server;

use clap::{Args, Parser, Subcommand, ValueEnum};
use dahliapoint_control::AdminState;
use dahliapoint_files::disk::SystemDisk;
use dahliapoint_files::formats::{Format, TABLE_FORMAT_VERSION, Table, TableLine};
use dahliapoint_files::integrity::Keys;
use dahliapoint_files::publish::Publisher;
use dahliapoint_memory::directory::FsDirectory;
use dahliapoint_memory::facts::{Change, ServerFact, Timestamp};
use dahliapoint_memory::frames::Key;
use dahliapoint_memory::store::Store;
use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

// No doc comment: it would appear in the help text.
#[derive(Parser)]
#[command(name = "dahliapoint-standins", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

/// Which proxies carry the visits.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum ProxyKind {
    /// The proxy of the package `dahliapoint-proxy`, over HTTP.
    #[value(name = "obedient")]
    Real,
    /// The simple proxy of this package.
    Scripted,
}

/// Where real proxies get their tables from.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum TableSourceArg {
    /// All from xDS streams.
    Streams,
    /// All from files.
    Files,
    /// Every second proxy from files.
    Both,
}

// No doc comment: it would replace the help text of the subcommand.
#[derive(Args)]
struct BadDay {
    /// The file of the scenario.
    file: PathBuf,
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
    /// Inject a fault into the controller that breaks a rule.
    #[arg(long = "wrong", value_name = "WRONG", value_enum)]
    fault: Option<faulty_controller::ControllerFault>,
    /// Inject the fault into the planner's orders, before the guard checks them.
    #[arg(long, requires = "fault")]
    in_module: bool,
    /// The guard's mode, in place of the deployment's.
    #[arg(long, value_parser = ["hold", "tell", "off"])]
    guard: Option<String>,
    /// The kind of proxies, in place of the scenario's.
    #[arg(long, value_enum)]
    proxies: Option<ProxyKind>,
    /// Where real proxies get their tables from, in place of the scenario's.
    #[arg(long, value_enum)]
    front: Option<TableSourceArg>,
    /// Give the controller a memory on disk, which survives restarts.
    #[arg(long)]
    memory: bool,
    /// Run the hooks of this folder in the controller.
    #[arg(long)]
    hooks: Option<PathBuf>,
    /// Use this folder for the controller's logs and the roster, and keep it.
    #[arg(long)]
    keep: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario; exit code 1 if a rule is broken, 3 if it could not be played.
    BadDay(BadDay),
    /// Draw random scenarios and play them; exit code 1 if one does not pass, and its file is kept.
    Hunt {
        /// The seed of the first scenario.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many scenarios to play.
        #[arg(long, default_value_t = 20)]
        days: u64,
        /// Scenarios played in parallel.
        #[arg(long, default_value_t = 4)]
        at_once: usize,
        /// Where the scenario files are written; those that pass are removed.
        #[arg(long, default_value = "found")]
        keep: PathBuf,
    },
    /// Run the controller itself, with its own command line.
    #[command(hide = true, disable_help_flag = true)]
    Controller {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        line: Vec<OsString>,
    },
    /// Publish tables into a directory until killed, or a number of them.
    #[command(hide = true)]
    Publish {
        dir: PathBuf,
        #[arg(long, default_value_t = 100)]
        lines: usize,
        #[arg(long = "many", value_name = "MANY", default_value_t = u64::MAX)]
        max_tables: u64,
    },
    /// Commit one number after the other to the memory, with snapshots in between, until killed.
    #[command(hide = true)]
    Remember { dir: PathBuf },
    /// Run a controller with an injected fault.
    #[command(hide = true, name = "sabotaged")]
    FaultyController {
        #[arg(value_enum, value_name = "WRONG")]
        fault: faulty_controller::ControllerFault,
        #[arg(long)]
        in_module: bool,
        file: PathBuf,
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long)]
        address_file: PathBuf,
    },
}

/// Exit code: a rule is broken.
const BROKEN: u8 = 1;
/// Exit code: the scenario could not be played.
const UNPLAYED: u8 = 3;

fn main() -> ExitCode {
    match CommandLine::parse().command {
        Command::Controller { line } => {
            let line = std::iter::once(OsString::from("dahliapoint")).chain(line);
            dahliapoint_daemon::cli::main(line)
        }
        Command::Hunt {
            seed,
            days,
            at_once,
            keep,
        } => match random_search::search(seed, days, at_once, &keep) {
            Ok(broken) if broken.is_empty() => ExitCode::SUCCESS,
            Ok(broken) => {
                broken
                    .iter()
                    .for_each(|f| println!("kept: {}", f.display()));
                ExitCode::from(BROKEN)
            }
            Err(why) => {
                eprintln!("{why}");
                ExitCode::from(UNPLAYED)
            }
        },
        Command::Remember { dir } => {
            if let Err(why) = commit_numbers(&dir) {
                eprintln!("{why}");
            }
            ExitCode::from(UNPLAYED)
        }
        Command::Publish {
            dir,
            lines,
            max_tables,
        } => match publish_tables(dir, lines, max_tables) {
            Ok(()) => ExitCode::SUCCESS,
            Err(why) => {
                eprintln!("{why}");
                ExitCode::from(UNPLAYED)
            }
        },
        Command::FaultyController {
            fault,
            in_module,
            file,
            listen,
            address_file,
        } => {
            if let Err(why) =
                faulty_controller::run((fault, in_module), &file, listen, &address_file)
            {
                eprintln!("{why}");
            }
            ExitCode::from(UNPLAYED)
        }
        Command::BadDay(options) => match bad_day(&options) {
            Ok(report) => {
                let text = match options.json {
                    true => format!("{report:#}\n"),
                    false => runner::as_text(&report),
                };
                let _ = std::io::stdout().write_all(text.as_bytes());
                match report["kept"] == serde_json::json!(true) {
                    true => ExitCode::SUCCESS,
                    false => ExitCode::from(BROKEN),
                }
            }
            Err(why) => {
                eprintln!("the day could not be played: {why}");
                ExitCode::from(UNPLAYED)
            }
        },
    }
}

/// Runs a scenario with the overrides of the command line; the report.
fn bad_day(options: &BadDay) -> Result<serde_json::Value, String> {
    let mut scenario = scenario::load(&options.file)?;
    scenario.uses_real_proxy = options
        .proxies
        .map_or(scenario.uses_real_proxy, |kind| kind == ProxyKind::Real);
    scenario.memory |= options.memory;
    if let Some(guard) = &options.guard {
        scenario.deployment_text += &format!("\nguard: {guard}\n");
    }
    if let Some(dir) = &options.hooks {
        let dir = dir
            .canonicalize()
            .map_err(|e| format!("{}: {e}", dir.display()))?;
        scenario.deployment_text += &format!("\nhooks: {{dir: {:?}}}\n", dir.display().to_string());
    }
    scenario.table_source = options
        .front
        .map_or(scenario.table_source, |front| match front {
            TableSourceArg::Streams => scenario::TableSource::Streams,
            TableSourceArg::Files => scenario::TableSource::Files,
            TableSourceArg::Both => scenario::TableSource::Both,
        });
    let temporary = std::env::temp_dir().join(format!("dahliapoint-day-{}", std::process::id()));
    let folder = options.keep.clone().unwrap_or(temporary);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let arguments = match options.fault {
        None => vec!["controller".to_string(), "run".to_string()],
        Some(fault) => {
            let name = fault.to_possible_value().map(|v| v.get_name().to_string());
            let mut arguments = vec!["sabotaged".to_string(), name.unwrap_or_default()];
            if options.in_module {
                arguments.push("--in-module".into());
            }
            arguments
        }
    };
    let mut process = runner::ControllerProcess::new(&folder, arguments);
    let report = runner::run(&scenario, &mut process, &folder);
    drop(process);
    if options.keep.is_none() && report.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    report
}

/// Publishes tables whose weights all follow from their serial, so that a reader detects a mix of two tables.
fn publish_tables(dir: PathBuf, lines: usize, max_tables: u64) -> std::io::Result<()> {
    let mut publisher = Publisher::new(dir, "p", Keys::default(), &[Format::Workers], 0);
    let mut disk = SystemDisk::default();
    for mark in 0..max_tables {
        let line = |i: usize| TableLine {
            server: format!("s{i:03}"),
            address: format!("127.0.0.1:{}", 1000 + i),
            weight: if i.is_multiple_of(8) {
                mark as f64
            } else {
                (mark / 10 * 10) as f64
            },
            open: true,
        };
        let table = Table {
            format_version: TABLE_FORMAT_VERSION,
            serial: mark,
            bound: true,
            lines: (0..lines)
                .map(line)
                .map(|l| (l.server.clone(), l))
                .collect(),
            ..Table::default()
        };
        publisher.publish(&mut disk, table, 0, 600_000, mark.is_multiple_of(2))?;
    }
    Ok(())
}

/// Commits numbers to the memory and prints each once it is committed.
fn commit_numbers(dir: &std::path::Path) -> std::io::Result<()> {
    let (mut store, mut facts, _) = Store::open(FsDirectory::open(dir)?, Key::default())?;
    let mut out = std::io::stdout().lock();
    for n in facts.alive.wall_ms as u64 + 1.. {
        let at = Timestamp {
            wall_ms: n as f64,
            ..Timestamp::default()
        };
        let server = ServerFact {
            name: format!("s{}", n % 7),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            state: AdminState::Ready,
            since: at.clone(),
            weight: n as f64,
            share: 1.0,
            judged: at.clone(),
            withdrawn: false,
        };
        let group = [Change::Server(server), Change::Alive(at)];
        for change in group.clone() {
            facts.apply(change).map_err(std::io::Error::other)?;
        }
        store.commit(&group)?;
        writeln!(out, "{n}")?;
        out.flush()?;
        if n % 11 == 0 {
            store.begin_generation(&facts)?;
        }
        store.write_snapshot_records(3)?;
    }
    Ok(())
}
