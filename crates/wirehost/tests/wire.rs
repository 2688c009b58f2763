//! Tests of the adapter with batches of events: valid, unusual and invalid ones.

use dahliapoint_wirehost::Host;
use serde_json::{Value, json};
use std::collections::HashMap;

const BORN: &str = r#"{"verb":"Born","who":"controller/0","randomSeed":5,"settings":{
 "lanes":[{"aimNs":1000000000,"deadlineNs":2500000000,"credit":1,"effect":"pure"},
          {"aimNs":1000000000,"deadlineNs":2500000000,"credit":2,"effect":"side_effect"}],
 "zones":["a","b"],"zone":0,"registryMode":"push",
 "limits":{"probing":true,"connIdleNs":15000000000},
 "rules":{"coldFrom":0.2,"fallMultiple":3,"rampTimeNs":16000000000},
 "specifics":{"admit":"fraction","baseMode":0,"choice":"rotate","mostWaiting":9000,"overhead":4,
  "egressPerS":9000,"pushDelayNs":200000000,"standing":5,"ingestRate":100,"tryAims":1.2,
  "reportEveryNs":1000000000}}}"#;
const LIST: &str = r#"{"verb":"Catalog","sheet":3,"elements":[
 {"cohort":0,"generationHw":0,"availability":"active","startTimeNs":null,"backend":70,"heft":1,"campus":0},
 {"cohort":0,"generationHw":0,"availability":"active","startTimeNs":null,"backend":81,"heft":1,"campus":1},
 {"cohort":0,"generationHw":0,"availability":"active","startTimeNs":0,"backend":4000000007,"heft":1.5,"campus":1}]}"#;
const ROSTER: &str =
    r#"{"verb":"Membership","who":"controller/0","kind":"warm_copy","gen":1,"sheet":3}"#;
const JOINED: &str =
    r#"{"verb":"Connected","who":"controller/0","flag":true,"heft":6.5,"agent":41,"campus":0}"#;
const STATS: &str = r#"{"verb":"UpstreamStats","who":"controller/0","campus":0,"bad":0,"n":4,
 "costTimeNs":48250000,"windowNs":0,"backend":70,"telemetry":{"backlog":3,"a_new_one":1.5}}"#;
const VISITS: &str =
    r#"{"verb":"Ingress","who":"controller/0","n":9,"bad":0,"windowNs":0,"agent":41,"grade":0}"#;

/// Sends a batch of events and returns the actions.
fn batch(host: &mut Host, turn: u64, events: &[&str]) -> Result<Vec<Value>, String> {
    let at = 1_000_000_000_000u64 + turn * 1_000_000;
    let line = format!(
        r#"{{"atTimeNs":{at},"turn":{turn},"input":[{}]}}"#,
        events.join(",")
    );
    let reply: Value =
        serde_json::from_str(&host.handle_batch(line.as_bytes())?).expect("a reply is JSON");
    assert_eq!(reply["turn"], turn);
    Ok(reply["actions"].as_array().expect("actions").clone())
}

/// The actions with this verb.
fn with_verb<'a>(actions: &'a [Value], verb: &str) -> Vec<&'a Value> {
    actions.iter().filter(|a| a["verb"] == verb).collect()
}

#[test]
fn a_started_instance_publishes_weights_and_binds_proxies() {
    let events = [BORN, LIST, ROSTER, JOINED];
    let actions = batch(&mut Host::default(), 1, &events).unwrap();
    let again = batch(&mut Host::default(), 1, &events).unwrap();
    assert_eq!(actions, again, "the same events make the same actions");
    let lines = with_verb(&actions, "PutLine");
    assert_eq!((lines.len(), &lines[2]["heft"]), (3, &json!(1.5)));
    assert_eq!(
        lines[2]["backend"], 4_000_000_007u64,
        "servers keep their ids"
    );
    assert_eq!(with_verb(&actions, "UseTable")[0]["agent"], 41);
    assert_eq!(with_verb(&actions, "Throttle")[0]["onFailure"], 1);
    assert_eq!(
        with_verb(&actions, "Sleep")[0]["atNs"],
        1_002_001_000_000u64
    );
    assert_eq!(
        with_verb(&actions, "Mark").len(),
        1,
        "one message per input"
    );
}

#[test]
fn a_list_number_refers_to_the_latest_list() {
    let leaving = LIST.replace(
        "\"active\",\"startTimeNs\":0",
        "\"leaving\",\"startTimeNs\":0",
    );
    let changed = ROSTER.replace("warm_copy", "incr");
    let both = [BORN, LIST, ROSTER, &leaving, &changed];
    let actions = batch(&mut Host::default(), 1, &both).unwrap();
    let masks = with_verb(&actions, "Mask");
    assert_eq!((masks.len(), &masks[0]["flag"]), (1, &json!(true)));
    assert_eq!(masks[0]["backend"], 4_000_000_007u64);
}

#[test]
fn unusual_input_is_accepted() {
    let events = [
        &ROSTER.replace("warm_copy", "lost"),
        JOINED,
        STATS,
        VISITS,
        &STATS.replace("\"backend\":70", "\"backend\":999"),
        &VISITS.replace("41", "9"),
        r#"{"verb":"DroppedOff","who":"controller/0","agent":9}"#,
        r#"{"verb":"Acked","who":"controller/0","agent":9,"gen":3,"costTimeNs":5}"#,
        r#"{"verb":"DeadlineHit","who":"controller/0","ref":99}"#,
        r#"{"verb":"Custody","who":"controller/0","table":1,"flag":true}"#,
        r#"{"verb":"NeighbourSays","who":"controller/0","src":2,"bytes":"aGk="}"#,
        r#"{"verb":"Retire","who":"controller/0"}"#,
        r#"{"verb":"DeadlineHit","who":"controller/0","ref":99}"#,
        BORN,
    ];
    let mut host = Host::default();
    assert_eq!(batch(&mut host, 1, &[]).unwrap(), Vec::<Value>::new());
    batch(&mut host, 2, &[BORN, LIST, ROSTER]).unwrap();
    for (turn, event) in events.into_iter().enumerate() {
        let actions = batch(&mut host, 3 + turn as u64, &[event]).unwrap();
        assert!(actions.iter().all(|a| a["backend"] != 999), "{event}");
    }
}

#[test]
fn errors_name_the_batch_the_event_and_the_field() {
    // Event | text in it | replacement | text of the error
    let cases = r#"
        joined | "agent":41,   |                  | Connected: field "agent" is missing
        joined | 41            | -1               | "agent" is not a whole number
        joined | true          | 1                | "flag" is not true or false
        joined | 6.5           | -6.5             | "heft" is not a number from 0 up
        joined | controller/0  | controller/9     | "who" is not an instance
        roster | "sheet":3     | "sheet":4        | "sheet" is not a list
        roster | warm_copy     | some             | "kind" is not a kind of list
        roster | Membership    | Sing             | Sing: no such event
        roster | "verb"        | "noun"           | event: field "verb" is missing
        stats  | "windowNs":0, |                  | "windowNs" is missing
        stats  | "windowNs":0  | "windowNs":-1    | "windowNs" is not a whole number
        stats  | "windowNs":0  | "windowNs":"x"   | "windowNs" is not a whole number
        visits | "n":9         | "n":-9           | Ingress: field "n" is not a whole number
        visits | "grade":0     | "grade":2        | "grade" is not a whole number below 2
        born   | 0.2           | "much"           | Born: field "settings.rules.coldFrom"
        born   | S":9000       | S":-1            | settings.specifics.egressPerS
        born   | "credit":2,   |                  | settings.lanes[1]
        list   | "campus":0    | "campus":"east"  | "campus" is not a whole number"#;
    let events = [("joined", JOINED), ("roster", ROSTER), ("stats", STATS)];
    let events: HashMap<_, _> = [("visits", VISITS), ("born", BORN), ("list", LIST)]
        .into_iter()
        .chain(events)
        .collect();
    for case in cases.trim().lines() {
        let parts: Vec<_> = case.split('|').map(str::trim).collect();
        let [event, old, new, text] = parts[..] else {
            panic!("{case}");
        };
        let event = events[event];
        assert!(event.contains(old), "{old} in {event}");
        let mut host = Host::default();
        batch(&mut host, 1, &[BORN, LIST, ROSTER]).unwrap();
        let error = batch(&mut host, 12, &[JOINED, &event.replace(old, new)]).unwrap_err();
        assert!(error.starts_with("batch 12, event 1"), "{error}");
        assert!(error.contains(text), "{error}");
    }
    for line in [
        "",
        "{",
        "[]",
        "{\"turn\":1}",
        "{\"turn\":1,\"atTimeNs\":5,\"input\":{}}",
    ] {
        assert!(
            Host::default().handle_batch(line.as_bytes()).is_err(),
            "{line}"
        );
    }
}
