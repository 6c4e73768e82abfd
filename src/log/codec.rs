//! Binary encoding of log entries, for segments and messages.

use std::sync::Arc;

use super::model::{Body, Entry};

/// Codes of the kinds of entries, one byte each.
const NOOP_KIND: u8 = 0;
const MEMBERSHIP_KIND: u8 = 1;
const COMMAND_KIND: u8 = 2;

/// Appends an encoded entry to `out`: index, term, kind, length, content; integers are big-endian.
pub(super) fn encode_entry(out: &mut Vec<u8>, entry: &Entry) {
    let (kind, content) = encode_body(&entry.body);
    out.extend_from_slice(&entry.index.to_be_bytes());
    out.extend_from_slice(&entry.term.to_be_bytes());
    out.push(kind);
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&content);
}

/// Decodes all of `bytes` as entries; `None` if they are malformed.
pub(super) fn decode_entries(mut bytes: &[u8]) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        entries.push(decode_entry(&mut bytes)?);
    }
    Some(entries)
}

fn decode_entry(bytes: &mut &[u8]) -> Option<Entry> {
    let index = u64::from_be_bytes(take_bytes(bytes)?);
    let term = u64::from_be_bytes(take_bytes(bytes)?);
    let [kind] = take_bytes::<1>(bytes)?;
    let length = u32::from_be_bytes(take_bytes(bytes)?) as usize;
    let (content, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(Entry {
        index,
        term,
        body: decode_body(kind, content)?,
    })
}

fn take_bytes<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (head, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*head)
}

fn encode_body(body: &Body) -> (u8, Arc<[u8]>) {
    match body {
        Body::Noop => (NOOP_KIND, Arc::default()),
        Body::Membership(membership) => {
            // Names, addresses and flags always serialize, so the default is never used.
            let json = serde_json::to_vec(membership).unwrap_or_default();
            (MEMBERSHIP_KIND, json.into())
        }
        Body::Command(bytes) => (COMMAND_KIND, Arc::clone(bytes)),
    }
}

fn decode_body(kind: u8, content: &[u8]) -> Option<Body> {
    match kind {
        NOOP_KIND => Some(Body::Noop),
        MEMBERSHIP_KIND => serde_json::from_slice(content).ok().map(Body::Membership),
        COMMAND_KIND => Some(Body::Command(content.into())),
        _ => None,
    }
}

/// Encodes bytes as lowercase hexadecimal digits.
pub(super) fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().map(|b| format!("{b:02x}"));
    digits.collect()
}

/// Serializes bytes as base64 text, for `#[serde(with = "base64_text")]`.
pub(super) mod base64_text {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes unpadded base64.
    pub(in super::super) fn serialize<S>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    /// Reads unpadded base64.
    pub(in super::super) fn deserialize<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(&text).map_err(D::Error::custom)
    }
}
