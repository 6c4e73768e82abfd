//! Path patterns and key sources, as routes of a document give them.

use std::sync::Arc;

/// One segment of a path pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Text that has to stand there.
    Literal(Arc<str>),
    /// `{name}`: any text but none.
    Parameter(Arc<str>),
    /// A last `{name..}`: one segment or more.
    Rest(Arc<str>),
}

/// Where the key of a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// In the parameter of the path with this name.
    Path(Arc<str>),
    /// In the header with this name.
    Header(Arc<str>),
    /// In the parameter of the query with this name.
    Query(Arc<str>),
}

/// Bytes of a path pattern, at most.
const PATTERN_BYTES_MAX: usize = 512;

/// What [`parse`] takes.
pub const PATTERN_SYNTAX: &str =
    "a path such as /lockers/{locker}/release or /{rest..}, at most 512 bytes";

/// What [`KeySource::parse`] takes.
pub const KEY_SYNTAX: &str = "path:NAME, header:NAME or query:NAME";

/// The segments of a path pattern; `None` if it has wrong syntax.
pub fn parse(pattern: &str) -> Option<Vec<Segment>> {
    let path = pattern.strip_prefix('/')?;
    match path.len() {
        0 => return Some(Vec::new()),
        PATTERN_BYTES_MAX.. => return None,
        _ => {}
    }
    let segments: Vec<Segment> = path.split('/').map(segment).collect::<Option<_>>()?;
    let (_, before) = segments.split_last()?;
    let rest_inside = before.iter().any(|s| matches!(s, Segment::Rest(_)));
    (!rest_inside && !repeats_name(&segments)).then_some(segments)
}

/// Whether every path that matches `other` matches `pattern` as well.
pub fn covers(pattern: &[Segment], other: &[Segment]) -> bool {
    match (pattern, other) {
        ([], []) | ([Segment::Rest(_)], [_, ..]) => true,
        ([first, more @ ..], [other, others @ ..]) => {
            let takes = match (first, other) {
                (Segment::Literal(a), Segment::Literal(b)) => a == b,
                (Segment::Parameter(_), Segment::Literal(_) | Segment::Parameter(_)) => true,
                _ => false,
            };
            takes && covers(more, others)
        }
        _ => false,
    }
}

impl KeySource {
    /// Reads `path:NAME`, `header:NAME` or `query:NAME`.
    pub fn parse(text: &str) -> Option<Self> {
        let (source, name) = text.split_once(':')?;
        if !is_name(name) {
            return None;
        }
        match source {
            "path" => Some(Self::Path(name.into())),
            "header" => Some(Self::Header(name.to_ascii_lowercase().into())),
            "query" => Some(Self::Query(name.into())),
            _ => None,
        }
    }
}

impl Segment {
    /// Name of the parameter, if it is one.
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Literal(_) => None,
            Self::Parameter(name) | Self::Rest(name) => Some(name),
        }
    }
}

fn segment(text: &str) -> Option<Segment> {
    let Some(inner) = text.strip_prefix('{') else {
        let literal = !text.is_empty() && text != "." && text != ".." && text.bytes().all(is_plain);
        return literal.then(|| Segment::Literal(text.into()));
    };
    let inner = inner.strip_suffix('}')?;
    match inner.strip_suffix("..") {
        Some(name) => is_name(name).then(|| Segment::Rest(name.into())),
        None => is_name(inner).then(|| Segment::Parameter(inner.into())),
    }
}

/// Whether a byte may stand unescaped in a segment.
fn is_plain(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte)
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}

fn repeats_name(segments: &[Segment]) -> bool {
    let names: Vec<_> = segments.iter().filter_map(Segment::name).collect();
    let earlier = |i: usize| names.iter().take(i);
    names
        .iter()
        .enumerate()
        .any(|(i, n)| earlier(i).any(|e| e == n))
}
