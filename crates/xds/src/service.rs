//! The gRPC side: streams of proxies, each with a coroutine that reads and one that writes, and the way
//! to the one owner of the controller.

use crate::names::EDS;
use crate::pb::core::Node;
use crate::pb::discovery::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::pb::load_stats::{LoadStatsRequest, LoadStatsResponse};
use crate::pb::protobuf::{Duration, value::Kind};
use crate::resources::ServiceConfig;
use crate::session::{ProtocolVariant, Session, SessionEvent};
use crate::{LEDS_FEATURE, lrs, status};
use dahliapoint_control::{ControllerHandle, Input, Output, Session as Id};
use dahliapoint_fibers::{Notify, spawn};
use dahliapoint_grpc::{Call, Code, Handler, Inbound, Outbound, Status};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tracing::{debug, info, warn};

/// A stream ends when its peer has taken nothing for so long while something waits for it.
const UNREAD: std::time::Duration = std::time::Duration::from_secs(10);

/// A discovery stream.
pub struct DiscoveryStream {
    pub id: Id,
    pub node: Node,
    state: Mutex<Session>,
    bell: Notify,
    closing: Mutex<Option<Status>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl DiscoveryStream {
    pub(crate) fn session(&self) -> MutexGuard<'_, Session> {
        lock(&self.state)
    }

    fn end(&self, status: Status) {
        lock(&self.closing).get_or_insert(status);
        self.bell.notify();
    }
}

#[derive(Default)]
struct Registry {
    by_id: BTreeMap<Id, Arc<DiscoveryStream>>,
    by_node: HashMap<String, Id>,
}

/// The front; give it to a gRPC server as its handler.
pub struct XdsService {
    config: Arc<ServiceConfig>,
    owner: Arc<dyn ControllerHandle>,
    streams: Mutex<Registry>,
    next: AtomicU64,
}

impl XdsService {
    /// `first` is the first number of a stream, so that fronts of one controller do not use each other's.
    pub fn new(
        config: ServiceConfig,
        owner: Arc<dyn ControllerHandle>,
        first: Id,
    ) -> Arc<XdsService> {
        Arc::new(XdsService {
            config: Arc::new(config),
            owner,
            streams: Mutex::default(),
            next: AtomicU64::new(first),
        })
    }

    /// Carries out what concerns streams of this front; gives back what does not.
    pub fn handle_output(&self, output: Output) -> Option<Output> {
        match output {
            Output::Write(ids, message) => {
                let mut others = Vec::new();
                for id in ids {
                    match self.stream(id) {
                        Some(stream) => {
                            stream.session().deliver(&message);
                            stream.bell.notify();
                        }
                        None => others.push(id),
                    }
                }
                (!others.is_empty()).then_some(Output::Write(others, message))
            }
            Output::Close(id, why) => {
                let Some(stream) = self.stream(id) else {
                    return Some(Output::Close(id, why));
                };
                stream.end(Status::new(Code::Aborted, why));
                None
            }
            other => Some(other),
        }
    }

    fn stream(&self, id: Id) -> Option<Arc<DiscoveryStream>> {
        lock(&self.streams).by_id.get(&id).cloned()
    }

    /// The streams open now, in the order in which they came.
    pub fn streams(&self) -> Vec<Arc<DiscoveryStream>> {
        lock(&self.streams).by_id.values().cloned().collect()
    }

    /// Ends all streams, orderly: proxies dial again, elsewhere or here.
    pub fn shut_down(&self) {
        for stream in self.streams() {
            stream.end(Status::new(Code::Unavailable, "the controller ends"));
        }
    }

    pub(crate) fn overview(&self) -> serde_json::Value {
        self.owner.overview()
    }

    fn discover(&self, call: Call, way: Way) {
        let Call {
            mut inbound,
            outbound,
            peer,
            ..
        } = call;
        let first = match way.read(&mut inbound) {
            Ok(Some(first)) => first,
            Ok(None) => return outbound.finish(&Status::new(Code::Ok, "")),
            Err(status) => return outbound.finish(&status),
        };
        let node = first.node().cloned().unwrap_or_default();
        if node.id.is_empty() {
            let why = "the first request of a stream names its node";
            return outbound.finish(&Status::new(Code::InvalidArgument, why));
        }
        let leds = node.client_features.iter().any(|f| f == LEDS_FEATURE);
        let flavour = match way {
            Way::Full(_) => ProtocolVariant::Full,
            Way::Delta(_) if leds => ProtocolVariant::DeltaLeds,
            Way::Delta(_) => ProtocolVariant::DeltaInline,
        };
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let stream = Arc::new(DiscoveryStream {
            id,
            node,
            state: Mutex::new(Session::new(self.config.clone(), flavour)),
            bell: Notify::default(),
            closing: Mutex::default(),
        });
        {
            let mut streams = lock(&self.streams);
            streams.by_id.insert(id, stream.clone());
            streams.by_node.insert(stream.node.id.clone(), id);
        }
        info!(stream = id, node = %stream.node.id, %peer, ?flavour, "a proxy's stream begins");
        let writing = {
            let (stream, owner) = (stream.clone(), self.owner.clone());
            spawn(move || write(&stream, way, outbound, &*owner))
        };
        let ended = self.read(&stream, way, first, inbound);
        stream.end(ended.clone().err().unwrap_or(Status::new(Code::Ok, "")));
        {
            let mut streams = lock(&self.streams);
            streams.by_id.remove(&id);
            if streams.by_node.get(&stream.node.id) == Some(&id) {
                streams.by_node.remove(&stream.node.id);
            }
        }
        self.owner.send(Input::Left(id));
        let _ = writing.join();
        match ended {
            Ok(()) => info!(stream = id, node = %stream.node.id, "a proxy's stream ends"),
            Err(e) => {
                info!(stream = id, node = %stream.node.id, status = %e, "a proxy's stream ends")
            }
        }
    }

    fn read(
        &self,
        stream: &DiscoveryStream,
        way: Way,
        first: Request,
        mut inbound: Inbound,
    ) -> Result<(), Status> {
        let mut next = Some(first);
        while let Some(request) = next {
            let type_url = request.type_url(way);
            let events = {
                let mut session = stream.session();
                let taken = match &request {
                    Request::Delta(r) => session.handle_delta_request(&with_type(r, &type_url)),
                    Request::Full(r) => session.handle_sotw_request(&with_type_full(r, &type_url)),
                };
                taken.map_err(|why| Status::new(Code::InvalidArgument, why))?;
                session.take_events()
            };
            tell(stream, &*self.owner, events)?;
            stream.bell.notify();
            next = way.read(&mut inbound)?;
        }
        Ok(())
    }

    fn loads(&self, call: Call) {
        let Call {
            mut inbound,
            mut outbound,
            ..
        } = call;
        let stream = self.next.fetch_add(1, Ordering::SeqCst);
        let mut node = String::new();
        let status = match self.take_loads(&mut inbound, &mut outbound, stream, &mut node) {
            Ok(()) => Status::new(Code::Ok, ""),
            Err(status) => status,
        };
        if !node.is_empty() {
            self.owner.report_stream(&node, stream, false);
        }
        outbound.finish(&status);
    }

    fn take_loads(
        &self,
        inbound: &mut Inbound,
        outbound: &mut Outbound,
        stream: Id,
        node: &mut String,
    ) -> Result<(), Status> {
        let mut told = f64::NAN;
        while let Some(request) = inbound.receive::<LoadStatsRequest>()? {
            if node.is_empty() {
                let named = request.node.as_ref().map(|n| n.id.clone());
                *node = named.unwrap_or_default();
                if node.is_empty() {
                    let why = "the first report of a stream names its node";
                    return Err(Status::new(Code::InvalidArgument, why));
                }
                self.owner.report_stream(node, stream, true);
            }
            let wanted = self.owner.report_interval_ms();
            if told != wanted {
                told = wanted;
                outbound.send(&interval(wanted))?;
            }
            let taken = match lrs::read(&self.config, &request) {
                Ok(None) => continue,
                Ok(Some(report)) => self.owner.report(node, stream, report),
                Err(why) => Err(why),
            };
            if let Err(why) = taken {
                warn!(node, why, "a load report is refused");
                return Err(Status::new(Code::InvalidArgument, why));
            }
        }
        Ok(())
    }
}

/// What proxies are told of reporting.
fn interval(every_ms: f64) -> LoadStatsResponse {
    let every = every_ms as i64;
    LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(Duration {
            seconds: every / 1000,
            nanos: (every % 1000) as i32 * 1_000_000,
        }),
        report_endpoint_granularity: true,
        ..LoadStatsResponse::default()
    }
}

impl Handler for XdsService {
    fn call(&self, call: Call) {
        const DISCOVERY: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/";
        const ENDPOINTS: &str = "/envoy.service.endpoint.v3.EndpointDiscoveryService/";
        const LOCALITY: &str = "/envoy.service.endpoint.v3.LocalityEndpointDiscoveryService/";
        const LOADS: &str = "/envoy.service.load_stats.v3.LoadReportingService/";
        const STATUS: &str = "/envoy.service.status.v3.ClientStatusDiscoveryService/";
        let at = call.path.rfind('/').map_or(0, |at| at + 1);
        let (service, method) = call.path.split_at(at);
        match (service, method) {
            (DISCOVERY, "DeltaAggregatedResources") => self.discover(call, Way::Delta(None)),
            (DISCOVERY, "StreamAggregatedResources") => self.discover(call, Way::Full(None)),
            (ENDPOINTS, "DeltaEndpoints") => self.discover(call, Way::Delta(Some(EDS))),
            (ENDPOINTS, "StreamEndpoints") => self.discover(call, Way::Full(Some(EDS))),
            (LOCALITY, "DeltaLocalityEndpoints") => {
                self.discover(call, Way::Delta(Some(crate::names::LEDS)));
            }
            (LOADS, "StreamLoadStats") => self.loads(call),
            (STATUS, "FetchClientStatus") => status::serve(self, call, true),
            (STATUS, "StreamClientStatus") => status::serve(self, call, false),
            _ => {
                let why = format!("no method {}", call.path);
                debug!(path = call.path, "an unknown method is called");
                call.outbound.finish(&Status::new(Code::Unimplemented, why));
            }
        }
    }
}

/// The protocol of a stream, and the one type it is for, if it is not aggregated.
#[derive(Clone, Copy)]
enum Way {
    Delta(Option<&'static str>),
    Full(Option<&'static str>),
}

enum Request {
    Delta(Box<DeltaDiscoveryRequest>),
    Full(Box<DiscoveryRequest>),
}

impl Way {
    fn read(self, inbound: &mut Inbound) -> Result<Option<Request>, Status> {
        Ok(match self {
            Way::Delta(_) => inbound.receive()?.map(|r| Request::Delta(Box::new(r))),
            Way::Full(_) => inbound.receive()?.map(|r| Request::Full(Box::new(r))),
        })
    }
}

impl Request {
    fn node(&self) -> Option<&Node> {
        match self {
            Request::Delta(r) => r.node.as_ref(),
            Request::Full(r) => r.node.as_ref(),
        }
    }

    /// On a stream for one type the type may be left out.
    fn type_url(&self, way: Way) -> String {
        let (said, Way::Delta(only) | Way::Full(only)) = match self {
            Request::Delta(r) => (&r.type_url, way),
            Request::Full(r) => (&r.type_url, way),
        };
        match only {
            Some(only) if said.is_empty() => only.to_string(),
            _ => said.clone(),
        }
    }
}

fn with_type(r: &DeltaDiscoveryRequest, type_url: &str) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: type_url.to_string(),
        ..r.clone()
    }
}

fn with_type_full(r: &DiscoveryRequest, type_url: &str) -> DiscoveryRequest {
    DiscoveryRequest {
        type_url: type_url.to_string(),
        ..r.clone()
    }
}

fn tell(
    stream: &DiscoveryStream,
    owner: &dyn ControllerHandle,
    events: Vec<SessionEvent>,
) -> Result<(), Status> {
    for answer in events {
        let input = match answer {
            SessionEvent::Joined => {
                let node = &stream.node;
                let zone = node.locality.as_ref().map(|l| l.zone.clone());
                let fields = node.metadata.as_ref().map(|m| &m.fields);
                let pace = fields.and_then(|f| f.get("pace_per_s"));
                let pace = pace.and_then(|v| match v.kind {
                    Some(Kind::NumberValue(n)) => Some(n),
                    _ => None,
                });
                Input::Joined {
                    session: stream.id,
                    proxy: node.id.clone(),
                    zone: zone.unwrap_or_default(),
                    visits_per_s: pace,
                }
            }
            SessionEvent::Acked(serial) => Input::Applied(stream.id, serial),
            SessionEvent::Nacked(serial, why) => Input::Refused(stream.id, serial, why),
        };
        if !owner.send(input) {
            return Err(Status::new(Code::Unavailable, "the controller ends"));
        }
    }
    Ok(())
}

/// Writes what the session has, until the stream ends.
fn write(stream: &DiscoveryStream, way: Way, mut outbound: Outbound, owner: &dyn ControllerHandle) {
    loop {
        let (next, events) = {
            let mut session = stream.session();
            let next = match way {
                Way::Delta(_) => session.next_delta_response().map(Response::Delta),
                Way::Full(_) => session.next_sotw_response().map(Response::Full),
            };
            (next, session.take_events())
        };
        let failed = tell(stream, owner, events).err();
        if let Some(response) = next {
            // A peer whose window stays full has stopped reading: what it is told elsewhere (that its
            // stream ends) would wait behind this for ever.
            outbound.set_deadline(Some(Instant::now() + UNREAD));
            let sent = match &response {
                Response::Delta(r) => outbound.send(r),
                Response::Full(r) => outbound.send(r),
            };
            match sent {
                Ok(_) => continue,
                Err(_) => {
                    // Cut within a message: the call cannot end well any more.
                    return outbound.cancel();
                }
            }
        }
        outbound.set_deadline(None);
        let closing = lock(&stream.closing).clone();
        if let Some(status) = failed.or(closing) {
            return outbound.finish(&status);
        }
        stream.bell.wait(None);
    }
}

enum Response {
    Delta(crate::pb::discovery::DeltaDiscoveryResponse),
    Full(crate::pb::discovery::DiscoveryResponse),
}
