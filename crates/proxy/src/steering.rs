//! How the proxy is steered: a stream to one controller at a time, tables taken whole, reports, and what
//! happens when the controller is lost (it keeps what it holds and dials another).

use crate::Chance;
use crate::plane::{Plane, lock};
use dahliapoint_fibers::{Bell, sleep, spawn};
use dahliapoint_grpc::{Code, Limits, Link, Status};
use dahliapoint_xds::names::LEDS;
use dahliapoint_xds::pb::discovery::DeltaDiscoveryResponse;
use dahliapoint_xds::pb::load_stats::LoadStatsResponse;
use dahliapoint_xds::{Holder, load_request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{info, warn};

const ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// How often reports go out before a controller says.
const FIRST_EVERY: Duration = Duration::from_secs(1);

/// Steers a plane, for as long as the process lives.
pub struct Steering {
    plane: Arc<Plane>,
    holder: Mutex<Holder>,
    /// The stream to a controller is up; messages applied and refused so far.
    joined: AtomicBool,
    pub applied: AtomicU64,
    pub refused: AtomicU64,
}

impl Steering {
    pub fn start(plane: Arc<Plane>) -> Arc<Steering> {
        let d = &plane.described;
        let holder = Holder::new(&d.service, &d.name, &d.zone, d.pace);
        let steering = Arc::new(Steering {
            holder: Mutex::new(holder),
            joined: AtomicBool::new(false),
            applied: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            plane,
        });
        let own = steering.clone();
        spawn(move || own.live());
        steering
    }

    pub fn is_joined(&self) -> bool {
        self.joined.load(Ordering::SeqCst)
    }

    /// One controller after the other: a jittered wait between two dials, so that many proxies that lose
    /// one controller do not come to the next in one moment.
    fn live(self: &Arc<Self>) {
        let d = &self.plane.described;
        let mut chance = Chance::from(d.seed ^ 0x5eed);
        let mut at = 0;
        loop {
            let to = d.controllers[at];
            let away = at > 0 && d.home_after_ms > 0.0;
            let home = away.then(|| Duration::from_secs_f64(d.home_after_ms / 1e3));
            let ended = self.one_stream(to, home);
            self.joined.store(false, Ordering::SeqCst);
            at = match ended {
                Ok(true) => 0,
                Ok(false) => (at + 1) % d.controllers.len(),
                Err(status) => {
                    warn!(controller = %to, %status, "the stream to the controller is lost; the table is kept");
                    (at + 1) % d.controllers.len()
                }
            };
            let (from, until) = d.redial_ms;
            sleep(Duration::from_secs_f64(
                (from + (until - from) * chance.draw()) / 1e3,
            ));
        }
    }

    /// One stream, to its end; after the time to go home it is ended from here, which is told.
    fn one_stream(
        self: &Arc<Self>,
        to: SocketAddr,
        home: Option<Duration>,
    ) -> Result<bool, Status> {
        let link = Link::dial(to, Limits::default())?;
        let mut dialed = link.open(ADS, None)?;
        let begin = lock(&self.holder).begin();
        for request in &begin {
            dialed.outbound.send(request)?;
        }
        let (mut outbound, mut inbound) = dialed.answered()?;
        info!(controller = %to, "joined");
        self.joined.store(true, Ordering::SeqCst);
        let over = Arc::new(Bell::default());
        let reporting = {
            let (own, link, over) = (self.clone(), link.clone(), over.clone());
            spawn(move || own.report(&link, &over))
        };
        let home = home.map(|after| Instant::now() + after);
        let ended = loop {
            if home.is_some_and(|at| Instant::now() >= at) {
                break Ok(true);
            }
            match inbound.message_until::<DeltaDiscoveryResponse>(home) {
                Err(e) if e.code == Code::DeadlineExceeded => {}
                Ok(Some(response)) => {
                    let sent = self.take(&response);
                    if let Some(e) = sent.iter().find_map(|r| outbound.send(r).err()) {
                        break Err(e);
                    }
                }
                Ok(None) => break Ok(false),
                Err(e) => break Err(e),
            }
        };
        over.ring();
        let _ = reporting.join();
        ended
    }

    /// Takes a message whole or refuses it whole, and puts the table into use.
    fn take(
        &self,
        response: &DeltaDiscoveryResponse,
    ) -> Vec<dahliapoint_xds::pb::discovery::DeltaDiscoveryRequest> {
        let mut holder = lock(&self.holder);
        let before = holder.refused;
        // A line can be carried out if it has an address; names alone are the controller's to know.
        let requests = holder.apply(response, |server| !server.is_empty());
        match holder.refused > before {
            true => {
                self.refused.fetch_add(1, Ordering::SeqCst);
                warn!(
                    nonce = response.nonce,
                    "a message is refused; the old table stands"
                );
            }
            false => {
                self.applied.fetch_add(1, Ordering::SeqCst);
                let lines = match response.type_url == LEDS {
                    true => response.resources.len() + response.removed_resources.len(),
                    false => 0,
                };
                let held = holder.table();
                self.plane
                    .swap(held.as_ref(), &|s| holder.is_shut(s), lines);
            }
        }
        requests
    }

    /// Reports at the interval that the controller names, until the stream is over. What could not be sent
    /// is told with the next report, here or elsewhere.
    fn report(&self, link: &Link, over: &Bell) {
        let _ = self.report_on(link, over);
    }

    fn report_on(&self, link: &Link, over: &Bell) -> Result<(), Status> {
        let mut dialed = link.open(LRS, None)?;
        let node = lock(&self.holder).node().clone();
        dialed.outbound.send(&load_request(Some(node), 0.0, &[]))?;
        let (mut outbound, mut inbound) = dialed.answered()?;
        let mut every = FIRST_EVERY;
        let mut since = Instant::now();
        loop {
            // The interval may be changed at any time; between two reports it is looked for.
            let due = since + every;
            match inbound
                .message_until::<LoadStatsResponse>(Some(Instant::now() + Duration::from_millis(1)))
            {
                Ok(Some(told)) => {
                    let told = told.load_reporting_interval;
                    let told = told.map(|d| d.seconds as f64 + f64::from(d.nanos) / 1e9);
                    let fine = told.filter(|s| (0.01..=3600.0).contains(s));
                    every = fine.map_or(every, Duration::from_secs_f64);
                    continue;
                }
                Ok(None) => return Ok(()),
                Err(e) if e.code == Code::DeadlineExceeded => {}
                Err(e) => return Err(e),
            }
            if over.wait(Some(due)) {
                return Ok(());
            }
            let now = Instant::now();
            let window = now.saturating_duration_since(since).as_secs_f64() * 1e3;
            let tallies = self.plane.tallies();
            if let Err(e) = outbound.send(&load_request(None, window.max(1.0), &tallies)) {
                self.plane.untold(tallies);
                return Err(e);
            }
            since = now;
        }
    }
}
