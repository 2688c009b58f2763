//! `dahliapoint-proxy`: a small proxy that follows the tables of its controller exactly.

use clap::{Parser, Subcommand};
use dahliapoint_proxy::data_plane::DataPlane;
use dahliapoint_proxy::file_client::{FileClient, ShutdownMode};
use dahliapoint_proxy::settings;
use dahliapoint_proxy::xds_client::XdsClient;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(name = "dahliapoint-proxy", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// The client that receives tables from the controller.
enum ControlClient {
    Stream(Arc<XdsClient>),
    Files((Arc<FileClient>, JoinHandle<()>)),
}

#[derive(Subcommand)]
enum Command {
    /// Run a proxy.
    Run {
        file: PathBuf,
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Write the address that is listened on to this file.
        #[arg(long)]
        address_file: Option<PathBuf>,
    },
    /// Check its settings and its roster.
    Check { file: PathBuf },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run {
            file,
            listen,
            address_file,
        } => run(&file, listen, address_file.as_deref()),
        Command::Check { file } => load(&file).map(|(settings, roster)| {
            println!(
                "{}: proxy {} of {}, {} servers",
                file.display(),
                settings.name,
                settings.service,
                roster.len()
            );
        }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Reads the settings and the roster that they name.
fn load(file: &Path) -> Result<(settings::Settings, Vec<settings::RosterServer>), String> {
    let read = |path: &Path| {
        let text = std::fs::read_to_string(path);
        text.map_err(|e| format!("{}: {e}", path.display()))
    };
    let name = file.display().to_string();
    let settings = settings::parse(&name, &read(file)?).map_err(|f| f.to_string())?;
    let name = settings.roster.display().to_string();
    let roster = settings::roster(&name, &read(&settings.roster)?).map_err(|f| f.to_string())?;
    Ok((settings, roster))
}

fn run(file: &Path, listen: Option<SocketAddr>, address_file: Option<&Path>) -> Result<(), String> {
    let (mut settings, roster) = load(file)?;
    settings.listen = listen.unwrap_or(settings.listen);
    let filter = tracing_subscriber::EnvFilter::new(format!("{},may=warn", settings.log_level));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    // Registered before anything starts, so that no signal is missed.
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    let plane = DataPlane::new(settings, &roster);
    let address = plane
        .serve()
        .map_err(|e| format!("{}: {e}", plane.settings.listen))?;
    let control_client = match plane.settings.files.clone() {
        Some(files) => ControlClient::Files(FileClient::start(plane.clone(), files)?),
        None => ControlClient::Stream(XdsClient::start(plane.clone())),
    };
    tracing::info!(%address, standing = plane.server_count(), "serving");
    if let Some(path) = address_file {
        // Renamed into place, so that a reader never sees a part of it.
        let temporary = path.with_extension("aside");
        std::fs::write(&temporary, address.to_string())
            .and_then(|()| std::fs::rename(&temporary, path))
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if signals.forever().next().is_some() {
        tracing::info!("shutting down");
        match control_client {
            ControlClient::Stream(xds_client) => xds_client.stop(),
            ControlClient::Files((file_client, thread)) => {
                file_client.stop(ShutdownMode::Goodbye);
                let _ = thread.join();
            }
        }
        let hard_limits = plane.settings.classes.iter().map(|c| c.hard_limit_ms);
        let longest_visit = Duration::from_secs_f64(hard_limits.fold(0.0, f64::max) / 1e3);
        plane.shut_down(address, Instant::now() + longest_visit);
    }
    Ok(())
}
