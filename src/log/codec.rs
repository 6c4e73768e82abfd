//! Entries as bytes, for segments and messages.

use std::sync::Arc;

use super::model::{Body, Entry};

/// Kinds of entries as one byte.
const NOOP: u8 = 0;
const MEMBERS: u8 = 1;
const COMMAND: u8 = 2;

/// Appends one entry to `out`: index, term, kind, length, content.
pub(super) fn write(out: &mut Vec<u8>, entry: &Entry) {
    let (kind, content) = content(&entry.body);
    out.extend_from_slice(&entry.index.to_be_bytes());
    out.extend_from_slice(&entry.term.to_be_bytes());
    out.push(kind);
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&content);
}

/// Reads entries until `bytes` are used up; `None` if they are none.
pub(super) fn read_all(mut bytes: &[u8]) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        entries.push(read(&mut bytes)?);
    }
    Some(entries)
}

fn read(bytes: &mut &[u8]) -> Option<Entry> {
    let index = u64::from_be_bytes(take(bytes)?);
    let term = u64::from_be_bytes(take(bytes)?);
    let [kind] = take::<1>(bytes)?;
    let length = u32::from_be_bytes(take(bytes)?) as usize;
    let (content, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(Entry {
        index,
        term,
        body: body(kind, content)?,
    })
}

fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (head, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*head)
}

fn content(body: &Body) -> (u8, Arc<[u8]>) {
    match body {
        Body::Noop => (NOOP, Arc::default()),
        Body::Members(members) => {
            let json = serde_json::to_vec(members).unwrap_or_default();
            (MEMBERS, json.into())
        }
        Body::Command(bytes) => (COMMAND, Arc::clone(bytes)),
    }
}

fn body(kind: u8, content: &[u8]) -> Option<Body> {
    match kind {
        NOOP => Some(Body::Noop),
        MEMBERS => serde_json::from_slice(content).ok().map(Body::Members),
        COMMAND => Some(Body::Command(content.into())),
        _ => None,
    }
}

/// Bytes as hexadecimal digits.
pub(super) fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().map(|b| format!("{b:02x}"));
    digits.collect()
}

/// Bytes as text in messages.
pub(super) mod text {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes base64.
    pub(in super::super) fn serialize<S>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    /// Reads base64.
    pub(in super::super) fn deserialize<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(&text).map_err(D::Error::custom)
    }
}
