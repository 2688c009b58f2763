//! Compares the intake's data structures with simpler ones, at sizes of 100, 1,000 and 10,000. Run
//! with `cargo bench -p dahliapoint-intake`; results are in docs/measurements.md.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dahliapoint_intake::coverage::Coverage;
use dahliapoint_intake::report_queue::{Line, ReportQueue};
use dahliapoint_intake::ring::{Accumulate, Ring};
use dahliapoint_intake::sketch::QuantileSketch;
use dahliapoint_intake::timer_wheel::TimerWheel;
use std::collections::{BTreeMap, VecDeque};
use std::hint::black_box;
use std::time::Duration;

const SIZES: [usize; 3] = [100, 1_000, 10_000];

#[derive(Clone, Debug, Default)]
struct Count(f64);

impl Accumulate for Count {
    fn add(&mut self, other: &Count) {
        self.0 += other.0;
    }
}

fn draws(n: usize) -> Vec<f64> {
    let mut state = 9_u64;
    (0..n)
        .map(|_| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (state >> 33) as f64 / f64::from(1_u32 << 31)
        })
        .collect()
}

/// Expiry: every reporter reports ten times, and each round takes the expired ones.
fn wheel(c: &mut Criterion) {
    let mut group = c.benchmark_group("expiry");
    for n in SIZES {
        group.bench_function(BenchmarkId::new("wheel", n), |b| {
            b.iter(|| {
                let mut wheel = TimerWheel::new(0.0, 500.0);
                for round in 0..10 {
                    let now = f64::from(round) * 500.0;
                    (0..n).for_each(|r| wheel.schedule(r, now + 3_000.0));
                    black_box(wheel.pop_expired(now));
                }
            });
        });
        group.bench_function(BenchmarkId::new("ordered map", n), |b| {
            b.iter(|| {
                let mut due: BTreeMap<(u64, usize), ()> = BTreeMap::new();
                let mut at: BTreeMap<usize, u64> = BTreeMap::new();
                for round in 0..10_u64 {
                    let now = round * 500;
                    for r in 0..n {
                        if let Some(old) = at.insert(r, now + 3_000) {
                            due.remove(&(old, r));
                        }
                        due.insert((now + 3_000, r), ());
                    }
                    while due
                        .first_key_value()
                        .is_some_and(|((at, _), ())| *at <= now)
                    {
                        black_box(due.pop_first());
                    }
                }
            });
        });
    }
    group.finish();
}

/// Sums over the last five seconds after `n` lines.
fn ring(c: &mut Criterion) {
    let mut group = c.benchmark_group("sums over time");
    for n in SIZES {
        let at: Vec<f64> = (0..n).map(|i| i as f64 * 10_000.0 / n as f64).collect();
        group.bench_function(BenchmarkId::new("ring", n), |b| {
            b.iter(|| {
                let mut ring = Ring::new(500.0);
                for t in &at {
                    black_box(ring.add(*t, *t, &Count(1.0)));
                }
                black_box(ring.sum(10_000.0, 5_000.0, 0))
            });
        });
        group.bench_function(BenchmarkId::new("queue of lines", n), |b| {
            b.iter(|| {
                let mut queue: VecDeque<(f64, f64)> = VecDeque::new();
                for t in &at {
                    queue.push_back((*t, 1.0));
                    while queue.front().is_some_and(|(old, _)| *old < t - 16_000.0) {
                        queue.pop_front();
                    }
                }
                black_box(
                    queue
                        .iter()
                        .filter(|(t, _)| *t > 5_000.0)
                        .map(|(_, n)| n)
                        .sum::<f64>(),
                )
            });
        });
    }
    group.finish();
}

/// The 95th percentile of `n` times, merged from ten parts.
fn sketch(c: &mut Criterion) {
    let mut group = c.benchmark_group("quantile of ten merged parts");
    for n in SIZES {
        let values: Vec<f64> = draws(n).iter().map(|x| 5.0 + 200.0 * x * x).collect();
        let parts: Vec<&[f64]> = values.chunks(n.div_ceil(10)).collect();
        let sketches: Vec<QuantileSketch> = parts
            .iter()
            .map(|part| {
                let mut s = QuantileSketch::default();
                part.iter().for_each(|v| s.add(*v, 1.0));
                s
            })
            .collect();
        group.bench_function(BenchmarkId::new("sketch", n), |b| {
            b.iter(|| {
                let mut all = QuantileSketch::default();
                sketches.iter().for_each(|s| all.merge(s));
                black_box(all.quantile(0.95))
            });
        });
        group.bench_function(BenchmarkId::new("sorted values", n), |b| {
            b.iter(|| {
                let mut all: Vec<f64> = parts.iter().flat_map(|p| p.iter().copied()).collect();
                all.sort_unstable_by(f64::total_cmp);
                black_box(all[all.len() * 95 / 100])
            });
        });
    }
    group.finish();
}

/// `n` reports of ten lines between two rounds, and reading them.
fn report_queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("reports of a round");
    for n in SIZES {
        let line = Line {
            tries: 3.0,
            good_ms: 60.0,
            ..Line::default()
        };
        group.bench_function(BenchmarkId::new("report queue", n), |b| {
            b.iter(|| {
                let mut queue: ReportQueue<usize, usize> = ReportQueue::new(500.0, 1000, 1);
                (0..50).for_each(|r| queue.stream_started(0.0, r));
                for i in 0..n {
                    let now = i as f64 * 500.0 / n as f64;
                    let lines = (0..10).map(|s| (s, line));
                    let _ = queue.push(now, &(i % 50), 10.0, lines, std::iter::empty());
                }
                black_box(queue.read(500.0, 10_000))
            });
        });
        group.bench_function(BenchmarkId::new("queue of reports", n), |b| {
            b.iter(|| {
                let mut queue: VecDeque<(usize, Vec<(usize, Line)>)> = VecDeque::new();
                for i in 0..n {
                    queue.push_back((i % 50, (0..10).map(|s| (s, line)).collect()));
                }
                let mut sums: BTreeMap<usize, f64> = BTreeMap::new();
                for (_, lines) in queue {
                    for (server, line) in lines {
                        *sums.entry(server).or_default() += line.tries;
                    }
                }
                black_box(sums)
            });
        });
    }
    group.finish();
}

/// The reporting share of each of `n` servers with twelve reporters each.
fn reporting_share(c: &mut Criterion) {
    let mut group = c.benchmark_group("reporting share of every server");
    for n in SIZES {
        let mut coverage = Coverage::new(0.0, 500.0);
        let mut map: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for server in 0..n {
            for i in 0..12 {
                let proxy = (server * 7 + i * 13) % 400;
                coverage.report_received(0.0, proxy, 500.0);
                coverage.record_tries(proxy, server, 5.0);
                map.insert((proxy, server), 5.0);
            }
        }
        group.bench_function(BenchmarkId::new("index by server", n), |b| {
            b.iter(|| black_box((0..n).map(|s| coverage.reporting_share(s)).sum::<f64>()));
        });
        group.bench_function(BenchmarkId::new("map by proxy", n), |b| {
            b.iter(|| {
                let mut sums = vec![0.0; n];
                map.iter()
                    .for_each(|((_, server), tries)| sums[*server] += tries);
                black_box(sums)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = structures;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(600));
    targets = wheel, ring, sketch, report_queue, reporting_share
}
criterion_main!(structures);
