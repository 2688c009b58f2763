//! Decides whether a failed visit is tried again. Rules are applied in order; the first that refuses decides.

/// Tries that a retry budget holds at most, and at its start.
const MAX_BUDGET_TRIES: f64 = 10.0;

/// What running a visit of a class more than once does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run again: it only reads.
    Safe,
    /// Safe to run again while servers remember its idempotency key.
    Keyed,
    /// Must never run twice.
    Never,
}

/// When the controller allows a visit of a class to be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    Never,
    /// Once, if the first try provably never ran.
    OnProof,
    /// Once, after any failure.
    OnFailure,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Provably nothing ran: the connection was refused, or the server said so.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// Why a visit is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRefusal {
    NotInPolicy,
    AlreadyRetried,
    MayRunTwice,
    NoTimeLeft,
    BudgetExhausted,
}

/// Pays for retries with a share of the visits that come in, so that retries cannot amplify an outage.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tries_per_visit: f64,
    tries: f64,
}

impl RetryBudget {
    /// A full budget that gains `tries_per_visit` with each visit.
    pub fn new(tries_per_visit: f64) -> RetryBudget {
        RetryBudget {
            tries_per_visit,
            tries: MAX_BUDGET_TRIES,
        }
    }

    /// Counts a visit that came in.
    pub fn visit(&mut self) {
        self.tries = (self.tries + self.tries_per_visit).min(MAX_BUDGET_TRIES);
    }
}

/// A visit whose last try failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedTry {
    pub idempotency: Idempotency,
    pub policy: RetryPolicy,
    pub failure: Failure,
    /// Tries so far.
    pub tries: u32,
    /// Time left until the hard limit of the visit.
    pub left_ms: f64,
}

type Rule = fn(&FailedTry) -> Option<RetryRefusal>;

const RULES: [Rule; 4] = [
    refuse_outside_policy,
    refuse_second_retry,
    refuse_running_twice,
    refuse_after_hard_limit,
];

fn refuse_outside_policy(f: &FailedTry) -> Option<RetryRefusal> {
    let is_allowed = match f.policy {
        RetryPolicy::Never => false,
        RetryPolicy::OnProof => f.failure == Failure::NeverRan,
        RetryPolicy::OnFailure => true,
    };
    (!is_allowed).then_some(RetryRefusal::NotInPolicy)
}

fn refuse_second_retry(f: &FailedTry) -> Option<RetryRefusal> {
    (f.tries > 1).then_some(RetryRefusal::AlreadyRetried)
}

/// Applies whatever the policy says: guards against a policy that is wrong for the class. A keyed visit counts
/// as not idempotent here: only servers that share their keys recognise it, and a proxy does not know which do.
fn refuse_running_twice(f: &FailedTry) -> Option<RetryRefusal> {
    let may_run_twice = f.idempotency != Idempotency::Safe && f.failure == Failure::MayHaveRun;
    may_run_twice.then_some(RetryRefusal::MayRunTwice)
}

fn refuse_after_hard_limit(f: &FailedTry) -> Option<RetryRefusal> {
    (f.left_ms <= 0.0).then_some(RetryRefusal::NoTimeLeft)
}

/// Decides whether a failed visit is tried again, and takes one try from the budget if so.
///
/// # Errors
/// Why it is not tried again.
pub fn check_retry(failed: &FailedTry, budget: &mut RetryBudget) -> Result<(), RetryRefusal> {
    if let Some(refusal) = RULES.iter().find_map(|rule| rule(failed)) {
        return Err(refusal);
    }
    if budget.tries < 1.0 {
        return Err(RetryRefusal::BudgetExhausted);
    }
    budget.tries -= 1.0;
    Ok(())
}
