use super::*;

#[test]
fn each_check_detects_a_violation() {
    let mut relay = RelayState::default();
    relay.join(1);
    relay.join(2);
    assert!(relay.execute("bind,1,0,*"));
    assert_eq!(relay.unbound(), [2], "a proxy that is not bound");
    relay.join(1);
    assert_eq!(
        relay.unbound(),
        [1, 2],
        "one that left and came back has lost its binding"
    );
    assert!(
        !relay.execute("bind,9,0,*") && !relay.execute("share,0,s,x") && !relay.execute("nothing")
    );
    relay.calls.push("x".repeat(60_001));
    assert_eq!(relay.oversized_calls(), 1);
    assert!(relay.execute("withdraw,s-1") && relay.withdrawn.contains("s-1"));
    assert!(relay.execute("restore,s-1") && !relay.withdrawn.contains("s-1"));
}
