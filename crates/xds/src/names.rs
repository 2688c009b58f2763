//! Names of resources. Anything that comes from outside is escaped, so that a server may be called
//! anything and a name still has one meaning.

/// Type URLs of the specification.
pub const CDS: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
pub const EDS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
pub const RDS: &str = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration";
pub const LEDS: &str = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint";

const LINES: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint";

/// Percent-encoding of all that is not unreserved in RFC 3986.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                out.push(byte as char);
            }
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}

/// The way back; none if it was not written by [`escape`].
pub fn unescape(text: &str) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let pair = [bytes.next()?, bytes.next()?];
            let pair = std::str::from_utf8(&pair).ok()?;
            out.push(u8::from_str_radix(pair, 16).ok()?);
        } else {
            out.push(byte);
        }
    }
    String::from_utf8(out).ok()
}

/// A cluster, and the assignment of it: one for each class.
pub fn cluster(service: &str, class: &str) -> String {
    format!("{}/{}", escape(service), escape(class))
}

/// The routes of a service.
pub fn routes(service: &str) -> String {
    escape(service)
}

/// The collection of a part's lines.
pub fn part_collection(service: &str, part: usize) -> String {
    format!("{LINES}/{}/part-{part}/*", escape(service))
}

/// The collection of servers withdrawn for proxies on tables of their own.
pub fn withdrawn_collection(service: &str) -> String {
    format!("{LINES}/{}/withdrawn/*", escape(service))
}

/// A line in a collection.
pub fn line(collection: &str, server: &str) -> String {
    let stem = collection.strip_suffix('*').unwrap_or(collection);
    format!("{stem}{}", escape(server))
}

/// The collection that a line is in, and its server.
pub fn parse_line(name: &str) -> Option<(String, String)> {
    let at = name.rfind('/')?;
    let server = unescape(&name[at + 1..])?;
    Some((format!("{}/*", &name[..at]), server))
}

/// The class that a cluster is of.
pub fn class_of(service: &str, cluster: &str) -> Option<String> {
    let (head, class) = cluster.split_once('/')?;
    (head == escape(service)).then(|| unescape(class))?
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn any_server_has_a_name_of_its_own_and_back() {
        let collection = part_collection("plan portal/ü", 3);
        let odd = [
            "a",
            "",
            "a/b",
            "*",
            "%2F",
            "größe \n\0",
            "..",
            "xdstp://x/*",
        ];
        let mut seen = std::collections::BTreeSet::new();
        for server in odd {
            let name = line(&collection, server);
            assert_eq!(parse_line(&name), Some((collection.clone(), server.into())));
            assert!(seen.insert(name));
        }
        assert_eq!(
            class_of("s/1", &cluster("s/1", "pay/in")),
            Some("pay/in".into())
        );
        assert_eq!(class_of("s", &cluster("t", "pay")), None);
        assert_eq!(unescape("%zz"), None);
        assert_eq!(unescape("%2"), None);
    }
}
