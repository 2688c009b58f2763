//! How the proxy is steered: a stream to one controller at a time, tables taken whole, reports, and what
//! happens when the controller is lost (it keeps what it holds and dials another).

use crate::Chance;
use crate::around::Crossed;
use crate::plane::{Plane, lock};
use dahliapoint_fibers::{Notify, Queue, Received, sleep, spawn};
use dahliapoint_grpc::{Code, Connection, Inbound, Limits, Outbound, Status};
use dahliapoint_xds::Message as _;
use dahliapoint_xds::names::LEDS;
use dahliapoint_xds::pb::discovery::DeltaDiscoveryResponse;
use dahliapoint_xds::pb::load_stats::LoadStatsResponse;
use dahliapoint_xds::{ClientState, load_stats_request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::{info, warn};

const ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
const LRS: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// How often reports go out before a controller says.
const FIRST_EVERY: Duration = Duration::from_secs(1);

/// Messages that may wait between the stream and the table.
const MESSAGES: usize = 256;
/// How soon an end that was asked for is seen.
const SOON: Duration = Duration::from_millis(300);

/// A message, when it came and when it may be taken.
type Came = (DeltaDiscoveryResponse, Instant, Instant);

fn crossed(response: &DeltaDiscoveryResponse) -> Crossed<'_> {
    Crossed {
        serial: &response.system_version_info,
        lines: response.resources.len() + response.removed_resources.len(),
        carries_lines: response.type_url == LEDS,
        bytes: response.encoded_len() as u64,
    }
}

/// Steers a plane until it is ended.
pub struct Steering {
    plane: Arc<Plane>,
    holder: Mutex<ClientState>,
    /// The stream to a controller is up; messages applied and refused so far.
    joined: AtomicBool,
    pub applied: AtomicU64,
    pub refused: AtomicU64,
    over: AtomicBool,
}

impl Steering {
    pub fn start(plane: Arc<Plane>) -> Arc<Steering> {
        let d = &plane.described;
        let holder = ClientState::new(&d.service, &d.name, &d.zone, d.pace);
        let steering = Arc::new(Steering {
            holder: Mutex::new(holder),
            joined: AtomicBool::new(false),
            applied: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            over: AtomicBool::new(false),
            plane,
        });
        let own = steering.clone();
        spawn(move || own.live());
        steering
    }

    pub fn is_joined(&self) -> bool {
        self.joined.load(Ordering::SeqCst)
    }

    /// Leaves its controller and dials no other. The plane goes on with what it holds.
    pub fn end(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// One controller after the other: a jittered wait between two dials, so that many proxies that lose
    /// one controller do not come to the next in one moment.
    fn live(self: &Arc<Self>) {
        let d = &self.plane.described;
        let mut chance = Chance::from(d.seed ^ 0x5eed);
        let mut at = 0;
        while !self.is_over() {
            let to = d.controllers[at];
            let away = at > 0 && d.home_after_ms > 0.0;
            let home = away.then(|| Duration::from_secs_f64(d.home_after_ms / 1e3));
            let ended = self.one_stream(to, home);
            if self.joined.swap(false, Ordering::SeqCst) {
                self.plane.around().joined(false);
            }
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
        let link = Connection::connect(to, Limits::default())?;
        let mut dialed = link.start_call(ADS, None)?;
        let begin = lock(&self.holder).initial_requests();
        for request in &begin {
            dialed.outbound.send(request)?;
        }
        let (mut outbound, inbound) = dialed.wait_for_response()?;
        info!(controller = %to, "joined");
        self.joined.store(true, Ordering::SeqCst);
        self.plane.around().joined(true);
        let over = Arc::new(Notify::default());
        let reporting = {
            let (own, link, over) = (self.clone(), link.clone(), over.clone());
            spawn(move || own.report(&link, &over))
        };
        // Read apart from being taken: a message that stands still holds no later one in the socket.
        let queue = Queue::bounded(MESSAGES);
        let reading = {
            let (own, queue) = (self.clone(), queue.clone());
            spawn(move || own.read(inbound, &queue))
        };
        let home = home.map(|after| Instant::now() + after);
        let ended = self.take_all(&queue, &mut outbound, home);
        queue.close();
        if let Received::Items(left) = queue.take_all(Some(Instant::now())) {
            left.iter()
                .for_each(|(m, ..)| self.plane.around().dropped(&crossed(m)));
        }
        over.notify();
        drop((outbound, link));
        let _ = reporting.join();
        let read = reading.join().unwrap_or(Ok(()));
        ended.and_then(|home| match home {
            true => Ok(true),
            false => read.map(|()| false),
        })
    }

    /// Reads the stream to its end, or until its messages are not wanted any more.
    fn read(&self, mut inbound: Inbound, queue: &Queue<Came>) -> Result<(), Status> {
        let around = self.plane.around();
        let ended = loop {
            around.reads();
            match inbound.receive_until::<DeltaDiscoveryResponse>(Some(Instant::now() + SOON)) {
                Err(e) if e.code == Code::DeadlineExceeded && !queue.is_closed() => {}
                Err(e) if e.code == Code::DeadlineExceeded => break Ok(()),
                Ok(Some(response)) => {
                    let came = Instant::now();
                    let may = around.came(&crossed(&response));
                    let kept = response.clone();
                    if queue.put((response, came, may)).is_err() {
                        around.dropped(&crossed(&kept));
                        break Ok(());
                    }
                }
                Ok(None) => break Ok(()),
                Err(e) => break Err(e),
            }
        };
        queue.close();
        ended
    }

    /// Takes what was read, in its turn; tells whether it is time to go home.
    fn take_all(
        &self,
        queue: &Queue<Came>,
        outbound: &mut Outbound,
        home: Option<Instant>,
    ) -> Result<bool, Status> {
        loop {
            if home.is_some_and(|at| Instant::now() >= at) {
                return Ok(true);
            }
            let soon = Instant::now() + SOON;
            let came = match queue.take_all(Some(home.map_or(soon, |at| at.min(soon)))) {
                Received::Items(came) => came,
                Received::TimedOut if self.is_over() => return Ok(false),
                Received::TimedOut => continue,
                Received::Closed => return Ok(false),
            };
            let mut broken = None;
            for (response, came, may) in came {
                if broken.is_some() || self.is_over() {
                    self.plane.around().dropped(&crossed(&response));
                    continue;
                }
                let wait = may.saturating_duration_since(Instant::now());
                if !wait.is_zero() {
                    sleep(wait);
                }
                let sent = self.take(&response, came);
                broken = sent.iter().find_map(|r| outbound.send(r).err());
            }
            if let Some(status) = broken {
                return Err(status);
            }
        }
    }

    /// Takes a message whole or refuses it whole, and puts the table into use.
    fn take(
        &self,
        response: &DeltaDiscoveryResponse,
        came: Instant,
    ) -> Vec<dahliapoint_xds::pb::discovery::DeltaDiscoveryRequest> {
        let mut holder = lock(&self.holder);
        let before = holder.nacked;
        // A line can be carried out if it has an address; names alone are the controller's to know.
        let requests = holder.apply(response, |server| self.plane.around().knows(server));
        let is_refused = holder.nacked > before;
        match is_refused {
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
                    .swap(held.as_ref(), &|s| holder.is_withdrawn(s), lines);
            }
        }
        drop(holder);
        self.plane
            .around()
            .took(&crossed(response), came, is_refused);
        requests
    }

    /// Reports at the interval that the controller names, until the stream is over. What could not be sent
    /// is told with the next report, here or elsewhere.
    fn report(&self, link: &Connection, over: &Notify) {
        let _ = self.report_on(link, over);
    }

    fn report_on(&self, link: &Connection, over: &Notify) -> Result<(), Status> {
        let mut dialed = link.start_call(LRS, None)?;
        let node = lock(&self.holder).node().clone();
        dialed
            .outbound
            .send(&load_stats_request(Some(node), 0.0, &[]))?;
        let (mut outbound, mut inbound) = dialed.wait_for_response()?;
        let mut every = FIRST_EVERY;
        let mut since = Instant::now();
        loop {
            // The interval may be changed at any time; between two reports it is looked for.
            let due = since + every;
            match inbound
                .receive_until::<LoadStatsResponse>(Some(Instant::now() + Duration::from_millis(1)))
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
            if let Err(e) = outbound.send(&load_stats_request(None, window.max(1.0), &tallies)) {
                self.plane.untold(tallies);
                return Err(e);
            }
            since = now;
        }
    }
}
