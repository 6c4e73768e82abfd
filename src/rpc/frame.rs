//! Length-prefixed frames and their JSON-RPC messages.

use std::borrow::Cow;
use std::io;

use jsonrpsee_types::{ErrorObject, Id, Request, Response, ResponsePayload};
use monoio::io::{AsyncReadRent, AsyncReadRentExt};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::error::Fault;
use crate::timeline::Timestamp;

/// Largest frame that is accepted on reading.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Bytes of a frame that are read at a time.
const READ_PART_BYTES: usize = 256 << 10;

/// Size of the big-endian length before each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Parameters or result of a call with the sender's timestamp.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Timestamp of the sender, for the time line.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
    /// Parameters or result as JSON.
    pub body: Box<RawValue>,
}

/// Decoded call.
#[derive(Debug)]
pub struct Call {
    /// Id of the call; the response has the same id.
    pub id: u64,
    /// Name of the method.
    pub method: Box<str>,
    /// Parameters.
    pub envelope: Envelope,
}

/// Decoded response.
#[derive(Debug)]
pub struct CallResponse {
    /// Id of the call.
    pub id: u64,
    /// Result or fault.
    pub result: Result<Envelope, Fault>,
}

/// Encodes a call as a frame.
pub fn encode_call(
    id: u64,
    method: &str,
    envelope: &Envelope,
) -> Result<Vec<u8>, serde_json::Error> {
    let params = serde_json::value::to_raw_value(envelope)?;
    let request = Request::borrowed(method, Some(&params), Id::Number(id));
    prefix_with_length(&serde_json::to_vec(&request)?)
}

/// Encodes a response as a frame.
pub fn encode_response(
    id: u64,
    result: &Result<Envelope, Fault>,
) -> Result<Vec<u8>, serde_json::Error> {
    let payload = match result {
        Ok(envelope) => ResponsePayload::success_borrowed(envelope),
        Err(fault) => ResponsePayload::error(ErrorObject::owned(
            fault.code,
            &*fault.message,
            fault.data.clone(),
        )),
    };
    let response = Response::new(payload, Id::Number(id));
    prefix_with_length(&serde_json::to_vec(&response)?)
}

/// Decodes a call; `None` if the frame holds something else.
pub fn decode_call(frame: &[u8]) -> Option<Call> {
    let request: Request<'_> = serde_json::from_slice(frame).ok()?;
    let params: Cow<'_, RawValue> = request.params?;
    Some(Call {
        id: request.id.try_parse_inner_as_number().ok()?,
        method: request.method.into(),
        envelope: serde_json::from_str(params.get()).ok()?,
    })
}

/// Decodes a response; `None` if the frame holds something else.
pub fn decode_response(frame: &[u8]) -> Option<CallResponse> {
    let response: Response<'_, Box<RawValue>> = serde_json::from_slice(frame).ok()?;
    let id = response.id.try_parse_inner_as_number().ok()?;
    let result = match response.payload {
        ResponsePayload::Success(raw) => Ok(serde_json::from_str(raw.get()).ok()?),
        ResponsePayload::Error(error) => Err(Fault {
            code: error.code(),
            message: error.message().into(),
            data: error
                .data()
                .and_then(|raw| serde_json::from_str(raw.get()).ok()),
        }),
    };
    Some(CallResponse { id, result })
}

/// Reads one frame.
///
/// # Errors
///
/// An I/O error of the stream, or `InvalidData` for a frame over [`MAX_FRAME_BYTES`].
pub async fn read<R>(stream: &mut R) -> io::Result<Vec<u8>>
where
    R: AsyncReadRent,
{
    let (result, prefix) = stream.read_exact(vec![0u8; LENGTH_PREFIX_BYTES]).await;
    result?;
    let prefix = <[u8; LENGTH_PREFIX_BYTES]>::try_from(prefix)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = Vec::new();
    while body.len() < length {
        // Memory is taken as bytes arrive, not for what a length promises.
        let part = vec![0u8; (length - body.len()).min(READ_PART_BYTES)];
        let (result, part) = stream.read_exact(part).await;
        result?;
        body.extend_from_slice(&part);
    }
    Ok(body)
}

/// Adds the length; an error for a body that no reader would accept.
fn prefix_with_length(body: &[u8]) -> Result<Vec<u8>, serde_json::Error> {
    let length = u32::try_from(body.len()).ok();
    let Some(length) = length.filter(|_| body.len() <= MAX_FRAME_BYTES) else {
        return Err(serde::ser::Error::custom("the message is too large"));
    };
    let mut frame = Vec::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(body);
    Ok(frame)
}
