//! Matches requests to routes and keys.
//!
//! Two spellings of one key must never lead to two owners. Therefore keys are
//! unescaped, dot segments match no route, and a query with the key twice has
//! no key.

use std::borrow::Cow;
use std::sync::Arc;

use super::model::Document;
use super::pattern::{self, KeySource, Segment};

/// Compiled routes of one document.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    routes: Vec<CompiledRoute>,
}

#[derive(Clone, Debug)]
struct CompiledRoute {
    /// Position in the document.
    index: usize,
    method: Arc<str>,
    segments: Vec<Segment>,
    source: KeySource,
    /// Key source as written in the document.
    key: Arc<str>,
}

/// Route and key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// Position of the route in the document.
    pub route: usize,
    /// Unescaped key.
    pub key: Arc<str>,
}

/// Why a request matches no route or has no key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MatchError {
    /// No route matches the path.
    NoRoute,
    /// Routes match the path, but not the method.
    MethodNotAllowed {
        /// Methods allowed on the path, for the `allow` header.
        allow: Arc<str>,
    },
    /// The key is missing, empty, given twice or malformed.
    NoKey {
        /// Key source of the route, such as `header:x-locker`.
        source: Arc<str>,
    },
}

impl Matcher {
    /// Compiles the routes of a checked document; a route with wrong syntax matches nothing.
    pub fn new(document: &Document) -> Self {
        let routes = document.routes.iter().enumerate();
        let compiled = routes.filter_map(|(index, route)| {
            Some(CompiledRoute {
                index,
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

    /// Finds the first route that matches, and the key.
    ///
    /// `header` returns the value of a header by its lower-case name, and
    /// `None` if the header occurs twice.
    ///
    /// # Errors
    ///
    /// A [`MatchError`] if no route matches or the key is missing.
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
        let mut matching = self
            .routes
            .iter()
            .filter(|r| matches_path(&r.segments, &segments));
        match matching.clone().find(|r| &*r.method == method) {
            Some(route) => route.matched(&segments, query, header),
            None if matching.next().is_none() => Err(MatchError::NoRoute),
            None => Err(self.method_not_allowed(&segments)),
        }
    }

    fn method_not_allowed(&self, segments: &[Cow<'_, str>]) -> MatchError {
        let mut methods: Vec<&str> = Vec::new();
        for route in self
            .routes
            .iter()
            .filter(|r| matches_path(&r.segments, segments))
        {
            if !methods.contains(&&*route.method) {
                methods.push(&route.method);
            }
        }
        MatchError::MethodNotAllowed {
            allow: methods.join(", ").into(),
        }
    }
}

impl CompiledRoute {
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
                route: self.index,
                key,
            }),
            _ => Err(MatchError::NoKey {
                source: Arc::clone(&self.key),
            }),
        }
    }
}

/// The unescaped segments of a path; `None` for a relative path or one with empty or dot segments.
fn split(path: &str) -> Option<Vec<Cow<'_, str>>> {
    let path = path.strip_prefix('/')?;
    if path.is_empty() {
        return Some(Vec::new());
    }
    let is_plain = |segment: Cow<'_, str>| !matches!(&*segment, "" | "." | "..");
    path.split('/')
        .map(|s| unescape(s).filter(|s| is_plain(Cow::Borrowed(s))))
        .collect()
}

fn matches_path(pattern: &[Segment], segments: &[Cow<'_, str>]) -> bool {
    let same_length = match pattern.last() {
        Some(Segment::Rest(_)) => segments.len() >= pattern.len(),
        _ => segments.len() == pattern.len(),
    };
    let segment_matches = |(p, s): (&Segment, &Cow<'_, str>)| match p {
        Segment::Literal(text) => **text == **s,
        Segment::Parameter(_) | Segment::Rest(_) => true,
    };
    same_length && pattern.iter().zip(segments).all(segment_matches)
}

fn path_key(pattern: &[Segment], segments: &[Cow<'_, str>], name: &str) -> Option<Arc<str>> {
    let index = pattern.iter().position(|p| p.name() == Some(name))?;
    match pattern.get(index)? {
        Segment::Rest(_) => Some(segments.get(index..)?.join("/").into()),
        Segment::Parameter(_) | Segment::Literal(_) => Some(Arc::from(&**segments.get(index)?)),
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

/// Decodes `%XX`; `None` if an escape is malformed or the result is not UTF-8.
fn unescape(text: &str) -> Option<Cow<'_, str>> {
    if !text.contains('%') {
        return Some(Cow::Borrowed(text));
    }
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => hex_value(rest.next()?)? * 16 + hex_value(rest.next()?)?,
            _ => byte,
        });
    }
    String::from_utf8(bytes).ok().map(Cow::Owned)
}

fn hex_value(digit: u8) -> Option<u8> {
    let value = char::from(digit).to_digit(16)?;
    u8::try_from(value).ok()
}
