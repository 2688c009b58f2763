//! Whether a visit is let in, and whether one that failed is tried again. Rules in order; the first whose
//! condition holds decides.

/// Tries that a proxy saves up for, at the most; it starts with these.
const SAVED: f64 = 10.0;

/// What a repeated visit of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it only reads.
    Safe,
    /// Nothing, while servers know its key.
    Keyed,
    /// It must never run twice.
    Never,
}

/// What was ordered for a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    Never,
    /// Once, after proof that the first try never ran.
    OnProof,
    /// Once, after any failure.
    OnFailure,
}

/// How a try ended, if not well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Proof that nothing ran: the connection was refused, or the server said so.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// Why there is no further try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRefusal {
    NotInPolicy,
    AlreadyRetried,
    MayRunTwice,
    NoTimeLeft,
    BudgetExhausted,
}

/// Further tries are paid from a budget that visits fill: so many in a hundred visits, so that they cannot
/// amplify an outage.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget {
            share,
            saved: SAVED,
        }
    }

    /// A visit came.
    pub fn visit(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED);
    }
}

/// A visit whose try has failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedTry {
    pub idempotency: Idempotency,
    pub policy: RetryPolicy,
    pub failure: Failure,
    /// Tries so far, and time left of its hard limit.
    pub tries: u32,
    pub left_ms: f64,
}

type Rule = fn(&FailedTry) -> Option<RetryRefusal>;

const RULES: [Rule; 4] = [
    not_unless_ordered,
    once_only,
    never_an_effect_without_proof,
    not_without_time,
];

fn not_unless_ordered(f: &FailedTry) -> Option<RetryRefusal> {
    let is_allowed = match f.policy {
        RetryPolicy::Never => false,
        RetryPolicy::OnProof => f.failure == Failure::NeverRan,
        RetryPolicy::OnFailure => true,
    };
    (!is_allowed).then_some(RetryRefusal::NotInPolicy)
}

fn once_only(f: &FailedTry) -> Option<RetryRefusal> {
    (f.tries > 1).then_some(RetryRefusal::AlreadyRetried)
}

/// Whatever was ordered: guards against an order that is wrong for a class. A keyed visit is told apart
/// only by servers that share keys, which a proxy does not know: it counts as an effect here.
fn never_an_effect_without_proof(f: &FailedTry) -> Option<RetryRefusal> {
    let twice = f.idempotency != Idempotency::Safe && f.failure == Failure::MayHaveRun;
    twice.then_some(RetryRefusal::MayRunTwice)
}

fn not_without_time(f: &FailedTry) -> Option<RetryRefusal> {
    (f.left_ms <= 0.0).then_some(RetryRefusal::NoTimeLeft)
}

/// Whether a failed visit is tried again; if so the budget has paid for it.
///
/// # Errors
/// Why it is not.
pub fn check_retry(failed: &FailedTry, budget: &mut RetryBudget) -> Result<(), RetryRefusal> {
    if let Some(not) = RULES.iter().find_map(|rule| rule(failed)) {
        return Err(not);
    }
    if budget.saved < 1.0 {
        return Err(RetryRefusal::BudgetExhausted);
    }
    budget.saved -= 1.0;
    Ok(())
}

/// Lets a share of the visits of a class in, evenly: of ten visits at 0.7 seven, whatever their order. A
/// client that comes again counts as a new visit.
#[derive(Clone, Debug)]
pub struct Admission {
    share: f64,
    owed: f64,
}

impl Admission {
    pub fn new() -> Admission {
        Admission {
            share: 1.0,
            owed: 0.0,
        }
    }

    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Whether the next visit is let in.
    pub fn admits(&mut self) -> bool {
        if self.share >= 1.0 {
            return true;
        }
        self.owed += self.share;
        let lets = self.owed >= 1.0;
        if lets {
            self.owed -= 1.0;
        }
        lets
    }
}

impl Default for Admission {
    fn default() -> Admission {
        Admission::new()
    }
}
