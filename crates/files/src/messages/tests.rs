use super::*;

/// Proxies write these files: the keys must not follow the names in the code.
#[test]
fn json_keys_stay() {
    let heartbeat =
        r#"{"proxy":"p","zone":"z","pace":2.0,"life":1,"count":3,"holds":4,"leaves":true}"#;
    let ack = r#"{"life":1,"generation":4,"refused":"no"}"#;
    let report = r#"{"life":1,"window_ms":5.0,"classes":[{"class":"c","came":6,"met":[{"server":"s","good":7,"failed":8,"good_ms":9.0,"in_flight":10,"words":11,"own_queue":12.0,"own_ms":13.0}]}]}"#;
    let parsed: Heartbeat = serde_json::from_str(heartbeat).unwrap();
    assert_eq!(serde_json::to_string(&parsed).unwrap(), heartbeat);
    let parsed: Ack = serde_json::from_str(ack).unwrap();
    assert_eq!(serde_json::to_string(&parsed).unwrap(), ack);
    let parsed: Report = serde_json::from_str(report).unwrap();
    assert_eq!(serde_json::to_string(&parsed).unwrap(), report);
    let minimal = r#"{"proxy":"p","zone":"z","life":1,"count":3}"#;
    let parsed: Heartbeat = serde_json::from_str(minimal).unwrap();
    assert_eq!(parsed.applied_generation, None);
    assert!(!parsed.leaving);
}
