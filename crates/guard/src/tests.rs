use super::*;
use AdminState::{Draining, Ready};
use Reason::*;

fn line(server: usize, weight: f64) -> Line {
    Line {
        server,
        weight,
        open: true,
    }
}

/// Four servers in one part: three warm, the fourth cold and overloaded at 10 visits a second; load
/// 100.
fn fleet() -> Guard {
    let mut guard = Guard::default();
    for s in 0..4 {
        let now = Server {
            admin_state: Ready,
            listed_weight: 1.0,
            overload_per_s: if s == 3 { 10.0 } else { f64::INFINITY },
        };
        guard.set_server(s, Some(0), now);
    }
    guard.set_load(0, 100.0);
    guard.record_sent(0, &[line(0, 1.0), line(1, 1.0), line(2, 1.0)], true, 1);
    guard
}

#[test]
fn each_rule_reports_its_violation_only() {
    let all = |weights: [f64; 4]| [0, 1, 2, 3].map(|s| line(s, weights[s]));
    let cases: [(&str, Vec<Line>, &[Reason]); 9] = [
        ("no change", vec![], &[]),
        ("a little for the cold server", vec![line(3, 0.2)], &[]),
        ("much for the cold server", vec![line(3, 0.5)], &[Cold]),
        ("no server", all([0.0; 4]).to_vec(), &[Empty]),
        (
            "only the cold server",
            all([0.0, 0.0, 0.0, 0.001]).to_vec(),
            &[Cold, OnlyCold, LargeStep],
        ),
        (
            "one server has everything",
            all([1.0, 0.0, 0.0, 0.0]).to_vec(),
            &[LargeStep],
        ),
        (
            "two servers have everything",
            all([1.0, 1.0, 0.0, 0.0]).to_vec(),
            &[],
        ),
        (
            "weights of 10,000 and 1",
            vec![line(1, 10_000.0)],
            &[LargeStep],
        ),
        ("equal weights", all([1.0; 4]).to_vec(), &[Cold]),
    ];
    for (name, changed, wanted) in cases {
        let found = fleet().check(0, &changed, false);
        let reasons: Vec<Reason> = found.iter().map(|d| d.reason).collect();
        assert_eq!(reasons, wanted, "{name}: {found:?}");
    }
}

#[test]
fn one_server_of_many_is_not_overweight() {
    let mut guard = Guard::default();
    for s in 0..20 {
        let now = Server {
            admin_state: Ready,
            listed_weight: 1.0,
            overload_per_s: f64::INFINITY,
        };
        guard.set_server(s, Some(0), now);
    }
    let lines: Vec<Line> = (0..20).map(|s| line(s, 1.0)).collect();
    guard.record_sent(0, &lines, true, 1);
    assert_eq!(
        guard.check(0, &[line(3, 12.0)], false),
        [],
        "a third of the table"
    );
    let found = guard.check(0, &[line(3, 15.0)], false);
    assert_eq!(
        found.iter().map(|d| d.reason).collect::<Vec<_>>(),
        [Overweight]
    );
    guard.record_sent(0, &[line(3, 15.0)], false, 2);
    assert_eq!(
        guard.check(0, &[line(5, 1.1)], false),
        [],
        "a server may keep its share"
    );
}

#[test]
fn older_tables_count_until_all_proxies_have_applied() {
    let mut guard = fleet();
    // Another part brings load to the same cold server by an old table that some proxies still
    // hold.
    guard.set_load(1, 100.0);
    guard.record_sent(1, &[line(0, 0.94), line(3, 0.06)], true, 2);
    guard.record_sent(1, &[line(0, 1.0)], true, 3);
    assert_eq!(guard.check(0, &[line(3, 0.1)], false)[0].reason, Cold);
    guard.record_applied(1, 2);
    assert_eq!(guard.check(0, &[line(3, 0.1)], false)[0].reason, Cold);
    guard.record_applied(1, 3);
    assert_eq!(guard.check(0, &[line(3, 0.1)], false), []);
}

#[test]
fn withdrawals_pass_and_drains_are_not_undone() {
    let mut guard = fleet();
    let drains = Server {
        admin_state: Draining,
        listed_weight: 1.0,
        overload_per_s: f64::INFINITY,
    };
    (0..2).for_each(|s| guard.set_server(s, Some(0), drains));
    let withdrawn = |server| Line {
        server,
        weight: 1.0,
        open: false,
    };
    assert_eq!(
        guard.check(0, &[withdrawn(0), withdrawn(1)], false),
        [],
        "two of three drain"
    );
    let found = guard.check(0, &[line(0, 1.0)], false);
    assert_eq!(
        found.iter().map(|d| d.reason).collect::<Vec<_>>(),
        [NotReady]
    );
    // No server is ready: the table may be empty.
    (2..4).for_each(|s| guard.set_server(s, Some(0), drains));
    assert_eq!(guard.check(0, &[0, 1, 2].map(withdrawn), false), []);
}
