//! Interoperability: an independent gRPC client and server (tonic) against our server and client, over whole streams,
//! so that both follow the specification and not only each other.

use dahliapoint_control::{AdminState, RosterEntry};
use dahliapoint_daemon::daemon::{Daemon, RosterSource};
use dahliapoint_daemon::deployment;
use dahliapoint_fibers::spawn;
use dahliapoint_grpc::{Code, Connection, Limits};
use dahliapoint_xds::names::{CDS, EDS, LEDS};
use dahliapoint_xds::pb::core::{Locality, Node};
use dahliapoint_xds::pb::discovery::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use dahliapoint_xds::pb::endpoint::ClusterLoadAssignment;
use dahliapoint_xds::pb::status::ClientStatusRequest;
use dahliapoint_xds::{
    ClusterLoad, EndpointLoad, LEDS_FEATURE, Message, load_stats_request, names,
};
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::{
    AggregatedDiscoveryService, AggregatedDiscoveryServiceServer,
};
use envoy_types::pb::envoy::service::endpoint::v3::endpoint_discovery_service_client::EndpointDiscoveryServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use envoy_types::pb::envoy::service::status::v3::client_status_discovery_service_client::ClientStatusDiscoveryServiceClient;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::{Stream, StreamExt};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status, Streaming};

const DEPLOYMENT: &str = "service: portal\nzones: [east, west]\n\
    classes: [{name: view, soft_limit: 1s}, {name: pay, soft_limit: 1s, earnings: 2}]\n\
    reports: {every: 200ms}\nroster: {file: none.yaml}\nlisten: {xds: '127.0.0.1:0'}\nseed: 7\n";

fn daemon() -> Daemon {
    let deployment = deployment::parse("d.yaml", DEPLOYMENT).unwrap();
    let entry = |i: usize| RosterEntry {
        name: format!("s{i}"),
        address: format!("127.0.0.1:{}", 7000 + i),
        zone: if i == 0 { "east" } else { "west" }.into(),
        state: AdminState::Ready,
        weight: 1.0 + i as f64,
        started: None,
    };
    let entries = (0..3).map(entry).collect();
    Daemon::start(&deployment, RosterSource::Fixed(entries), None).unwrap()
}

fn node(id: &str, features: &[&str]) -> Node {
    Node {
        id: id.into(),
        locality: Some(Locality {
            zone: "east".into(),
            ..Locality::default()
        }),
        client_features: features.iter().map(|f| f.to_string()).collect(),
        ..Node::default()
    }
}

async fn channel(daemon: &Daemon) -> Channel {
    let to = format!("http://{}", daemon.address());
    Endpoint::from_shared(to).unwrap().connect().await.unwrap()
}

async fn next<T>(stream: &mut Streaming<T>) -> Result<T, Status> {
    // A hang becomes a failure; no answer here takes that long.
    let next = tokio::time::timeout(Duration::from_secs(20), stream.message());
    let next = next.await.expect("an answer in time")?;
    next.ok_or_else(|| Status::ok("ended"))
}

fn ask(type_url: &str, names: &[&str]) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: type_url.into(),
        resource_names_subscribe: names.iter().map(|n| n.to_string()).collect(),
        ..DeltaDiscoveryRequest::default()
    }
}

fn ack(r: &DeltaDiscoveryResponse) -> DeltaDiscoveryRequest {
    DeltaDiscoveryRequest {
        type_url: r.type_url.clone(),
        response_nonce: r.nonce.clone(),
        ..DeltaDiscoveryRequest::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tonic_client_subscribes_to_delta_assignments_and_lines() {
    let daemon = daemon();
    let mut client = AggregatedDiscoveryServiceClient::new(channel(&daemon).await);
    let (sender, requests) = mpsc::channel(16);
    let first = DeltaDiscoveryRequest {
        node: Some(node("tonic-1", &[LEDS_FEATURE])),
        ..ask(CDS, &[])
    };
    sender.send(first).await.unwrap();
    let stream = client
        .delta_aggregated_resources(ReceiverStream::new(requests))
        .await;
    let mut stream = stream.unwrap().into_inner();
    let clusters = next(&mut stream).await.unwrap();
    let found: Vec<_> = clusters.resources.iter().map(|r| r.name.as_str()).collect();
    assert_eq!(found, ["portal/pay", "portal/view"]);
    sender.send(ack(&clusters)).await.unwrap();
    sender.send(ask(EDS, &["portal/pay"])).await.unwrap();
    let response = next(&mut stream).await.unwrap();
    assert_eq!(
        (response.type_url.as_str(), response.resources.len()),
        (EDS, 1)
    );
    sender.send(ack(&response)).await.unwrap();
    let part = names::part_collection("portal", 0);
    sender.send(ask(LEDS, &[&part])).await.unwrap();
    let lines = next(&mut stream).await.unwrap();
    let versions: Vec<_> = lines.resources.iter().map(|r| r.version.as_str()).collect();
    let wanted = [
        "10000o@127.0.0.1:7000",
        "20000o@127.0.0.1:7001",
        "30000o@127.0.0.1:7002",
    ];
    assert_eq!(versions, wanted);
    sender.send(ack(&lines)).await.unwrap();

    // Client status shows which resources it has acknowledged.
    let mut status = ClientStatusDiscoveryServiceClient::new(channel(&daemon).await);
    let acked = async {
        loop {
            let answer = status
                .fetch_client_status(ClientStatusRequest::default())
                .await;
            let (_, rows) = dahliapoint_xds::parse_client_status(&answer.unwrap().into_inner());
            let acked = |r: &&dahliapoint_xds::StatusRow| {
                r.resource.starts_with("xdstp:")
                    && r.state == dahliapoint_xds::ResourceState::Acknowledged
            };
            if rows.iter().filter(acked).count() == 3 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let acked = tokio::time::timeout(Duration::from_secs(20), acked);
    acked.await.expect("three lines acknowledged");

    // A second stream of the same node replaces the first, which ends with a status.
    let (newer_sender, requests) = mpsc::channel(4);
    let first = DeltaDiscoveryRequest {
        node: Some(node("tonic-1", &[])),
        ..ask(EDS, &["portal/view"])
    };
    newer_sender.send(first).await.unwrap();
    let newer = client
        .delta_aggregated_resources(ReceiverStream::new(requests))
        .await;
    let mut newer = newer.unwrap().into_inner();
    assert_eq!(next(&mut newer).await.unwrap().resources.len(), 1);
    let ended = next(&mut stream).await.unwrap_err();
    assert_eq!(ended.code(), tonic::Code::Aborted, "{ended}");
    drop((sender, newer_sender));
    tokio::task::spawn_blocking(move || daemon.end(Duration::from_secs(10)))
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tonic_client_gets_state_of_the_world_assignments() {
    let daemon = daemon();
    let mut client = EndpointDiscoveryServiceClient::new(channel(&daemon).await);
    let (sender, requests) = mpsc::channel(16);
    let ask = |nonce: &str| DiscoveryRequest {
        node: Some(node("plain", &[])),
        resource_names: vec!["portal/view".into()],
        response_nonce: nonce.into(),
        ..DiscoveryRequest::default()
    };
    sender.send(ask("")).await.unwrap();
    let stream = client
        .stream_endpoints(ReceiverStream::new(requests))
        .await
        .unwrap();
    let mut stream = stream.into_inner();
    let response: DiscoveryResponse = next(&mut stream).await.unwrap();
    let cla = ClusterLoadAssignment::decode(response.resources[0].value.as_slice()).unwrap();
    let zones: Vec<_> = cla
        .endpoints
        .iter()
        .map(|l| {
            (
                l.locality.clone().unwrap_or_default().zone,
                l.lb_endpoints.len(),
            )
        })
        .collect();
    assert_eq!(zones, [("east".to_string(), 1), ("west".to_string(), 2)]);
    sender.send(ask(&response.nonce)).await.unwrap();
    // A stream without a node and an unimplemented method end with their statuses.
    let (sender_without_node, requests) = mpsc::channel(4);
    sender_without_node
        .send(DiscoveryRequest::default())
        .await
        .unwrap();
    let mut stream = client
        .stream_endpoints(ReceiverStream::new(requests))
        .await
        .unwrap()
        .into_inner();
    assert_eq!(
        next(&mut stream).await.unwrap_err().code(),
        tonic::Code::InvalidArgument
    );
    let fetched = client.fetch_endpoints(ask("")).await.unwrap_err();
    assert_eq!(fetched.code(), tonic::Code::Unimplemented);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_tonic_client_reports_loads_and_impossible_reports_are_refused() {
    let daemon = daemon();
    // Joins first, so that the proxy is known when it reports.
    let mut ads = AggregatedDiscoveryServiceClient::new(channel(&daemon).await);
    let (sender, requests) = mpsc::channel(4);
    let first = DeltaDiscoveryRequest {
        node: Some(node("reporter", &[])),
        ..ask(EDS, &["portal/view"])
    };
    sender.send(first).await.unwrap();
    let stream = ads
        .delta_aggregated_resources(ReceiverStream::new(requests))
        .await;
    let mut stream = stream.unwrap().into_inner();
    next(&mut stream).await.unwrap();

    let mut client = LoadReportingServiceClient::new(channel(&daemon).await);
    let (report, requests) = mpsc::channel(16);
    let hello = load_stats_request(Some(node("reporter", &[])), 0.0, &[]);
    report.send(hello).await.unwrap();
    let answers = client
        .stream_load_stats(ReceiverStream::new(requests))
        .await;
    let mut answers = answers.unwrap().into_inner();
    let settings = next(&mut answers).await.unwrap();
    let interval = settings.load_reporting_interval.unwrap();
    assert_eq!((interval.seconds, interval.nanos), (0, 200_000_000));
    assert!(settings.report_endpoint_granularity && settings.send_all_clusters);
    let cluster_tally = |address: &str, good, failed| ClusterLoad {
        cluster: "portal/view".into(),
        endpoints: vec![EndpointLoad {
            address: address.into(),
            issued: good + failed,
            succeeded: good,
            failed,
            success_ms: good as f64 * 12.0,
            ..EndpointLoad::default()
        }],
        ..ClusterLoad::default()
    };
    for address in ["127.0.0.1:7000", "127.0.0.1:7001", "127.0.0.1:9"] {
        report
            .send(load_stats_request(
                None,
                200.0,
                &[cluster_tally(address, 9, 1)],
            ))
            .await
            .unwrap();
    }
    let mut status = ClientStatusDiscoveryServiceClient::new(channel(&daemon).await);
    let counts = async {
        loop {
            let answer = status
                .fetch_client_status(ClientStatusRequest::default())
                .await;
            let (view, _) = dahliapoint_xds::parse_client_status(&answer.unwrap().into_inner());
            let accounts = &view["accounts"];
            if accounts["report_lines"] == 2 && accounts["unknown_lines"] == 1 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let counts = tokio::time::timeout(Duration::from_secs(20), counts);
    counts
        .await
        .expect("two lines taken, one of no known server");
    // An impossible count ends the stream.
    let absurd = load_stats_request(
        None,
        200.0,
        &[cluster_tally("127.0.0.1:7000", u64::MAX / 2, 0)],
    );
    report.send(absurd).await.unwrap();
    let ended = next(&mut answers).await.unwrap_err();
    assert_eq!(ended.code(), tonic::Code::InvalidArgument, "{ended}");
}

/// A tonic server that answers each request, and ends a stream when it is asked to.
struct ScriptedServer;

type Answers = Pin<Box<dyn Stream<Item = Result<DeltaDiscoveryResponse, Status>> + Send>>;
type FullAnswers = Pin<Box<dyn Stream<Item = Result<DiscoveryResponse, Status>> + Send>>;

#[tonic::async_trait]
impl AggregatedDiscoveryService for ScriptedServer {
    type StreamAggregatedResourcesStream = FullAnswers;
    type DeltaAggregatedResourcesStream = Answers;

    async fn stream_aggregated_resources(
        &self,
        _: Request<Streaming<DiscoveryRequest>>,
    ) -> Result<Response<FullAnswers>, Status> {
        Err(Status::failed_precondition("nicht heute: größe"))
    }

    async fn delta_aggregated_resources(
        &self,
        request: Request<Streaming<DeltaDiscoveryRequest>>,
    ) -> Result<Response<Answers>, Status> {
        let answers = request.into_inner().map(|r| {
            let r = r?;
            match r.type_url.as_str() {
                "end" => Err(Status::aborted("as asked")),
                _ => Ok(DeltaDiscoveryResponse {
                    nonce: format!("to {}", r.type_url),
                    system_version_info: "x".repeat(100_000),
                    ..DeltaDiscoveryResponse::default()
                }),
            }
        });
        Ok(Response::new(Box::pin(answers)))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn our_client_talks_to_a_tonic_server() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tonic::transport::Server::builder()
        .add_service(AggregatedDiscoveryServiceServer::new(ScriptedServer))
        .serve_with_incoming(TcpListenerStream::new(listener));
    let server = tokio::spawn(server);
    const ADS: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/";
    let ours = spawn(move || {
        let link = Connection::connect(address, Limits::default()).unwrap();
        let limit = Some(Duration::from_secs(20));
        let mut dialed = link
            .start_call(&format!("{ADS}DeltaAggregatedResources"), limit)
            .unwrap();
        dialed.outbound.send(&ask("0", &[])).unwrap();
        let (mut outbound, mut inbound) = dialed.wait_for_response().unwrap();
        for i in 1..50 {
            let got: DeltaDiscoveryResponse = inbound.receive().unwrap().unwrap();
            assert_eq!(got.nonce, format!("to {}", i - 1));
            outbound.send(&ask(&i.to_string(), &[])).unwrap();
        }
        inbound
            .receive::<DeltaDiscoveryResponse>()
            .unwrap()
            .unwrap();
        outbound.send(&ask("end", &[])).unwrap();
        let ended = inbound.receive::<DeltaDiscoveryResponse>().unwrap_err();
        assert_eq!(
            (ended.code, ended.message.as_str()),
            (Code::Aborted, "as asked")
        );
        let path = format!("{ADS}StreamAggregatedResources");
        let refused = link.unary_call::<_, DiscoveryResponse>(
            &path,
            &DiscoveryRequest::default(),
            Duration::from_secs(20),
        );
        let refused = refused.unwrap_err();
        assert_eq!(
            (refused.code, refused.message.as_str()),
            (Code::FailedPrecondition, "nicht heute: größe")
        );
        let none = link.unary_call::<_, DiscoveryResponse>(
            "/no.Such/Method",
            &DiscoveryRequest::default(),
            Duration::from_secs(20),
        );
        assert_eq!(none.unwrap_err().code, Code::Unimplemented);
    });
    tokio::task::spawn_blocking(move || ours.join().unwrap())
        .await
        .unwrap();
    server.abort();
}
