//! From the first line of the configuration to the last signal.

use crate::configuration::{self, Assignment};
use crate::owner::Owner;
use crate::reach::{Reach, Shared};
use crate::{connections, probes, relay, watch};
use dahliapoint_fibers::Bell;
use dahliapoint_platform::core::Core;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;

/// The variable that names the configuration file (DEPLOY, "What a controller is told").
const FILE: &str = "NODE_CONFIG";
/// What the log tells of; `debug` adds what is believed of each server.
const LOG: &str = "DAHLIAPOINT_LOG";
/// Lines that wait for whoever reads the log; at `debug` one moment writes up to a line a server.
const LOG_LINES: usize = 2048;
/// What the old addresses name closes its connections so long after the signal (DAYS, "New configurations
/// and restarts"): until then a file that is still being written is read again.
const WRITTEN_WITHIN: Duration = Duration::from_millis(1500);
const READ_AGAIN: Duration = Duration::from_millis(20);

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
    // Whoever reads the log may stop: lines are then lost, and nothing here waits. The guard would wait
    // for them at the end, so it is kept until the process is gone.
    let (log, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_LINES)
        .finish(std::io::stderr());
    std::mem::forget(guard);
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(log)
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
        proxies = deployment.proxy_count, sockets, "serving"
    );
    let core = Core::begun(reach.clock.now_ms(), seed, deployment, &known);
    connections::listen(reach.clone(), listener, sockets);
    relay::follow(&reach);
    watch::begin(&reach);
    let owner = Owner {
        calls: relay::call(&reach),
        probes: probes::begin(&reach),
        core,
        reach: reach.clone(),
    };
    let renewed = Arc::new(Bell::default());
    let (heeded, told) = (reach.clone(), renewed.clone());
    let thread = |name: &str| std::thread::Builder::new().name(name.into());
    thread("configuration")
        .spawn(move || renew(&renewed, &reach, &path))
        .and_then(|_| thread("signals").spawn(move || heed(signals, &heeded, &told)))
        .map_err(|e| format!("a thread for signals: {e}"))?;
    owner.work();
    Ok(())
}

/// Nothing that waits stands between a signal and the end: files are read elsewhere.
fn heed(mut signals: Signals, reach: &Shared, renewed: &Bell) {
    for signal in signals.forever() {
        if signal == SIGHUP {
            renewed.ring();
            continue;
        }
        // Proxies go elsewhere from here on: nothing more is ordered, and what is being written ends first.
        reach.shutdown.begin(Instant::now() + relay::WRITTEN_WITHIN);
        std::process::exit(0);
    }
}

/// Reads the file each time that it is told to. One that is bad may be half written: it is read again for
/// a while, also without another signal.
fn renew(renewed: &Bell, reach: &Shared, path: &Path) {
    while renewed.wait(None) {
        let until = Instant::now() + WRITTEN_WITHIN;
        let told = loop {
            match configuration::read(path) {
                Err(_) if Instant::now() < until => std::thread::sleep(READ_AGAIN),
                told => break told,
            }
        };
        match told {
            Ok(told) if reach.moved(told.relay, told.discovery) => {
                tracing::info!(relay = %told.relay, discovery = %told.discovery, "new configuration");
            }
            Ok(_) => tracing::info!("new configuration: nothing that is taken up has changed"),
            Err(why) => tracing::warn!("new configuration refused, the old one stands: {why}"),
        }
    }
}
