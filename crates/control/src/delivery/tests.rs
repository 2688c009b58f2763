use super::*;

const P: DeliveryLimits = DeliveryLimits {
    answer_timeout_ms: 1000.0,
    withdraw_retry_ms: 10.0,
    withdraw_retry_max_ms: 25.0,
    table_retry_ms: 100.0,
    resend_max_queue_lines: 50.0,
};

#[test]
fn each_rule_fires_on_its_condition_only() {
    let quiet = DeliveryState::default();
    let since = |at| DeliveryState {
        unacknowledged_since: Some(at),
        ..quiet
    };
    let refused = |times: u32, withdrawals| {
        let mut state = quiet;
        (0..times).for_each(|_| state.refused(0.0, withdrawals));
        state
    };
    // Name, state, time, queued lines, expected action.
    let cases = [
        ("nothing is owed", quiet, 9e9, 0.0, None),
        ("answers are due", since(0.0), 999.0, 0.0, None),
        ("silent", since(0.0), 1000.0, 0.0, Some(Action::Evict)),
        (
            "eviction goes before redelivery",
            DeliveryState {
                unacknowledged_since: Some(0.0),
                ..refused(1, true)
            },
            1000.0,
            0.0,
            Some(Action::Evict),
        ),
        (
            "withdrawals are resent at once, even while the channel is full",
            refused(1, true),
            0.0,
            99.0,
            Some(Action::ResendWithdrawals),
        ),
        (
            "refused again: a delay applies",
            refused(2, true),
            19.0,
            0.0,
            None,
        ),
        (
            "the delay has doubled",
            refused(2, true),
            20.0,
            0.0,
            Some(Action::ResendWithdrawals),
        ),
        (
            "the delay is bounded",
            refused(30, true),
            25.0,
            0.0,
            Some(Action::ResendWithdrawals),
        ),
        ("but it applies", refused(30, true), 24.0, 0.0, None),
        ("a table is delayed", refused(1, false), 99.0, 0.0, None),
        (
            "a table is resent",
            refused(1, false),
            100.0,
            0.0,
            Some(Action::ResendTable),
        ),
        (
            "not while the channel is full",
            refused(1, false),
            100.0,
            50.0,
            None,
        ),
        (
            "the delay of a table doubles a few times",
            refused(40, false),
            3199.0,
            0.0,
            None,
        ),
        (
            "but not forever",
            refused(40, false),
            3200.0,
            0.0,
            Some(Action::ResendTable),
        ),
    ];
    for (name, state, now, queued_lines, wanted) in cases {
        let mut state = state;
        assert_eq!(
            next_action(&mut state, now, queued_lines, &P),
            wanted,
            "{name}"
        );
        // Each action ends the condition of its rule, so the rules stop firing.
        let rest = (0..3).filter(|_| next_action(&mut state, now, queued_lines, &P).is_some());
        assert!(rest.count() < 3, "{name}");
    }
}

#[test]
fn an_applied_table_is_no_longer_owed() {
    let mut state = DeliveryState::default();
    state.refused(0.0, false);
    state.applied(false);
    assert!(state.owed_table, "a change does not replace the table");
    state.applied(true);
    assert_eq!((state.owed_table, state.next_deadline(&P)), (false, None));
}
