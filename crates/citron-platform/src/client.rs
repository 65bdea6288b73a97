//! The client of the object API over HTTP.

use std::{error::Error as _, time::Duration};

use citron_daemon::transfer::{self, Bounds, Progress};
use reqwest::{
    Method, RequestBuilder, Response, StatusCode, Url,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
    redirect, retry,
};
use serde::de::DeserializeOwned;
use tokio::time;

use crate::{Changes, Entry, Error, Expect, Hosts, Object, VALUE_LIMIT_BYTES, Version};

/// The maximum size of the response to a read of several objects or of the hosts, in bytes.
const LIST_LIMIT_BYTES: usize = 64 << 20;
/// The rate, in bytes a second, that a link must have for a value to be written in time.
const WRITE_RATE_MIN: usize = 16 << 10;
/// The maximum size of the body of a refusal, in bytes.
const REFUSAL_LIMIT_BYTES: usize = 64 << 10;
/// The maximum length of the reason kept from the body of a refusal, in characters.
const REASON_LIMIT_CHARS: usize = 300;

/// A client of one platform; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    base: Url,
    http: reqwest::Client,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the platform at `url`, such as `http://10.0.0.1:8080`.
    ///
    /// The response to each call begins within `timeout`, to a watch within `timeout` plus the time it
    /// waits, and the call ends when no more of it arrives for `timeout`. A write has longer for a long
    /// value. No connection is made yet.
    ///
    /// # Errors
    /// Fails if the URL is not an HTTP URL with a host.
    pub fn open(url: &str, timeout: Duration) -> Result<Self, Error> {
        let refused = |reason: String| Error::Refused { status: None, reason };
        let base =
            Url::parse(url).map_err(|error| refused(format!("{url:?} is not a URL: {error}")))?;
        if base.scheme() != "http" || !base.has_host() {
            return Err(refused(format!("{url:?} is not of the form http://host:port")));
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .http1_only()
            // Shorter than the timeout of the whole call, so that a failed connect can be
            // distinguished from a lost response.
            .connect_timeout(timeout / 2)
            .build()
            .map_err(|error| refused(error_chain(&error)))?;
        Ok(Self { base, http, timeout })
    }

    /// Returns the platform's URL.
    pub fn url(&self) -> &str {
        self.base.as_str()
    }

    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &["objects", kind, name])?;
        let response = self.read(request, self.timeout).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let mut response = self.check_read_status(response).await?;
        let Some(version) = version_of(&response) else {
            return Err(Error::Malformed { reason: "the object has no etag".to_owned() });
        };
        let value = self.receive(&mut response, VALUE_LIMIT_BYTES).await?;
        Ok(Some(Object { version, value }))
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    /// `Conflict`, `TooLarge`, `Unreachable` or `Refused` when nothing changed; `Unknown` when the
    /// write may have taken effect.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &[u8],
        expect: Expect,
    ) -> Result<Version, Error> {
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(Error::TooLarge { bytes: value.len() });
        }
        let request = self.request(Method::PUT, &["objects", kind, name])?.body(value.to_vec());
        let response = self.write(with_precondition(request, expect), value.len()).await?;
        version_of(&response)
            .ok_or_else(|| Error::Unknown { reason: "the answer has no etag".to_owned() })
    }

    /// Deletes an object if the condition holds; with `Expect::Any`, deleting an object that does
    /// not exist succeeds.
    ///
    /// # Errors
    /// As for [`Client::put`].
    pub async fn delete(&self, kind: &str, name: &str, expect: Expect) -> Result<(), Error> {
        let request = self.request(Method::DELETE, &["objects", kind, name])?;
        self.write(with_precondition(request, expect), 0).await.map(drop)
    }

    /// Returns the names and versions of all objects of a kind.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn list(&self, kind: &str) -> Result<Vec<Entry>, Error> {
        let request = self.request(Method::GET, &["objects", kind])?;
        self.read_json(request, self.timeout).await
    }

    /// Returns the changes of a kind after a version, waiting up to `wait` if there are none yet.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let mut url = self.endpoint_url(&["watch", kind])?;
        url.query_pairs_mut()
            .append_pair("after", &after.to_string())
            .append_pair("timeout_ms", &wait.as_millis().to_string());
        self.read_json(self.http.get(url), self.timeout + wait).await
    }

    /// Returns the platform's list of hosts, which may be stale.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn hosts(&self) -> Result<Hosts, Error> {
        let request = self.request(Method::GET, &["hosts"])?;
        let body = self.read_body(request, self.timeout).await?;
        Hosts::decode(&String::from_utf8_lossy(&body))
            .map_err(|error| Error::Malformed { reason: error.to_string() })
    }

    fn request(&self, method: Method, segments: &[&str]) -> Result<RequestBuilder, Error> {
        Ok(self.http.request(method, self.endpoint_url(segments)?))
    }

    fn endpoint_url(&self, segments: &[&str]) -> Result<Url, Error> {
        if let Some(segment) = segments.iter().find(|segment| matches!(**segment, "" | "." | ".."))
        {
            let reason = format!("{segment:?} cannot name a kind or an object");
            return Err(Error::Refused { status: None, reason });
        }
        let mut url = self.base.clone();
        url.path_segments_mut()
            .expect("an HTTP URL with a host has a path")
            .pop_if_empty()
            .push("v1")
            .extend(segments);
        Ok(url)
    }

    async fn read(&self, request: RequestBuilder, timeout: Duration) -> Result<Response, Error> {
        let sent = time::timeout(timeout, request.send()).await;
        let late = |_| Error::Unreachable { reason: "no answer began in time".to_owned() };
        sent.map_err(late)?.map_err(|error| unreachable(&error))
    }

    /// Receives the body of a response, of at most `limit` bytes.
    async fn receive(&self, response: &mut Response, limit: usize) -> Result<Vec<u8>, Error> {
        let bounds = Bounds { size: limit, stall_timeout: self.timeout };
        let body = transfer::read(response, bounds, &Progress::default()).await;
        body.map_err(|error| match error {
            transfer::Error::TooLong(_) => Error::Malformed { reason: error.to_string() },
            _ => Error::Unreachable { reason: error.to_string() },
        })
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<T, Error> {
        let body = self.read_body(request, timeout).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Malformed { reason: error.to_string() })
    }

    async fn read_body(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<Vec<u8>, Error> {
        let response = self.read(request, timeout).await?;
        let mut response = self.check_read_status(response).await?;
        self.receive(&mut response, LIST_LIMIT_BYTES).await
    }

    async fn write(&self, request: RequestBuilder, bytes: usize) -> Result<Response, Error> {
        let timeout = self.timeout + Duration::from_secs((bytes / WRITE_RATE_MIN) as u64);
        let response = request.timeout(timeout).send().await.map_err(|error| {
            // Only a failed connect proves that nothing was sent.
            if error.is_connect() {
                unreachable(&error)
            } else {
                Error::Unknown { reason: error_chain(&error) }
            }
        })?;
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::PRECONDITION_FAILED => {
                Err(Error::Conflict { current: version_of(&response) })
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge { bytes }),
            status if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT => {
                Err(Error::Unknown { reason: format!("the answer has status {status}") })
            }
            _ => Err(self.refusal(response).await),
        }
    }

    /// Returns the response to a read if its status is a success, and an error otherwise.
    async fn check_read_status(&self, response: Response) -> Result<Response, Error> {
        let status = response.status();
        if status.is_success() {
            Ok(response)
        } else if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT {
            Err(Error::Unreachable { reason: format!("the answer has status {status}") })
        } else {
            Err(self.refusal(response).await)
        }
    }

    async fn refusal(&self, mut response: Response) -> Error {
        let status = response.status().as_u16();
        let reason = match self.receive(&mut response, REFUSAL_LIMIT_BYTES).await {
            Ok(body) => {
                let text = String::from_utf8_lossy(&body);
                text.trim().chars().take(REASON_LIMIT_CHARS).collect()
            }
            Err(error) => format!("its reason was not received: {error}"),
        };
        Error::Refused { status: Some(status), reason }
    }
}

fn with_precondition(request: RequestBuilder, expect: Expect) -> RequestBuilder {
    match expect {
        Expect::Any => request,
        Expect::Absent => request.header(IF_NONE_MATCH, "*"),
        Expect::Version(version) => request.header(IF_MATCH, version.to_etag()),
    }
}

fn version_of(response: &Response) -> Option<Version> {
    Version::from_etag(response.headers().get(ETAG)?.to_str().ok()?)
}

fn unreachable(error: &reqwest::Error) -> Error {
    Error::Unreachable { reason: error_chain(error) }
}

/// Returns the messages of an error and its sources, outermost first.
fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text += &format!(": {inner}");
        source = inner.source();
    }
    text
}
