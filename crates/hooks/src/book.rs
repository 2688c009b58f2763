//! What hooks wish for, merged: an ordered list of rules, free of I/O and clock, and free of the order in which
//! hooks were loaded. What is in force is told as the roster with the wishes in it; the module and the guard see
//! nothing else of them.
//!
//! How it is called: [`Book::takes`] with what one run wished for, [`Book::in_force`] with the roster as it is
//! said, whenever either changes or a wish ends ([`Book::wake_at`]).

use crate::ops::Wished;
use crate::points::WishKind;
use crate::value::State;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A wish holds so long if it does not say, and no longer than this.
const LASTS_MS: f64 = 600_000.0;
const LONGEST_MS: f64 = 86_400_000.0;
/// A pin keeps a table as it is: not for long.
const LONGEST_PIN_MS: f64 = 900_000.0;
/// Wishes that are in force at once, notes, alerts that are remembered, and bytes of a text in them.
const MOST: usize = 4_096;
const MOST_NOTES: usize = 256;
const MOST_ALERTS: usize = 64;
const MOST_TEXT: usize = 500;
/// The same alert again within this time is none.
const SAME_ALERT_MS: f64 = 60_000.0;
/// Hooks scale a listed weight within these.
const SCALES: (f64, f64) = (0.05, 2.0);
/// Drains by hooks leave a zone at least this share of the listed weight that is ready by the roster.
const LEAVES: f64 = 0.5;

/// A server as the roster says it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: Arc<str>,
    pub zone: Arc<str>,
    pub state: State,
    pub weight: f64,
}

/// What came of a wish.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    pub hook: Arc<str>,
    pub what: String,
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InForce {
    /// State and weight of servers that are otherwise than the roster says, by name.
    pub servers: BTreeMap<Arc<str>, (State, f64)>,
    /// Parts whose tables stay, and until when.
    pub pins: BTreeMap<usize, f64>,
    /// Wishes that are overruled, and why.
    pub overruled: Vec<Told>,
}

/// Who wishes what of whom.
type Key = (WishKind, Arc<str>, u64, Arc<str>);

#[derive(Clone, Debug, PartialEq)]
struct Held {
    since: f64,
    until: f64,
    number: f64,
    reason: Arc<str>,
}

/// See the module's head.
#[derive(Clone, Debug, Default)]
pub struct Book {
    wishes: BTreeMap<Key, Held>,
    notes: BTreeMap<Arc<str>, (Arc<str>, Arc<str>)>,
    alerts: VecDeque<(f64, Arc<str>, Arc<str>)>,
}

fn short(text: &Arc<str>) -> Arc<str> {
    if text.len() <= MOST_TEXT {
        return text.clone();
    }
    let mut at = MOST_TEXT;
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    text[..at].into()
}

impl Book {
    /// Takes what one run wished for; all of it, or where one wish is out of bounds nothing.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn takes(
        &mut self,
        now: f64,
        hook: &Arc<str>,
        wishes: &[Wished],
    ) -> Result<Vec<Told>, String> {
        for w in wishes {
            let fits = match w.kind {
                WishKind::Scale => (SCALES.0..=SCALES.1).contains(&w.number),
                WishKind::Cap => w.number > 0.0 && w.number <= 1e6,
                WishKind::Pin | WishKind::Release => {
                    w.number >= 0.0 && w.number.fract() == 0.0 && w.number < 1e6
                }
                _ => true,
            };
            if !fits {
                let (low, high) = SCALES;
                let bounds = match w.kind {
                    WishKind::Scale => format!("a factor from {low} to {high} is wanted"),
                    WishKind::Cap => "a weight of more than 0 is wanted".into(),
                    _ => "a part's number is wanted".into(),
                };
                return Err(format!("{}({}): {bounds}", w.kind.name(), w.number));
            }
        }
        if self.wishes.len() + wishes.len() > MOST {
            return Err(format!("over {MOST} wishes are in force"));
        }
        let mut told = Vec::new();
        for w in wishes {
            self.take(now, hook, w, &mut told);
        }
        Ok(told)
    }

    fn take(&mut self, now: f64, hook: &Arc<str>, w: &Wished, told: &mut Vec<Told>) {
        let say = |what: String| Told {
            hook: hook.clone(),
            what,
        };
        let part = w.number.max(0.0) as u64;
        let none: Arc<str> = "".into();
        match w.kind {
            WishKind::Alert => {
                let text = short(&w.text);
                let again = |a: &(f64, Arc<str>, Arc<str>)| {
                    now - a.0 < SAME_ALERT_MS && a.1 == *hook && a.2 == text
                };
                if !self.alerts.iter().any(again) {
                    self.alerts.push_back((now, hook.clone(), text.clone()));
                    if self.alerts.len() > MOST_ALERTS {
                        self.alerts.pop_front();
                    }
                    told.push(say(format!("alert: {text}")));
                }
            }
            WishKind::Annotate => {
                let known = self.notes.contains_key(&w.whom);
                if known || self.notes.len() < MOST_NOTES {
                    self.notes
                        .insert(short(&w.whom), (hook.clone(), short(&w.text)));
                }
            }
            // Who undrains ends its own wish; another's stands.
            WishKind::Undrain => {
                let own = (WishKind::Drain, w.whom.clone(), 0, hook.clone());
                if self.wishes.remove(&own).is_some() {
                    told.push(say(format!("{} is no longer drained by it", w.whom)));
                }
            }
            WishKind::Release => {
                if self
                    .wishes
                    .remove(&(WishKind::Pin, none, part, hook.clone()))
                    .is_some()
                {
                    told.push(say(format!("part {part} is no longer pinned by it")));
                }
            }
            // These are of one moment; the host asks for them.
            WishKind::Hold | WishKind::RefuseRoster => {}
            WishKind::Drain | WishKind::Scale | WishKind::Cap | WishKind::Pin => {
                let is_pin = w.kind == WishKind::Pin;
                let longest = if is_pin { LONGEST_PIN_MS } else { LONGEST_MS };
                let lasts = w.lasts_ms.unwrap_or(LASTS_MS).min(longest);
                let key = (
                    w.kind,
                    w.whom.clone(),
                    if is_pin { part } else { 0 },
                    hook.clone(),
                );
                let before = self.wishes.get(&key);
                let news = before.is_none_or(|b| b.number != w.number);
                let held = Held {
                    since: before.map_or(now, |b| b.since),
                    until: now + lasts,
                    number: w.number,
                    reason: short(&w.reason),
                };
                if news {
                    let whom = if is_pin {
                        format!("part {part}")
                    } else {
                        w.whom.to_string()
                    };
                    let number = match w.kind {
                        WishKind::Scale | WishKind::Cap => format!(" {}", w.number),
                        _ => String::new(),
                    };
                    let why = if w.reason.is_empty() { "" } else { ": " };
                    told.push(say(format!(
                        "{} {whom}{number}{why}{}",
                        w.kind.name(),
                        held.reason
                    )));
                }
                self.wishes.insert(key, held);
            }
        }
    }

    /// Wishes of hooks that are no longer there end.
    pub fn forget_but(&mut self, hooks: &BTreeSet<Arc<str>>) {
        self.wishes.retain(|(.., hook), _| hooks.contains(hook));
        self.notes.retain(|_, (hook, _)| hooks.contains(hook));
    }

    /// When the next wish ends.
    pub fn wake_at(&self) -> f64 {
        self.wishes
            .values()
            .map(|h| h.until)
            .fold(f64::INFINITY, f64::min)
    }

    /// Lets wishes end whose time is over; tells which.
    pub fn expire(&mut self, now: f64) -> Vec<Told> {
        let mut told = Vec::new();
        self.wishes.retain(|(kind, whom, part, hook), held| {
            let stays = now < held.until;
            if !stays {
                let whom = if *kind == WishKind::Pin {
                    format!("part {part}")
                } else {
                    whom.to_string()
                };
                told.push(Told {
                    hook: hook.clone(),
                    what: format!("{} {whom} ends", kind.name()),
                });
            }
            stays
        });
        told
    }

    /// What is in force over this roster. The rules, in their order: the roster's own word stands, nobody is made
    /// ready by a hook; weights follow the most cautious wish; drains take the oldest wishes first, and leave each
    /// zone half of what is ready.
    pub fn in_force(&self, roster: &[Listed]) -> InForce {
        let mut out = InForce::default();
        let ready: BTreeMap<&str, &Listed> = roster
            .iter()
            .filter(|l| l.state == State::Ready)
            .map(|l| (&*l.name, l))
            .collect();
        self.weigh(&ready, &mut out);
        self.drain(&ready, &mut out);
        for ((kind, _, part, _), held) in &self.wishes {
            if *kind == WishKind::Pin {
                let until = out.pins.entry(*part as usize).or_insert(held.until);
                *until = until.max(held.until);
            }
        }
        out
    }

    /// Guards against several hooks turning one weight up and down: the lowest factor and the lowest cap hold,
    /// whoever wishes them. May harm where one hook's caution outlives its cause: wishes end.
    fn weigh(&self, ready: &BTreeMap<&str, &Listed>, out: &mut InForce) {
        let mut lowest: BTreeMap<&str, (Option<f64>, Option<f64>)> = BTreeMap::new();
        let least = |a: Option<f64>, b: f64| Some(a.map_or(b, |a| a.min(b)));
        for ((kind, whom, ..), held) in &self.wishes {
            match kind {
                WishKind::Scale => {
                    let l = lowest.entry(whom).or_default();
                    l.0 = least(l.0, held.number);
                }
                WishKind::Cap => {
                    let l = lowest.entry(whom).or_default();
                    l.1 = least(l.1, held.number);
                }
                _ => {}
            }
        }
        for (name, (factor, cap)) in lowest {
            let Some(l) = ready.get(name) else { continue };
            let scaled = l.weight * factor.unwrap_or(1.0);
            let weight = scaled
                .min(cap.unwrap_or(f64::INFINITY))
                .max(l.weight * SCALES.0);
            if weight != l.weight {
                out.servers.insert(l.name.clone(), (State::Ready, weight));
            }
        }
    }

    /// Guards against hooks that drain the last ready server, or a whole zone on a wrong sign. The oldest wish
    /// goes first, so one more cannot push out a drain that is under way. May harm where more than half of a zone
    /// really has to go: then the roster is to say so.
    fn drain(&self, ready: &BTreeMap<&str, &Listed>, out: &mut InForce) {
        let mut room: BTreeMap<&str, (f64, usize)> = BTreeMap::new();
        for l in ready.values() {
            let zone = room.entry(&*l.zone).or_default();
            zone.0 += l.weight * (1.0 - LEAVES);
            zone.1 += 1;
        }
        let mut wanted: BTreeMap<&str, (f64, &Arc<str>)> = BTreeMap::new();
        for ((kind, whom, _, hook), held) in &self.wishes {
            if *kind == WishKind::Drain && ready.contains_key(&**whom) {
                let w = wanted.entry(whom).or_insert((held.since, hook));
                if held.since < w.0 {
                    *w = (held.since, hook);
                }
            }
        }
        let mut order: Vec<(f64, &str, &Arc<str>)> =
            wanted.into_iter().map(|(s, (at, h))| (at, s, h)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        for (_, name, hook) in order {
            let l = ready[name];
            let zone = room.entry(&*l.zone).or_default();
            if zone.1 <= 1 || l.weight > zone.0 + 1e-9 {
                let what = format!(
                    "drain {name} is overruled: zone {} keeps half of what is ready",
                    l.zone
                );
                out.overruled.push(Told {
                    hook: hook.clone(),
                    what,
                });
                continue;
            }
            zone.0 -= l.weight;
            zone.1 -= 1;
            let weight = out.servers.get(&l.name).map_or(l.weight, |(_, w)| *w);
            out.servers
                .insert(l.name.clone(), (State::Draining, weight));
        }
    }

    /// What hooks have noted: key, hook, text.
    pub fn notes(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, &Arc<str>)> {
        self.notes
            .iter()
            .map(|(key, (hook, text))| (key, hook, text))
    }

    /// The last alerts: when, hook, text.
    pub fn alerts(&self) -> impl Iterator<Item = &(f64, Arc<str>, Arc<str>)> {
        self.alerts.iter()
    }

    /// What is wished, for people: kind, whom or which part, hook, number, until when, why.
    pub fn told(
        &self,
    ) -> impl Iterator<Item = (&'static str, String, &Arc<str>, f64, f64, &Arc<str>)> {
        self.wishes.iter().map(|((kind, whom, part, hook), h)| {
            let whom = if *kind == WishKind::Pin {
                format!("part {part}")
            } else {
                whom.to_string()
            };
            (kind.name(), whom, hook, h.number, h.until, &h.reason)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn wish(kind: WishKind, whom: &str, number: f64, lasts: Option<f64>) -> Wished {
        Wished {
            kind,
            whom: whom.into(),
            number,
            text: "".into(),
            lasts_ms: lasts,
            reason: "".into(),
        }
    }

    fn roster(n: usize) -> Vec<Listed> {
        let one = |i: usize| Listed {
            name: format!("s{i}").into(),
            zone: if i < 4 { "east" } else { "west" }.into(),
            state: if i == 3 {
                State::Draining
            } else {
                State::Ready
            },
            weight: 1.0,
        };
        (0..n).map(one).collect()
    }

    type Step<'a> = (f64, &'a str, Wished);

    #[test]
    fn what_is_in_force() {
        use State::{Draining, Ready};
        use WishKind::{Cap, Drain, Scale, Undrain};
        let drain = |whom| wish(Drain, whom, 0.0, None);
        type Case<'a> = (&'a str, Vec<Step<'a>>, &'a [(&'a str, State, f64)], usize);
        let cases: [Case; 9] = [
            (
                "a drain",
                vec![(0.0, "a", drain("s0"))],
                &[("s0", Draining, 1.0)],
                0,
            ),
            (
                "another's undrain changes nothing",
                vec![
                    (0.0, "a", drain("s0")),
                    (1.0, "b", wish(Undrain, "s0", 0.0, None)),
                ],
                &[("s0", Draining, 1.0)],
                0,
            ),
            (
                "its own does",
                vec![
                    (0.0, "a", drain("s0")),
                    (1.0, "a", wish(Undrain, "s0", 0.0, None)),
                ],
                &[],
                0,
            ),
            (
                "half of a zone stays",
                vec![
                    (0.0, "a", drain("s1")),
                    (1.0, "b", drain("s0")),
                    (2.0, "a", drain("s2")),
                ],
                &[("s1", Draining, 1.0)],
                2,
            ),
            (
                "the last one of a zone",
                vec![(0.0, "a", drain("s4"))],
                &[],
                1,
            ),
            (
                "who drains by the roster stays so",
                vec![
                    (0.0, "a", drain("s3")),
                    (0.0, "a", wish(Scale, "s3", 2.0, None)),
                ],
                &[],
                0,
            ),
            (
                "the lowest factor",
                vec![
                    (0.0, "a", wish(Scale, "s0", 2.0, None)),
                    (0.0, "b", wish(Scale, "s0", 0.5, None)),
                ],
                &[("s0", Ready, 0.5)],
                0,
            ),
            (
                "factor and cap",
                vec![
                    (0.0, "a", wish(Scale, "s0", 0.9, None)),
                    (0.0, "b", wish(Cap, "s0", 0.2, None)),
                ],
                &[("s0", Ready, 0.2)],
                0,
            ),
            (
                "never less than the least",
                vec![(0.0, "b", wish(Cap, "s0", 0.001, None))],
                &[("s0", Ready, 0.05)],
                0,
            ),
        ];
        for (name, steps, wanted, overruled) in cases {
            let mut book = Book::default();
            for (now, hook, w) in &steps {
                book.takes(*now, &Arc::from(*hook), std::slice::from_ref(w))
                    .unwrap();
            }
            let found = book.in_force(&roster(5));
            let wanted = wanted.iter().map(|(n, s, w)| (Arc::from(*n), (*s, *w)));
            assert_eq!(found.servers, wanted.collect(), "{name}");
            assert_eq!(
                found.overruled.len(),
                overruled,
                "{name}: {:?}",
                found.overruled
            );
            // Whatever the order in which they come at one time.
            let mut other = Book::default();
            for (now, hook, w) in steps.iter().rev().filter(|s| s.2.kind != Undrain) {
                other
                    .takes(*now, &Arc::from(*hook), std::slice::from_ref(w))
                    .unwrap();
            }
            if steps.iter().all(|s| s.2.kind != Undrain) {
                assert_eq!(
                    other.in_force(&roster(5)),
                    found,
                    "{name}, the other way round"
                );
            }
        }
    }

    #[test]
    fn wishes_end_and_pins_are_bounded() {
        let mut book = Book::default();
        let hook: Arc<str> = "a".into();
        book.takes(0.0, &hook, &[wish(WishKind::Drain, "s0", 0.0, Some(100.0))])
            .unwrap();
        book.takes(0.0, &hook, &[wish(WishKind::Pin, "", 1.0, Some(1e9))])
            .unwrap();
        assert_eq!(book.wake_at(), 100.0);
        assert_eq!(
            book.in_force(&roster(5)).pins,
            BTreeMap::from([(1, LONGEST_PIN_MS)])
        );
        book.takes(
            50.0,
            &hook,
            &[wish(WishKind::Drain, "s0", 0.0, Some(100.0))],
        )
        .unwrap();
        assert_eq!(book.expire(100.0), [], "wished again");
        assert_eq!(book.expire(150.0).len(), 1);
        assert_eq!(book.in_force(&roster(5)).servers, BTreeMap::new());
        book.forget_but(&BTreeSet::new());
        assert_eq!(book.in_force(&roster(5)), InForce::default());
    }

    #[test]
    fn a_run_with_one_wish_out_of_bounds_is_not_taken_at_all() {
        let mut book = Book::default();
        let good = wish(WishKind::Drain, "s0", 0.0, None);
        for bad in [
            wish(WishKind::Scale, "s1", 0.0, None),
            wish(WishKind::Cap, "s1", -1.0, None),
            wish(WishKind::Pin, "", 0.5, None),
        ] {
            assert!(book.takes(0.0, &"a".into(), &[good.clone(), bad]).is_err());
        }
        assert_eq!(book.in_force(&roster(5)), InForce::default());
    }
}
