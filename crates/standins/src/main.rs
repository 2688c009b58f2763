//! `dahliapoint-standins`: plays a scripted bad day against the controller and checks the five rules.

mod backend;
mod day;
mod hunt;
mod obedient;
mod play;
mod proxy;
mod relay;
mod rules;
mod sabotage;
mod world;

use clap::{Parser, Subcommand, ValueEnum};
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

#[derive(Parser)]
#[command(name = "dahliapoint-standins", version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

/// What carries a day's visits.
#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Kind {
    /// The obedient proxy, by HTTP.
    Obedient,
    /// The stand-ins' own.
    Scripted,
}

#[derive(Clone, Copy, PartialEq, ValueEnum)]
enum Front {
    Streams,
    Files,
    Both,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day; exit code 1 if a rule broke, 3 if it could not be played.
    BadDay {
        file: PathBuf,
        /// The report as JSON.
        #[arg(long)]
        json: bool,
        /// A controller that breaks a rule on purpose.
        #[arg(long, value_enum)]
        wrong: Option<sabotage::Wrong>,
        /// It is the module that is wrong, before the guard sees what it orders.
        #[arg(long, requires = "wrong")]
        in_module: bool,
        /// What the guard does, instead of what the day's deployment says.
        #[arg(long, value_parser = ["hold", "tell", "off"])]
        guard: Option<String>,
        /// Other proxies than the day names.
        #[arg(long, value_enum)]
        proxies: Option<Kind>,
        /// Other ways for tables to come than the day names; for obedient proxies.
        #[arg(long, value_enum)]
        front: Option<Front>,
        /// The controller keeps what it knows over its restarts.
        #[arg(long)]
        memory: bool,
        /// The controller runs the hooks of this folder.
        #[arg(long)]
        hooks: Option<PathBuf>,
        /// Keep the day's folder (the controller's logs, its roster) here.
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Draw days by chance and play them; exit code 1 if a rule broke on one, whose file is kept.
    Hunt {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 20)]
        days: u64,
        /// Days that are played side by side.
        #[arg(long, default_value_t = 4)]
        at_once: usize,
        /// Where files of days are written; those on which nothing broke are removed.
        #[arg(long, default_value = "found")]
        keep: PathBuf,
    },
    /// The controller itself, as a process of its own.
    #[command(hide = true, disable_help_flag = true)]
    Controller {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        line: Vec<OsString>,
    },
    /// Publishes tables of so many lines into a directory until it is killed, or so many.
    #[command(hide = true)]
    Publish {
        dir: PathBuf,
        #[arg(long, default_value_t = 100)]
        lines: usize,
        #[arg(long, default_value_t = u64::MAX)]
        many: u64,
    },
    /// Remembers one number after the other, with snapshots in between, until it is killed.
    #[command(hide = true)]
    Remember { dir: PathBuf },
    #[command(hide = true)]
    Sabotaged {
        #[arg(value_enum)]
        wrong: sabotage::Wrong,
        #[arg(long)]
        in_module: bool,
        file: PathBuf,
        #[arg(long)]
        listen: SocketAddr,
        #[arg(long)]
        address_file: PathBuf,
    },
}

const BROKEN: u8 = 1;
const UNPLAYED: u8 = 3;

fn main() -> ExitCode {
    match Line::parse().command {
        Command::Controller { line } => {
            let line = std::iter::once(OsString::from("dahliapoint")).chain(line);
            dahliapoint_daemon::cli::main(line)
        }
        Command::Hunt {
            seed,
            days,
            at_once,
            keep,
        } => match hunt::hunt(seed, days, at_once, &keep) {
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
            if let Err(why) = remember(&dir) {
                eprintln!("{why}");
            }
            ExitCode::from(UNPLAYED)
        }
        Command::Publish { dir, lines, many } => match publish(dir, lines, many) {
            Ok(()) => ExitCode::SUCCESS,
            Err(why) => {
                eprintln!("{why}");
                ExitCode::from(UNPLAYED)
            }
        },
        Command::Sabotaged {
            wrong,
            in_module,
            file,
            listen,
            address_file,
        } => {
            if let Err(why) = sabotage::run((wrong, in_module), &file, listen, &address_file) {
                eprintln!("{why}");
            }
            ExitCode::from(UNPLAYED)
        }
        Command::BadDay {
            file,
            json,
            wrong,
            in_module,
            guard,
            proxies,
            front,
            memory,
            hooks,
            keep,
        } => match bad_day(
            &file,
            (wrong, in_module),
            (guard, hooks),
            (proxies, front, memory),
            keep,
        ) {
            Ok(report) => {
                let text = match json {
                    true => format!("{report:#}\n"),
                    false => play::as_text(&report),
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

fn bad_day(
    file: &std::path::Path,
    (wrong, in_module): (Option<sabotage::Wrong>, bool),
    (guard, hooks): (Option<String>, Option<PathBuf>),
    (proxies, front, memory): (Option<Kind>, Option<Front>, bool),
    keep: Option<PathBuf>,
) -> Result<serde_json::Value, String> {
    let mut day = day::load(file)?;
    day.obedient = proxies.map_or(day.obedient, |kind| kind == Kind::Obedient);
    day.memory |= memory;
    if let Some(guard) = guard {
        day.deployment_text += &format!("\nguard: {guard}\n");
    }
    if let Some(dir) = hooks {
        let dir = dir
            .canonicalize()
            .map_err(|e| format!("{}: {e}", dir.display()))?;
        day.deployment_text += &format!("\nhooks: {{dir: {:?}}}\n", dir.display().to_string());
    }
    day.front = front.map_or(day.front, |front| match front {
        Front::Streams => day::Fronts::Streams,
        Front::Files => day::Fronts::Files,
        Front::Both => day::Fronts::Both,
    });
    let own = std::env::temp_dir().join(format!("dahliapoint-day-{}", std::process::id()));
    let folder = keep.clone().unwrap_or(own);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let arguments = match wrong {
        None => vec!["controller".to_string(), "run".to_string()],
        Some(wrong) => {
            let name = wrong.to_possible_value().map(|v| v.get_name().to_string());
            let mut arguments = vec!["sabotaged".to_string(), name.unwrap_or_default()];
            if in_module {
                arguments.push("--in-module".into());
            }
            arguments
        }
    };
    let mut process = play::Process::new(&folder, arguments);
    let report = play::play(&day, &mut process, &folder);
    drop(process);
    if keep.is_none() && report.is_ok() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    report
}

/// Tables whose lines all tell the same mark: a reader sees whether one is mixed.
fn publish(dir: PathBuf, lines: usize, many: u64) -> std::io::Result<()> {
    let mut publisher = Publisher::new(dir, "p", Keys::default(), &[Format::Workers], 0);
    let mut disk = SystemDisk::default();
    for mark in 0..many {
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

/// Each number is told on standard output once it is committed.
fn remember(dir: &std::path::Path) -> std::io::Result<()> {
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
