//! The cases: the platform of each, its events, and the check of its rule.

use crate::world::{Busy, Platform, Site, World, lock, unix_ms};
use crate::{Controller, Verdict};
use std::time::Duration;

pub struct Case {
    pub platform: fn() -> Platform,
    /// Plays the day; the flag says whether the disruption is part of it.
    pub events: fn(&World, &mut Controller, bool),
    pub judge: fn(&World) -> Verdict,
}

pub fn find(number: &str) -> Option<Case> {
    Some(match number {
        "zone" => Case {
            platform: two_zones,
            events: shrink_one_zone,
            judge: judge_bare,
        },
        "rejoin" => Case {
            platform: one_zone,
            events: rejoin_after_drains,
            judge: judge_drains,
        },
        "return" => Case {
            platform: four_parts,
            events: return_by_name,
            judge: judge_bare,
        },
        "messages" => Case {
            platform: message_limit,
            events: lose_answers,
            judge: judge_messages,
        },
        "join" => Case {
            platform: busy_site,
            events: replace_six_of_ten,
            judge: judge_cold,
        },
        "fuzz" => Case {
            platform: crate::fuzz::platform,
            events: crate::fuzz::events,
            judge: crate::fuzz::judge,
        },
        _ => return None,
    })
}

/// A small deployment like those of the sites, with their kind of figures.
pub fn site() -> Site {
    Site {
        zones: vec!["a", "b"],
        bare_ms: 4600,
        grace_ms: 3000,
        ramp_ms: 8000,
        push_ms: 100,
        standing: 10,
        proxies: 24,
        rate: 2.5,
        local_first: true,
        probing: true,
        busy: None,
        messages_most: 0,
        soft_removal: false,
        most_waiting: 8000,
        egress_per_s: 8000,
    }
}

fn wait(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Rule 1: no joined proxy without a line to pick for longer than the limit and 300 ms.
fn judge_bare(world: &World) -> Verdict {
    let state = lock(world);
    let limit = Duration::from_millis(state.site.bare_ms + 300);
    let mut over: Vec<String> = Vec::new();
    for (i, p) in state
        .proxies
        .iter()
        .enumerate()
        .filter(|(_, p)| p.longest_bare > limit)
    {
        let from = p
            .longest_bare_from
            .map_or(0.0, |at| (at - state.started).as_secs_f64());
        over.push(format!(
            "proxy {i} for {:.1} s from {from:.1} s",
            p.longest_bare.as_secs_f64()
        ));
    }
    let text = format!(
        "{} of {} proxies had no line to pick for more than {limit:?}, while the list showed a warm server as up; {} visits refused; {}",
        over.len(),
        state.proxies.len(),
        state.refused,
        over.join(", ")
    );
    Verdict {
        held: over.is_empty(),
        text,
    }
}

/// Rule 3: no joined proxy sends to a server later than the grace and 300 ms after the controller was
/// told that it drains or is gone, or after it joined.
fn judge_drains(world: &World) -> Verdict {
    let state = lock(world);
    let limit = Duration::from_millis(state.site.grace_ms + 300);
    let late = state
        .visits
        .iter()
        .filter(|v| v.past_told.is_some_and(|d| d > limit));
    let late: Vec<String> = late
        .map(|v| {
            format!(
                "proxy {} to {} at {:.1} s",
                v.proxy,
                v.server,
                (v.at - state.started).as_secs_f64()
            )
        })
        .collect();
    let text = format!(
        "{} of {} visits were sent to a draining or removed server more than {limit:?} after the list had told it and the proxy had joined; {}",
        late.len(),
        state.visits.len(),
        late.iter().take(5).cloned().collect::<Vec<_>>().join(", ")
    );
    Verdict {
        held: late.is_empty(),
        text,
    }
}

fn two_zones() -> Platform {
    let servers = [
        ("s-a1", 0, true),
        ("s-a2", 0, true),
        ("s-a3", 0, true),
        ("s-a4", 0, true),
        ("s-a5", 0, true),
        ("s-b1", 1, true),
        ("s-b2", 1, true),
        ("s-b3", 1, true),
        ("s-b4", 1, true),
        ("s-b5", 1, true),
        ("s-b6", 1, true),
        ("s-b7", 1, true),
    ];
    Platform::start(site(), &[0; 12], &servers)
}

/// The fleet shrinks to 7 of 12 servers (58%) within 8.4 s; those that go are the ones of zone a.
fn shrink_one_zone(world: &World, _: &mut Controller, trouble: bool) {
    wait(6.0);
    let leaving = ["s-a1", "s-a2", "s-a3", "s-a4", "s-a5"];
    for name in leaving {
        if trouble {
            lock(world).list(&[(name, "draining")]);
        }
        wait(2.1);
    }
    wait(1.5);
    for name in leaving.into_iter().filter(|_| trouble) {
        let mut state = lock(world);
        state.list(&[(name, "removed")]);
        if let Some(server) = state.servers.get_mut(name) {
            server.runs = false;
        }
    }
    wait(14.0);
}

fn one_zone() -> Platform {
    let site = Site {
        zones: vec!["a"],
        proxies: 4,
        rate: 5.0,
        local_first: false,
        ..site()
    };
    Platform::start(
        site,
        &[0; 4],
        &[("s-1", 0, true), ("s-2", 0, true), ("s-3", 0, true)],
    )
}

/// A proxy's stream breaks, and comes back 2 s later; meanwhile all servers begin to drain.
fn rejoin_after_drains(world: &World, _: &mut Controller, trouble: bool) {
    wait(5.0);
    if trouble {
        lock(world).leave(2);
    }
    wait(0.5);
    lock(world).list(&[
        ("s-1", "draining"),
        ("s-2", "draining"),
        ("s-3", "draining"),
    ]);
    wait(1.5);
    if trouble {
        lock(world).join(2, false);
    }
    wait(10.0);
}

/// Twelve servers in four parts of three, and proxies with little traffic.
fn four_parts() -> Platform {
    let site = Site {
        zones: vec!["a"],
        rate: 0.8,
        standing: 6,
        local_first: false,
        ..site()
    };
    let names: Vec<String> = (1..=12).map(|i| format!("s-{i:02}")).collect();
    let mut servers: Vec<(&str, usize, bool)> =
        names.iter().map(|n| (n.as_str(), 0, true)).collect();
    servers.push(("s-13", 0, false));
    Platform::start(site, &[0; 24], &servers)
}

fn set_running(world: &World, name: &str, runs: bool) {
    let mut state = lock(world);
    let server = state.servers.get_mut(name).expect("a server of this case");
    server.runs = runs;
    if runs {
        server.since_ms = unix_ms();
    }
}

/// s-01 vanishes for 25 s and comes back cold under its name; s-13 is switched on meanwhile. Then the
/// fleet shrinks from 13 servers to 10 (77%): those that go shared a part of the table with s-01.
fn return_by_name(world: &World, _: &mut Controller, trouble: bool) {
    wait(5.0);
    if trouble {
        set_running(world, "s-01", false);
        lock(world).list(&[("s-01", "removed")]);
    }
    wait(23.0);
    set_running(world, "s-13", true);
    lock(world).list(&[("s-13", "up")]);
    wait(2.0);
    if trouble {
        set_running(world, "s-01", true);
        lock(world).list(&[("s-01", "up")]);
    }
    // Both are warm after 8 s.
    wait(12.0);
    for name in ["s-05", "s-09", "s-13"] {
        lock(world).list(&[(name, "draining")]);
        wait(4.1);
    }
    wait(12.0);
}

/// A site with a limit on messages: 4 proxies, 12 servers.
fn message_limit() -> Platform {
    let site = Site {
        zones: vec!["a"],
        proxies: 4,
        rate: 8.0,
        push_ms: 200,
        messages_most: 30,
        most_waiting: 22700,
        egress_per_s: 15100,
        local_first: false,
        ..site()
    };
    let names: Vec<String> = (1..=18).map(|i| format!("s-{i:02}")).collect();
    let servers: Vec<(&str, usize, bool)> = names
        .iter()
        .enumerate()
        .map(|(i, n)| (n.as_str(), 0, i < 12))
        .collect();
    Platform::start(site, &[0; 4], &servers)
}

/// Six of twelve servers are replaced within 7 s; for 6 s of these the answers to calls get lost.
fn lose_answers(world: &World, _: &mut Controller, trouble: bool) {
    wait(12.0);
    lock(world).lose_answers = trouble;
    for i in 1..=6 {
        set_running(world, &format!("s-{:02}", i + 12), true);
        lock(world).list(&[
            (&format!("s-{:02}", i + 12), "up"),
            (&format!("s-{i:02}"), "draining"),
        ]);
        wait(1.0);
    }
    lock(world).lose_answers = false;
    wait(12.0);
}

/// Rule 5: no proxy is written more messages than the settings allow within 10 s.
fn judge_messages(world: &World) -> Verdict {
    let state = lock(world);
    let limit = state.site.messages_most;
    let most = |times: &Vec<std::time::Instant>| {
        let within = |from: &std::time::Instant| {
            times
                .iter()
                .filter(|at| **at >= *from && **at - *from < Duration::from_secs(10))
                .count()
        };
        times.iter().map(within).max().unwrap_or(0)
    };
    let counts: Vec<usize> = state.sent_messages.values().map(most).collect();
    let text = format!(
        "most messages written to a proxy within 10 s, by proxy: {counts:?}; the limit is {limit}"
    );
    Verdict {
        held: counts.iter().all(|n| *n <= limit),
        text,
    }
}

/// Ten servers, alike, at 55% of what they can do, and 20 proxies that choose of two.
fn busy_site() -> Platform {
    let (rate, proxies) = (5.0, 20);
    let busy = Busy {
        capacity: rate * proxies as f64 / 10.0 / 0.55,
        cold_from: 0.17,
        service_ms: 150,
        queue: 16.0,
        strikes: 5,
        keep_away_ms: 4000,
        patience_ms: 800,
        backoff_ms: 200,
        report_ms: 2000,
        report_late_ms: 1000,
    };
    let site = Site {
        zones: vec!["a"],
        proxies,
        rate,
        ramp_ms: 15000,
        push_ms: 200,
        probing: false,
        local_first: false,
        busy: Some(busy),
        ..site()
    };
    let names: Vec<String> = (1..=16).map(|i| format!("s-{i:02}")).collect();
    let servers: Vec<(&str, usize, bool)> = names
        .iter()
        .enumerate()
        .map(|(i, n)| (n.as_str(), 0, i < 10))
        .collect();
    Platform::start(site, &vec![0; proxies], &servers)
}

/// Six of ten servers are replaced within 5.1 s, three at a time: they drain, and 1.7 s later the new ones are
/// listed, which started cold 0.5 s before.
fn replace_six_of_ten(world: &World, _: &mut Controller, trouble: bool) {
    wait(20.0);
    let name = |i: usize| format!("s-{i:02}");
    for batch in [1..=3, 4..=6] {
        if trouble {
            let leaving: Vec<String> = batch.clone().map(name).collect();
            let leaving: Vec<(&str, &'static str)> =
                leaving.iter().map(|n| (n.as_str(), "draining")).collect();
            lock(world).list(&leaving);
        }
        wait(1.2);
        let coming: Vec<String> = batch.map(|i| name(i + 10)).collect();
        if trouble {
            coming.iter().for_each(|n| set_running(world, n, true));
        }
        wait(0.5);
        if trouble {
            let coming: Vec<(&str, &'static str)> =
                coming.iter().map(|n| (n.as_str(), "up")).collect();
            lock(world).list(&coming);
        }
        wait(1.7);
    }
    wait(14.0);
}

/// Rule 4: no cold server is sent more than the multiple of what it can do over the stated time.
fn judge_cold(world: &World) -> Verdict {
    const MULTIPLE: f64 = 3.0;
    const SPAN: Duration = Duration::from_millis(1800);
    let state = lock(world);
    let Some(busy) = state.site.busy.clone() else {
        return Verdict {
            held: false,
            text: "no such site".into(),
        };
    };
    let (now, now_ms) = (std::time::Instant::now(), unix_ms());
    let mut worst: Vec<(f64, String)> = Vec::new();
    for (name, server) in state.servers.iter().filter(|(_, s)| s.since_ms > 0) {
        let started = now - Duration::from_millis(now_ms - server.since_ms);
        let times: Vec<_> = state
            .visits
            .iter()
            .filter(|v| v.server == *name)
            .map(|v| v.at)
            .collect();
        let mut most = (0.0, String::new());
        for from in &times {
            let count = times
                .iter()
                .filter(|at| **at >= *from && **at < *from + SPAN)
                .count() as f64;
            let middle = (*from + SPAN / 2 - started).as_secs_f64() * 1000.0;
            if middle > state.site.ramp_ms as f64 {
                continue;
            }
            let can_do = busy.capacity_at(middle, state.site.ramp_ms as f64) * SPAN.as_secs_f64();
            // A little slack for chance: two standard deviations of the count that is allowed.
            let over = (count - 2.0 * (MULTIPLE * can_do).sqrt()) / can_do;
            if over > most.0 {
                let at = (*from - state.started).as_secs_f64();
                most = (
                    over,
                    format!(
                        "{name} at {at:.1} s, {:.1} s after its start: {count} visits in 1.8 s, {:.1} times what it can do",
                        (*from - started).as_secs_f64(),
                        count / can_do
                    ),
                );
            }
        }
        worst.push(most);
    }
    worst.sort_by(|a, b| b.0.total_cmp(&a.0));
    let over: Vec<_> = worst
        .iter()
        .filter(|(times, _)| *times > MULTIPLE)
        .collect();
    let text = format!(
        "{} cold servers were sent over {MULTIPLE} times what they could do (and slack) for 1.8 s; highest: {}; visits answered {} unanswered {} refused {}",
        over.len(),
        worst
            .iter()
            .take(3)
            .map(|(_, t)| t.clone())
            .collect::<Vec<_>>()
            .join("; "),
        state.fulfilled,
        state.unfulfilled,
        state.refused
    );
    Verdict {
        held: over.is_empty(),
        text,
    }
}
