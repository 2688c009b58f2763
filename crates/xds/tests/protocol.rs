//! Sessions against clients without any wire: what a client holds must end up as the controller says,
//! whatever is refused, lost or asked for twice on the way.

use dahliapoint_control::{
    AdminState, ClassPolicy, ClassSettings, Controller, ControllerSettings, Input, Line, LineState,
    Message, Output, RetryPolicy, RosterEntry, Scope,
};
use dahliapoint_xds::names::{self, CDS, EDS, LEDS, RDS};
use dahliapoint_xds::pb::discovery::{DeltaDiscoveryRequest, DiscoveryRequest};
use dahliapoint_xds::pb::endpoint::ClusterLoadAssignment;
use dahliapoint_xds::pb::rpc::Status;
use dahliapoint_xds::{ProtocolVariant, ServiceConfig, Session, SessionEvent, XdsClient};
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
    let way = |share| ClassPolicy {
        admitted_share: share,
        retry: RetryPolicy::OnProof,
    };
    let ways = match scope {
        Scope::Snapshot(_) => vec![(0, way(1.0)), (1, way(1.0))],
        _ => vec![],
    };
    Message {
        serial,
        scope,
        lines: lines.iter().map(|(n, w, s)| line(n, *w, *s)).collect(),
        policies: ways,
    }
}

use LineState::{Open, Removed, Withdrawn};

/// A client and its stream; everything said is carried until both are at rest.
struct Pair {
    session: Session,
    holder: XdsClient,
    responses: Vec<(String, usize, usize)>,
    events: Vec<SessionEvent>,
}

impl Pair {
    fn new() -> Pair {
        let mut pair = Pair {
            session: Session::new(config(), ProtocolVariant::DeltaLeds),
            holder: XdsClient::new("portal", "p1", "east", 10.0),
            responses: vec![],
            events: vec![],
        };
        pair.begin();
        pair
    }

    fn begin(&mut self) {
        for r in self.holder.initial_requests() {
            self.session.handle_delta_request(&r).unwrap();
        }
        self.rest("");
    }

    fn again(&mut self) {
        self.session = Session::new(config(), ProtocolVariant::DeltaLeds);
        self.begin();
    }

    /// Carries all there is; a line of the server `unknown` is refused.
    fn rest(&mut self, unknown: &str) {
        while let Some(response) = self.session.next_delta_response() {
            let short = response.type_url.rsplit('.').next().unwrap_or_default();
            let counts = (response.resources.len(), response.removed_resources.len());
            self.responses.push((short.to_string(), counts.0, counts.1));
            for r in self
                .holder
                .apply(&response, |s| unknown.is_empty() || s != unknown)
            {
                self.session.handle_delta_request(&r).unwrap();
            }
        }
        self.events.extend(self.session.take_events());
    }

    fn tell(&mut self, message: &Message) {
        self.session.deliver(message);
        self.rest("");
    }

    fn held(&self) -> Vec<(String, u32, bool)> {
        let table = self.holder.table().unwrap_or_default();
        let lines = table.lines.into_iter();
        lines.map(|l| (l.server, l.weight, l.open)).collect()
    }
}

#[test]
fn a_binding_then_changed_lines_only() {
    let mut p = Pair::new();
    assert_eq!(p.events, [SessionEvent::Joined]);
    assert_eq!(p.holder.table(), None, "withheld until it is bound");
    p.tell(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 0.5, Open)],
    ));
    let both = [("a".into(), 10_000, true), ("b".into(), 5_000, true)];
    assert_eq!(p.held(), both);
    assert_eq!(p.events, [SessionEvent::Joined, SessionEvent::Acked(1)]);
    p.responses.clear();
    p.tell(&message(2, Scope::Changes(0), &[("b", 0.6, Open)]));
    p.tell(&message(3, Scope::Changes(0), &[("a", 1.0, Withdrawn)]));
    p.tell(&message(4, Scope::Changes(0), &[("a", 0.0, Removed)]));
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
fn a_refusal_leaves_what_was_held_and_what_differs_is_offered_again() {
    let mut p = Pair::new();
    p.tell(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 1.0, Open)],
    ));
    let bad = [("a", 1.0, Withdrawn), ("ghost", 1.0, Open)];
    p.session.deliver(&message(2, Scope::Changes(0), &bad));
    p.rest("ghost");
    assert!(matches!(&p.events[..], [.., SessionEvent::Nacked(2, why)] if why.contains("ghost")));
    assert!(
        p.held()[0].2,
        "the whole response was refused, the old table stands"
    );
    // What was withdrawn, alone, passes.
    p.session
        .deliver(&message(3, Scope::Changes(0), &[("a", 1.0, Withdrawn)]));
    p.rest("ghost");
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(3)));
    assert!(!p.held()[0].2);
    // The whole table again: only the line that is missing is sent, and refused again.
    p.responses.clear();
    let whole = [
        ("a", 1.0, Withdrawn),
        ("b", 1.0, Open),
        ("ghost", 1.0, Open),
    ];
    p.session.deliver(&message(4, Scope::Snapshot(0), &whole));
    p.rest("ghost");
    assert_eq!(p.responses, [("LbEndpoint".into(), 1, 0)]);
    p.session.deliver(&message(5, Scope::Snapshot(0), &whole));
    p.rest("");
    assert_eq!(p.held().len(), 3);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(5)));
}

#[test]
fn a_proxy_that_returns_with_the_right_table_is_sent_no_line() {
    let mut p = Pair::new();
    let whole = [("a", 1.0, Open), ("b", 1.0, Open), ("c", 1.0, Open)];
    p.tell(&message(1, Scope::Snapshot(2), &whole));
    p.responses.clear();
    p.again();
    assert_eq!(p.held().len(), 3, "holds its table while it waits");
    p.tell(&message(7, Scope::Snapshot(2), &whole));
    let lines: usize = p.responses.iter().map(|r| r.1 + r.2).sum();
    assert_eq!(lines, 0, "{:?}", p.responses);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(7)));
    // One line differs, one is gone, one is new: three names are told.
    p.again();
    p.responses.clear();
    let other = [("a", 0.3, Open), ("b", 1.0, Open), ("d", 1.0, Open)];
    p.tell(&message(8, Scope::Snapshot(2), &other));
    let lines: usize = p.responses.iter().map(|r| r.1 + r.2).sum();
    assert_eq!(lines, 3, "{:?}", p.responses);
    let held = p.held();
    assert_eq!(
        held.iter().map(|l| l.0.as_str()).collect::<Vec<_>>(),
        ["a", "b", "d"]
    );
}

#[test]
fn withdrawals_reach_a_proxy_that_waits_and_end_with_its_binding() {
    let mut p = Pair::new();
    p.tell(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 1.0, Open)],
    ));
    p.again();
    p.tell(&message(2, Scope::Unbound, &[("a", 1.0, Withdrawn)]));
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(2)));
    assert_eq!(
        p.held(),
        [("a".into(), 10_000, false), ("b".into(), 10_000, true)]
    );
    // Bound again: the given table says what is open.
    p.tell(&message(
        3,
        Scope::Snapshot(0),
        &[("a", 0.1, Open), ("b", 1.0, Open)],
    ));
    assert_eq!(p.held()[0], ("a".into(), 1_000, true));
}

#[test]
fn a_move_to_another_part_keeps_the_old_table_until_the_new_lines_are_there() {
    let mut p = Pair::new();
    p.tell(&message(1, Scope::Snapshot(0), &[("a", 1.0, Open)]));
    p.session
        .deliver(&message(2, Scope::Snapshot(1), &[("b", 1.0, Open)]));
    let mut seen = Vec::new();
    while let Some(response) = p.session.next_delta_response() {
        for r in p.holder.apply(&response, |_| true) {
            p.session.handle_delta_request(&r).unwrap();
        }
        seen.push(p.held().into_iter().map(|l| l.0).collect::<Vec<_>>());
    }
    p.rest("");
    assert!(seen.iter().all(|t| t == &["a"] || t == &["b"]), "{seen:?}");
    assert_eq!(seen.last().unwrap(), &["b"]);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(2)));
}

#[test]
fn a_client_that_answers_nothing_is_told_the_newest_state_once() {
    let mut p = Pair::new();
    p.tell(&message(1, Scope::Snapshot(0), &[("a", 1.0, Open)]));
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
        for r in p.holder.apply(&response, |_| true) {
            p.session.handle_delta_request(&r).unwrap();
        }
    }
    p.rest("");
    assert_eq!(p.held(), [("a".into(), 49_900, true)]);
    assert_eq!(p.events.last(), Some(&SessionEvent::Acked(499)));
}

#[test]
fn odd_requests_of_a_delta_client() {
    let mut p = Pair::new();
    p.tell(&message(1, Scope::Snapshot(0), &[("a", 1.0, Open)]));
    let ask = |type_url: &str, subscribe: &[&str]| DeltaDiscoveryRequest {
        type_url: type_url.into(),
        resource_names_subscribe: subscribe.iter().map(|s| s.to_string()).collect(),
        ..DeltaDiscoveryRequest::default()
    };
    // A type that nobody serves, and a name that does not exist: told as not there.
    p.session
        .handle_delta_request(&ask("type.googleapis.com/x.Y", &["n"]))
        .unwrap();
    let r = p.session.next_delta_response().unwrap();
    assert_eq!(r.removed_resources, ["n"]);
    p.session
        .handle_delta_request(&ask(EDS, &["portal/none"]))
        .unwrap();
    let r = p.session.next_delta_response().unwrap();
    assert_eq!(
        (r.resources.len(), r.removed_resources),
        (0, vec!["portal/none".to_string()])
    );
    // Asked for again: told again.
    p.session
        .handle_delta_request(&ask(EDS, &["portal/view"]))
        .unwrap();
    let r = p.session.next_delta_response().unwrap();
    assert_eq!(r.resources.len(), 1);
    // Stale and unknown nonces answer nothing.
    for nonce in ["0", "99999", "x"] {
        let stale = DeltaDiscoveryRequest {
            response_nonce: nonce.into(),
            error_detail: Some(Status::default()),
            ..ask(EDS, &[])
        };
        p.session.handle_delta_request(&stale).unwrap();
    }
    assert!(
        !p.session
            .take_events()
            .iter()
            .any(|a| matches!(a, SessionEvent::Nacked(..)))
    );
    // Too many names end the stream.
    let many: Vec<String> = (0..5000).map(|i| i.to_string()).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    assert!(p.session.handle_delta_request(&ask(LEDS, &many)).is_err());
}

#[test]
fn a_plain_client_gets_whole_assignments_by_the_state_of_the_world() {
    let mut s = Session::new(config(), ProtocolVariant::Full);
    let ask = |type_url: &str, names: &[&str], nonce: &str, error: bool| DiscoveryRequest {
        type_url: type_url.into(),
        resource_names: names.iter().map(|n| n.to_string()).collect(),
        response_nonce: nonce.into(),
        error_detail: error.then(|| Status {
            message: "will not".into(),
            ..Status::default()
        }),
        ..DiscoveryRequest::default()
    };
    s.handle_sotw_request(&ask(CDS, &[], "", false)).unwrap();
    let clusters = s.next_sotw_response().unwrap();
    assert_eq!(clusters.resources.len(), 2);
    s.handle_sotw_request(&ask(CDS, &[], &clusters.nonce, false))
        .unwrap();
    assert_eq!(s.next_sotw_response(), None);
    let names = ["portal/view"];
    s.handle_sotw_request(&ask(EDS, &names, "", false)).unwrap();
    assert_eq!(s.next_sotw_response(), None, "nothing until it is bound");
    assert_eq!(s.take_events(), [SessionEvent::Joined]);
    s.deliver(&message(
        1,
        Scope::Snapshot(0),
        &[("a", 1.0, Open), ("b", 1.0, Withdrawn)],
    ));
    let given = s.next_sotw_response().unwrap();
    let read = |any: &[u8]| ClusterLoadAssignment::decode(any).unwrap();
    let cla = read(&given.resources[0].value);
    assert_eq!(
        (given.resources.len(), cla.cluster_name.as_str()),
        (1, "portal/view")
    );
    assert_eq!(cla.endpoints[0].lb_endpoints.len(), 2);
    assert_eq!(s.next_sotw_response(), None);
    s.handle_sotw_request(&ask(EDS, &names, &given.nonce, false))
        .unwrap();
    assert_eq!(s.take_events(), [SessionEvent::Acked(1)]);
    // A change: the assignment again, whole; refused, then the next one taken.
    s.deliver(&message(2, Scope::Changes(0), &[("b", 0.0, Removed)]));
    let next = s.next_sotw_response().unwrap();
    assert_eq!(
        read(&next.resources[0].value).endpoints[0]
            .lb_endpoints
            .len(),
        1
    );
    s.handle_sotw_request(&ask(EDS, &names, &given.nonce, false))
        .unwrap();
    assert_eq!(s.take_events(), [], "an answer to the older one is stale");
    s.handle_sotw_request(&ask(EDS, &names, &next.nonce, true))
        .unwrap();
    assert_eq!(
        s.take_events(),
        [SessionEvent::Nacked(2, "will not".into())]
    );
    // The other class is asked for too.
    let both = ["portal/view", "portal/set"];
    s.handle_sotw_request(&ask(EDS, &both, &next.nonce, false))
        .unwrap();
    assert_eq!(s.next_sotw_response().unwrap().resources.len(), 2);
    s.handle_sotw_request(&ask(RDS, &["portal"], "", false))
        .unwrap();
    assert_eq!(s.next_sotw_response().unwrap().resources.len(), 1);
}

fn terms() -> ControllerSettings {
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

/// Controller, sessions and clients together, over days drawn from a seed: streams break at any point,
/// clients refuse at times, answer late, and at the end every one holds what the controller says.
#[test]
fn after_any_day_every_client_holds_what_the_controller_says() {
    for seed in 1..60_u64 {
        let mut state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = move |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 33) % n
        };
        let mut now = 1e6;
        let mut controller = Controller::new(now, seed, terms());
        let mut streams: BTreeMap<u64, (usize, Session)> = BTreeMap::new();
        let mut holders: Vec<XdsClient> = (0..5)
            .map(|i| XdsClient::new("portal", &format!("p{i}"), "east", 0.3))
            .collect();
        let mut next = 1;
        let servers: Vec<String> = (0..14).map(|i| format!("s{i}")).collect();
        for step in 0..220 {
            now += 50.0 + draw(900) as f64;
            let calm = step > 150;
            let mut inputs = Vec::new();
            if step % 7 == 0 && !calm {
                let entry = |(i, n): (usize, &String)| RosterEntry {
                    name: n.clone(),
                    address: format!("127.0.0.1:{}", 5000 + i),
                    zone: if i % 2 == 0 { "east" } else { "west" }.into(),
                    state: match draw(6) {
                        0 => AdminState::Draining,
                        1 => AdminState::Gone,
                        _ => AdminState::Ready,
                    },
                    weight: 1.0 + draw(3) as f64,
                    started: None,
                };
                inputs.push(Input::Roster(
                    servers.iter().enumerate().map(entry).collect(),
                ));
            }
            for (i, holder) in holders.iter_mut().enumerate() {
                let open = streams.iter().find(|(_, s)| s.0 == i).map(|(id, _)| *id);
                match open {
                    Some(id) if draw(25) == 0 && !calm => {
                        streams.remove(&id);
                        inputs.push(Input::Left(id));
                    }
                    None if draw(2) == 0 || calm => {
                        let mut session = Session::new(config(), ProtocolVariant::DeltaLeds);
                        for r in holder.initial_requests() {
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
                // Some are slow at times.
                while draw(4) > 0 || calm {
                    let Some(response) = session.next_delta_response() else {
                        break;
                    };
                    let picky = draw(12) == 0 && !calm;
                    for r in holders[*i].apply(&response, |_| !picky) {
                        session.handle_delta_request(&r).unwrap();
                    }
                }
                inputs.extend(session.take_events().into_iter().map(|a| match a {
                    SessionEvent::Acked(n) => Input::Applied(*id, n),
                    SessionEvent::Nacked(n, why) => Input::Refused(*id, n, why),
                    SessionEvent::Joined => unreachable!("joined once"),
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
            let mut wanted: Vec<_> = there
                .map(|s| {
                    let weight = (s.weight * dahliapoint_xds::WEIGHT_SCALE).round() as u32;
                    (s.name.to_string(), weight, !s.withdrawn)
                })
                .collect();
            wanted.sort();
            let table = holders[*i].table().unwrap_or_default();
            let held: Vec<_> = table
                .lines
                .into_iter()
                .map(|l| (l.server, l.weight, l.open))
                .collect();
            assert!(p.part.is_some(), "seed {seed}");
            assert_eq!(held, wanted, "seed {seed}, {}", p.name);
        }
    }
}

#[test]
fn names_that_look_like_others_stay_apart() {
    let collection = names::part_collection("portal", 1);
    let mut p = Pair::new();
    let odd = [
        ("a/b", 1.0, Open),
        ("a%2Fb", 2.0, Open),
        ("*", 3.0, Open),
        ("", 4.0, Open),
    ];
    p.tell(&message(1, Scope::Snapshot(1), &odd));
    assert_eq!(p.held().len(), 4, "{:?}", p.events);
    p.tell(&message(2, Scope::Changes(1), &[("*", 3.0, Removed)]));
    let names: Vec<_> = p.held().into_iter().map(|l| l.0).collect();
    assert_eq!(names, ["", "a%2Fb", "a/b"]);
    assert!(names::line(&collection, "*").ends_with("%2A"));
}
