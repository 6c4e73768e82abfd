//! A caller that sends one request and prints the answer in one line.

use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use agateyoke::web::{Client, Reuse, SendOptions};
use agateyoke::{clock, runtime};
use argh::FromArgs;
use bytes::Bytes;

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 1 << 20;

/// Answer headers that are printed, without their prefix.
const PRINTED: [&str; 4] = ["verdict", "server", "fence", "replay"];

/// Sends one request to an entry VM and prints status, owner, fence and verdict.
#[derive(Debug, FromArgs)]
struct Options {
    /// callers' address of an entry VM
    #[argh(option)]
    entry: SocketAddr,
    /// service asked
    #[argh(option)]
    service: String,
    /// id of the claim
    #[argh(option)]
    claim: Option<String>,
    /// longest wait in milliseconds
    #[argh(option, default = "5000")]
    timeout_ms: u64,
    /// method such as GET
    #[argh(positional)]
    method: String,
    /// path with query
    #[argh(positional)]
    path: String,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    match runtime::run(ask(&options)) {
        Ok(answer) => {
            println!("{}", line(&options, &answer));
            ExitCode::from(u8::from(!answer.status().is_success()))
        }
        Err(reason) => {
            eprintln!("{} {}: {reason}", options.method, options.path);
            ExitCode::from(1)
        }
    }
}

async fn ask(options: &Options) -> Result<http::Response<Bytes>, String> {
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
    let client = Client::new(ANSWER_BYTES);
    let answer = client.send(options.entry, request, send).await;
    answer.map_err(|e| e.to_string())
}

fn line(options: &Options, answer: &http::Response<Bytes>) -> String {
    let mut line = format!(
        "{:<4} {:<24} by {} -> {}",
        options.method,
        options.path,
        options.entry,
        answer.status().as_u16()
    );
    for name in PRINTED {
        let value = answer.headers().get(format!("agateyoke-{name}"));
        if let Some(value) = value.and_then(|v| v.to_str().ok()) {
            let _ = write!(line, "  {name}={value}");
        }
    }
    line
}
