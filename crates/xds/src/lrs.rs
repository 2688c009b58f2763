//! Load reports (LRS): requests of `StreamLoadStats` with endpoint granularity, parsed into a report for the
//! controller, and built from the counts of a proxy.

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

/// Metric with the summed time of the successful tries, in milliseconds. The metrics that servers report about
/// themselves are sent under their ORCA names in the same list.
pub const VISIT_MS_METRIC: &str = "visit_ms";

/// Metric of a server (ORCA name): visits that wait in its queue.
const QUEUE_METRIC: &str = "queue";
/// Metric of a server (ORCA name): its recent time for a visit without waiting, in milliseconds.
const LATENCY_MS_METRIC: &str = "latency_ms";

/// Largest number of endpoints in one report; a report with more is rejected.
const MAX_REPORT_LINES: usize = 20_000;

/// Parses a report; none for a request without cluster stats, such as the first one of a stream.
///
/// # Errors
/// Returns why the report is rejected: too many endpoints, an endpoint without an address, or counts that are
/// impossible.
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
            // A cluster of another service: the controller counts it as unknown.
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

/// Counts of a proxy for one endpoint of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointLoad {
    /// Address of the server.
    pub address: String,
    /// Tries that were started.
    pub issued: u64,
    /// Tries that succeeded.
    pub succeeded: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Tries that have not ended yet.
    pub in_progress: u64,
    /// Summed time of the tries that succeeded.
    pub success_ms: f64,
    /// Metrics that the server reports about itself, by ORCA name: number of responses that had it, and sum.
    pub metrics: BTreeMap<String, (u64, f64)>,
}

/// Counts of a proxy for one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterLoad {
    /// Name of the cluster of the class.
    pub cluster: String,
    /// Visits that were not admitted, by category.
    pub dropped: BTreeMap<String, u64>,
    /// Counts by endpoint.
    pub endpoints: Vec<EndpointLoad>,
}

/// Builds a report of counts over a window of time. The first request of a stream names the node.
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
