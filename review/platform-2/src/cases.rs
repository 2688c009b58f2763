//! The cases: the figures of a deployment, and what happens.

use crate::Stage;
use crate::world::{CallFault, Figures, lock, unix_ms};

type Play = fn(&mut Stage) -> Result<(), String>;

/// The rule that a case is about, the deployment, and what happens.
pub fn find(case: &str) -> Option<(u8, Figures, Play)> {
    Some(match case {
        "return" => (1, perth(), returning_servers),
        "drains" => {
            let figures = Figures {
                proxies: 8,
                visits_per_s: 400.0,
                ..perth()
            };
            (3, figures, fast_replacement)
        }
        "local" => {
            let zones = vec!["a".into(), "b".into()];
            let figures = Figures {
                proxies: 24,
                zones,
                first_class_stays_local: true,
                ..goldfields()
            };
            (1, figures, shrinking_zone)
        }
        "flood" => {
            let figures = Figures {
                proxies: 400,
                visits_per_s: 400.0,
                ..goldfields()
            };
            (5, figures, broken_withdrawals)
        }
        "resend" => (
            5,
            Figures {
                latency_ms: 200.0,
                ..perth()
            },
            broken_calls,
        ),
        "chaos" => {
            let zones = vec!["a".into(), "b".into()];
            (
                0,
                Figures {
                    proxies: 12,
                    zones,
                    ..goldfields()
                },
                chaos,
            )
        }
        _ => return None,
    })
}

/// Traffic falls with the fleet.
fn traffic_falls(stage: &Stage, share: f64) {
    lock(&stage.shared).figures.visits_per_s *= share;
}

/// A small deployment with a limit on messages.
fn perth() -> Figures {
    Figures {
        proxies: 6,
        zones: vec!["a".into()],
        classes: vec![("view".into(), 1000, 1.0), ("set".into(), 1000, 2.0)],
        lines_per_s: 15_000.0,
        most_waiting: 22_500.0,
        overhead: 3.0,
        latency_ms: 150.0,
        standing: 12,
        messages_most: 30,
        reload_span_ms: 10_000.0,
        bare_ms: 4600.0,
        grace_ms: 3000.0,
        ramp_ms: 16_000.0,
        cold_from: 0.15,
        fall_multiple: 2.5,
        fall_ms: 3000.0,
        report_every_ms: 500.0,
        ingest_rate: 300.0,
        strikes: 8,
        probing: true,
        visits_per_s: 91.0,
        server_visits_per_s: 14.0,
        first_class_stays_local: false,
    }
}

/// A small deployment without one.
fn goldfields() -> Figures {
    Figures {
        classes: vec![
            ("balance".into(), 800, 1.0),
            ("history".into(), 1200, 1.0),
            ("payment".into(), 750, 2.0),
        ],
        lines_per_s: 7000.0,
        most_waiting: 7000.0,
        overhead: 4.0,
        latency_ms: 200.0,
        standing: 10,
        messages_most: 0,
        bare_ms: 4000.0,
        grace_ms: 1500.0,
        ramp_ms: 14_000.0,
        cold_from: 0.19,
        fall_multiple: 3.0,
        fall_ms: 1500.0,
        report_every_ms: 1000.0,
        ingest_rate: 800.0,
        strikes: 0,
        visits_per_s: 45.0,
        server_visits_per_s: 8.0,
        ..perth()
    }
}

/// Lists servers that started long ago, starts the proxies and the controller.
fn begin(stage: &mut Stage, servers: &[&str]) -> Result<(), String> {
    {
        let mut state = lock(&stage.shared);
        for name in servers {
            state.add_server(name, 0, 0);
        }
        for proxy in 0..state.figures.proxies {
            state.start_proxy(proxy);
        }
    }
    stage.start_controller()?;
    let proxies = lock(&stage.shared).figures.proxies;
    let pause = (2000 / proxies as u64).max(5);
    for proxy in 0..proxies {
        stage.sleep(pause);
        lock(&stage.shared).join(proxy);
    }
    stage.sleep(3000);
    Ok(())
}

/// The fleet shrinks from 7 to 3 servers. Later 4 others are switched on, then the first 4 again, under their
/// names. When these are warm, the fleet shrinks from 11 to 4 (36%), these 4.
fn returning_servers(stage: &mut Stage) -> Result<(), String> {
    begin(stage, &["s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7"])?;
    let shared = stage.shared.clone();
    let returning = ["s-1", "s-2", "s-3", "s-4"];
    if stage.trouble {
        traffic_falls(stage, 0.5);
    }
    for name in returning {
        if stage.trouble {
            lock(&shared).tell(&[name], "draining", None);
        }
        stage.sleep(2000);
        if stage.trouble {
            lock(&shared).tell(&[name], "removed", None);
        }
        stage.sleep(800);
    }
    stage.sleep(24_000);
    if stage.trouble {
        traffic_falls(stage, 2.0);
    }
    for name in ["t-1", "t-2", "t-3", "t-4"] {
        let mut state = lock(&shared);
        state.add_server(name, 0, unix_ms());
        state.tell(&[name], "up", None);
        drop(state);
        stage.sleep(400);
    }
    for name in returning {
        if stage.trouble {
            lock(&shared).tell(&[name], "up", Some(unix_ms()));
        }
        stage.sleep(400);
    }
    stage.sleep(17_000);
    traffic_falls(stage, 0.4);
    for name in ["s-5", "s-6", "s-7", "t-1", "t-2", "t-3", "t-4"] {
        lock(&shared).tell(&[name], "draining", None);
        stage.sleep(1850);
    }
    stage.sleep(9000);
    Ok(())
}

/// Six in ten servers are replaced within 7 s.
fn fast_replacement(stage: &mut Stage) -> Result<(), String> {
    let names: Vec<String> = (0..60).map(|i| format!("s-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    begin(stage, &names)?;
    let shared = stage.shared.clone();
    stage.sleep(8000);
    if stage.trouble {
        for (i, name) in names.iter().take(36).enumerate() {
            let new = format!("t-{i}");
            let mut state = lock(&shared);
            state.add_server(&new, 0, unix_ms());
            state.tell(&[&new], "up", None);
            drop(state);
            stage.sleep(90);
            lock(&shared).tell(&[name], "draining", None);
            stage.sleep(100);
        }
    } else {
        stage.sleep(7000);
    }
    stage.sleep(15_000);
    Ok(())
}

/// The fleet shrinks from 12 to 5 servers within 11 s; for 6 s of these the relay breaks every call after
/// its last byte, and carries it out.
fn broken_calls(stage: &mut Stage) -> Result<(), String> {
    let names: Vec<String> = (0..12).map(|i| format!("s-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    begin(stage, &names)?;
    let shared = stage.shared.clone();
    stage.sleep(8000);
    traffic_falls(stage, 0.45);
    for (i, name) in names.iter().take(7).enumerate() {
        if i == 1 && stage.trouble {
            let mut state = lock(&shared);
            state.fault = Some(CallFault::BreakDone);
            state.fault_until = state.now() + 6000.0;
        }
        lock(&shared).tell(&[name], "draining", None);
        stage.sleep(1800);
    }
    stage.sleep(8000);
    Ok(())
}

/// Three in ten servers go at once; for 1 s the relay breaks every call after its last byte, and carries it
/// out.
fn broken_withdrawals(stage: &mut Stage) -> Result<(), String> {
    let names: Vec<String> = (0..30).map(|i| format!("s-{i}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    begin(stage, &names)?;
    let shared = stage.shared.clone();
    stage.sleep(8000);
    if stage.trouble {
        let mut state = lock(&shared);
        state.fault = Some(CallFault::BreakDone);
        state.fault_until = state.now() + 1000.0;
    }
    let lost: Vec<&str> = names.iter().copied().take(9).collect();
    lock(&shared).tell(&lost, "removed", None);
    stage.sleep(10_000);
    Ok(())
}

/// The fleet shrinks from 16 to 11 servers; those that leave are of one zone, where three stay.
fn shrinking_zone(stage: &mut Stage) -> Result<(), String> {
    {
        let mut state = lock(&stage.shared);
        for i in 0..16 {
            state.add_server(&format!("s-{i}"), i % 2, 0);
        }
        for proxy in 0..24 {
            state.start_proxy(proxy);
        }
    }
    stage.start_controller()?;
    for proxy in 0..24 {
        stage.sleep(80);
        lock(&stage.shared).join(proxy);
    }
    stage.sleep(10_000);
    if stage.trouble {
        traffic_falls(stage, 0.7);
    }
    for name in ["s-1", "s-3", "s-5", "s-7", "s-9"] {
        if stage.trouble {
            lock(&stage.shared).tell(&[name], "draining", None);
        }
        stage.sleep(2200);
    }
    stage.sleep(14_000);
    Ok(())
}

/// Draws troubles at random, then waits until all is quiet and compares what proxies hold with the list.
fn chaos(stage: &mut Stage) -> Result<(), String> {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    lock(&stage.shared).rng = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
    {
        let mut state = lock(&stage.shared);
        for i in 0..10 {
            state.add_server(&format!("s-{i}"), i % 2, 0);
        }
        for proxy in 0..12 {
            state.start_proxy(proxy);
        }
    }
    stage.start_controller()?;
    let shared = stage.shared.clone();
    for proxy in 0..12 {
        stage.sleep(100);
        lock(&shared).join(proxy);
    }
    stage.sleep(3000);
    let mut next = 10;
    let end = lock(&shared).now() + 55_000.0;
    while lock(&shared).now() < end {
        let (draw, pick, wait) = {
            let mut state = lock(&shared);
            (state.random(), state.random(), state.random())
        };
        let at = |n: usize| ((pick * n as f64) as usize).min(n - 1);
        if draw < 0.25 {
            let proxy = at(12);
            let joined = lock(&shared).proxies[proxy].joined;
            if joined {
                lock(&shared).leave(proxy);
                if wait < 0.5 {
                    stage.sleep((wait * 600.0) as u64);
                    lock(&shared).join(proxy);
                }
            } else {
                lock(&shared).join(proxy);
            }
        } else if draw < 0.45 {
            let mut state = lock(&shared);
            let up: Vec<String> = state
                .servers
                .iter()
                .filter(|s| s.status == "up")
                .map(|s| s.name.clone())
                .collect();
            let warm = unix_ms() - 15_000;
            let warm = state
                .servers
                .iter()
                .filter(|s| s.status == "up" && s.since_ms < warm)
                .count();
            if up.len() > 5 && warm > 4 {
                let name = &up[at(up.len())];
                state.tell(
                    &[name],
                    if wait < 0.5 { "draining" } else { "removed" },
                    None,
                );
            }
        } else if draw < 0.6 {
            let mut state = lock(&shared);
            let out: Vec<String> = state
                .servers
                .iter()
                .filter(|s| s.status != "up")
                .map(|s| s.name.clone())
                .collect();
            if !out.is_empty() && wait < 0.7 {
                let name = &out[at(out.len())];
                state.tell(&[name], "up", Some(unix_ms()));
            } else if state.servers.len() < 24 {
                let name = format!("s-{next}");
                state.add_server(&name, next % 2, unix_ms());
                next += 1;
                state.tell(&[&name], "up", None);
            }
        } else if draw < 0.7 {
            let faults = [
                CallFault::BreakDone,
                CallFault::BreakNotDone,
                CallFault::SilentDone,
                CallFault::SilentNotDone,
            ];
            let mut state = lock(&shared);
            state.fault = Some(faults[at(4)]);
            state.fault_until = f64::INFINITY;
            state.fault_calls = 1 + (wait * 4.0) as usize;
        } else if draw < 0.8 {
            stage.relay.close_one((pick * 1000.0) as usize);
            let mut state = lock(&shared);
            state.note("one connection of the relay is closed");
            state.excused_until = state.now() + 4000.0;
        } else if draw < 0.84 {
            let mut state = lock(&shared);
            let now = state.now();
            state.relay_silent_until = now + 500.0 + wait * 5500.0;
            state.note("the relay is out of reach");
            state.excused_until = state.relay_silent_until + 4000.0;
        } else if draw < 0.9 {
            let mut state = lock(&shared);
            let now = state.now();
            state.discovery_silent_until = now + 500.0 + wait * 5500.0;
            state.note("discovery is down");
        } else if draw < 0.93 {
            stage.discovery.close();
            lock(&shared).note("discovery closes its connections");
        } else if draw < 0.96 {
            stage.move_platform()?;
            let mut state = lock(&shared);
            state.excused_until = state.now() + 4000.0;
        } else if draw < 0.975 {
            stage.kill_controller();
            stage.sleep((wait * 3000.0) as u64);
            if wait < 0.5 {
                let mut state = lock(&shared);
                let up: Vec<String> = state
                    .servers
                    .iter()
                    .filter(|s| s.status == "up")
                    .map(|s| s.name.clone())
                    .collect();
                let name = &up[at(up.len())];
                state.tell(&[name], "draining", None);
            }
            stage.start_controller()?;
            for proxy in 0..12 {
                stage.sleep(100);
                lock(&shared).join(proxy);
            }
        } else if draw < 0.985 {
            let mut state = lock(&shared);
            let up: Vec<String> = state
                .servers
                .iter()
                .filter(|s| s.status == "up")
                .map(|s| s.name.clone())
                .collect();
            let name = &up[at(up.len())];
            state.tell(&[name], "up", Some(unix_ms()));
        } else if draw < 0.99 {
            stage.relay.close();
            let mut state = lock(&shared);
            state.note("the relay closes all connections");
            state.excused_until = state.now() + 4000.0;
        }
        stage.sleep((wait * 900.0) as u64);
    }
    lock(&shared).fault = None;
    for proxy in 0..12 {
        if !lock(&shared).proxies[proxy].joined {
            lock(&shared).join(proxy);
        }
    }
    lock(&shared).note("quiet from now on");
    stage.sleep(30_000);
    let mut state = lock(&shared);
    let up: Vec<String> = state
        .servers
        .iter()
        .filter(|s| s.status == "up")
        .map(|s| s.name.clone())
        .collect();
    let out: Vec<String> = state
        .servers
        .iter()
        .filter(|s| s.status != "up")
        .map(|s| s.name.clone())
        .collect();
    for proxy in 0..12 {
        let p = state.proxies[proxy].clone();
        let mut wrong = Vec::new();
        if p.bound.is_none() {
            wrong.push("not bound".to_string());
        }
        wrong.extend(
            up.iter()
                .filter(|s| p.withdrawn.contains(*s))
                .map(|s| format!("{s} shut though up")),
        );
        // In a table of parts a proxy has the servers of one part.
        let held = |name: &String| state.proxies.iter().any(|q| q.lines.contains_key(name));
        let unheld = up.iter().filter(|s| !held(s));
        wrong.extend(unheld.map(|s| format!("{s} no line at any proxy")));
        wrong.extend(
            out.iter()
                .filter(|s| p.lines.contains_key(*s))
                .map(|s| format!("{s} line though out")),
        );
        if !wrong.is_empty() {
            state.break_rule(0, &format!("at rest: proxy {proxy}: {}", wrong.join(", ")));
        }
    }
    Ok(())
}
