//! The xDS client of a proxy: it keeps a stream to one controller at a time, applies tables and reports load. When the
//! controller is lost, the proxy keeps its table and connects to another one.

use crate::Rng;
use crate::data_plane::{DataPlane, lock};
use crate::environment::TableMessage;
use dahliapoint_fibers::{Notify, Queue, Received, sleep, spawn};
use dahliapoint_grpc::{Code, Inbound, Limits, Link, Outbound, Status};
use dahliapoint_xds::Message as _;
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
/// Interval of load reports until the controller sets one.
const DEFAULT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Messages that were read but not applied yet.
const MAX_QUEUED_MESSAGES: usize = 256;
/// How often a waiting coroutine checks whether it should stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// A message that was read from the stream.
struct ReceivedMessage {
    response: DeltaDiscoveryResponse,
    received: Instant,
    /// When it may be applied.
    apply_at: Instant,
}

fn table_message(response: &DeltaDiscoveryResponse) -> TableMessage<'_> {
    TableMessage {
        serial: &response.system_version_info,
        lines: response.resources.len() + response.removed_resources.len(),
        carries_lines: response.type_url == LEDS,
        bytes: response.encoded_len() as u64,
    }
}

/// Why a stream ended without an error.
enum StreamEnd {
    Closed,
    /// It is time to go back to the first controller.
    FailBack,
}

/// Applies tables from controllers to a data plane, and reports its load, until it is stopped.
pub struct XdsClient {
    plane: Arc<DataPlane>,
    holder: Mutex<Holder>,
    connected: AtomicBool,
    /// Messages applied so far.
    pub applied: AtomicU64,
    /// Messages refused so far.
    pub refused: AtomicU64,
    stopping: AtomicBool,
}

impl XdsClient {
    /// Starts the client in a coroutine of its own.
    pub fn start(plane: Arc<DataPlane>) -> Arc<XdsClient> {
        let s = &plane.settings;
        let holder = Holder::new(&s.service, &s.name, &s.zone, s.visits_per_s);
        let xds_client = Arc::new(XdsClient {
            holder: Mutex::new(holder),
            connected: AtomicBool::new(false),
            applied: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            plane,
        });
        let running = xds_client.clone();
        spawn(move || running.run());
        xds_client
    }

    /// Returns whether a stream to a controller is open.
    pub fn is_connected(&self) -> bool {
        self.connected.load(Ordering::SeqCst)
    }

    /// Disconnects from the controller for good. The data plane keeps its table.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Connects to one controller after the other. The delay between two connections is random, so that many proxies
    /// that lose a controller do not reach the next one at the same moment.
    fn run(self: &Arc<Self>) {
        let settings = &self.plane.settings;
        let mut rng = Rng::from_seed(settings.seed ^ 0x5eed);
        let mut index = 0;
        while !self.is_stopping() {
            let to = settings.controllers[index];
            let can_fail_back = index > 0 && settings.failback_after_ms > 0.0;
            let failback_after =
                can_fail_back.then(|| Duration::from_secs_f64(settings.failback_after_ms / 1e3));
            let ended = self.run_stream(to, failback_after);
            if self.connected.swap(false, Ordering::SeqCst) {
                self.plane.environment().connection_changed(false);
            }
            index = match ended {
                Ok(StreamEnd::FailBack) => 0,
                Ok(StreamEnd::Closed) => (index + 1) % settings.controllers.len(),
                Err(status) => {
                    warn!(controller = %to, %status, "the stream to the controller is lost; the table is kept");
                    (index + 1) % settings.controllers.len()
                }
            };
            let (min_ms, max_ms) = settings.reconnect_delay_ms;
            sleep(Duration::from_secs_f64(
                (min_ms + (max_ms - min_ms) * rng.next_f64()) / 1e3,
            ));
        }
    }

    /// Opens a stream to a controller and applies its messages until it ends, or until it is time to fail back.
    fn run_stream(
        self: &Arc<Self>,
        to: SocketAddr,
        failback_after: Option<Duration>,
    ) -> Result<StreamEnd, Status> {
        let link = Link::dial(to, Limits::default())?;
        let mut dialed = link.open(ADS, None)?;
        let initial_requests = lock(&self.holder).begin();
        for request in &initial_requests {
            dialed.outbound.send(request)?;
        }
        let (mut outbound, inbound) = dialed.answered()?;
        info!(controller = %to, "joined");
        self.connected.store(true, Ordering::SeqCst);
        self.plane.environment().connection_changed(true);
        let stream_ended = Arc::new(Notify::default());
        let reporting = {
            let (client, link, stream_ended) = (self.clone(), link.clone(), stream_ended.clone());
            spawn(move || client.report(&link, &stream_ended))
        };
        // Reading is separate from applying, so that a message that has to wait does not keep later ones in the socket.
        let queue = Queue::bounded(MAX_QUEUED_MESSAGES);
        let reading = {
            let (client, queue) = (self.clone(), queue.clone());
            spawn(move || client.read(inbound, &queue))
        };
        let failback_at = failback_after.map(|after| Instant::now() + after);
        let ended = self.apply_all(&queue, &mut outbound, failback_at);
        queue.close();
        if let Received::Items(left) = queue.take_all(Some(Instant::now())) {
            left.iter().for_each(|m| {
                self.plane
                    .environment()
                    .message_dropped(&table_message(&m.response))
            });
        }
        stream_ended.notify();
        drop((outbound, link));
        let _ = reporting.join();
        let read_result = reading.join().unwrap_or(Ok(()));
        ended.and_then(|end| match end {
            StreamEnd::FailBack => Ok(StreamEnd::FailBack),
            StreamEnd::Closed => read_result.map(|()| StreamEnd::Closed),
        })
    }

    /// Reads messages into the queue until the stream ends or the queue is closed.
    fn read(&self, mut inbound: Inbound, queue: &Queue<ReceivedMessage>) -> Result<(), Status> {
        let environment = self.plane.environment();
        let ended = loop {
            environment.before_read();
            match inbound
                .message_until::<DeltaDiscoveryResponse>(Some(Instant::now() + STOP_CHECK_INTERVAL))
            {
                Err(e) if e.code == Code::DeadlineExceeded && !queue.is_closed() => {}
                Err(e) if e.code == Code::DeadlineExceeded => break Ok(()),
                Ok(Some(response)) => {
                    let received = Instant::now();
                    let apply_at = environment.message_received(&table_message(&response));
                    let copy = response.clone();
                    let message = ReceivedMessage {
                        response,
                        received,
                        apply_at,
                    };
                    if queue.put(message).is_err() {
                        environment.message_dropped(&table_message(&copy));
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

    /// Applies messages in the order of the stream until it ends or it is time to fail back.
    fn apply_all(
        &self,
        queue: &Queue<ReceivedMessage>,
        outbound: &mut Outbound,
        failback_at: Option<Instant>,
    ) -> Result<StreamEnd, Status> {
        loop {
            if failback_at.is_some_and(|at| Instant::now() >= at) {
                return Ok(StreamEnd::FailBack);
            }
            let stop_check = Instant::now() + STOP_CHECK_INTERVAL;
            let messages = match queue.take_all(Some(
                failback_at.map_or(stop_check, |at| at.min(stop_check)),
            )) {
                Received::Items(messages) => messages,
                Received::TimedOut if self.is_stopping() => return Ok(StreamEnd::Closed),
                Received::TimedOut => continue,
                Received::Closed => return Ok(StreamEnd::Closed),
            };
            let mut send_error = None;
            for message in messages {
                if send_error.is_some() || self.is_stopping() {
                    self.plane
                        .environment()
                        .message_dropped(&table_message(&message.response));
                    continue;
                }
                let wait = message.apply_at.saturating_duration_since(Instant::now());
                if !wait.is_zero() {
                    sleep(wait);
                }
                let answers = self.apply(&message);
                send_error = answers.iter().find_map(|a| outbound.send(a).err());
            }
            if let Some(status) = send_error {
                return Err(status);
            }
        }
    }

    /// Applies a message as a whole, or refuses it as a whole. Returns the answers to send.
    fn apply(
        &self,
        message: &ReceivedMessage,
    ) -> Vec<dahliapoint_xds::pb::discovery::DeltaDiscoveryRequest> {
        let response = &message.response;
        let mut holder = lock(&self.holder);
        let refused_before = holder.refused;
        // The proxy only needs the address of a line; which names exist is known to the controller.
        let requests = holder.apply(response, |server| {
            self.plane.environment().knows_server(server)
        });
        let is_refused = holder.refused > refused_before;
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
                    .swap_table(held.as_ref(), &|s| holder.is_shut(s), lines);
            }
        }
        drop(holder);
        self.plane.environment().message_processed(
            &table_message(response),
            message.received,
            is_refused,
        );
        requests
    }

    /// Sends load reports at the interval that the controller sets, until the stream ends. Counts that could not be
    /// sent go into the next report, to this controller or another.
    fn report(&self, link: &Link, stream_ended: &Notify) {
        let _ = self.send_reports(link, stream_ended);
    }

    fn send_reports(&self, link: &Link, stream_ended: &Notify) -> Result<(), Status> {
        let mut dialed = link.open(LRS, None)?;
        let node = lock(&self.holder).node().clone();
        dialed.outbound.send(&load_request(Some(node), 0.0, &[]))?;
        let (mut outbound, mut inbound) = dialed.answered()?;
        let mut interval = DEFAULT_REPORT_INTERVAL;
        let mut since = Instant::now();
        loop {
            // The controller may change the interval at any time; it is read between two reports.
            let due = since + interval;
            match inbound
                .message_until::<LoadStatsResponse>(Some(Instant::now() + Duration::from_millis(1)))
            {
                Ok(Some(response)) => {
                    let wanted = response.load_reporting_interval;
                    let seconds = wanted.map(|d| d.seconds as f64 + f64::from(d.nanos) / 1e9);
                    let valid = seconds.filter(|s| (0.01..=3600.0).contains(s));
                    interval = valid.map_or(interval, Duration::from_secs_f64);
                    continue;
                }
                Ok(None) => return Ok(()),
                Err(e) if e.code == Code::DeadlineExceeded => {}
                Err(e) => return Err(e),
            }
            if stream_ended.wait(Some(due)) {
                return Ok(());
            }
            let now = Instant::now();
            let window_ms = now.saturating_duration_since(since).as_secs_f64() * 1e3;
            let tallies = self.plane.take_tallies();
            if let Err(e) = outbound.send(&load_request(None, window_ms.max(1.0), &tallies)) {
                self.plane.restore_tallies(tallies);
                return Err(e);
            }
            since = now;
        }
    }
}
