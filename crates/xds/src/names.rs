//! Names of resources. Names of services, classes and servers are escaped in them, so that any name is allowed and
//! two servers never share a resource name.

/// Type URL of a cluster.
pub const CDS: &str = "type.googleapis.com/envoy.config.cluster.v3.Cluster";
/// Type URL of the endpoints (assignment) of a cluster.
pub const EDS: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Type URL of the routes of a service.
pub const RDS: &str = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration";
/// Type URL of one endpoint, which carries a line of a table.
pub const LEDS: &str = "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint";

/// Common prefix of the collections of lines.
const LINES: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint";

/// Percent-encodes everything except the unreserved characters of RFC 3986.
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

/// Reverses [`escape`]; none for a `%` without two hexadecimal digits or for text that is not UTF-8.
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

/// Name of the cluster of a class, and of its assignment.
pub fn cluster(service: &str, class: &str) -> String {
    format!("{}/{}", escape(service), escape(class))
}

/// Name of the routes of a service.
pub fn routes(service: &str) -> String {
    escape(service)
}

/// Name of the collection of the lines of a part.
pub fn part_collection(service: &str, part: usize) -> String {
    format!("{LINES}/{}/part-{part}/*", escape(service))
}

/// Name of the collection of withdrawn servers, for proxies that are not bound to a part.
pub fn withdrawn_collection(service: &str) -> String {
    format!("{LINES}/{}/withdrawn/*", escape(service))
}

/// Name of a server's line in a collection.
pub fn line(collection: &str, server: &str) -> String {
    let stem = collection.strip_suffix('*').unwrap_or(collection);
    format!("{stem}{}", escape(server))
}

/// Splits the name of a line into the name of its collection and the server.
pub fn parse_line(name: &str) -> Option<(String, String)> {
    let at = name.rfind('/')?;
    let server = unescape(&name[at + 1..])?;
    Some((format!("{}/*", &name[..at]), server))
}

/// The class whose cluster has this name; none for a cluster of another service.
pub fn class_of(service: &str, cluster: &str) -> Option<String> {
    let (head, class) = cluster.split_once('/')?;
    (head == escape(service)).then(|| unescape(class))?
}

#[cfg(test)]
mod tests;
