//! Sends one request as a caller and prints the response in one line.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use agateyoke::web::{Client, Reuse, SendOptions};
use agateyoke::{clock, runtime};
use argh::FromArgs;
use bytes::Bytes;

const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Response headers that are printed, without the prefix `agateyoke-`.
const PRINTED_HEADERS: [&str; 4] = ["verdict", "server", "fence", "replay"];

/// Sends one request to an entry VM and prints its status, verdict, server and fence.
#[derive(Debug, FromArgs)]
struct Options {
    /// address of an entry VM for callers
    #[argh(option)]
    entry: SocketAddr,
    /// name of the service
    #[argh(option)]
    service: String,
    /// id of the claim
    #[argh(option)]
    claim: Option<String>,
    /// timeout in milliseconds
    #[argh(option, default = "5000")]
    timeout_ms: u64,
    /// method such as GET
    #[argh(positional)]
    method: String,
    /// path and query
    #[argh(positional)]
    path: String,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match runtime::run(send_request(&options)) {
        Ok(response) => {
            println!("{}", format_line(&options, &response));
            ExitCode::from(u8::from(!response.status().is_success()))
        }
        Err(reason) => {
            eprintln!("{} {}: {reason}", options.method, options.path);
            ExitCode::from(1)
        }
    }
}

async fn send_request(options: &Options) -> Result<http::Response<Bytes>, String> {
    let mut request = http::Request::builder()
        .method(&*options.method)
        .uri(&*options.path)
        .header("host", options.entry.to_string())
        .header("agateyoke-service", &*options.service);
    if let Some(claim) = &options.claim {
        request = request.header("agateyoke-claim", &**claim);
    }
    let request = request.body(Bytes::new()).map_err(|e| e.to_string())?;
    let send = SendOptions {
        deadline: clock::now() + Duration::from_millis(options.timeout_ms),
        reuse: Reuse::Recent,
        before_write: || true,
    };
    let client = Client::new(MAX_RESPONSE_BYTES);
    let response = client.send(options.entry, request, send).await;
    response.map_err(|e| e.to_string())
}

fn format_line(options: &Options, response: &http::Response<Bytes>) -> String {
    let mut line = format!(
        "{:<4} {:<24} by {} -> {}",
        options.method,
        options.path,
        options.entry,
        response.status().as_u16()
    );
    for name in PRINTED_HEADERS {
        let value = response.headers().get(format!("agateyoke-{name}"));
        if let Some(value) = value.and_then(|v| v.to_str().ok()) {
            let _ = write!(line, "  {name}={value}");
        }
    }
    line
}
