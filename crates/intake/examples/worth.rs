//! Measures what each part of the intake contributes: the error of estimates with and without it,
//! on scripted reports. Run with `cargo run --release -p dahliapoint-intake --example worth`; the
//! figures are the same each time.

use dahliapoint_intake::estimates::{Estimates, Observation};
use dahliapoint_intake::interval::ReportInterval;
use dahliapoint_intake::report_queue::{Line, ReportQueue};
use dahliapoint_intake::sampling::{Rng, keep_probability, quota, sample, threshold};
use dahliapoint_intake::timeline::Timeline;

const SERVERS: usize = 100;
const REPORTERS: usize = 200;

fn main() {
    sampling();
    stalls();
    back_pressure();
    merging();
}

fn spread(errors: &mut [f64]) -> (f64, f64) {
    errors.sort_by(f64::total_cmp);
    let at = |q: f64| errors[((errors.len() - 1) as f64 * q) as usize];
    (at(0.5) * 100.0, at(0.99) * 100.0)
}

/// Tries by reporter and server: a few servers get most of the load, reporters differ in size, and
/// one sends fifty times as much as the rest.
fn sizes(rng: &mut Rng) -> Vec<Vec<f64>> {
    let reporter_size = |r: usize| if r == 0 { 50.0 } else { 1.0 + (r % 7) as f64 };
    let server_size = |s: usize| 20.0 / (1.0 + s as f64).sqrt();
    let one = |r: usize, rng: &mut Rng| {
        (0..SERVERS)
            .map(|s| (reporter_size(r) * server_size(s) * rng.next_f64()).round())
            .collect()
    };
    (0..REPORTERS).map(|r| one(r, rng)).collect()
}

fn sampling() {
    let mut rng = Rng::from_seed(3);
    let capacity = SERVERS * REPORTERS / 10;
    let (mut by_size, mut uniform, mut first_come) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..40 {
        let sizes = sizes(&mut rng);
        let truth: Vec<f64> = (0..SERVERS)
            .map(|s| sizes.iter().map(|r| r[s]).sum())
            .collect();
        let wanted = vec![SERVERS; REPORTERS];
        let reporter_quota = quota(&wanted, capacity / 2);
        let server_quota = quota(&[REPORTERS; SERVERS], capacity / 2);
        let by_server: Vec<f64> = (0..SERVERS)
            .map(|s| {
                threshold(
                    &sizes.iter().map(|r| r[s]).collect::<Vec<_>>(),
                    server_quota,
                )
            })
            .collect();
        let mut sums = [vec![0.0; SERVERS], vec![0.0; SERVERS], vec![0.0; SERVERS]];
        let mut remaining = capacity;
        for r in &sizes {
            let level = threshold(r, reporter_quota);
            for (s, size) in r.iter().enumerate() {
                let probability =
                    keep_probability(*size, level).max(keep_probability(*size, by_server[s]));
                if let Some((factor, _)) = sample(*size, probability, &mut rng) {
                    sums[0][s] += size * factor;
                }
                if rng.next_f64() < 0.1 {
                    sums[1][s] += size * 10.0;
                }
                // Read in order of arrival until the capacity is used up; the rest is dropped.
                if remaining > 0 {
                    remaining -= 1;
                    sums[2][s] += size;
                }
            }
        }
        for (errors, sums) in [&mut by_size, &mut uniform, &mut first_come]
            .into_iter()
            .zip(&sums)
        {
            errors.extend(sums.iter().zip(&truth).map(|(s, t)| (s / t - 1.0).abs()));
        }
    }
    println!(
        "capacity for a tenth of the lines; error of a server's tries, median and 99th percentile:"
    );
    for (name, errors) in [
        ("by size, half by reporter, half by server", &mut by_size),
        ("a uniform random tenth", &mut uniform),
        ("in order of arrival, the rest dropped", &mut first_come),
    ] {
        let (half, worst) = spread(errors);
        println!("  {name:<40} {half:6.1}% {worst:6.1}%");
    }
}

/// One reporter in four stalls for ten seconds and then sends everything at once.
fn stalls() {
    let (mut by_clock, mut by_arrival) = (Estimates::new(500.0, 1), Estimates::new(500.0, 1));
    let mut clocks = vec![Timeline::new(0.0); REPORTERS];
    let mut pending: Vec<u32> = vec![0; REPORTERS];
    let (mut clock_errors, mut arrival_errors) = (Vec::new(), Vec::new());
    for round in 1..120_u32 {
        let now = f64::from(round) * 500.0;
        for r in 0..REPORTERS {
            pending[r] += 1;
            let stalls = r % 4 == 0 && (round / 20) % 2 == 1;
            if stalls {
                continue;
            }
            for _ in 0..std::mem::take(&mut pending[r]) {
                let window = clocks[r].place(now, 500.0);
                let observation = |begin, end| Observation {
                    server: 0,
                    zone: 0,
                    begin,
                    end,
                    tries: 2.0,
                    failed: 0.0,
                    good_ms: 40.0,
                    variance: 0.0,
                };
                by_clock.record(now, &observation(window.begin, window.end));
                by_arrival.record(now, &observation(now - 500.0, now));
            }
        }
        // The last two seconds, while nobody stalls: the true number of tries is known.
        if (round / 20) % 2 == 0 && round > 6 {
            let truth = 2.0 * REPORTERS as f64 * 4.0;
            let error = |e: &Estimates| {
                (e.estimate(now, 0, 2_000.0).map_or(0.0, |e| e.tries) / truth - 1.0).abs()
            };
            clock_errors.push(error(&by_clock));
            arrival_errors.push(error(&by_arrival));
        }
    }
    println!(
        "a quarter of the reporters stalls for 10 s and sends all at once; error of the last 2 s:"
    );
    for (name, errors) in [
        ("placed by the reporter's clock", &mut clock_errors),
        ("placed at the time of arrival", &mut arrival_errors),
    ] {
        let (half, worst) = spread(errors);
        println!("  {name:<40} {half:6.1}% {worst:6.1}%");
    }
}

/// Twice as many lines as can be read, at the usual interval.
fn back_pressure() {
    println!("twice as many lines as can be read, for a minute; sampled out:");
    for adapts in [true, false] {
        let mut interval = ReportInterval::new(0.0, 500.0, 4_000.0);
        let mut queue: ReportQueue<usize, usize> = ReportQueue::new(500.0, 1000, 1);
        (0..REPORTERS).for_each(|r| queue.stream_started(0.0, r));
        let mut next = vec![0.0; REPORTERS];
        for round in 1..120 {
            let now = f64::from(round) * 500.0;
            let before = queue.stats.lines;
            for (r, due) in next.iter_mut().enumerate() {
                let every = if adapts { interval.ms() } else { 500.0 };
                if now >= *due {
                    *due = now + every;
                    let lines = (0..20).map(|s| {
                        (
                            s,
                            Line {
                                tries: 3.0,
                                ..Line::default()
                            },
                        )
                    });
                    let _ = queue.push(now, &r, every, lines, std::iter::empty());
                }
            }
            interval.observe(now, (queue.stats.lines - before) as f64, 500.0);
            queue.read(now, 2_000);
        }
        let t = queue.stats;
        let share = t.sampled_out as f64 / (t.sampled_out + t.read) as f64 * 100.0;
        let name = if adapts {
            "the interval adapts"
        } else {
            "the interval is fixed"
        };
        println!("  {name:<40} {share:6.1}% of {} lines", t.lines);
    }
}

/// Reports arrive two hundred times as often as they are read.
fn merging() {
    let mut queue: ReportQueue<usize, usize> = ReportQueue::new(500.0, 1000, 1);
    (0..REPORTERS).for_each(|r| queue.stream_started(0.0, r));
    let (mut max_pending, mut read) = (0, 0);
    for i in 0..2_000_u32 {
        let now = f64::from(i) * 2.5;
        for r in 0..REPORTERS {
            let lines = (0..10).map(|s| {
                (
                    s,
                    Line {
                        tries: 1.0,
                        ..Line::default()
                    },
                )
            });
            let _ = queue.push(now, &r, 2.5, lines, std::iter::empty());
        }
        max_pending = max_pending.max(queue.pending_lines());
        if i % 200 == 199 {
            read += queue
                .read(now, 1_000_000)
                .iter()
                .map(|r| r.lines.len())
                .sum::<usize>();
        }
    }
    println!(
        "{} lines sent in 5 s, read every half second:",
        queue.stats.lines
    );
    println!(
        "  merged in the queue                      {read} read, at most {max_pending} pending"
    );
    println!(
        "  not merged                               {} read, at most {} pending",
        queue.stats.lines,
        200 * REPORTERS * 10
    );
}
