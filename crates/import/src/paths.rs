//! Paths and glob patterns of httpd.

/// The directory part of a path.
pub fn parent(path: &str) -> &str {
    path.rfind('/').map_or("", |at| &path[..at.max(1)])
}

/// Resolves a path relative to a directory; absolute paths stay.
pub fn resolve(dir: &str, path: &str) -> String {
    match path.starts_with('/') || dir.is_empty() {
        true => path.to_string(),
        false => format!("{}/{path}", dir.trim_end_matches('/')),
    }
}

/// Whether a path contains wildcards.
pub fn is_pattern(path: &str) -> bool {
    path.contains(['*', '?', '['])
}

/// Whether a name matches a glob pattern with `*`, `?` and `[a-z]`, as fnmatch does. Backtracks to the last star only, so
/// the time is bounded by the product of both lengths.
pub fn matches_glob(pattern: &str, name: &str) -> bool {
    let (p, n): (Vec<char>, Vec<char>) = (pattern.chars().collect(), name.chars().collect());
    // Only a dot matches a leading dot.
    if n.first() == Some(&'.') && p.first() != Some(&'.') {
        return false;
    }
    let (mut i, mut j, mut star) = (0, 0, None);
    while j < n.len() {
        if p.get(i) == Some(&'*') {
            star = Some((i, j));
            i += 1;
            continue;
        }
        if let Some(next) = p.get(i).and_then(|_| match_one(&p, i, n[j])) {
            (i, j) = (next, j + 1);
            continue;
        }
        let Some((star_at, matched)) = star else {
            return false;
        };
        star = Some((star_at, matched + 1));
        (i, j) = (star_at + 1, matched + 1);
    }
    p[i..].iter().all(|c| *c == '*')
}

/// The position in the pattern after the element at `i`, if that matches the character.
fn match_one(p: &[char], i: usize, c: char) -> Option<usize> {
    match p[i] {
        '?' => Some(i + 1),
        '[' => {
            let end = p[i + 1..]
                .iter()
                .position(|x| *x == ']')
                .filter(|n| *n > 0)?
                + i
                + 1;
            let (mut class, mut found) = (&p[i + 1..end], false);
            let negated = matches!(class.first(), Some('!' | '^'));
            if negated {
                class = &class[1..];
            }
            let mut k = 0;
            while k < class.len() {
                let is_range = class.get(k + 1) == Some(&'-') && k + 2 < class.len();
                let (from, to) = (class[k], if is_range { class[k + 2] } else { class[k] });
                found |= (from..=to).contains(&c);
                k += if is_range { 3 } else { 1 };
            }
            (found != negated).then_some(end + 1)
        }
        x => (x == c).then_some(i + 1),
    }
}

#[cfg(test)]
mod tests;
