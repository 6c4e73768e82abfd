//! Path patterns and key sources of routes.

use std::sync::Arc;

/// One segment of a path pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// A segment equal to the text.
    Literal(Arc<str>),
    /// `{name}`: any segment that is not empty.
    Parameter(Arc<str>),
    /// A last `{name..}`: one or more segments.
    Rest(Arc<str>),
}

/// Source of the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// Path parameter with this name.
    Path(Arc<str>),
    /// Header with this name, in lower case.
    Header(Arc<str>),
    /// Query parameter with this name.
    Query(Arc<str>),
}

/// Longest path pattern in bytes.
const MAX_PATTERN_BYTES: usize = 512;

/// Syntax accepted by [`parse`], for messages.
pub const PATTERN_SYNTAX: &str =
    "a path such as /lockers/{locker}/release or /{rest..}, at most 512 bytes";

/// Syntax accepted by [`KeySource::parse`], for messages.
pub const KEY_SYNTAX: &str = "path:NAME, header:NAME or query:NAME";

/// Parses a path pattern; `None` if the syntax is wrong.
pub fn parse(pattern: &str) -> Option<Vec<Segment>> {
    let path = pattern.strip_prefix('/')?;
    match path.len() {
        0 => return Some(Vec::new()),
        MAX_PATTERN_BYTES.. => return None,
        _ => {}
    }
    let segments: Vec<Segment> = path.split('/').map(parse_segment).collect::<Option<_>>()?;
    let (_, before) = segments.split_last()?;
    let has_inner_rest = before.iter().any(|s| matches!(s, Segment::Rest(_)));
    (!has_inner_rest && !has_duplicate_name(&segments)).then_some(segments)
}

/// Whether every path that matches `other` matches `pattern` as well.
pub fn covers(pattern: &[Segment], other: &[Segment]) -> bool {
    match (pattern, other) {
        ([], []) | ([Segment::Rest(_)], [_, ..]) => true,
        ([first, more @ ..], [other, others @ ..]) => {
            let covers_first = match (first, other) {
                (Segment::Literal(a), Segment::Literal(b)) => a == b,
                (Segment::Parameter(_), Segment::Literal(_) | Segment::Parameter(_)) => true,
                _ => false,
            };
            covers_first && covers(more, others)
        }
        _ => false,
    }
}

impl KeySource {
    /// Parses `path:NAME`, `header:NAME` or `query:NAME`; `None` if the syntax is wrong.
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
    /// Name of the parameter; `None` for a literal.
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Literal(_) => None,
            Self::Parameter(name) | Self::Rest(name) => Some(name),
        }
    }
}

fn parse_segment(text: &str) -> Option<Segment> {
    let Some(inner) = text.strip_prefix('{') else {
        let literal =
            !text.is_empty() && text != "." && text != ".." && text.bytes().all(is_unescaped);
        return literal.then(|| Segment::Literal(text.into()));
    };
    let inner = inner.strip_suffix('}')?;
    match inner.strip_suffix("..") {
        Some(name) => is_name(name).then(|| Segment::Rest(name.into())),
        None => is_name(inner).then(|| Segment::Parameter(inner.into())),
    }
}

/// Whether a byte needs no escape in a segment.
fn is_unescaped(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte)
}

fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}

fn has_duplicate_name(segments: &[Segment]) -> bool {
    let names: Vec<_> = segments.iter().filter_map(Segment::name).collect();
    let earlier = |i: usize| names.iter().take(i);
    names
        .iter()
        .enumerate()
        .any(|(i, n)| earlier(i).any(|e| e == n))
}
