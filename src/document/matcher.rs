//! Finding the route and the key of a request.
//!
//! Two spellings of one key must never lead to two owners. Keys are therefore
//! compared unescaped, dot segments match no route, and a query that gives the
//! key twice has none.

use std::borrow::Cow;
use std::sync::Arc;

use super::model::Document;
use super::pattern::{self, KeySource, Segment};

/// The routes of one document, ready for lookups.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    routes: Vec<Compiled>,
}

#[derive(Clone, Debug)]
struct Compiled {
    /// Position in the document.
    at: usize,
    method: Arc<str>,
    segments: Vec<Segment>,
    source: KeySource,
    /// Source as the document writes it.
    key: Arc<str>,
}

/// Route and key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Position of the route in the document.
    pub route: usize,
    /// Key, unescaped.
    pub key: Arc<str>,
}

/// Why a request has no route or no key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MatchError {
    /// No route has this path.
    NoRoute,
    /// Routes have this path, but with other methods.
    MethodNotAllowed {
        /// Those methods, for the `allow` header.
        allow: Arc<str>,
    },
    /// The key is missing, empty, given twice or wrongly escaped.
    NoKey {
        /// Key source of the route, such as `header:x-locker`.
        source: Arc<str>,
    },
}

impl Matcher {
    /// A matcher of a checked document; a route that can't be read matches nothing.
    pub fn new(document: &Document) -> Self {
        let routes = document.routes.iter().enumerate();
        let compiled = routes.filter_map(|(at, route)| {
            Some(Compiled {
                at,
                method: Arc::clone(&route.method),
                segments: pattern::parse(&route.path)?,
                source: KeySource::parse(&route.key)?,
                key: Arc::clone(&route.key),
            })
        });
        Self {
            routes: compiled.collect(),
        }
    }

    /// The first route that matches, and the key.
    ///
    /// `header` looks a header up by its lower-case name; it gives nothing for
    /// a header that stands twice.
    pub fn find<'h, F>(
        &self,
        method: &str,
        target: &str,
        header: F,
    ) -> Result<RouteMatch, MatchError>
    where
        F: Fn(&str) -> Option<&'h str>,
    {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let segments = split(path).ok_or(MatchError::NoRoute)?;
        let mut fitting = self.routes.iter().filter(|r| fits(&r.segments, &segments));
        match fitting.clone().find(|r| &*r.method == method) {
            Some(route) => route.matched(&segments, query, header),
            None if fitting.next().is_none() => Err(MatchError::NoRoute),
            None => Err(self.method_not_allowed(&segments)),
        }
    }

    fn method_not_allowed(&self, segments: &[Cow<'_, str>]) -> MatchError {
        let mut methods: Vec<&str> = Vec::new();
        for route in self.routes.iter().filter(|r| fits(&r.segments, segments)) {
            if !methods.contains(&&*route.method) {
                methods.push(&route.method);
            }
        }
        MatchError::MethodNotAllowed {
            allow: methods.join(", ").into(),
        }
    }
}

impl Compiled {
    fn matched<'h, F>(
        &self,
        segments: &[Cow<'_, str>],
        query: &str,
        header: F,
    ) -> Result<RouteMatch, MatchError>
    where
        F: Fn(&str) -> Option<&'h str>,
    {
        let key: Option<Arc<str>> = match &self.source {
            KeySource::Path(name) => path_key(&self.segments, segments, name),
            KeySource::Header(name) => header(name).map(|v| v.trim().into()),
            KeySource::Query(name) => query_key(query, name),
        };
        match key {
            Some(key) if !key.is_empty() => Ok(RouteMatch {
                route: self.at,
                key,
            }),
            _ => Err(MatchError::NoKey {
                source: Arc::clone(&self.key),
            }),
        }
    }
}

/// The unescaped segments of a path; `None` if it is no plain absolute path.
fn split(path: &str) -> Option<Vec<Cow<'_, str>>> {
    let path = path.strip_prefix('/')?;
    if path.is_empty() {
        return Some(Vec::new());
    }
    let plain = |segment: Cow<'_, str>| !matches!(&*segment, "" | "." | "..");
    path.split('/')
        .map(|s| unescape(s).filter(|s| plain(Cow::Borrowed(s))))
        .collect()
}

fn fits(pattern: &[Segment], segments: &[Cow<'_, str>]) -> bool {
    let whole = match pattern.last() {
        Some(Segment::Rest(_)) => segments.len() >= pattern.len(),
        _ => segments.len() == pattern.len(),
    };
    let same = |(p, s): (&Segment, &Cow<'_, str>)| match p {
        Segment::Literal(text) => **text == **s,
        Segment::Parameter(_) | Segment::Rest(_) => true,
    };
    whole && pattern.iter().zip(segments).all(same)
}

fn path_key(pattern: &[Segment], segments: &[Cow<'_, str>], name: &str) -> Option<Arc<str>> {
    let at = pattern.iter().position(|p| p.name() == Some(name))?;
    match pattern.get(at)? {
        Segment::Rest(_) => Some(segments.get(at..)?.join("/").into()),
        Segment::Parameter(_) | Segment::Literal(_) => Some(Arc::from(&**segments.get(at)?)),
    }
}

fn query_key(query: &str, name: &str) -> Option<Arc<str>> {
    let mut values = query
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .filter(|(n, _)| unescape(&n.replace('+', " ")).is_some_and(|n| n == name));
    let (_, value) = values.next()?;
    if values.next().is_some() {
        return None;
    }
    unescape(&value.replace('+', " ")).map(Arc::from)
}

/// Replaces `%XX`; `None` if that is wrongly written or gives no UTF-8.
fn unescape(text: &str) -> Option<Cow<'_, str>> {
    if !text.contains('%') {
        return Some(Cow::Borrowed(text));
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => hex(rest.next()?)? * 16 + hex(rest.next()?)?,
            _ => byte,
        });
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}

fn hex(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
