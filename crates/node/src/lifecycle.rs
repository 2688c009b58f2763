//! Life cycle of the process: start from the configuration file, signal handling, reload, exit.

use crate::configuration::{self, Configuration};
use crate::event_loop::EventLoop;
use crate::shared::{Shared, SharedState};
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

/// The target of these log events, by which operators filter the log; independent of the module name.
const LOG_TARGET: &str = "dahliapoint_node::life";
/// The environment variable with the path of the configuration file (DEPLOY, "What a controller is
/// told").
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// The environment variable with the log level; `debug` adds the estimates of each server.
const LOG_VARIABLE: &str = "DAHLIAPOINT_LOG";
/// Log lines buffered for the writer thread; at `debug` one batch writes up to a line per server.
const LOG_BUFFER_LINES: usize = 2048;
/// How long after SIGHUP an invalid file is read again, since it may not be complete yet. Servers at the
/// old addresses close their connections this long after the signal (DAYS, "New configurations and
/// restarts").
const RELOAD_RETRY_TIME: Duration = Duration::from_millis(1500);
/// The delay before an invalid file is read again.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Runs the controller until a signal ends the process.
///
/// # Errors
/// One line with the reason why it cannot start.
pub fn run() -> Result<(), String> {
    let path = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
    let path = path.ok_or_else(|| {
        format!("{CONFIG_VARIABLE} is not set; it must name the configuration file")
    })?;
    // Registered before any other part starts, so that no signal is missed.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| e.to_string())?;
    let configuration = configuration::read(&path)?;
    let level = std::env::var(LOG_VARIABLE).unwrap_or_else(|_| "info".into());
    // `may` logs every socket at `info`, and every interruption by a signal as an error.
    let filter = EnvFilter::try_new(format!("{level},may=warn,may::io::event_loop=off"));
    let filter = filter.map_err(|e| format!("{LOG_VARIABLE}: {e}"))?;
    // Lossy: if nothing reads standard error, lines are dropped and the process does not block. The
    // guard would wait for the writer when dropped, so it is leaked.
    let (log, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(std::io::stderr());
    std::mem::forget(guard);
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(log)
        .with_ansi(false)
        .init();
    let listener = dahliapoint_fibers::listen(configuration.listen).map_err(|e| {
        format!(
            "{}: field \"listen\": {}: {e}",
            path.display(),
            configuration.listen
        )
    })?;
    let Configuration {
        name,
        listen,
        discovery,
        relay: relay_at,
        seed,
        sockets,
        deployment,
        known,
    } = configuration;
    let shared = SharedState::new(relay_at, discovery, deployment.clone(), known.index, seed);
    for fault in &known.rejected {
        shared
            .log
            .info(&format!("the known list: left out: {fault}"));
    }
    tracing::info!(
        target: LOG_TARGET, name, %listen, %discovery, relay = %relay_at,
        servers = known.endpoints.len(), index = known.index,
        proxies = deployment.proxy_count, sockets, "serving"
    );
    let core = Core::new(shared.clock.now_ms(), seed, deployment, &known);
    connections::start(shared.clone(), listener, sockets);
    relay::start_followers(&shared);
    watch::start(&shared);
    let event_loop = EventLoop {
        calls: relay::start_caller(&shared),
        probes: probes::start(&shared),
        core,
        shared: shared.clone(),
    };
    let reload = Arc::new(Notify::default());
    let (shared_for_signals, reload_on_signal) = (shared.clone(), reload.clone());
    let thread = |name: &str| std::thread::Builder::new().name(name.into());
    thread("configuration")
        .spawn(move || reload_configuration(&reload, &shared, &path))
        .and_then(|_| {
            thread("signals")
                .spawn(move || handle_signals(signals, &shared_for_signals, &reload_on_signal))
        })
        .map_err(|e| format!("cannot start a signal or reload thread: {e}"))?;
    event_loop.run();
    Ok(())
}

/// Handles signals. It never blocks before an exit: files are read on another thread.
fn handle_signals(mut signals: Signals, shared: &Shared, reload: &Notify) {
    for signal in signals.forever() {
        if signal == SIGHUP {
            reload.notify();
            continue;
        }
        // Proxies use other controllers from here on: no further calls are sent, and a call that is
        // being written is completed first.
        shared.shutdown.begin(Instant::now() + relay::WRITE_TIMEOUT);
        std::process::exit(0);
    }
}

/// Reads the configuration file after each SIGHUP. An invalid file may be half written, so it is read
/// again for a while without another signal.
fn reload_configuration(reload: &Notify, shared: &Shared, path: &Path) {
    while reload.wait(None) {
        let deadline = Instant::now() + RELOAD_RETRY_TIME;
        let result = loop {
            match configuration::read(path) {
                Err(_) if Instant::now() < deadline => std::thread::sleep(RELOAD_RETRY_DELAY),
                result => break result,
            }
        };
        match result {
            Ok(configuration)
                if shared.set_addresses(configuration.relay, configuration.discovery) =>
            {
                tracing::info!(
                    target: LOG_TARGET,
                    relay = %configuration.relay, discovery = %configuration.discovery,
                    "new configuration"
                );
            }
            Ok(_) => {
                tracing::info!(
                    target: LOG_TARGET,
                    "new configuration: relay and discovery unchanged"
                )
            }
            Err(error) => {
                tracing::warn!(
                    target: LOG_TARGET,
                    "new configuration refused, the old one stands: {error}"
                )
            }
        }
    }
}
