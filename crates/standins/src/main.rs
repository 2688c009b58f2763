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
        /// Other proxies than the day names.
        #[arg(long, value_enum)]
        proxies: Option<Kind>,
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
    #[command(hide = true)]
    Sabotaged {
        #[arg(value_enum)]
        wrong: sabotage::Wrong,
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
        Command::Sabotaged {
            wrong,
            file,
            listen,
            address_file,
        } => {
            if let Err(why) = sabotage::run(wrong, &file, listen, &address_file) {
                eprintln!("{why}");
            }
            ExitCode::from(UNPLAYED)
        }
        Command::BadDay {
            file,
            json,
            wrong,
            proxies,
            keep,
        } => match bad_day(&file, wrong, proxies, keep) {
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
    wrong: Option<sabotage::Wrong>,
    proxies: Option<Kind>,
    keep: Option<PathBuf>,
) -> Result<serde_json::Value, String> {
    let mut day = day::load(file)?;
    day.obedient = proxies.map_or(day.obedient, |kind| kind == Kind::Obedient);
    let own = std::env::temp_dir().join(format!("dahliapoint-day-{}", std::process::id()));
    let folder = keep.clone().unwrap_or(own);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let arguments = match wrong {
        None => vec!["controller".to_string(), "run".to_string()],
        Some(wrong) => {
            let name = wrong.to_possible_value().map(|v| v.get_name().to_string());
            vec!["sabotaged".to_string(), name.unwrap_or_default()]
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
