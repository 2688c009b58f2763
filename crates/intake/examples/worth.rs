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
    ageing();
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
fn sizes(chance: &mut Rng) -> Vec<Vec<f64>> {
    let loud = |r: usize| if r == 0 { 50.0 } else { 1.0 + (r % 7) as f64 };
    let much = |s: usize| 20.0 / (1.0 + s as f64).sqrt();
    let one = |r: usize, chance: &mut Rng| {
        (0..SERVERS)
            .map(|s| (loud(r) * much(s) * chance.next_f64()).round())
            .collect()
    };
    (0..REPORTERS).map(|r| one(r, chance)).collect()
}

fn sampling() {
    let mut chance = Rng::from_seed(3);
    let room = SERVERS * REPORTERS / 10;
    let (mut ours, mut plain, mut first) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..40 {
        let sizes = sizes(&mut chance);
        let truth: Vec<f64> = (0..SERVERS)
            .map(|s| sizes.iter().map(|r| r[s]).sum())
            .collect();
        let wanted = vec![SERVERS; REPORTERS];
        let each = quota(&wanted, room / 2);
        let of_each = quota(&[REPORTERS; SERVERS], room / 2);
        let by_server: Vec<f64> = (0..SERVERS)
            .map(|s| threshold(&sizes.iter().map(|r| r[s]).collect::<Vec<_>>(), of_each))
            .collect();
        let mut sums = [vec![0.0; SERVERS], vec![0.0; SERVERS], vec![0.0; SERVERS]];
        let mut left = room;
        for r in &sizes {
            let level = threshold(r, each);
            for (s, size) in r.iter().enumerate() {
                let odds =
                    keep_probability(*size, level).max(keep_probability(*size, by_server[s]));
                if let Some((factor, _)) = sample(*size, odds, &mut chance) {
                    sums[0][s] += size * factor;
                }
                if chance.next_f64() < 0.1 {
                    sums[1][s] += size * 10.0;
                }
                // Read in order of arrival until the capacity is used up; the rest is dropped.
                if left > 0 {
                    left -= 1;
                    sums[2][s] += size;
                }
            }
        }
        for (errors, sums) in [&mut ours, &mut plain, &mut first].into_iter().zip(&sums) {
            errors.extend(sums.iter().zip(&truth).map(|(s, t)| (s / t - 1.0).abs()));
        }
    }
    println!(
        "a tenth of the lines can be read; error of a server's tries, median and 99th of 100:"
    );
    for (name, errors) in [
        ("by size, half by reporter, half by server", &mut ours),
        ("a plain random tenth", &mut plain),
        ("the first that come, the rest dropped", &mut first),
    ] {
        let (half, worst) = spread(errors);
        println!("  {name:<40} {half:6.1}% {worst:6.1}%");
    }
}

/// One reporter in four stalls for ten seconds and then sends everything at once.
fn ageing() {
    let (mut placed, mut arrived) = (Estimates::new(500.0, 1), Estimates::new(500.0, 1));
    let mut clocks = vec![Timeline::new(0.0); REPORTERS];
    let mut held: Vec<u32> = vec![0; REPORTERS];
    let (mut ours, mut plain) = (Vec::new(), Vec::new());
    for round in 1..120_u32 {
        let now = f64::from(round) * 500.0;
        for r in 0..REPORTERS {
            held[r] += 1;
            let stalls = r % 4 == 0 && (round / 20) % 2 == 1;
            if stalls {
                continue;
            }
            for _ in 0..std::mem::take(&mut held[r]) {
                let stretch = clocks[r].place(now, 500.0);
                let noted = |begin, end| Observation {
                    server: 0,
                    zone: 0,
                    begin,
                    end,
                    tries: 2.0,
                    failed: 0.0,
                    good_ms: 40.0,
                    variance: 0.0,
                };
                placed.record(now, &noted(stretch.begin, stretch.end));
                arrived.record(now, &noted(now - 500.0, now));
            }
        }
        // The last two seconds, while nobody stalls: the true number of tries is known.
        if (round / 20) % 2 == 0 && round > 6 {
            let truth = 2.0 * REPORTERS as f64 * 4.0;
            let error = |e: &Estimates| {
                (e.estimate(now, 0, 2_000.0).map_or(0.0, |e| e.tries) / truth - 1.0).abs()
            };
            ours.push(error(&placed));
            plain.push(error(&arrived));
        }
    }
    println!(
        "a quarter of the reporters stalls for 10 s and tells all at once; error of the last 2 s:"
    );
    for (name, errors) in [
        ("placed by the reporter's clock", &mut ours),
        ("taken for the moment of arrival", &mut plain),
    ] {
        let (half, worst) = spread(errors);
        println!("  {name:<40} {half:6.1}% {worst:6.1}%");
    }
}

/// Twice as many lines as can be read, at the usual interval.
fn back_pressure() {
    println!("twice as many lines come as can be read, for a minute; left unread:");
    for asks in [true, false] {
        let mut interval = ReportInterval::new(0.0, 500.0, 4_000.0);
        let mut mouth: ReportQueue<usize, usize> = ReportQueue::new(500.0, 1000, 1);
        (0..REPORTERS).for_each(|r| mouth.stream_started(0.0, r));
        let mut next = vec![0.0; REPORTERS];
        for round in 1..120 {
            let now = f64::from(round) * 500.0;
            let before = mouth.stats.lines;
            for (r, due) in next.iter_mut().enumerate() {
                let every = if asks { interval.ms() } else { 500.0 };
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
                    let _ = mouth.push(now, &r, every, lines, std::iter::empty());
                }
            }
            interval.observe(now, (mouth.stats.lines - before) as f64, 500.0);
            mouth.read(now, 2_000);
        }
        let t = mouth.stats;
        let share = t.sampled_out as f64 / (t.sampled_out + t.read) as f64 * 100.0;
        let name = if asks {
            "the interval is moved"
        } else {
            "the interval stays"
        };
        println!(
            "  {name:<40} {share:6.1}% of the lines, {} lines came",
            t.lines
        );
    }
}

/// Reports arrive two hundred times as often as they are read.
fn merging() {
    let mut mouth: ReportQueue<usize, usize> = ReportQueue::new(500.0, 1000, 1);
    (0..REPORTERS).for_each(|r| mouth.stream_started(0.0, r));
    let (mut most, mut read) = (0, 0);
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
            let _ = mouth.push(now, &r, 2.5, lines, std::iter::empty());
        }
        most = most.max(mouth.pending_lines());
        if i % 200 == 199 {
            read += mouth
                .read(now, 1_000_000)
                .iter()
                .map(|r| r.lines.len())
                .sum::<usize>();
        }
    }
    println!(
        "{} lines told in 5 s, a round each half second:",
        mouth.stats.lines
    );
    println!("  merged at the mouth                      {read} read, {most} waiting at the most");
    println!(
        "  queued                                   {} read, {} waiting at the most",
        mouth.stats.lines,
        200 * REPORTERS * 10
    );
}
