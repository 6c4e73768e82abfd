//! RPC server.

use std::rc::Rc;

use local_sync::mpsc::unbounded as queue;
use monoio::io::{AsyncWriteRentExt, Splitable};
use monoio::net::tcp::TcpOwnedWriteHalf;
use monoio::net::{TcpListener, TcpStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::error::{self, Fault};
use super::frame::{self, Call, Envelope};
use crate::runtime;
use crate::timeline::Journal;

/// Encoded result of a call, or its fault.
pub type RpcResult = Result<Box<RawValue>, Fault>;

/// Decodes the parameters of a call.
///
/// # Errors
///
/// A fault with [`error::BAD_REQUEST`] and the reason.
pub fn decode_params<Q>(body: &RawValue) -> Result<Q, Fault>
where
    Q: DeserializeOwned,
{
    serde_json::from_str(body.get()).map_err(|e| Fault::new(error::BAD_REQUEST, &e.to_string()))
}

/// Encodes the result of a call.
///
/// # Errors
///
/// A fault with [`error::BAD_REQUEST`] if the result cannot be encoded as JSON.
pub fn encode_result<A>(value: &A) -> RpcResult
where
    A: Serialize,
{
    serde_json::value::to_raw_value(value)
        .map_err(|e| Fault::new(error::BAD_REQUEST, &e.to_string()))
}

/// Fault for a method that does not exist.
pub fn unknown_method(method: &str) -> Fault {
    Fault::new(error::UNKNOWN_METHOD, &format!("unknown method {method}"))
}

/// Accepts connections of `listener` and handles their calls; never returns.
///
/// `handler` gets the method and its parameters. Each call runs in its own
/// task, so that a slow call delays no other.
pub async fn serve<H, F>(listener: TcpListener, journal: Journal, handler: H)
where
    H: Fn(Box<str>, Box<RawValue>) -> F + 'static,
    F: Future<Output = RpcResult> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            monoio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        runtime::spawn_contained(
            "rpc connection",
            serve_connection(stream, journal.clone(), Rc::clone(&handler)),
        );
    }
}

async fn serve_connection<H, F>(stream: TcpStream, journal: Journal, handler: Rc<H>)
where
    H: Fn(Box<str>, Box<RawValue>) -> F + 'static,
    F: Future<Output = RpcResult> + 'static,
{
    let (mut reader, writer) = stream.into_split();
    let (outgoing, frames) = queue::channel();
    monoio::spawn(write_frames(writer, frames));
    while let Ok(bytes) = frame::read(&mut reader).await {
        let Some(call) = frame::decode_call(&bytes) else {
            return;
        };
        let Call {
            id,
            method,
            envelope,
        } = call;
        journal.observe(envelope.timestamp);
        let call = handler(method, envelope.body);
        let outgoing = outgoing.clone();
        let journal = journal.clone();
        runtime::spawn_contained("rpc call", async move {
            let into_envelope = |body| Envelope {
                timestamp: journal.next_timestamp(),
                body,
            };
            let response = call.await.map(into_envelope);
            let frame = frame::encode_response(id, &response).or_else(|reason| {
                let fault = Fault::new(error::REFUSED, &reason.to_string());
                frame::encode_response(id, &Err(fault))
            });
            if let Ok(frame) = frame {
                let _ = outgoing.send(frame);
            }
        });
    }
}

async fn write_frames(mut writer: TcpOwnedWriteHalf, mut frames: queue::Rx<Vec<u8>>) {
    while let Some(frame) = frames.recv().await {
        let (result, _) = writer.write_all(frame).await;
        if result.is_err() {
            return;
        }
    }
}
