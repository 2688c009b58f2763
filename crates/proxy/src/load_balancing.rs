//! Which line a visit goes to.
//!
//! How it is called: [`Picker::swap_table`] with each new table, whole; [`Picker::pick`] for each try, with what
//! may not be picked (withdrawn, shunned, tried before); [`Picker::try_started`] and [`Picker::try_ended`] keep the
//! proxy's own work out. A server that stays in the table keeps its place in the order over a swap, so that
//! changes of weights at each tick do not start the order anew.

use crate::Rng;
use std::collections::BTreeMap;

/// The ways in which proxies pick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// Evenly by weight: over any stretch each line gets its part, to within one visit.
    WeightedRoundRobin,
    /// At random by weight.
    WeightedRandom,
    /// Two drawn by weight, the one with less of the proxy's own work out.
    TwoChoices,
}

/// A line of a table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedServer {
    pub server: usize,
    pub weight: f64,
}

/// Draws that may hit what must not be picked before all others are looked through.
const DRAWS: usize = 8;

/// Weights as a tree of sums: a draw and a change cost the height of it.
#[derive(Clone, Debug, Default)]
pub struct FenwickTree {
    tree: Vec<f64>,
    weights: Vec<f64>,
}

impl FenwickTree {
    pub fn of(weights: &[f64]) -> FenwickTree {
        let mut tree = vec![0.0; weights.len() + 1];
        for (i, weight) in weights.iter().enumerate() {
            tree[i + 1] += weight;
            let parent = (i + 1) + ((i + 1) & (i + 1).wrapping_neg());
            if parent < tree.len() {
                tree[parent] += tree[i + 1];
            }
        }
        FenwickTree {
            tree,
            weights: weights.to_vec(),
        }
    }

    pub fn set(&mut self, index: usize, weight: f64) {
        let change = weight - self.weights[index];
        self.weights[index] = weight;
        let mut at = index + 1;
        while at < self.tree.len() {
            self.tree[at] += change;
            at += at & at.wrapping_neg();
        }
    }

    pub fn total(&self) -> f64 {
        let (mut at, mut sum) = (self.weights.len(), 0.0);
        while at > 0 {
            sum += self.tree[at];
            at -= at & at.wrapping_neg();
        }
        sum
    }

    /// The index whose part of the total holds this share of it; none if there is no weight.
    pub fn at(&self, share: f64) -> Option<usize> {
        let total = self.total();
        if total <= 0.0 {
            return None;
        }
        let (mut left, mut at) = (share.clamp(0.0, 1.0) * total, 0);
        let mut step = self.tree.len().next_power_of_two() / 2;
        while step > 0 {
            let next = at + step;
            if next < self.tree.len() && self.tree[next] <= left {
                left -= self.tree[next];
                at = next;
            }
            step /= 2;
        }
        // Rounding may lead past the last weight, or onto one of nothing.
        let found = at.min(self.weights.len() - 1);
        match self.weights[found] > 0.0 {
            true => Some(found),
            false => self.weights.iter().rposition(|w| *w > 0.0),
        }
    }
}

/// The order of turns: each line's next turn is its last one and the inverse of its weight later; the
/// earliest goes. A heap, so that a pick costs the height of it.
#[derive(Clone, Debug, Default)]
pub struct EdfQueue {
    /// Next turn and place in the table, the earliest first.
    heap: Vec<(f64, usize)>,
}

fn sooner(a: &(f64, usize), b: &(f64, usize)) -> bool {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).is_lt()
}

impl EdfQueue {
    fn push(&mut self, turn: (f64, usize)) {
        self.heap.push(turn);
        let mut at = self.heap.len() - 1;
        while at > 0 && sooner(&self.heap[at], &self.heap[(at - 1) / 2]) {
            self.heap.swap(at, (at - 1) / 2);
            at = (at - 1) / 2;
        }
    }

    fn pop(&mut self) -> Option<(f64, usize)> {
        if self.heap.is_empty() {
            return None;
        }
        let top = self.heap.swap_remove(0);
        let mut at = 0;
        loop {
            let (left, right) = (2 * at + 1, 2 * at + 2);
            let mut first = at;
            for child in [left, right] {
                if child < self.heap.len() && sooner(&self.heap[child], &self.heap[first]) {
                    first = child;
                }
            }
            if first == at {
                return Some(top);
            }
            self.heap.swap(at, first);
            at = first;
        }
    }
}

/// See the module's head.
#[derive(Clone, Debug)]
pub struct Picker {
    way: BalancingPolicy,
    lines: Vec<WeightedServer>,
    sums: FenwickTree,
    turns: EdfQueue,
    /// Where the order of turns has come to.
    now: f64,
    out: BTreeMap<usize, u32>,
    rng: Rng,
}

impl Picker {
    pub fn new(way: BalancingPolicy, seed: u64) -> Picker {
        Picker {
            way,
            lines: Vec::new(),
            sums: FenwickTree::default(),
            turns: EdfQueue::default(),
            now: 0.0,
            out: BTreeMap::new(),
            rng: Rng::from_seed(seed),
        }
    }

    pub fn servers(&self) -> &[WeightedServer] {
        &self.lines
    }

    /// Takes a new table whole; lines without weight are not in it, and of two for one server the last
    /// counts.
    pub fn swap_table(&mut self, table: &[WeightedServer]) {
        let mut next: Vec<WeightedServer> = Vec::with_capacity(table.len());
        let mut places: BTreeMap<usize, usize> = BTreeMap::new();
        for line in table
            .iter()
            .filter(|l| l.weight > 0.0 && l.weight.is_finite())
        {
            match places.get(&line.server) {
                Some(place) => next[*place] = *line,
                None => {
                    places.insert(line.server, next.len());
                    next.push(*line);
                }
            }
        }
        if self.way == BalancingPolicy::WeightedRoundRobin {
            self.turn_over(&next, &places);
        }
        let weights: Vec<f64> = next.iter().map(|l| l.weight).collect();
        self.sums = FenwickTree::of(&weights);
        self.lines = next;
    }

    /// The order of turns for a new table. A server that stays has waited a part of its turn, and waits the
    /// same part of the new one; one that comes waits a part by rng, so that proxies that are given a
    /// server at one moment do not all send to it first.
    fn turn_over(&mut self, next: &[WeightedServer], places: &BTreeMap<usize, usize>) {
        let mut waits: BTreeMap<usize, f64> = BTreeMap::new();
        for (turn, place) in &self.turns.heap {
            let line = self.lines[*place];
            waits.insert(line.server, ((turn - self.now) * line.weight).max(0.0));
        }
        let mut turns = EdfQueue::default();
        for (server, place) in places {
            let wait = waits.get(server).copied();
            let wait = wait.unwrap_or_else(|| self.rng.next_f64());
            turns.push((wait / next[*place].weight, *place));
        }
        // From nothing again at each table, so that the order never runs out of digits.
        (self.turns, self.now) = (turns, 0.0);
    }

    /// Picks a server that may be picked; none if there is none.
    pub fn pick(&mut self, may: impl Fn(usize) -> bool) -> Option<usize> {
        match self.way {
            BalancingPolicy::WeightedRoundRobin => self.take_turn(&may),
            BalancingPolicy::WeightedRandom => self.draw(&may, None),
            BalancingPolicy::TwoChoices => {
                let one = self.draw(&may, None)?;
                let Some(two) = self.draw(&may, Some(one)) else {
                    return Some(one);
                };
                Some(if self.in_flight(two) < self.in_flight(one) {
                    two
                } else {
                    one
                })
            }
        }
    }

    fn take_turn(&mut self, may: &impl Fn(usize) -> bool) -> Option<usize> {
        // Those passed over keep their turn: once they may be picked again they are first, but they do not
        // make up for all that they missed.
        let mut passed = Vec::new();
        let mut found = None;
        while let Some((turn, place)) = self.turns.pop() {
            let line = self.lines[place];
            if may(line.server) {
                self.now = self.now.max(turn);
                self.turns
                    .push((turn.max(self.now) + 1.0 / line.weight, place));
                found = Some(line.server);
                break;
            }
            passed.push((turn, place));
        }
        for (turn, place) in passed {
            self.turns.push((turn.max(self.now), place));
        }
        found
    }

    fn draw(&mut self, may: &impl Fn(usize) -> bool, other: Option<usize>) -> Option<usize> {
        let fits = |server: usize| Some(server) != other && may(server);
        for _ in 0..DRAWS {
            let place = self.sums.at(self.rng.next_f64())?;
            let server = self.lines[place].server;
            if fits(server) {
                return Some(server);
            }
        }
        // Most of the weight may not be picked: among the rest, by weight.
        let rest: Vec<WeightedServer> = self
            .lines
            .iter()
            .copied()
            .filter(|l| fits(l.server))
            .collect();
        let all: f64 = rest.iter().map(|l| l.weight).sum();
        let mut left = self.rng.next_f64() * all;
        for line in &rest {
            left -= line.weight;
            if left < 0.0 {
                return Some(line.server);
            }
        }
        rest.last().map(|l| l.server)
    }

    pub fn try_started(&mut self, server: usize) {
        *self.out.entry(server).or_default() += 1;
    }

    pub fn try_ended(&mut self, server: usize) {
        if let Some(many) = self.out.get_mut(&server) {
            *many -= 1;
            if *many == 0 {
                self.out.remove(&server);
            }
        }
    }

    /// The proxy's own visits that are out at a server.
    pub fn in_flight(&self, server: usize) -> u32 {
        self.out.get(&server).copied().unwrap_or(0)
    }
}
