//! Picking against a plain scan, at 5, 12, 30 and 400 lines, with a new table every hundred visits.
//!
//! `cargo bench -p dahliapoint-proxy`; figures are in docs/measurements.md.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dahliapoint_proxy::Rng;
use dahliapoint_proxy::load_balancing::{BalancingPolicy, Picker, WeightedServer};
use std::hint::black_box;
use std::time::Duration;

const SIZES: [usize; 4] = [5, 12, 30, 400];
const VISITS: usize = 100;

fn lines(n: usize, tick: usize) -> Vec<WeightedServer> {
    let line = |server| WeightedServer {
        server,
        weight: 0.1 + ((server * 7 + tick) % 10) as f64 / 10.0,
    };
    (0..n).map(line).collect()
}

/// The smooth weighted order as a scan: all counters up by their weights, the highest goes.
fn scanned_order(counters: &mut [f64], lines: &[WeightedServer]) -> usize {
    let (mut best, mut sum) = (0, 0.0);
    for (i, line) in lines.iter().enumerate() {
        counters[i] += line.weight;
        sum += line.weight;
        if counters[i] > counters[best] {
            best = i;
        }
    }
    counters[best] -= sum;
    lines[best].server
}

fn scanned_draw(lines: &[WeightedServer], rng: &mut Rng) -> usize {
    let all: f64 = lines.iter().map(|l| l.weight).sum();
    let mut left = rng.next_f64() * all;
    for line in lines {
        left -= line.weight;
        if left < 0.0 {
            return line.server;
        }
    }
    lines[lines.len() - 1].server
}

fn picking(c: &mut Criterion) {
    let mut group = c.benchmark_group("a table and a hundred visits");
    for n in SIZES {
        let tables: Vec<Vec<WeightedServer>> = (0..10).map(|tick| lines(n, tick)).collect();
        for (name, way) in [
            ("turns, a heap", BalancingPolicy::WeightedRoundRobin),
            ("draws, a tree of sums", BalancingPolicy::WeightedRandom),
            ("two draws", BalancingPolicy::TwoChoices),
        ] {
            group.bench_function(BenchmarkId::new(name, n), |b| {
                let mut picker = Picker::new(way, 1);
                let mut tick = 0;
                b.iter(|| {
                    tick += 1;
                    picker.swap_table(&tables[tick % 10]);
                    for _ in 0..VISITS {
                        black_box(picker.pick(|_| true));
                    }
                });
            });
        }
        group.bench_function(BenchmarkId::new("turns, a scan", n), |b| {
            let mut counters = vec![0.0; n];
            let mut tick = 0;
            b.iter(|| {
                tick += 1;
                for _ in 0..VISITS {
                    black_box(scanned_order(&mut counters, &tables[tick % 10]));
                }
            });
        });
        group.bench_function(BenchmarkId::new("draws, a scan", n), |b| {
            let mut rng = Rng::from_seed(1);
            let mut tick = 0;
            b.iter(|| {
                tick += 1;
                for _ in 0..VISITS {
                    black_box(scanned_draw(&tables[tick % 10], &mut rng));
                }
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(400));
    targets = picking
}
criterion_main!(benches);
