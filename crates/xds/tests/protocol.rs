//! Sessions and clients connected without a network: a client must end up with the table of the controller, whatever
//! is rejected, lost or requested twice on the way.

use dahliapoint_control::{
    AdminState, ClassPolicy, ClassSettings, Controller, ControllerSettings, Input, Line, LineState,
    Message, Output, RetryPolicy, RosterEntry, Scope,
};
use dahliapoint_xds::names::{self, CDS, EDS, LEDS, RDS};
use dahliapoint_xds::pb::discovery::{DeltaDiscoveryRequest, DiscoveryRequest};
use dahliapoint_xds::pb::endpoint::ClusterLoadAssignment;
use dahliapoint_xds::pb::rpc::Status;
use dahliapoint_xds::{ClientState, ProtocolVariant, ServiceConfig, Session, SessionEvent};
use prost::Message as _;
use std::collections::BTreeMap;
use std::sync::Arc;

fn config() -> Arc<ServiceConfig> {
    Arc::new(ServiceConfig {
        service: "portal".into(),
        classes: vec!["view".into(), "set".into()],
        zones: vec!["east".into(), "west".into()],
        connect_timeout_ms: 250.0,
        admission_control: true,
    })
}

fn line(server: &str, weight: f64, state: LineState) -> Line {
    Line {
        server: server.into(),
        address: format!("127.0.0.1:{}", 1000 + server.len()).into(),
        zone: 0,
        weight,
        state,
    }
}

fn message(serial: u64, scope: Scope, lines: &[(&str, f64, LineState)]) -> Message {
    let policy = |share| ClassPolicy {
        admitted_share: share,
        retry: RetryPolicy::OnProof,
    };
    let policies = match scope {
        Scope::Snapshot(_) => vec![(0, policy(1.0)), (1, policy(1.0))],
        _ => vec![],
    };
    Message {
        serial,
        scope,
        lines: lines.iter().map(|(n, w, s)| line(n, *w, *s)).collect(),
        policies,
    }
}

use LineState::{Open, Removed, Withdrawn};

/// A client and the session of its stream.
struct Pair {
    session: Session,
    client: ClientState,
    responses: Vec<(String, usize, usize)>,
    events: Vec<SessionEvent>,
}

impl Pair {
    fn new() -> Pair {
        let mut pair = Pair {
            session: Session::new(config(), ProtocolVariant::DeltaLeds),
            client: ClientState::new("portal", "p1", "east", 10.0),
            responses: vec![],
            events: vec![],
        };
        pair.open_stream();
        pair
    }

    /// Opens a stream.
    fn open_stream(&mut self) {
        for r in self.client.initial_requests() {
            self.session.handle_delta_request(&r).unwrap();
        }
        self.exchange("");
    }

    /// Opens a new stream after the old one broke; the client keeps what it holds.
    fn reconnect(&mut self) {
        self.session = Session::new(config(), ProtocolVariant::DeltaLeds);
        self.open_stream();
    }

    /// Exchanges responses and requests until there are none. The client rejects lines of the server `unknown`; with
    /// an empty name it rejects none.
    fn exchange(&mut self, unknown: &str) {
        while let Some(response) = self.session.next_delta_response() {
            let short = response.type_url.rsplit('.').next().unwrap_or_default();
            let counts = (response.resources.len(), response.removed_resources.len());
            self.responses.push((short.to_string(), counts.0, counts.1));
            for r in self
                .client
                .apply(&response, |s| unknown.is_empty() || s != unknown)
            {
                self.session.handle_delta_request(&r).unwrap();
            }
        }
        self.events.extend(self.session.take_events());
    }

    /// Delivers a message of the controller and exchanges what follows from it.
    fn deliver(&mut self, message: &Message) {
        self.session.deliver(message);
        self.exchange("");
    }

    /// The lines that the client holds: server, weight, open.
    fn held(&self) -> Vec<(String, u32, bool)> {
        let table = self.client.table().unwrap_or_default();
        let lines = table.lines.into_iter();
        lines.map(|l| (l.server, l.weight, l.open)).collect()
    }
}

#[test]
fn after_the_snapshot_only_changed_lines_are_sent() {
    let mut p = Pair::new();
    assert_eq!(p.events, [SessionEvent::Joined]);
    assert_eq!(p.client.table(), None, "withheld until the proxy is bound");
    p.deliver(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 0.5, Open)],
    ));
    let both = [("a".into(), 10_000, true), ("b".into(), 5_000, true)];
    assert_eq!(p.held(), both);
    assert_eq!(p.events, [SessionEvent::Joined, SessionEvent::Acked(1)]);
    p.responses.clear();
    p.deliver(&message(2, Scope::Changes(0), &[("b", 0.6, Open)]));
    p.deliver(&message(3, Scope::Changes(0), &[("a", 1.0, Withdrawn)]));
    p.deliver(&message(4, Scope::Changes(0), &[("a", 0.0, Removed)]));
    assert_eq!(
        p.responses,
        [
            ("LbEndpoint".into(), 1, 0),
            ("LbEndpoint".into(), 1, 0),
            ("LbEndpoint".into(), 0, 1)
        ]
    );
    assert_eq!(p.held(), [("b".into(), 6_000, true)]);
    assert_eq!(p.events[2..], [2, 3, 4].map(SessionEvent::Acked));
}

#[test]
fn a_nack_keeps_the_old_table_and_differences_are_sent_again() {
    let mut p = Pair::new();
    p.deliver(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 1.0, Open)],
    ));
    let bad = [("a", 1.0, Withdrawn), ("ghost", 1.0, Open)];
    p.session.deliver(&message(2, Scope::Changes(0), &bad));
    p.exchange("ghost");
    assert!(matches!(&p.events[..], [.., SessionEvent::Nacked(2, why)] if why.contains("ghost")));
    assert!(
        p.held()[0].2,
        "the whole response was rejected, the old table is kept"
    );
    // The withdrawal without the unknown server is accepted.
    p.session
        .deliver(&message(3, Scope::Changes(0), &[("a", 1.0, Withdrawn)]));
    p.exchange("ghost");
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(3)));
    assert!(!p.held()[0].2);
    // The snapshot again: only the missing line is sent, and rejected again.
    p.responses.clear();
    let snapshot = [
        ("a", 1.0, Withdrawn),
        ("b", 1.0, Open),
        ("ghost", 1.0, Open),
    ];
    p.session
        .deliver(&message(4, Scope::Snapshot(0), &snapshot));
    p.exchange("ghost");
    assert_eq!(p.responses, [("LbEndpoint".into(), 1, 0)]);
    p.session
        .deliver(&message(5, Scope::Snapshot(0), &snapshot));
    p.exchange("");
    assert_eq!(p.held().len(), 3);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(5)));
}

#[test]
fn a_proxy_that_reconnects_with_the_current_table_is_sent_no_lines() {
    let mut p = Pair::new();
    let snapshot = [("a", 1.0, Open), ("b", 1.0, Open), ("c", 1.0, Open)];
    p.deliver(&message(1, Scope::Snapshot(2), &snapshot));
    p.responses.clear();
    p.reconnect();
    assert_eq!(p.held().len(), 3, "keeps its table while it waits");
    p.deliver(&message(7, Scope::Snapshot(2), &snapshot));
    let lines: usize = p.responses.iter().map(|r| r.1 + r.2).sum();
    assert_eq!(lines, 0, "{:?}", p.responses);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(7)));
    // One line changed, one is removed, one is new: three names are sent.
    p.reconnect();
    p.responses.clear();
    let other = [("a", 0.3, Open), ("b", 1.0, Open), ("d", 1.0, Open)];
    p.deliver(&message(8, Scope::Snapshot(2), &other));
    let lines: usize = p.responses.iter().map(|r| r.1 + r.2).sum();
    assert_eq!(lines, 3, "{:?}", p.responses);
    let held = p.held();
    assert_eq!(
        held.iter().map(|l| l.0.as_str()).collect::<Vec<_>>(),
        ["a", "b", "d"]
    );
}

#[test]
fn withdrawals_reach_an_unbound_proxy_until_it_is_bound() {
    let mut p = Pair::new();
    p.deliver(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 1.0, Open)],
    ));
    p.reconnect();
    p.deliver(&message(2, Scope::Unbound, &[("a", 1.0, Withdrawn)]));
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(2)));
    assert_eq!(
        p.held(),
        [("a".into(), 10_000, false), ("b".into(), 10_000, true)]
    );
    // Bound again: the lines of the table say which servers are open.
    p.deliver(&message(
        3,
        Scope::Snapshot(0),
        &[("a", 0.1, Open), ("b", 1.0, Open)],
    ));
    assert_eq!(p.held()[0], ("a".into(), 1_000, true));
}

#[test]
fn a_move_to_another_part_keeps_the_old_table_until_the_new_lines_arrive() {
    let mut p = Pair::new();
    p.deliver(&message(1, Scope::Snapshot(0), &[("a", 1.0, Open)]));
    p.session
        .deliver(&message(2, Scope::Snapshot(1), &[("b", 1.0, Open)]));
    let mut seen = Vec::new();
    while let Some(response) = p.session.next_delta_response() {
        for r in p.client.apply(&response, |_| true) {
            p.session.handle_delta_request(&r).unwrap();
        }
        seen.push(p.held().into_iter().map(|l| l.0).collect::<Vec<_>>());
    }
    p.exchange("");
    assert!(seen.iter().all(|t| t == &["a"] || t == &["b"]), "{seen:?}");
    assert_eq!(seen.last().unwrap(), &["b"]);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(2)));
}

#[test]
fn a_client_that_does_not_answer_is_sent_the_newest_state_once() {
    let mut p = Pair::new();
    p.deliver(&message(1, Scope::Snapshot(0), &[("a", 1.0, Open)]));
    let mut held_back = Vec::new();
    for serial in 2..500 {
        let weight = f64::from(serial as u32) / 100.0;
        p.session
            .deliver(&message(serial, Scope::Changes(0), &[("a", weight, Open)]));
        while let Some(r) = p.session.next_delta_response() {
            held_back.push(r);
        }
    }
    assert!(held_back.len() <= 8, "bounded: {}", held_back.len());
    for response in held_back {
        for r in p.client.apply(&response, |_| true) {
            p.session.handle_delta_request(&r).unwrap();
        }
    }
    p.exchange("");
    assert_eq!(p.held(), [("a".into(), 49_900, true)]);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(499)));
}

#[test]
fn unusual_requests_of_a_delta_client() {
    let mut p = Pair::new();
    p.deliver(&message(1, Scope::Snapshot(0), &[("a", 1.0, Open)]));
    let request = |type_url: &str, subscribe: &[&str]| DeltaDiscoveryRequest {
        type_url: type_url.into(),
        resource_names_subscribe: subscribe.iter().map(|s| s.to_string()).collect(),
        ..DeltaDiscoveryRequest::default()
    };
    // A type that is not served, and a name that does not exist: both are reported as removed.
    p.session
        .handle_delta_request(&request("type.googleapis.com/x.Y", &["n"]))
        .unwrap();
    let r = p.session.next_delta_response().unwrap();
    assert_eq!(r.removed_resources, ["n"]);
    p.session
        .handle_delta_request(&request(EDS, &["portal/none"]))
        .unwrap();
    let r = p.session.next_delta_response().unwrap();
    assert_eq!(
        (r.resources.len(), r.removed_resources),
        (0, vec!["portal/none".to_string()])
    );
    // Subscribed to again: sent again.
    p.session
        .handle_delta_request(&request(EDS, &["portal/view"]))
        .unwrap();
    let r = p.session.next_delta_response().unwrap();
    assert_eq!(r.resources.len(), 1);
    // Stale and unknown nonces are ignored.
    for nonce in ["0", "99999", "x"] {
        let stale = DeltaDiscoveryRequest {
            response_nonce: nonce.into(),
            error_detail: Some(Status::default()),
            ..request(EDS, &[])
        };
        p.session.handle_delta_request(&stale).unwrap();
    }
    assert!(
        !p.session
            .take_events()
            .iter()
            .any(|a| matches!(a, SessionEvent::Nacked(..)))
    );
    // Too many names are an error.
    let many: Vec<String> = (0..5000).map(|i| i.to_string()).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    assert!(
        p.session
            .handle_delta_request(&request(LEDS, &many))
            .is_err()
    );
}

#[test]
fn a_state_of_the_world_client_receives_whole_assignments() {
    let mut s = Session::new(config(), ProtocolVariant::Full);
    let request = |type_url: &str, names: &[&str], nonce: &str, error: bool| DiscoveryRequest {
        type_url: type_url.into(),
        resource_names: names.iter().map(|n| n.to_string()).collect(),
        response_nonce: nonce.into(),
        error_detail: error.then(|| Status {
            message: "will not".into(),
            ..Status::default()
        }),
        ..DiscoveryRequest::default()
    };
    s.handle_sotw_request(&request(CDS, &[], "", false))
        .unwrap();
    let clusters = s.next_sotw_response().unwrap();
    assert_eq!(clusters.resources.len(), 2);
    s.handle_sotw_request(&request(CDS, &[], &clusters.nonce, false))
        .unwrap();
    assert_eq!(s.next_sotw_response(), None);
    let names = ["portal/view"];
    s.handle_sotw_request(&request(EDS, &names, "", false))
        .unwrap();
    assert_eq!(
        s.next_sotw_response(),
        None,
        "nothing until the proxy is bound"
    );
    assert_eq!(s.take_events(), [SessionEvent::Joined]);
    s.deliver(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 1.0, Withdrawn)],
    ));
    let first = s.next_sotw_response().unwrap();
    let read = |any: &[u8]| ClusterLoadAssignment::decode(any).unwrap();
    let assignment = read(&first.resources[0].value);
    assert_eq!(
        (first.resources.len(), assignment.cluster_name.as_str()),
        (1, "portal/view")
    );
    assert_eq!(assignment.endpoints[0].lb_endpoints.len(), 2);
    assert_eq!(s.next_sotw_response(), None);
    s.handle_sotw_request(&request(EDS, &names, &first.nonce, false))
        .unwrap();
    assert_eq!(s.take_events(), [SessionEvent::Acked(1)]);
    // After a change the whole assignment is sent again; the client rejects it.
    s.deliver(&message(2, Scope::Changes(0), &[("b", 0.0, Removed)]));
    let next = s.next_sotw_response().unwrap();
    assert_eq!(
        read(&next.resources[0].value).endpoints[0]
            .lb_endpoints
            .len(),
        1
    );
    s.handle_sotw_request(&request(EDS, &names, &first.nonce, false))
        .unwrap();
    assert_eq!(s.take_events(), [], "an ACK of the older response is stale");
    s.handle_sotw_request(&request(EDS, &names, &next.nonce, true))
        .unwrap();
    assert_eq!(
        s.take_events(),
        [SessionEvent::Nacked(2, "will not".into())]
    );
    // The client subscribes to the other class too.
    let both = ["portal/view", "portal/set"];
    s.handle_sotw_request(&request(EDS, &both, &next.nonce, false))
        .unwrap();
    assert_eq!(s.next_sotw_response().unwrap().resources.len(), 2);
    s.handle_sotw_request(&request(RDS, &["portal"], "", false))
        .unwrap();
    assert_eq!(s.next_sotw_response().unwrap().resources.len(), 1);
}

fn settings() -> ControllerSettings {
    let class = |name: &str, earnings| ClassSettings {
        name: name.into(),
        soft_limit_ms: 1000.0,
        earnings,
        idempotent: false,
    };
    ControllerSettings {
        service: "portal".into(),
        zones: vec!["east".into(), "west".into()],
        classes: vec![class("view", 1.0), class("set", 2.0)],
        admission_control: true,
        max_queued_lines: 400.0,
        lines_per_s: 10_000.0,
        message_latency_ms: 20.0,
        message_overhead_lines: 3.0,
        max_messages: 0.0,
        message_window_ms: 10_000.0,
        writes_per_message: 1.0,
        writes_per_join: 0.0,
        idle_timeout_ms: 15_000.0,
        initial_servers: 4.0,
        default_visits_per_s: 0.3,
        report_interval_ms: 500.0,
        report_lines_per_s: 300.0,
        cold_capacity_share: 0.15,
        warm_up_ms: 16_000.0,
        overload_multiple: 3.0,
        drain_grace_ms: 3_000.0,
        keep_unlisted_servers: false,
        default_retry_policy: RetryPolicy::OnProof,
        may_probe: false,
        heartbeat_interval_ms: 1_000.0,
        guard_mode: dahliapoint_control::rollout::GuardMode::Enforce,
    }
}

/// Controller, sessions and clients together, with random events drawn from a seed: streams break at any point, clients
/// reject responses and answer late. In the end every client holds the table of the controller.
#[test]
fn after_random_events_every_client_holds_the_table_of_the_controller() {
    for seed in 1..60_u64 {
        let mut rng = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut random_below = move |n: u64| {
            rng ^= rng << 13;
            rng ^= rng >> 7;
            rng ^= rng << 17;
            (rng >> 33) % n
        };
        let mut now = 1e6;
        let mut controller = Controller::new(now, seed, settings());
        let mut streams: BTreeMap<u64, (usize, Session)> = BTreeMap::new();
        let mut clients: Vec<ClientState> = (0..5)
            .map(|i| ClientState::new("portal", &format!("p{i}"), "east", 0.3))
            .collect();
        let mut next = 1;
        let servers: Vec<String> = (0..14).map(|i| format!("s{i}")).collect();
        for step in 0..220 {
            now += 50.0 + random_below(900) as f64;
            let settling = step > 150;
            let mut inputs = Vec::new();
            if step % 7 == 0 && !settling {
                let entry = |(i, n): (usize, &String)| RosterEntry {
                    name: n.clone(),
                    address: format!("127.0.0.1:{}", 5000 + i),
                    zone: if i % 2 == 0 { "east" } else { "west" }.into(),
                    state: match random_below(6) {
                        0 => AdminState::Draining,
                        1 => AdminState::Gone,
                        _ => AdminState::Ready,
                    },
                    weight: 1.0 + random_below(3) as f64,
                    started: None,
                };
                inputs.push(Input::Roster(
                    servers.iter().enumerate().map(entry).collect(),
                ));
            }
            for (i, client) in clients.iter_mut().enumerate() {
                let open = streams.iter().find(|(_, s)| s.0 == i).map(|(id, _)| *id);
                match open {
                    Some(id) if random_below(25) == 0 && !settling => {
                        streams.remove(&id);
                        inputs.push(Input::Left(id));
                    }
                    None if random_below(2) == 0 || settling => {
                        let mut session = Session::new(config(), ProtocolVariant::DeltaLeds);
                        for r in client.initial_requests() {
                            session.handle_delta_request(&r).unwrap();
                        }
                        assert_eq!(session.take_events(), [SessionEvent::Joined]);
                        inputs.push(Input::Joined {
                            session: next,
                            proxy: format!("p{i}"),
                            zone: "east".into(),
                            visits_per_s: Some(0.3),
                        });
                        streams.insert(next, (i, session));
                        next += 1;
                    }
                    _ => {}
                }
            }
            for (id, (i, session)) in &mut streams {
                // Some clients are slow at times.
                while random_below(4) > 0 || settling {
                    let Some(response) = session.next_delta_response() else {
                        break;
                    };
                    let rejects = random_below(12) == 0 && !settling;
                    for r in clients[*i].apply(&response, |_| !rejects) {
                        session.handle_delta_request(&r).unwrap();
                    }
                }
                inputs.extend(session.take_events().into_iter().map(|a| match a {
                    SessionEvent::Acked(n) => Input::Applied(*id, n),
                    SessionEvent::Nacked(n, why) => Input::Refused(*id, n, why),
                    SessionEvent::Joined => unreachable!("reported when the stream was opened"),
                }));
            }
            for output in controller.handle(now, inputs) {
                match output {
                    Output::Write(ids, m) => ids.iter().for_each(|id| {
                        if let Some((_, s)) = streams.get_mut(id) {
                            s.deliver(&m);
                        }
                    }),
                    Output::Close(id, _) => drop(streams.remove(&id)),
                    _ => {}
                }
            }
        }
        let view = controller.overview();
        assert_eq!(view.proxies.len(), 5, "seed {seed}");
        for p in &view.proxies {
            let (i, session) = &streams[&p.session];
            assert_eq!(
                p.unacknowledged,
                0,
                "seed {seed}: {p:?}, under way {}",
                session.pending_responses()
            );
            let there = view
                .servers
                .iter()
                .filter(|s| s.part == p.part && s.weight > 0.0);
            let mut expected: Vec<_> = there
                .map(|s| {
                    let weight = (s.weight * dahliapoint_xds::WEIGHT_SCALE).round() as u32;
                    (s.name.to_string(), weight, !s.withdrawn)
                })
                .collect();
            expected.sort();
            let table = clients[*i].table().unwrap_or_default();
            let held: Vec<_> = table
                .lines
                .into_iter()
                .map(|l| (l.server, l.weight, l.open))
                .collect();
            assert!(p.part.is_some(), "seed {seed}");
            assert_eq!(held, expected, "seed {seed}, {}", p.name);
        }
    }
}

#[test]
fn similar_server_names_stay_distinct() {
    let collection = names::part_collection("portal", 1);
    let mut p = Pair::new();
    let names = [
        ("a/b", 1.0, Open),
        ("a%2Fb", 2.0, Open),
        ("*", 3.0, Open),
        ("", 4.0, Open),
    ];
    p.deliver(&message(1, Scope::Snapshot(1), &names));
    assert_eq!(p.held().len(), 4, "{:?}", p.events);
    p.deliver(&message(2, Scope::Changes(1), &[("*", 3.0, Removed)]));
    let names: Vec<_> = p.held().into_iter().map(|l| l.0).collect();
    assert_eq!(names, ["", "a%2Fb", "a/b"]);
    assert!(names::line(&collection, "*").ends_with("%2A"));
}
