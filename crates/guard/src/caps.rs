//! The weights nearest to the wanted ones under which no server's share exceeds its cap.
//!
//! Servers that are not capped keep the wanted weight, so that only capped lines change; a capped
//! server gets exactly its cap's share of the sum. The sum S solves S = U + C * S, where U is what
//! uncapped servers want and C the caps of the others; a server is capped if its weight divided by
//! its cap exceeds S. Sorted by that ratio, the capped servers are a prefix, and S falls with each
//! server that is capped, until the next ratio is no more than S.

/// The wanted weight of a server, and the cap on its share (1 or more: no cap).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WantedWeight {
    pub weight: f64,
    pub cap: f64,
}

/// Returns the weights in the same order; none if no weights keep all caps (the caps sum up to less
/// than 1 and every server has one). Weights must not be negative, and at least one must be
/// positive.
pub fn apply_caps(wanted: &[WantedWeight]) -> Option<Vec<f64>> {
    let ratio = |server: &WantedWeight| server.weight / server.cap.max(f64::MIN_POSITIVE);
    let mut indices: Vec<usize> = (0..wanted.len()).collect();
    // Equal ratios are ordered by index, so that the same inputs give the same weights.
    indices.sort_by(|a, b| {
        let ordering = ratio(&wanted[*b]).total_cmp(&ratio(&wanted[*a]));
        ordering.then(a.cmp(b))
    });
    // `uncapped_weights[n]`: the weight that is not capped if the first n are, summed from the
    // smallest ratio, since a difference of nearly equal sums would lose precision.
    let mut uncapped_weights = vec![0.0; indices.len() + 1];
    for (i, index) in indices.iter().enumerate().rev() {
        uncapped_weights[i] = uncapped_weights[i + 1] + wanted[*index].weight;
    }
    let (mut caps, mut total, mut capped_count) = (0.0, uncapped_weights[0], 0);
    for index in &indices {
        let server = &wanted[*index];
        if server.weight <= server.cap * total * (1.0 + 1e-12) {
            break;
        }
        caps += server.cap;
        capped_count += 1;
        if uncapped_weights[capped_count] <= 0.0 || caps >= 1.0 - 1e-9 {
            return None;
        }
        total = uncapped_weights[capped_count] / (1.0 - caps);
    }
    let mut weights: Vec<f64> = wanted.iter().map(|server| server.weight).collect();
    for index in &indices[..capped_count] {
        weights[*index] = wanted[*index].cap * total;
    }
    (total > 0.0).then_some(weights)
}

#[cfg(test)]
mod tests;
