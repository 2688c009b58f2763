//! Paths and patterns as httpd has them.

/// The folder of a path.
pub fn folder(path: &str) -> &str {
    path.rfind('/').map_or("", |at| &path[..at.max(1)])
}

/// A path from a folder, unless it is whole already.
pub fn from(folder: &str, path: &str) -> String {
    match path.starts_with('/') || folder.is_empty() {
        true => path.to_string(),
        false => format!("{}/{path}", folder.trim_end_matches('/')),
    }
}

pub fn is_pattern(path: &str) -> bool {
    path.contains(['*', '?', '['])
}

/// Whether a name fits a pattern of `*`, `?` and `[a-z]`, as fnmatch has it. Steps back at the last star only, so
/// it takes no more than the product of both lengths.
pub fn fits(pattern: &str, name: &str) -> bool {
    let (p, n): (Vec<char>, Vec<char>) = (pattern.chars().collect(), name.chars().collect());
    // A leading dot is only fit by a dot.
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
        if let Some(next) = p.get(i).and_then(|_| one(&p, i, n[j])) {
            (i, j) = (next, j + 1);
            continue;
        }
        let Some((at, taken)) = star else {
            return false;
        };
        star = Some((at, taken + 1));
        (i, j) = (at + 1, taken + 1);
    }
    p[i..].iter().all(|c| *c == '*')
}

/// Where the pattern goes on behind one character that fits.
fn one(p: &[char], i: usize, c: char) -> Option<usize> {
    match p[i] {
        '?' => Some(i + 1),
        '[' => {
            let end = p[i + 1..]
                .iter()
                .position(|x| *x == ']')
                .filter(|n| *n > 0)?
                + i
                + 1;
            let (mut inner, mut found) = (&p[i + 1..end], false);
            let not = matches!(inner.first(), Some('!' | '^'));
            if not {
                inner = &inner[1..];
            }
            let mut k = 0;
            while k < inner.len() {
                let ranges = inner.get(k + 1) == Some(&'-') && k + 2 < inner.len();
                let (from, to) = (inner[k], if ranges { inner[k + 2] } else { inner[k] });
                found |= (from..=to).contains(&c);
                k += if ranges { 3 } else { 1 };
            }
            (found != not).then_some(end + 1)
        }
        x => (x == c).then_some(i + 1),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn patterns() {
        let cases = [
            ("*.conf", "a.conf", true),
            ("*.conf", "a.conf.bak", false),
            ("*.conf", ".conf", false),
            ("?.c", "a.c", true),
            ("[a-c]*", "bx", true),
            ("[!a-c]*", "bx", false),
            ("a*b*c", "aXbYbZc", true),
            ("a*b", "aXc", false),
            ("*", "", true),
            ("[", "[", false),
            ("a[]", "a", false),
        ];
        for (pattern, name, wanted) in cases {
            assert_eq!(fits(pattern, name), wanted, "{pattern} {name}");
        }
        assert!(
            !fits(&("*a".repeat(500) + "b"), &"a".repeat(5_000)),
            "no blow-up"
        );
    }

    #[test]
    fn folders() {
        assert_eq!(
            (folder("a/b.conf"), folder("b.conf"), folder("/b")),
            ("a", "", "/")
        );
        assert_eq!(
            (from("a", "b"), from("", "b"), from("a/", "/b")),
            ("a/b".into(), "b".into(), "/b".into())
        );
    }
}
