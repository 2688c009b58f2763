//! From the first line of the configuration to the last signal.

use crate::configuration::{self, Assignment};
use crate::owner::Owner;
use crate::reach::{Reach, Shared};
use crate::{door, probes, relay, watch};
use dahliapoint_platform::core::Core;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use tracing_subscriber::EnvFilter;

/// The variable that names the configuration file (DEPLOY, "What a controller is told").
const FILE: &str = "NODE_CONFIG";
/// What the log tells of; `debug` adds what is believed of each server.
const LOG: &str = "DAHLIAPOINT_LOG";

/// Serves until a signal ends the process.
///
/// # Errors
/// What keeps it from starting, in one line.
pub fn run() -> Result<(), String> {
    let path = std::env::var_os(FILE).map(PathBuf::from);
    let path = path.ok_or_else(|| format!("{FILE} is not set: it names the configuration file"))?;
    // Before any part starts, so that no signal is missed.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| e.to_string())?;
    let told = configuration::read(&path)?;
    let level = std::env::var(LOG).unwrap_or_else(|_| "info".into());
    // The runtime tells of every socket at `info`, and of every signal as an error.
    let filter = EnvFilter::try_new(format!("{level},may=warn,may::io::event_loop=off"));
    let filter = filter.map_err(|e| format!("{LOG}: {e}"))?;
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    let listener = dahliapoint_fibers::listen(told.listen)
        .map_err(|e| format!("{}: field \"listen\": {}: {e}", path.display(), told.listen))?;
    let Assignment {
        name,
        listen,
        discovery,
        relay: relay_at,
        seed,
        sockets,
        deployment,
        known,
    } = told;
    let reach = Reach::new(relay_at, discovery, deployment.clone(), known.index, seed);
    for fault in &known.left_out {
        reach
            .teller
            .note(&format!("the known list: left out: {fault}"));
    }
    tracing::info!(
        name, %listen, %discovery, relay = %relay_at, servers = known.entries.len(), index = known.index,
        proxies = deployment.proxies, sockets, "serving"
    );
    let core = Core::begun(reach.clock.now_ms(), seed, deployment, &known);
    door::open(reach.clone(), listener, sockets);
    relay::follow(&reach);
    watch::begin(&reach);
    let owner = Owner {
        calls: relay::call(&reach),
        probes: probes::begin(&reach),
        core,
        reach: reach.clone(),
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || heed(signals, &reach, &path))
        .map_err(|e| format!("a thread for signals: {e}"))?;
    owner.work();
    Ok(())
}

fn heed(mut signals: Signals, reach: &Shared, path: &Path) {
    for signal in signals.forever() {
        match signal {
            SIGHUP => match configuration::read(path) {
                Ok(told) if reach.moved(told.relay, told.discovery) => {
                    tracing::info!(relay = %told.relay, discovery = %told.discovery, "new configuration");
                }
                Ok(_) => tracing::info!("new configuration: nothing that is taken up has changed"),
                Err(why) => tracing::warn!("new configuration refused, the old one stands: {why}"),
            },
            _ => {
                // Proxies go elsewhere from here on: nothing more is ordered.
                tracing::info!("told to end");
                std::process::exit(0);
            }
        }
    }
}
