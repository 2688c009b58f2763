//! Code against the plain interpreter, and what hooks cost a fleet: a point that nobody waits for, the events of a
//! tick, fifty hooks over 384 servers and 1,203 proxies.

use criterion::{Criterion, criterion_group, criterion_main};
use dahliapoint_hooks::host::{Event, Host, Loaded, Unbounded, events_between};
use dahliapoint_hooks::natives::Left;
use dahliapoint_hooks::run::{Allowance, run};
use dahliapoint_hooks::value::{LineSeen, ProxySeen, ServerSeen, State, World};
use dahliapoint_hooks::{check, code, parse, tree};
use std::hint::black_box;

fn world(servers: usize, proxies: usize) -> World {
    let server = |i: usize| ServerSeen {
        name: format!("server-{i}").into(),
        zone: ["east", "west", "north"][i % 3].into(),
        state: State::Ready,
        listed: 1.0,
        weight: 1.0,
        shut: false,
        part: (i % 3) as f64,
        age_ms: 1e9,
        tries_per_s: 5.0,
        failed_share: (i % 7) as f64 / 100.0,
        mean_ms: 30.0,
        in_flight: 1.0,
        stale: false,
    };
    let proxy = |i: usize| ProxySeen {
        name: format!("proxy-{i}").into(),
        zone: "east".into(),
        part: 0.0,
        unanswered: 0.0,
        silent: false,
        contrary: false,
    };
    World {
        now_ms: 1e12,
        zones: vec!["east".into(), "west".into(), "north".into()],
        servers: (0..servers).map(server).collect(),
        proxies: (0..proxies).map(proxy).collect(),
        ..World::default()
    }
    .indexed()
}

const FIB: &str = "fn fib(n: number) -> number {\nif n < 2 { return n }\nreturn fib(n - 1) + fib(n - 2)\n}\n\
                   on timer every 1s { if fib(16) < 0 { fail \"no\" } }";
const ZONES: &str = "on timer every 1s {\nvar by_zone: map<number> = {}\nfor s in servers() {\n\
                     by_zone[s.zone] = get(by_zone, s.zone, 0) + s.tries\n}\n\
                     for z in keys(by_zone) {\nif by_zone[z] > 100000 { wish alert(z) }\n}\n}";
const SLOW: &str = "on timer every 1s {\nfor s in servers() {\n\
                    if s.failed > 20% and s.tries > 1 { wish scale(s, 0.5) for 10s }\n}\n}";

fn machines(c: &mut Criterion) {
    let world = world(384, 1203);
    let generous = Allowance {
        steps: u64::MAX / 2,
        bytes: usize::MAX / 2,
        ..Allowance::default()
    };
    let left = Left {
        steps: generous.steps,
        bytes: generous.bytes,
    };
    for (name, source) in [("fib(16)", FIB), ("sums by zone, 384 servers", ZONES)] {
        let program = check::check(&parse::parse(source).unwrap()).unwrap();
        let ready = code::compile(&program);
        let function = ready.hooks[0].function;
        let mut group = c.benchmark_group(name);
        group.bench_function("code", |b| {
            b.iter(|| {
                black_box(run(
                    &ready,
                    function,
                    Vec::new(),
                    &[],
                    &world,
                    generous,
                    &mut || false,
                ))
            });
        });
        group.bench_function("plain interpreter", |b| {
            b.iter(|| {
                black_box(tree::walk(
                    &program,
                    function,
                    Vec::new(),
                    &[],
                    &world,
                    left,
                ))
            });
        });
        group.finish();
    }
}

fn fleet(c: &mut Criterion) {
    let mut group = c.benchmark_group("384 servers, 1203 proxies");
    let seen = world(384, 1203);
    let mut host = Host::default();
    let gate = "on before_publication(part, lines) {\nfor l in lines {\nif l.weight > 5 { wish hold() }\n}\n}";
    let set = (0..50).map(|i| {
        let source = [ZONES, SLOW, gate][i % 3];
        Loaded::new(&format!("h{i}.hook"), source).unwrap()
    });
    host.swap(0.0, set.collect());
    let left = Event::ProxyLeft("p".into());
    group.bench_function("a point that nobody waits for", |b| {
        b.iter(|| black_box(host.due(0.0, &left)).len());
    });
    let mut other = seen.clone();
    other.servers[7].state = State::Draining;
    group.bench_function("the events of a tick", |b| {
        b.iter(|| black_box(events_between(&seen, &other)));
    });
    group.bench_function("every timer of fifty hooks", |b| {
        let mut now = 1e6;
        b.iter(|| {
            now += 1e6;
            for event in host.timers(now) {
                for id in host.due(now, &event) {
                    black_box(host.run(now, id, &event, &seen, &mut || false));
                }
            }
        });
    });
    let line = |s: &ServerSeen| LineSeen {
        server: s.name.clone(),
        weight: s.weight,
        open: true,
        before: 1.0,
    };
    let mut leaving = seen.clone();
    leaving.lines = seen.servers.iter().take(128).map(line).collect();
    let gate = host.gate(0.0);
    group.bench_function("sixteen hooks before a publication of 128 lines", |b| {
        b.iter(|| black_box(gate.judge(0, &leaving, &mut Unbounded)));
    });
    group.finish();
}

criterion_group!(benches, machines, fleet);
criterion_main!(benches);
