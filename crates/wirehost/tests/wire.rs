//! The adapter against lines of the wire: good ones, odd ones and bad ones.

use dahliapoint_wirehost::Host;
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "lanes": [
            {"aimNs": 1_000_000_000u64, "deadlineNs": 2_500_000_000u64, "credit": 1.0, "effect": "pure"},
            {"aimNs": 1_000_000_000u64, "deadlineNs": 2_500_000_000u64, "credit": 2.0,
             "effect": "side_effect"},
        ],
        "zones": ["a", "b"], "zone": 0, "registryMode": "push",
        "limits": {"probing": true, "connIdleNs": 15_000_000_000u64},
        "rules": {"coldFrom": 0.2, "fallMultiple": 3, "rampTimeNs": 16_000_000_000u64},
        "specifics": {"admit": "fraction", "baseMode": 0, "choice": "rotate", "mostWaiting": 9000,
                      "egressPerS": 9000.0, "pushDelayNs": 200_000_000u64, "standing": 5, "ingestRate": 100.0,
                      "overhead": 4, "reportEveryNs": 1_000_000_000u64, "tryAims": 1.2},
    })
}

fn born() -> Value {
    json!({"verb": "Born", "who": "controller/0", "randomSeed": 5, "settings": settings()})
}

fn catalog(state: &str) -> Value {
    let row = |id: u64| {
        json!({"cohort": 0, "generationHw": 0, "availability": "active", "startTimeNs": null,
               "backend": id, "heft": 1, "campus": id % 2})
    };
    let last = json!({"cohort": 0, "generationHw": 0, "availability": state, "startTimeNs": 0,
                      "backend": 4_000_000_007u64, "heft": 1.5, "campus": 1});
    json!({"verb": "Catalog", "sheet": 3, "elements": [row(70), row(81), last]})
}

fn member(kind: &str) -> Value {
    json!({"verb": "Membership", "who": "controller/0", "kind": kind, "gen": 1, "sheet": 3})
}

fn joined(proxy: u64) -> Value {
    json!({"verb": "Connected", "who": "controller/0", "flag": true, "heft": 6.5, "agent": proxy,
           "campus": 0})
}

fn batch(host: &mut Host, turn: u64, events: &[Value]) -> Result<Vec<Value>, String> {
    let at = 1_000_000_000_000u64 + turn * 1_000_000;
    let line = json!({"atTimeNs": at, "turn": turn, "input": events}).to_string();
    let reply: Value =
        serde_json::from_str(&host.answer(line.as_bytes())?).expect("a reply is JSON");
    assert_eq!(reply["turn"], turn);
    Ok(reply["actions"].as_array().expect("actions").clone())
}

fn of<'a>(actions: &'a [Value], verb: &str) -> Vec<&'a Value> {
    actions.iter().filter(|a| a["verb"] == verb).collect()
}

#[test]
fn a_start_fills_the_table_and_binds_who_joins() {
    let mut host = Host::default();
    let events = [born(), catalog("active"), member("warm_copy"), joined(41)];
    let actions = batch(&mut host, 1, &events).unwrap();
    let again = batch(&mut Host::default(), 1, &events).unwrap();
    assert_eq!(actions, again, "the same events make the same actions");
    let lines = of(&actions, "PutLine");
    assert_eq!(lines.len(), 3);
    assert_eq!(
        lines[2]["backend"], 4_000_000_007u64,
        "ids come back as they were"
    );
    assert_eq!(lines[2]["heft"], 1.5);
    assert_eq!(of(&actions, "UseTable")[0]["agent"], 41);
    assert_eq!(of(&actions, "Throttle")[0]["onFailure"], 1);
    assert_eq!(of(&actions, "Sleep")[0]["atNs"], 1_002_001_000_000u64);
}

#[test]
fn a_numbered_list_is_read_by_the_order_of_events() {
    let mut host = Host::default();
    let both = [
        born(),
        catalog("active"),
        member("warm_copy"),
        catalog("leaving"),
        member("incr"),
    ];
    let actions = batch(&mut host, 1, &both).unwrap();
    let masks = of(&actions, "Mask");
    assert_eq!((masks.len(), &masks[0]["flag"]), (1, &json!(true)));
    assert_eq!(masks[0]["backend"], 4_000_000_007u64);
}

#[test]
fn legal_but_odd_input_is_taken_calmly() {
    let odd = [
        member("lost"),
        joined(7),
        joined(7),
        json!({"verb": "DroppedOff", "who": "controller/0", "agent": 9}),
        json!({"verb": "Acked", "who": "controller/0", "agent": 9, "gen": 3, "costTimeNs": 5}),
        json!({"verb": "DeadlineHit", "who": "controller/0", "ref": 99}),
        json!({"verb": "UpstreamStats", "who": "controller/0", "campus": 0, "bad": 0, "n": 4,
               "costTimeNs": 48_250_000, "windowNs": 1_000_000_000, "backend": 999,
               "telemetry": {"backlog": 3, "a_new_one": 1.5}}),
        json!({"verb": "UpstreamStats", "who": "controller/0", "campus": 0, "bad": 0, "n": 4,
               "costTimeNs": 48_250_000, "windowNs": 0, "backend": 7, "telemetry": null}),
        json!({"verb": "Custody", "who": "controller/0", "table": 1, "flag": true}),
        json!({"verb": "NeighbourSays", "who": "controller/0", "src": 2, "bytes": "aGk="}),
        json!({"verb": "Retire", "who": "controller/0"}),
        json!({"verb": "DeadlineHit", "who": "controller/0", "ref": 99}),
        born(),
        born(),
    ];
    let mut host = Host::default();
    assert_eq!(batch(&mut host, 1, &[]).unwrap(), Vec::<Value>::new());
    batch(
        &mut host,
        2,
        &[born(), catalog("active"), member("warm_copy")],
    )
    .unwrap();
    for (turn, event) in odd.into_iter().enumerate() {
        let actions = batch(&mut host, 3 + turn as u64, std::slice::from_ref(&event)).unwrap();
        assert!(actions.iter().all(|a| a["backend"] != 999), "{event}");
    }
}

#[test]
fn bad_input_is_named_by_batch_event_and_field() {
    let without = |mut event: Value, field: &str| {
        event.as_object_mut().unwrap().remove(field);
        event
    };
    let with = |mut event: Value, field: &str, value: Value| {
        event[field] = value;
        event
    };
    let mut cold = born();
    cold["settings"]["rules"]["coldFrom"] = json!("much");
    let mut worth = born();
    worth["settings"]["lanes"][1]
        .as_object_mut()
        .unwrap()
        .remove("credit");
    let mut pace = born();
    pace["settings"]["specifics"]["egressPerS"] = json!(-1);
    let met = json!({"verb": "UpstreamStats", "who": "controller/0", "campus": 0, "bad": 0, "n": 4,
                     "costTimeNs": 5, "windowNs": 0, "backend": 7});
    let mut row = catalog("active");
    row["elements"][1]["campus"] = json!("east");
    let cases = [
        (
            without(joined(1), "agent"),
            ["Connected", "\"agent\" is missing"],
        ),
        (
            with(joined(1), "agent", json!(-1)),
            ["Connected", "\"agent\" is not a whole number"],
        ),
        (
            with(joined(1), "flag", json!(1)),
            ["Connected", "\"flag\" is not true or false"],
        ),
        (
            with(joined(1), "who", json!("controller/9")),
            ["Connected", "\"who\" is not an instance"],
        ),
        (
            with(member("incr"), "sheet", json!(4)),
            ["Membership", "\"sheet\" is not a list"],
        ),
        (
            member("some"),
            ["Membership", "\"kind\" is not a kind of list"],
        ),
        (
            json!({"verb": "Sing", "who": "controller/0"}),
            ["Sing", "no such event"],
        ),
        (
            json!({"who": "controller/0"}),
            ["event", "\"verb\" is missing"],
        ),
        (json!(7), ["event", "event is not an object"]),
        (
            without(met.clone(), "windowNs"),
            ["UpstreamStats", "\"windowNs\" is missing"],
        ),
        (
            with(met.clone(), "windowNs", json!(-1)),
            ["UpstreamStats", "\"windowNs\" is not a whole number"],
        ),
        (
            with(met, "windowNs", json!("long")),
            ["UpstreamStats", "\"windowNs\" is not a whole number"],
        ),
        (cold, ["Born", "settings.rules.coldFrom"]),
        (pace, ["Born", "settings.specifics.egressPerS"]),
        (worth, ["Born", "settings.lanes[1]"]),
        (row, ["Catalog", "\"campus\" is not a whole number"]),
    ];
    for (event, parts) in cases {
        let mut host = Host::default();
        batch(
            &mut host,
            1,
            &[born(), catalog("active"), member("warm_copy")],
        )
        .unwrap();
        let said = batch(&mut host, 12, &[joined(3), event]).unwrap_err();
        assert!(said.starts_with("batch 12, event 1"), "{said}");
        assert!(parts.iter().all(|part| said.contains(part)), "{said}");
    }
    for line in [
        "",
        "{",
        "[]",
        "{\"turn\":1}",
        "{\"turn\":1,\"atTimeNs\":5,\"input\":{}}",
    ] {
        assert!(Host::default().answer(line.as_bytes()).is_err(), "{line}");
    }
}
