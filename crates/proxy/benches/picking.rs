//! Benchmarks picking against a linear scan, with 5, 12, 30 and 400 servers and a new table every hundred visits.
//!
//! `cargo bench -p dahliapoint-proxy`; figures are in docs/measurements.md.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dahliapoint_proxy::Rng;
use dahliapoint_proxy::load_balancing::{BalancingPolicy, Picker, WeightedServer};
use std::hint::black_box;
use std::time::Duration;

const SIZES: [usize; 4] = [5, 12, 30, 400];
const VISITS: usize = 100;

fn table(n: usize, tick: usize) -> Vec<WeightedServer> {
    let entry = |server| WeightedServer {
        server,
        weight: 0.1 + ((server * 7 + tick) % 10) as f64 / 10.0,
    };
    (0..n).map(entry).collect()
}

/// Smooth weighted round robin by a linear scan: each counter grows by its weight, the highest is picked.
fn scan_round_robin(counters: &mut [f64], table: &[WeightedServer]) -> usize {
    let (mut best, mut sum) = (0, 0.0);
    for (i, entry) in table.iter().enumerate() {
        counters[i] += entry.weight;
        sum += entry.weight;
        if counters[i] > counters[best] {
            best = i;
        }
    }
    counters[best] -= sum;
    table[best].server
}

/// A random draw by weight by a linear scan.
fn scan_draw(table: &[WeightedServer], rng: &mut Rng) -> usize {
    let total: f64 = table.iter().map(|e| e.weight).sum();
    let mut left = rng.next_f64() * total;
    for entry in table {
        left -= entry.weight;
        if left < 0.0 {
            return entry.server;
        }
    }
    table[table.len() - 1].server
}

fn picking(c: &mut Criterion) {
    let mut group = c.benchmark_group("a new table and a hundred visits");
    for n in SIZES {
        let tables: Vec<Vec<WeightedServer>> = (0..10).map(|tick| table(n, tick)).collect();
        for (name, policy) in [
            ("round robin, heap", BalancingPolicy::WeightedRoundRobin),
            ("random, Fenwick tree", BalancingPolicy::WeightedRandom),
            ("two choices, Fenwick tree", BalancingPolicy::TwoChoices),
        ] {
            group.bench_function(BenchmarkId::new(name, n), |b| {
                let mut picker = Picker::new(policy, 1);
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
        group.bench_function(BenchmarkId::new("round robin, scan", n), |b| {
            let mut counters = vec![0.0; n];
            let mut tick = 0;
            b.iter(|| {
                tick += 1;
                for _ in 0..VISITS {
                    black_box(scan_round_robin(&mut counters, &tables[tick % 10]));
                }
            });
        });
        group.bench_function(BenchmarkId::new("random, scan", n), |b| {
            let mut rng = Rng::from_seed(1);
            let mut tick = 0;
            b.iter(|| {
                tick += 1;
                for _ in 0..VISITS {
                    black_box(scan_draw(&tables[tick % 10], &mut rng));
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
