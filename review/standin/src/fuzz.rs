//! Days of drawn events (SEED), to search for broken rules. No case by itself.

use crate::cases::site;
use crate::world::{Fault, Platform, Site, World, lock, unix_ms};
use crate::{Controller, Verdict};
use std::time::{Duration, Instant};

struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below.max(1)
    }
}

fn seed() -> u64 {
    let text = std::env::var("SEED").unwrap_or_default();
    text.parse::<u64>()
        .unwrap_or(1)
        .wrapping_mul(0x9E37_79B9_7F4A_7C15)
        | 1
}

fn knob(name: &str) -> bool {
    std::env::var("FUZZ")
        .unwrap_or_else(|_| "call,news,list,proxy,server".into())
        .split(',')
        .any(|k| k == name)
}

pub fn platform() -> Platform {
    let mut rng = Rng(seed());
    for _ in 0..5 {
        let _ = rng.next(2);
    }
    let zones = 1 + rng.next(2) as usize;
    let proxies = 4 + rng.next(16) as usize;
    let servers = 4 + rng.next(10) as usize;
    let site = Site {
        zones: ["a", "b"][..zones].to_vec(),
        proxies,
        rate: [0.5, 2.5, 8.0][rng.next(3) as usize],
        probing: rng.next(2) == 0,
        local_first: false,
        push_ms: 60 + rng.next(250),
        standing: [4, 10][rng.next(2) as usize],
        ..site()
    };
    let mut site = site;
    let mut zones = zones;
    if knob("shapes") {
        zones = 1 + rng.next(3) as usize;
        site.zones = ["a", "b", "c"][..zones].to_vec();
        site.soft_removal = rng.next(3) == 0;
        site.messages_most = [0, 30][rng.next(2) as usize];
        site.standing = [2, 4, 10][rng.next(3) as usize];
        site.local_first = knob("local");
    }
    let names: Vec<String> = (0..servers).map(|i| format!("s-{i}")).collect();
    let listed: Vec<(&str, usize, bool)> = names
        .iter()
        .enumerate()
        .map(|(i, n)| (n.as_str(), i % zones, i < servers - 2))
        .collect();
    let proxy_zones: Vec<usize> = (0..proxies)
        .map(|i| if knob("local") { 0 } else { i % zones })
        .collect();
    Platform::start(site, &proxy_zones, &listed)
}

pub fn events(world: &World, controller: &mut Controller, trouble: bool) {
    let mut rng = Rng(seed() ^ 0xABCD);
    let length = std::env::var("SECONDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(60);
    let end = Instant::now() + Duration::from_secs(length);
    let calm = end - Duration::from_secs(12);
    std::thread::sleep(Duration::from_secs(3));
    let mut back: Vec<(Instant, usize, bool)> = Vec::new();
    let mut news_until: Option<Instant> = None;
    let mut lists_until: Option<Instant> = None;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(100 + rng.next(500)));
        let now = Instant::now();
        let mut state = lock(world);
        let quiet = now > calm;
        if news_until.is_some_and(|t| t <= now || quiet) {
            news_until = None;
            state.note("the news go on");
            state.news_again();
        }
        if lists_until.is_some_and(|t| t <= now || quiet) {
            lists_until = None;
            state.note("the lists go on");
            state.lists_again();
        }
        back.retain(|(at, proxy, fresh)| {
            let due = *at <= now || quiet;
            if due {
                state.join(*proxy, *fresh);
            }
            !due
        });
        if !trouble || quiet {
            state.faults.clear();
            continue;
        }
        match rng.next(10) {
            8 if knob("move") && rng.next(2) == 0 => {
                drop(state);
                let _ = controller.move_platform();
            }
            9 if knob("kill") && rng.next(3) == 0 => {
                let known = state.whole_list();
                let joined: Vec<usize> = (0..state.proxies.len())
                    .filter(|p| state.proxies[*p].joined)
                    .collect();
                for p in joined {
                    state.leave(p);
                    back.push((
                        now + Duration::from_millis(1500 + rng.next(2000)),
                        p,
                        rng.next(4) == 0,
                    ));
                }
                drop(state);
                controller.kill();
                std::thread::sleep(Duration::from_millis(200 + rng.next(1000)));
                let _ = controller.start_again(&known);
            }
            0 if knob("proxy") => {
                let p = rng.next(state.proxies.len() as u64) as usize;
                if state.proxies[p].joined {
                    state.leave(p);
                    back.push((
                        now + Duration::from_millis(100 + rng.next(3000)),
                        p,
                        rng.next(2) == 0,
                    ));
                }
            }
            1 | 2 if knob("server") => {
                let names: Vec<String> = state.servers.keys().cloned().collect();
                let name = names[rng.next(names.len() as u64) as usize].clone();
                let up = state.servers.values().filter(|s| s.status == "up").count();
                let status = state.servers[&name].status;
                let next = match status {
                    "up" if up > 2 => ["draining", "removed"][rng.next(2) as usize],
                    "up" => "up",
                    "draining" => ["removed", "up"][rng.next(2) as usize],
                    _ => "up",
                };
                if let Some(s) = state.servers.get_mut(&name) {
                    if next == "up" && status != "draining" {
                        s.since_ms = unix_ms();
                    }
                    s.runs = next != "removed";
                }
                state.list(&[(&name, next)]);
            }
            3 | 4 if knob("call") => {
                for _ in 0..1 + rng.next(3) {
                    let carried_out = rng.next(2) == 0;
                    let fault = match rng.next(3) {
                        0 => Fault::Break { carried_out },
                        1 => Fault::Silent { carried_out },
                        _ => Fault::Unreadable,
                    };
                    state.faults.push_back(fault);
                }
            }
            5 if knob("news") && news_until.is_none() => {
                if rng.next(2) == 0 {
                    let all = rng.next(3) == 0;
                    state.note(format!("the news break (all: {all})"));
                    state.cut_news(all);
                } else {
                    state.note("the news fall silent");
                    state.news_silent = true;
                    news_until = Some(now + Duration::from_millis(500 + rng.next(5000)));
                }
            }
            6 if knob("list") && lists_until.is_none() => {
                if rng.next(2) == 0 {
                    state.note("the watches break");
                    state.cut_watches();
                } else {
                    state.note("discovery falls silent");
                    state.lists_silent = true;
                    lists_until = Some(now + Duration::from_millis(500 + rng.next(5000)));
                }
            }
            _ => {}
        }
    }
}

pub fn judge(world: &World) -> Verdict {
    let state = lock(world);
    let bare = state
        .proxies
        .iter()
        .map(|p| p.longest_bare)
        .max()
        .unwrap_or_default();
    let late = state
        .longest_late
        .values()
        .max()
        .copied()
        .unwrap_or_default();
    let most = state.sent_messages.values().flat_map(|t| {
        t.iter().map(|from| {
            t.iter()
                .filter(|at| **at >= *from && **at - *from < Duration::from_secs(10))
                .count()
        })
    });
    let text = format!(
        "bare {bare:?}, late {late:?}, messages in 10 s {:?}, refused {}; soft {} most {} zones {} proxies {} servers {} rate {} probing {}",
        most.max(),
        state.refused,
        state.site.soft_removal,
        state.site.messages_most,
        state.site.zones.len(),
        state.proxies.len(),
        state.servers.len(),
        state.site.rate,
        state.site.probing
    );
    Verdict {
        held: bare < Duration::from_millis(6500) && late < Duration::from_millis(5500),
        text,
    }
}
