//! Cost of the guard per tick: with kept sums, with everything computed anew, and by a reference
//! check that goes through the table of every proxy.

use criterion::{Criterion, criterion_group, criterion_main};
use dahliapoint_guard::{AdminState, Guard, Line, Server};
use std::hint::black_box;

/// Servers, parts, proxies.
const SIZES: [(usize, usize, usize); 2] = [(115, 2, 361), (384, 3, 1203)];
/// Tables of a part in transit at once.
const IN_TRANSIT: u64 = 3;

fn server(i: usize) -> Server {
    Server {
        admin_state: AdminState::Ready,
        listed_weight: 1.0 + (i % 3) as f64 / 2.0,
        overload_per_s: if i.is_multiple_of(10) {
            4.0
        } else {
            f64::INFINITY
        },
    }
}

fn line(server: usize, weight: f64) -> Line {
    Line {
        server,
        weight,
        open: true,
    }
}

fn table(part: usize, servers: usize, parts: usize, version: u64) -> Vec<Line> {
    let all = (0..servers).filter(|s| s % parts == part);
    let weight = |s: usize| {
        let cold = if s.is_multiple_of(10) { 0.1 } else { 1.0 };
        cold * (1.0 + (s as u64 + version) as f64 % 5.0 / 50.0)
    };
    all.map(|s| line(s, weight(s))).collect()
}

fn fleet(servers: usize, parts: usize) -> Guard {
    let mut guard = Guard::default();
    (0..servers).for_each(|s| guard.set_server(s, Some(s % parts), server(s)));
    for part in 0..parts {
        guard.set_load(part, 866.0 / parts as f64);
        for version in 0..=IN_TRANSIT {
            guard.record_sent(part, &table(part, servers, parts, version), true, version);
        }
    }
    guard
}

/// Reference check: goes through the table of each proxy for each cold server.
fn reference_check(tables: &[Vec<Line>], load: f64) -> usize {
    let mut overloaded = 0;
    for server in tables[0].iter().filter(|l| l.server.is_multiple_of(10)) {
        let each = tables.iter().map(|t| {
            let sum: f64 = t.iter().map(|l| l.weight).sum();
            let own = t.iter().find(|l| l.server == server.server);
            load / tables.len() as f64 * own.map_or(0.0, |l| l.weight) / sum
        });
        overloaded += usize::from(each.sum::<f64>() > 4.0);
    }
    overloaded
}

fn checks(c: &mut Criterion) {
    for (servers, parts, proxies) in SIZES {
        let mut group = c.benchmark_group(format!("{servers} servers, {proxies} proxies"));
        let guard = fleet(servers, parts);
        let wanted = table(0, servers, parts, 7);
        group.bench_function("a tick's changes, kept sums", |b| {
            b.iter(|| black_box(guard.next_step(0, &wanted)));
        });
        let mut flood = wanted.clone();
        flood.iter_mut().for_each(|l| l.weight = 1.0);
        group.bench_function("a dangerous table, and the step in its place", |b| {
            b.iter(|| black_box(guard.next_step(0, &flood)));
        });
        group.bench_function("everything computed anew", |b| {
            b.iter(|| black_box(fleet(servers, parts).next_step(0, &wanted)));
        });
        let held: Vec<Vec<Line>> = (0..proxies / parts)
            .map(|p| table(0, servers, parts, p as u64 % 4))
            .collect();
        group.bench_function("reference check, by every proxy's table", |b| {
            b.iter(|| black_box(reference_check(&held, 866.0)));
        });
        group.bench_function("a table is sent and applied", |b| {
            let mut guard = guard.clone();
            let mut serial = 100;
            b.iter(|| {
                serial += 1;
                guard.record_sent(0, &wanted[..4], false, serial);
                guard.record_applied(0, serial);
            });
        });
        group.finish();
    }
}

criterion_group!(benches, checks);
criterion_main!(benches);
