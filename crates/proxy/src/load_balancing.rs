//! Picks the server that a visit goes to.
//!
//! [`Picker::swap_table`] replaces the whole table. [`Picker::pick`] is called for each try with a filter that
//! excludes servers (withdrawn, ejected, or tried before). [`Picker::try_started`] and [`Picker::try_ended`] count the
//! proxy's own tries in flight. A server that stays in the table keeps its position in the round-robin order
//! when the table is swapped, so that changes of weights at each tick do not restart the order.

use crate::Rng;
use std::collections::BTreeMap;

/// How a proxy picks a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// In turn by weight: over any stretch of visits each server gets its part, to within one visit.
    WeightedRoundRobin,
    /// At random by weight.
    WeightedRandom,
    /// Two servers at random by weight, and of these the one with fewer of the proxy's own tries in flight.
    TwoChoices,
}

/// A server of the table and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedServer {
    /// Index of the server.
    pub server: usize,
    pub weight: f64,
}

/// Random draws that may hit an excluded server before the allowed ones are scanned.
const MAX_DRAWS: usize = 8;

/// Prefix sums of weights in a Fenwick tree: a draw and a change of one weight take logarithmic time.
#[derive(Clone, Debug, Default)]
pub struct FenwickTree {
    tree: Vec<f64>,
    weights: Vec<f64>,
}

impl FenwickTree {
    /// Builds the tree from all weights.
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

    /// Changes one weight.
    pub fn set(&mut self, index: usize, weight: f64) {
        let change = weight - self.weights[index];
        self.weights[index] = weight;
        let mut at = index + 1;
        while at < self.tree.len() {
            self.tree[at] += change;
            at += at & at.wrapping_neg();
        }
    }

    /// The sum of all weights.
    pub fn total(&self) -> f64 {
        let (mut at, mut sum) = (self.weights.len(), 0.0);
        while at > 0 {
            sum += self.tree[at];
            at -= at & at.wrapping_neg();
        }
        sum
    }

    /// Returns the index whose interval of the total contains this share of it (0 to 1), so that a uniform
    /// share draws by weight. `None` if the total is 0.
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
        // Rounding errors may lead past the last weight or to one that is 0.
        let found = at.min(self.weights.len() - 1);
        match self.weights[found] > 0.0 {
            true => Some(found),
            false => self.weights.iter().rposition(|w| *w > 0.0),
        }
    }
}

/// A queue of servers by earliest deadline first. The next deadline of a server is its last one plus the inverse
/// of its weight. It is a binary heap, so that a pick takes logarithmic time.
#[derive(Clone, Debug, Default)]
pub struct EdfQueue {
    /// Deadline and index in the table; the earliest is first, the lower index among equals.
    heap: Vec<(f64, usize)>,
}

fn is_before(a: &(f64, usize), b: &(f64, usize)) -> bool {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).is_lt()
}

impl EdfQueue {
    fn push(&mut self, entry: (f64, usize)) {
        self.heap.push(entry);
        let mut at = self.heap.len() - 1;
        while at > 0 && is_before(&self.heap[at], &self.heap[(at - 1) / 2]) {
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
                if child < self.heap.len() && is_before(&self.heap[child], &self.heap[first]) {
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

/// Picks servers from the present table by a balancing policy.
#[derive(Clone, Debug)]
pub struct Picker {
    policy: BalancingPolicy,
    servers: Vec<WeightedServer>,
    /// The weights of `servers`, for random draws.
    weights: FenwickTree,
    /// Deadlines of `servers`, for the round-robin order.
    queue: EdfQueue,
    /// The latest deadline that was served.
    now: f64,
    /// The proxy's own tries in flight, by server.
    in_flight: BTreeMap<usize, u32>,
    rng: Rng,
}

impl Picker {
    /// Creates a picker with an empty table.
    pub fn new(policy: BalancingPolicy, seed: u64) -> Picker {
        Picker {
            policy,
            servers: Vec::new(),
            weights: FenwickTree::default(),
            queue: EdfQueue::default(),
            now: 0.0,
            in_flight: BTreeMap::new(),
            rng: Rng::from_seed(seed),
        }
    }

    /// The present table.
    pub fn servers(&self) -> &[WeightedServer] {
        &self.servers
    }

    /// Replaces the table. Entries without a positive finite weight are left out; of two entries for one server
    /// the last counts.
    pub fn swap_table(&mut self, table: &[WeightedServer]) {
        let mut next: Vec<WeightedServer> = Vec::with_capacity(table.len());
        let mut indices: BTreeMap<usize, usize> = BTreeMap::new();
        for entry in table
            .iter()
            .filter(|e| e.weight > 0.0 && e.weight.is_finite())
        {
            match indices.get(&entry.server) {
                Some(index) => next[*index] = *entry,
                None => {
                    indices.insert(entry.server, next.len());
                    next.push(*entry);
                }
            }
        }
        if self.policy == BalancingPolicy::WeightedRoundRobin {
            self.rebuild_queue(&next, &indices);
        }
        let weights: Vec<f64> = next.iter().map(|e| e.weight).collect();
        self.weights = FenwickTree::of(&weights);
        self.servers = next;
    }

    /// Builds the round-robin order of a new table. A server that stays keeps the fraction of its interval that it
    /// still has to wait. A new server waits a random fraction, so that proxies that get it at the same moment do
    /// not all send to it first.
    fn rebuild_queue(&mut self, next: &[WeightedServer], indices: &BTreeMap<usize, usize>) {
        let mut waits: BTreeMap<usize, f64> = BTreeMap::new();
        for (deadline, index) in &self.queue.heap {
            let entry = self.servers[*index];
            waits.insert(
                entry.server,
                ((deadline - self.now) * entry.weight).max(0.0),
            );
        }
        let mut queue = EdfQueue::default();
        for (server, index) in indices {
            let wait = waits.get(server).copied();
            let wait = wait.unwrap_or_else(|| self.rng.next_f64());
            queue.push((wait / next[*index].weight, *index));
        }
        // Time restarts at 0 with each table, so that deadlines never grow until they lose precision.
        (self.queue, self.now) = (queue, 0.0);
    }

    /// Picks a server that `is_allowed` accepts; `None` if there is none.
    pub fn pick(&mut self, is_allowed: impl Fn(usize) -> bool) -> Option<usize> {
        match self.policy {
            BalancingPolicy::WeightedRoundRobin => self.pick_earliest(&is_allowed),
            BalancingPolicy::WeightedRandom => self.draw(&is_allowed, None),
            BalancingPolicy::TwoChoices => {
                let first = self.draw(&is_allowed, None)?;
                let Some(second) = self.draw(&is_allowed, Some(first)) else {
                    return Some(first);
                };
                Some(if self.in_flight(second) < self.in_flight(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    fn pick_earliest(&mut self, is_allowed: &impl Fn(usize) -> bool) -> Option<usize> {
        // Servers that are skipped keep their deadline, moved up to now: they are first once they are allowed
        // again, but do not make up for all the visits that they missed.
        let mut skipped = Vec::new();
        let mut found = None;
        while let Some((deadline, index)) = self.queue.pop() {
            let entry = self.servers[index];
            if is_allowed(entry.server) {
                self.now = self.now.max(deadline);
                self.queue
                    .push((deadline.max(self.now) + 1.0 / entry.weight, index));
                found = Some(entry.server);
                break;
            }
            skipped.push((deadline, index));
        }
        for (deadline, index) in skipped {
            self.queue.push((deadline.max(self.now), index));
        }
        found
    }

    /// Draws an allowed server by weight, other than `excluded`.
    fn draw(
        &mut self,
        is_allowed: &impl Fn(usize) -> bool,
        excluded: Option<usize>,
    ) -> Option<usize> {
        let is_candidate = |server: usize| Some(server) != excluded && is_allowed(server);
        for _ in 0..MAX_DRAWS {
            let index = self.weights.at(self.rng.next_f64())?;
            let server = self.servers[index].server;
            if is_candidate(server) {
                return Some(server);
            }
        }
        // Excluded servers have most of the weight: draw among the candidates alone.
        let candidates: Vec<WeightedServer> = self
            .servers
            .iter()
            .copied()
            .filter(|e| is_candidate(e.server))
            .collect();
        let total: f64 = candidates.iter().map(|e| e.weight).sum();
        let mut left = self.rng.next_f64() * total;
        for entry in &candidates {
            left -= entry.weight;
            if left < 0.0 {
                return Some(entry.server);
            }
        }
        candidates.last().map(|e| e.server)
    }

    /// Counts a try of the proxy's own as in flight at a server.
    pub fn try_started(&mut self, server: usize) {
        *self.in_flight.entry(server).or_default() += 1;
    }

    /// Counts a try as ended.
    pub fn try_ended(&mut self, server: usize) {
        if let Some(count) = self.in_flight.get_mut(&server) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&server);
            }
        }
    }

    /// Returns how many of the proxy's own tries are in flight at a server.
    pub fn in_flight(&self, server: usize) -> u32 {
        self.in_flight.get(&server).copied().unwrap_or(0)
    }
}
