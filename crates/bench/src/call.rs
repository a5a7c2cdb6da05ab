//! Sends one HTTP call from the command line, for documentation and scripts.

use std::{io::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use getopts::Matches;
use http::Method;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    error::{BenchError, BenchErrorKind},
    http::{HttpAnswer, HttpCall, HttpClient},
};

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of the `call` command: the call and the expected response.
#[derive(Clone, Debug)]
pub struct CallOptions {
    /// Address that the call is sent to.
    pub address: SocketAddr,
    /// The call to send.
    pub call: HttpCall,
    /// Text that the response body must contain.
    pub expected: Option<String>,
    /// Time during which a failed call is retried.
    pub wait: Duration,
}

impl TryFrom<&Matches> for CallOptions {
    type Error = BenchError;

    fn try_from(matches: &Matches) -> Result<Self, BenchError> {
        let address = matches.opt_str("node").ok_or_else(|| usage("--node is missing"))?;
        let address = address
            .parse()
            .map_err(|_| usage(&format!("--node {address:?} is not of the form ip:port")))?;
        let wait = matches.opt_get("wait").map_err(|_| usage("--wait is not a number"))?;
        Ok(Self {
            address,
            call: read_call(matches)?,
            expected: matches.opt_str("expect"),
            wait: Duration::from_secs(wait.unwrap_or(0)),
        })
    }
}

fn read_call(matches: &Matches) -> Result<HttpCall, BenchError> {
    let targets = [
        ("get", Method::GET, ""),
        ("post", Method::POST, ""),
        ("put", Method::PUT, ""),
        ("delete", Method::DELETE, ""),
        ("search", Method::POST, "/v1/search/"),
        ("service", Method::POST, "/v1/services/"),
    ];
    let mut calls = Vec::new();
    for (flag, method, prefix) in targets {
        let Some(name) = matches.opt_str(flag) else { continue };
        let call = HttpCall::get(&format!("{prefix}{name}"));
        calls.push(HttpCall { method, ..call });
    }
    let [call] = calls.as_mut_slice() else {
        return Err(usage("give one of --get, --post, --put, --delete, --search and --service"));
    };
    let mut call = call.clone();
    call.body = Bytes::from(matches.opt_str("body").unwrap_or_default());
    let headers =
        [("key", "idempotency-key"), ("deadline-ms", "x-deadline-ms"), ("id", "x-request-id")];
    for (flag, header) in headers {
        if let Some(value) = matches.opt_str(flag) {
            call = call.header(header, value);
        }
    }
    Ok(call)
}

/// Sends the call, prints the response's status and body, and checks them. A
/// call that fails is retried until the waiting time has passed.
///
/// # Errors
///
/// Fails when the last attempt receives no response, a status other than 2xx, or
/// a body without the expected text.
pub async fn run_call(options: &CallOptions, output: &mut impl Write) -> Result<(), BenchError> {
    let deadline = Instant::now() + options.wait;
    let client = HttpClient::default();
    loop {
        let result = send_once(&client, options).await;
        let is_last = Instant::now() + RETRY_DELAY >= deadline;
        match result {
            Ok(response) if is_last || response_error(options, &response).is_none() => {
                print(output, &response)?;
                return response_error(options, &response).map_or(Ok(()), Err);
            }
            Err(error) if is_last => return Err(error),
            _ => sleep(RETRY_DELAY).await,
        }
    }
}

async fn send_once(client: &HttpClient, options: &CallOptions) -> Result<HttpAnswer, BenchError> {
    let sent = timeout(ATTEMPT_TIMEOUT, client.send(options.address, &options.call)).await;
    sent.unwrap_or_else(|_| {
        let message = format!("{}: no response within {ATTEMPT_TIMEOUT:?}", options.address);
        Err(BenchError::new(BenchErrorKind::Timeout, message))
    })
}

fn response_error(options: &CallOptions, response: &HttpAnswer) -> Option<BenchError> {
    if !response.status.is_success() {
        let message = format!("{}: status {}", options.call.path, response.status);
        return Some(BenchError::new(BenchErrorKind::Response, message));
    }
    let expected = options.expected.as_deref()?;
    if String::from_utf8_lossy(&response.body).contains(expected) {
        return None;
    }
    let message = format!("{}: the response does not contain {expected:?}", options.call.path);
    Some(BenchError::new(BenchErrorKind::Response, message))
}

fn print(output: &mut impl Write, response: &HttpAnswer) -> Result<(), BenchError> {
    let body = String::from_utf8_lossy(&response.body);
    writeln!(output, "{} {body}", response.status.as_u16())
        .map_err(|error| BenchError::new(BenchErrorKind::Output, error.to_string()))
}

fn usage(message: &str) -> BenchError {
    BenchError::new(BenchErrorKind::Usage, message)
}
