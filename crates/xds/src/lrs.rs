//! Load reports: `StreamLoadStats` with endpoint granularity, read into what the controller is told, and
//! written from what a proxy counted.

use crate::pb::core::Node;
use crate::pb::endpoint::cluster_stats::DroppedRequests;
use crate::pb::endpoint::{
    ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats, UpstreamLocalityStats,
};
use crate::pb::load_stats::LoadStatsRequest;
use crate::pb::protobuf::Duration;
use crate::resources::{ServiceConfig, format_address, parse_address};
use dahliapoint_control::{LoadReport, ReportLine};
use std::collections::BTreeMap;

/// The metric that carries the summed time of tries that did not fail, in milliseconds. Servers' own
/// words, by their ORCA names, stand beside it.
pub const VISIT_MS_METRIC: &str = "visit_ms";

/// A server's own words, by their ORCA names: visits waiting, and its recent time without waiting.
const QUEUE_METRIC: &str = "queue";
const LATENCY_MS_METRIC: &str = "latency_ms";

/// Lines that one report may hold; more is a fault of the reporter.
const MAX_REPORT_LINES: usize = 20_000;

/// Reads a report.
///
/// # Errors
/// A sentence about what no proxy can have met.
pub fn parse_load_stats(
    config: &ServiceConfig,
    request: &LoadStatsRequest,
) -> Result<Option<LoadReport>, String> {
    let mut report = LoadReport::default();
    let mut lines_by_endpoint: BTreeMap<(String, usize), ReportLine> = BTreeMap::new();
    let mut lines = 0;
    for cluster in &request.cluster_stats {
        let interval = cluster.load_report_interval.as_ref();
        let window = interval.map_or(0.0, |d| d.seconds as f64 * 1e3 + f64::from(d.nanos) / 1e6);
        report.window_ms = report.window_ms.max(window);
        let Some(class) = config.class_of(&cluster.cluster_name) else {
            // Of a cluster that is not this service's; counted by the controller as unknown.
            report.arrivals.push((cluster.cluster_name.clone(), 0.0));
            continue;
        };
        let mut visits = cluster.total_dropped_requests as f64;
        for locality in &cluster.upstream_locality_stats {
            for e in &locality.upstream_endpoint_stats {
                lines += 1;
                if lines > MAX_REPORT_LINES {
                    return Err(format!("more than {MAX_REPORT_LINES} lines in one report"));
                }
                let Some(server) = format_address(e.address.as_ref()) else {
                    return Err("an endpoint without an address".into());
                };
                let succeeded = e.total_successful_requests as f64;
                let failed = e.total_error_requests as f64;
                let times = e.load_metric_stats.iter();
                let times = times.filter(|m| m.metric_name == VISIT_MS_METRIC);
                let place = (server.clone(), class);
                let line = lines_by_endpoint
                    .entry(place)
                    .or_insert_with(|| ReportLine {
                        server,
                        class,
                        ..ReportLine::default()
                    });
                line.tries += succeeded + failed;
                line.failed += failed;
                line.in_flight += e.total_requests_in_progress as f64;
                line.success_ms += times.map(|m| m.total_metric_value).sum::<f64>();
                for m in &e.load_metric_stats {
                    let events = m.num_requests_finished_with_metric as f64;
                    match m.metric_name.as_str() {
                        QUEUE_METRIC => line.queue_sum += m.total_metric_value,
                        LATENCY_MS_METRIC => {
                            line.service_ms_sum += m.total_metric_value;
                            line.load_samples += events;
                        }
                        _ => {}
                    }
                }
                visits += e.total_issued_requests as f64;
            }
        }
        report
            .arrivals
            .push((config.classes[class].clone(), visits));
    }
    report.lines = lines_by_endpoint.into_values().collect();
    if request.cluster_stats.is_empty() {
        return Ok(None);
    }
    match dahliapoint_control::report_error(&report) {
        Some(why) => Err(why),
        None => Ok(Some(report)),
    }
}

/// What a proxy counted at one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    pub address: String,
    pub issued: u64,
    pub succeeded: u64,
    pub failed: u64,
    pub in_progress: u64,
    /// Summed time of the good ones.
    pub success_ms: f64,
    /// The server's own words, by name: how many answers carried one, and their sum.
    pub metrics: BTreeMap<String, (u64, f64)>,
}

/// What a proxy counted of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    pub cluster: String,
    pub dropped: BTreeMap<String, u64>,
    pub endpoints: Vec<EndpointLoad>,
}

/// A report of what was counted over a stretch of time.
pub fn load_stats_request(
    node: Option<Node>,
    window_ms: f64,
    clusters: &[ClusterLoad],
) -> LoadStatsRequest {
    let interval = Duration {
        seconds: (window_ms / 1e3) as i64,
        nanos: ((window_ms % 1e3) * 1e6) as i32,
    };
    let endpoint = |e: &EndpointLoad| {
        let time = EndpointLoadMetricStats {
            metric_name: VISIT_MS_METRIC.into(),
            num_requests_finished_with_metric: e.succeeded,
            total_metric_value: e.success_ms,
        };
        let metrics = e
            .metrics
            .iter()
            .map(|(name, (n, sum))| EndpointLoadMetricStats {
                metric_name: name.clone(),
                num_requests_finished_with_metric: *n,
                total_metric_value: *sum,
            });
        UpstreamEndpointStats {
            address: Some(parse_address(&e.address)),
            total_successful_requests: e.succeeded,
            total_requests_in_progress: e.in_progress,
            total_error_requests: e.failed,
            total_issued_requests: e.issued,
            load_metric_stats: std::iter::once(time).chain(metrics).collect(),
            ..UpstreamEndpointStats::default()
        }
    };
    let cluster = |t: &ClusterLoad| ClusterStats {
        cluster_name: t.cluster.clone(),
        upstream_locality_stats: vec![UpstreamLocalityStats {
            upstream_endpoint_stats: t.endpoints.iter().map(endpoint).collect(),
            ..UpstreamLocalityStats::default()
        }],
        total_dropped_requests: t.dropped.values().sum(),
        dropped_requests: t
            .dropped
            .iter()
            .map(|(category, n)| DroppedRequests {
                category: category.clone(),
                dropped_count: *n,
            })
            .collect(),
        load_report_interval: Some(interval),
        ..ClusterStats::default()
    };
    LoadStatsRequest {
        node,
        cluster_stats: clusters.iter().map(cluster).collect(),
    }
}
