//! The gRPC service: discovery streams of proxies, each with one coroutine that reads and one that writes, load
//! reports, and their connection to the controller.

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

/// A stream ends when a response has waited this long for room in the peer's flow-control window.
const UNREAD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// An open discovery stream.
pub struct DiscoveryStream {
    /// Number of the stream, by which the controller knows it.
    pub id: Id,
    /// The node as the client's first request described it.
    pub node: Node,
    session: Mutex<Session>,
    /// Wakes the writing coroutine: there may be responses, or the stream is to end.
    output_ready: Notify,
    /// The status to end the stream with, once it is to end.
    end_status: Mutex<Option<Status>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl DiscoveryStream {
    pub(crate) fn session(&self) -> MutexGuard<'_, Session> {
        lock(&self.session)
    }

    /// Has the writing coroutine end the stream; the first status given counts.
    fn end(&self, status: Status) {
        lock(&self.end_status).get_or_insert(status);
        self.output_ready.notify();
    }
}

/// The open discovery streams.
#[derive(Default)]
struct Registry {
    by_id: BTreeMap<Id, Arc<DiscoveryStream>>,
    by_node: HashMap<String, Id>,
}

/// The xDS service, a handler for a gRPC server.
pub struct XdsService {
    config: Arc<ServiceConfig>,
    controller: Arc<dyn ControllerHandle>,
    registry: Mutex<Registry>,
    next_id: AtomicU64,
}

impl XdsService {
    /// `first_id` is the number of the first stream; several services of one controller need separate ranges.
    pub fn new(
        config: ServiceConfig,
        controller: Arc<dyn ControllerHandle>,
        first_id: Id,
    ) -> Arc<XdsService> {
        Arc::new(XdsService {
            config: Arc::new(config),
            controller,
            registry: Mutex::default(),
            next_id: AtomicU64::new(first_id),
        })
    }

    /// Carries out an output of the controller as far as it concerns streams of this service, and returns the rest.
    pub fn handle_output(&self, output: Output) -> Option<Output> {
        match output {
            Output::Write(ids, message) => {
                let mut others = Vec::new();
                for id in ids {
                    match self.stream(id) {
                        Some(stream) => {
                            stream.session().deliver(&message);
                            stream.output_ready.notify();
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
        lock(&self.registry).by_id.get(&id).cloned()
    }

    /// The open discovery streams in the order in which they were opened.
    pub fn streams(&self) -> Vec<Arc<DiscoveryStream>> {
        lock(&self.registry).by_id.values().cloned().collect()
    }

    /// Ends all discovery streams with status `Unavailable`, on which proxies connect again, to any controller.
    pub fn shut_down(&self) {
        for stream in self.streams() {
            stream.end(Status::new(Code::Unavailable, "the controller ends"));
        }
    }

    pub(crate) fn overview(&self) -> serde_json::Value {
        self.controller.overview()
    }

    /// Serves a discovery stream until the client or the controller ends it.
    fn serve_discovery(&self, call: Call, method: DiscoveryMethod) {
        let Call {
            mut inbound,
            outbound,
            peer,
            ..
        } = call;
        let first = match method.receive(&mut inbound) {
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
        let variant = match method {
            DiscoveryMethod::StateOfTheWorld(_) => ProtocolVariant::Full,
            DiscoveryMethod::Delta(_) if leds => ProtocolVariant::DeltaLeds,
            DiscoveryMethod::Delta(_) => ProtocolVariant::DeltaInline,
        };
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let stream = Arc::new(DiscoveryStream {
            id,
            node,
            session: Mutex::new(Session::new(self.config.clone(), variant)),
            output_ready: Notify::default(),
            end_status: Mutex::default(),
        });
        {
            let mut registry = lock(&self.registry);
            registry.by_id.insert(id, stream.clone());
            registry.by_node.insert(stream.node.id.clone(), id);
        }
        info!(stream = id, node = %stream.node.id, %peer, flavour = ?variant, "discovery stream opened");
        let writer = {
            let (stream, controller) = (stream.clone(), self.controller.clone());
            spawn(move || write_responses(&stream, method, outbound, &*controller))
        };
        let result = self.read_requests(&stream, method, first, inbound);
        stream.end(result.clone().err().unwrap_or(Status::new(Code::Ok, "")));
        {
            let mut registry = lock(&self.registry);
            registry.by_id.remove(&id);
            if registry.by_node.get(&stream.node.id) == Some(&id) {
                registry.by_node.remove(&stream.node.id);
            }
        }
        self.controller.send(Input::Left(id));
        let _ = writer.join();
        match result {
            Ok(()) => info!(stream = id, node = %stream.node.id, "discovery stream closed"),
            Err(e) => {
                info!(stream = id, node = %stream.node.id, status = %e, "discovery stream closed")
            }
        }
    }

    /// Passes requests to the session, starting with `first`, until the client ends its side.
    fn read_requests(
        &self,
        stream: &DiscoveryStream,
        method: DiscoveryMethod,
        first: Request,
        mut inbound: Inbound,
    ) -> Result<(), Status> {
        let mut next = Some(first);
        while let Some(request) = next {
            let type_url = request.type_url(method);
            let events = {
                let mut session = stream.session();
                let handled = match &request {
                    Request::Delta(r) => {
                        session.handle_delta_request(&delta_with_type(r, &type_url))
                    }
                    Request::StateOfTheWorld(r) => {
                        session.handle_sotw_request(&sotw_with_type(r, &type_url))
                    }
                };
                handled.map_err(|why| Status::new(Code::InvalidArgument, why))?;
                session.take_events()
            };
            forward_events(stream, &*self.controller, events)?;
            stream.output_ready.notify();
            next = method.receive(&mut inbound)?;
        }
        Ok(())
    }

    /// Serves a stream of load reports.
    fn serve_load_reports(&self, call: Call) {
        let Call {
            mut inbound,
            mut outbound,
            ..
        } = call;
        let stream = self.next_id.fetch_add(1, Ordering::SeqCst);
        let mut node = String::new();
        let status = match self.receive_load_reports(&mut inbound, &mut outbound, stream, &mut node)
        {
            Ok(()) => Status::new(Code::Ok, ""),
            Err(status) => status,
        };
        if !node.is_empty() {
            self.controller.report_stream(&node, stream, false);
        }
        outbound.finish(&status);
    }

    /// Passes load reports to the controller, and tells the proxy the reporting interval whenever it changes. Sets
    /// `node` to the proxy's name from the first request.
    fn receive_load_reports(
        &self,
        inbound: &mut Inbound,
        outbound: &mut Outbound,
        stream: Id,
        node: &mut String,
    ) -> Result<(), Status> {
        let mut announced_ms = f64::NAN;
        while let Some(request) = inbound.receive::<LoadStatsRequest>()? {
            if node.is_empty() {
                let named = request.node.as_ref().map(|n| n.id.clone());
                *node = named.unwrap_or_default();
                if node.is_empty() {
                    let why = "the first report of a stream names its node";
                    return Err(Status::new(Code::InvalidArgument, why));
                }
                self.controller.report_stream(node, stream, true);
            }
            let interval_ms = self.controller.report_interval_ms();
            if announced_ms != interval_ms {
                announced_ms = interval_ms;
                outbound.send(&load_stats_response(interval_ms))?;
            }
            let accepted = match lrs::parse_load_stats(&self.config, &request) {
                Ok(None) => continue,
                Ok(Some(report)) => self.controller.report(node, stream, report),
                Err(why) => Err(why),
            };
            if let Err(why) = accepted {
                warn!(node, why, "load report rejected");
                return Err(Status::new(Code::InvalidArgument, why));
            }
        }
        Ok(())
    }
}

/// Asks a proxy to report all clusters with counts by endpoint, at this interval.
fn load_stats_response(interval_ms: f64) -> LoadStatsResponse {
    let interval_ms = interval_ms as i64;
    LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(Duration {
            seconds: interval_ms / 1000,
            nanos: (interval_ms % 1000) as i32 * 1_000_000,
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
        let method_start = call.path.rfind('/').map_or(0, |slash| slash + 1);
        let (service, method) = call.path.split_at(method_start);
        match (service, method) {
            (DISCOVERY, "DeltaAggregatedResources") => {
                self.serve_discovery(call, DiscoveryMethod::Delta(None))
            }
            (DISCOVERY, "StreamAggregatedResources") => {
                self.serve_discovery(call, DiscoveryMethod::StateOfTheWorld(None))
            }
            (ENDPOINTS, "DeltaEndpoints") => {
                self.serve_discovery(call, DiscoveryMethod::Delta(Some(EDS)))
            }
            (ENDPOINTS, "StreamEndpoints") => {
                self.serve_discovery(call, DiscoveryMethod::StateOfTheWorld(Some(EDS)))
            }
            (LOCALITY, "DeltaLocalityEndpoints") => {
                self.serve_discovery(call, DiscoveryMethod::Delta(Some(crate::names::LEDS)));
            }
            (LOADS, "StreamLoadStats") => self.serve_load_reports(call),
            (STATUS, "FetchClientStatus") => status::serve_client_status(self, call, true),
            (STATUS, "StreamClientStatus") => status::serve_client_status(self, call, false),
            _ => {
                let why = format!("no method {}", call.path);
                debug!(path = call.path, "unknown method called");
                call.outbound.finish(&Status::new(Code::Unimplemented, why));
            }
        }
    }
}

/// Method of a discovery stream: the protocol, and the only type of a stream that is not aggregated.
#[derive(Clone, Copy)]
enum DiscoveryMethod {
    Delta(Option<&'static str>),
    StateOfTheWorld(Option<&'static str>),
}

/// A discovery request of either protocol.
enum Request {
    Delta(Box<DeltaDiscoveryRequest>),
    StateOfTheWorld(Box<DiscoveryRequest>),
}

impl DiscoveryMethod {
    /// Receives the next request.
    fn receive(self, inbound: &mut Inbound) -> Result<Option<Request>, Status> {
        Ok(match self {
            DiscoveryMethod::Delta(_) => inbound.receive()?.map(|r| Request::Delta(Box::new(r))),
            DiscoveryMethod::StateOfTheWorld(_) => inbound
                .receive()?
                .map(|r| Request::StateOfTheWorld(Box::new(r))),
        })
    }
}

impl Request {
    fn node(&self) -> Option<&Node> {
        match self {
            Request::Delta(r) => r.node.as_ref(),
            Request::StateOfTheWorld(r) => r.node.as_ref(),
        }
    }

    /// The type URL, which requests may leave out on a stream for only one type.
    fn type_url(&self, method: DiscoveryMethod) -> String {
        let (
            given,
            DiscoveryMethod::Delta(only_type) | DiscoveryMethod::StateOfTheWorld(only_type),
        ) = match self {
            Request::Delta(r) => (&r.type_url, method),
            Request::StateOfTheWorld(r) => (&r.type_url, method),
        };
        match only_type {
            Some(only_type) if given.is_empty() => only_type.to_string(),
            _ => given.clone(),
        }
    }
}

fn delta_with_type(r: &DeltaDiscoveryRequest, type_url: &str) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: type_url.to_string(),
        ..r.clone()
    }
}

fn sotw_with_type(r: &DiscoveryRequest, type_url: &str) -> DiscoveryRequest {
    DiscoveryRequest {
        type_url: type_url.to_string(),
        ..r.clone()
    }
}

/// Reports events of a session to the controller; fails once the controller has ended.
fn forward_events(
    stream: &DiscoveryStream,
    controller: &dyn ControllerHandle,
    events: Vec<SessionEvent>,
) -> Result<(), Status> {
    for event in events {
        let input = match event {
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
        if !controller.send(input) {
            return Err(Status::new(Code::Unavailable, "the controller ends"));
        }
    }
    Ok(())
}

/// Sends the responses of the session until the stream ends, and ends it with its status.
fn write_responses(
    stream: &DiscoveryStream,
    method: DiscoveryMethod,
    mut outbound: Outbound,
    controller: &dyn ControllerHandle,
) {
    loop {
        let (next, events) = {
            let mut session = stream.session();
            let next = match method {
                DiscoveryMethod::Delta(_) => session.next_delta_response().map(Response::Delta),
                DiscoveryMethod::StateOfTheWorld(_) => {
                    session.next_sotw_response().map(Response::StateOfTheWorld)
                }
            };
            (next, session.take_events())
        };
        let failed = forward_events(stream, controller, events).err();
        if let Some(response) = next {
            // A peer whose window stays full has stopped reading. Without a deadline this would block for ever,
            // and with it the end of the stream.
            outbound.set_deadline(Some(Instant::now() + UNREAD_TIMEOUT));
            let sent = match &response {
                Response::Delta(r) => outbound.send(r),
                Response::StateOfTheWorld(r) => outbound.send(r),
            };
            match sent {
                Ok(_) => continue,
                Err(_) => {
                    // The message may be sent in part, so the call cannot end with a status any more.
                    return outbound.cancel();
                }
            }
        }
        outbound.set_deadline(None);
        let end_status = lock(&stream.end_status).clone();
        if let Some(status) = failed.or(end_status) {
            return outbound.finish(&status);
        }
        stream.output_ready.wait(None);
    }
}

/// A discovery response of either protocol.
enum Response {
    Delta(crate::pb::discovery::DeltaDiscoveryResponse),
    StateOfTheWorld(crate::pb::discovery::DiscoveryResponse),
}
