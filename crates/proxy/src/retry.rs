//! Whether a visit is let in, and whether one that failed is tried again. Rules in order; the first whose
//! condition holds decides.

/// Tries that a proxy saves up for, at the most; it starts with these.
const SAVED: f64 = 10.0;

/// What a repeated visit of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it only reads.
    Pure,
    /// Nothing, while servers know its key.
    Keyed,
    /// It must never run twice.
    Effect,
}

/// What was ordered for a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
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
pub enum Not {
    Ordered,
    TriedBefore,
    MayRunTwice,
    NoTime,
    NoBudget,
}

/// Further tries are paid from a budget that visits fill: so many in a hundred visits, so that they cannot
/// amplify an outage.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    pub fn new(share: f64) -> Budget {
        Budget {
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
pub struct Failed {
    pub effect: Effect,
    pub ordered: Ordered,
    pub failure: Failure,
    /// Tries so far, and time left of its hard limit.
    pub tries: u32,
    pub left_ms: f64,
}

type Rule = fn(&Failed) -> Option<Not>;

const RULES: [Rule; 4] = [
    not_unless_ordered,
    once_only,
    never_an_effect_without_proof,
    not_without_time,
];

fn not_unless_ordered(f: &Failed) -> Option<Not> {
    let ordered = match f.ordered {
        Ordered::Never => false,
        Ordered::OnProof => f.failure == Failure::NeverRan,
        Ordered::OnFailure => true,
    };
    (!ordered).then_some(Not::Ordered)
}

fn once_only(f: &Failed) -> Option<Not> {
    (f.tries > 1).then_some(Not::TriedBefore)
}

/// Whatever was ordered: guards against an order that is wrong for a class. A keyed visit is told apart
/// only by servers that share keys, which a proxy does not know: it counts as an effect here.
fn never_an_effect_without_proof(f: &Failed) -> Option<Not> {
    let twice = f.effect != Effect::Pure && f.failure == Failure::MayHaveRun;
    twice.then_some(Not::MayRunTwice)
}

fn not_without_time(f: &Failed) -> Option<Not> {
    (f.left_ms <= 0.0).then_some(Not::NoTime)
}

/// Whether a failed visit is tried again; if so the budget has paid for it.
///
/// # Errors
/// Why it is not.
pub fn again(failed: &Failed, budget: &mut Budget) -> Result<(), Not> {
    if let Some(not) = RULES.iter().find_map(|rule| rule(failed)) {
        return Err(not);
    }
    if budget.saved < 1.0 {
        return Err(Not::NoBudget);
    }
    budget.saved -= 1.0;
    Ok(())
}

/// Lets a share of the visits of a class in, evenly: of ten visits at 0.7 seven, whatever their order. A
/// client that comes again counts as a new visit.
#[derive(Clone, Debug)]
pub struct Level {
    share: f64,
    owed: f64,
}

impl Level {
    pub fn new() -> Level {
        Level {
            share: 1.0,
            owed: 0.0,
        }
    }

    pub fn set(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Whether the next visit is let in.
    pub fn lets_in(&mut self) -> bool {
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

impl Default for Level {
    fn default() -> Level {
        Level::new()
    }
}
