//! Life cycle of the process: start from the configuration file, signal handling, reload, exit.

use crate::configuration::{self, Assignment};
use crate::owner::Owner;
use crate::reach::{Reach, Shared};
use crate::{connections, probes, relay, watch};
use dahliapoint_fibers::Notify;
use dahliapoint_platform::core::Core;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_subscriber::EnvFilter;

/// The environment variable with the path of the configuration file (DEPLOY, "What a controller is
/// told").
const FILE: &str = "NODE_CONFIG";
/// The environment variable with the log level; `debug` adds the estimates of each server.
const LOG: &str = "DAHLIAPOINT_LOG";
/// Log lines buffered for the writer thread; at `debug` one batch writes up to a line per server.
const LOG_LINES: usize = 2048;
/// How long an invalid file is read again after SIGHUP, since it may still be being written. The old
/// addresses close their connections this long after the signal (DAYS, "New configurations and
/// restarts").
const WRITTEN_WITHIN: Duration = Duration::from_millis(1500);
/// The delay before an invalid file is read again.
const READ_AGAIN: Duration = Duration::from_millis(20);

/// Runs the controller until a signal ends the process.
///
/// # Errors
/// One line with the reason why it cannot start.
pub fn run() -> Result<(), String> {
    let path = std::env::var_os(FILE).map(PathBuf::from);
    let path = path.ok_or_else(|| format!("{FILE} is not set: it names the configuration file"))?;
    // Registered before any other part starts, so that no signal is missed.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| e.to_string())?;
    let told = configuration::read(&path)?;
    let level = std::env::var(LOG).unwrap_or_else(|_| "info".into());
    // `may` logs every socket at `info`, and every interruption by a signal as an error.
    let filter = EnvFilter::try_new(format!("{level},may=warn,may::io::event_loop=off"));
    let filter = filter.map_err(|e| format!("{LOG}: {e}"))?;
    // Lossy: if nothing reads standard error, lines are dropped and the process does not block. The
    // guard would wait for the writer when dropped, so it is leaked.
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
    for fault in &known.rejected {
        reach
            .teller
            .note(&format!("the known list: left out: {fault}"));
    }
    tracing::info!(
        name, %listen, %discovery, relay = %relay_at, servers = known.endpoints.len(), index = known.index,
        proxies = deployment.proxy_count, sockets, "serving"
    );
    let core = Core::new(reach.clock.now_ms(), seed, deployment, &known);
    connections::listen(reach.clone(), listener, sockets);
    relay::follow(&reach);
    watch::begin(&reach);
    let owner = Owner {
        calls: relay::call(&reach),
        probes: probes::begin(&reach),
        core,
        reach: reach.clone(),
    };
    let renewed = Arc::new(Notify::default());
    let (heeded, told) = (reach.clone(), renewed.clone());
    let thread = |name: &str| std::thread::Builder::new().name(name.into());
    thread("configuration")
        .spawn(move || renew(&renewed, &reach, &path))
        .and_then(|_| thread("signals").spawn(move || heed(signals, &heeded, &told)))
        .map_err(|e| format!("a thread for signals: {e}"))?;
    owner.work();
    Ok(())
}

/// Handles signals. It never blocks before an exit: files are read on another thread.
fn heed(mut signals: Signals, reach: &Shared, renewed: &Notify) {
    for signal in signals.forever() {
        if signal == SIGHUP {
            renewed.notify();
            continue;
        }
        // Proxies use other controllers from here on: no further calls are sent, and a call that is
        // being written is completed first.
        reach.shutdown.begin(Instant::now() + relay::WRITTEN_WITHIN);
        std::process::exit(0);
    }
}

/// Reads the configuration file after each SIGHUP. An invalid file may be half written, so it is read
/// again for a while without another signal.
fn renew(renewed: &Notify, reach: &Shared, path: &Path) {
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
