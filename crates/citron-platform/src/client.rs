//! Calls to the object API over HTTP.

use std::{error::Error as _, time::Duration};

use reqwest::{
    Method, RequestBuilder, Response, StatusCode, Url,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
    redirect, retry,
};
use serde::de::DeserializeOwned;

use crate::{Changes, Entry, Error, Expect, Hosts, Object, VALUE_LIMIT_BYTES, Version};

/// The longest part of a refusal's body that is kept, in characters.
const REASON_LIMIT_CHARS: usize = 300;

/// A client of one platform; clones share connections.
#[derive(Debug, Clone)]
pub struct Client {
    base: Url,
    http: reqwest::Client,
    timeout: Duration,
}

impl Client {
    /// Opens a client of the platform at `url`, such as `http://10.0.0.1:8080`.
    ///
    /// Each call ends within `timeout`, a watch within its waiting time besides. Nothing is sent
    /// yet.
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
            // Shorter than the whole, so that a failed connect is told from a lost answer.
            .connect_timeout(timeout / 2)
            .build()
            .map_err(|error| refused(chain(&error)))?;
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
        let answer = self.read(request, self.timeout).await?;
        if answer.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let answer = expect_ok(answer).await?;
        let Some(version) = version_of(&answer) else {
            return Err(Error::Malformed { reason: "the object has no etag".to_owned() });
        };
        let value = answer.bytes().await.map_err(|error| unreachable(&error))?;
        Ok(Some(Object { version, value: value.to_vec() }))
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
        let answer = self.write(condition(request, expect), value.len()).await?;
        version_of(&answer)
            .ok_or_else(|| Error::Unknown { reason: "the answer has no etag".to_owned() })
    }

    /// Deletes an object if the condition holds; with `Expect::Any`, an object that does not exist
    /// is no fault.
    ///
    /// # Errors
    /// As for [`Client::put`].
    pub async fn delete(&self, kind: &str, name: &str, expect: Expect) -> Result<(), Error> {
        let request = self.request(Method::DELETE, &["objects", kind, name])?;
        self.write(condition(request, expect), 0).await.map(drop)
    }

    /// Returns the names and versions of all objects of a kind.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn list(&self, kind: &str) -> Result<Vec<Entry>, Error> {
        let request = self.request(Method::GET, &["objects", kind])?;
        self.read_json(request, self.timeout).await
    }

    /// Returns the changes of a kind after a version; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, Error> {
        let mut url = self.locate(&["watch", kind])?;
        url.query_pairs_mut()
            .append_pair("after", &after.to_string())
            .append_pair("timeout_ms", &wait.as_millis().to_string());
        self.read_json(self.http.get(url), self.timeout + wait).await
    }

    /// Returns the platform's list of hosts, which lags.
    ///
    /// # Errors
    /// `Unreachable`, `Refused` or `Malformed`.
    pub async fn hosts(&self) -> Result<Hosts, Error> {
        let request = self.request(Method::GET, &["hosts"])?;
        self.read_json(request, self.timeout).await
    }

    fn request(&self, method: Method, words: &[&str]) -> Result<RequestBuilder, Error> {
        Ok(self.http.request(method, self.locate(words)?))
    }

    fn locate(&self, words: &[&str]) -> Result<Url, Error> {
        if let Some(word) = words.iter().find(|word| matches!(**word, "" | "." | "..")) {
            let reason = format!("{word:?} cannot name a kind or an object");
            return Err(Error::Refused { status: None, reason });
        }
        let mut url = self.base.clone();
        url.path_segments_mut()
            .expect("an HTTP URL with a host has a path")
            .pop_if_empty()
            .push("v1")
            .extend(words);
        Ok(url)
    }

    async fn read(&self, request: RequestBuilder, timeout: Duration) -> Result<Response, Error> {
        request.timeout(timeout).send().await.map_err(|error| unreachable(&error))
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Result<T, Error> {
        let answer = expect_ok(self.read(request, timeout).await?).await?;
        let body = answer.bytes().await.map_err(|error| unreachable(&error))?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Malformed { reason: error.to_string() })
    }

    async fn write(&self, request: RequestBuilder, bytes: usize) -> Result<Response, Error> {
        let answer = request.timeout(self.timeout).send().await.map_err(|error| {
            // A failed connect is the only failure before which nothing can have been sent.
            if error.is_connect() {
                unreachable(&error)
            } else {
                Error::Unknown { reason: chain(&error) }
            }
        })?;
        match answer.status() {
            status if status.is_success() => Ok(answer),
            StatusCode::PRECONDITION_FAILED => {
                Err(Error::Conflict { current: version_of(&answer) })
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge { bytes }),
            status if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT => {
                Err(Error::Unknown { reason: format!("the answer has status {status}") })
            }
            _ => Err(refused(answer).await),
        }
    }
}

fn condition(request: RequestBuilder, expect: Expect) -> RequestBuilder {
    match expect {
        Expect::Any => request,
        Expect::Absent => request.header(IF_NONE_MATCH, "*"),
        Expect::Version(version) => request.header(IF_MATCH, version.to_etag()),
    }
}

/// Passes an answer to a read on if it is a success.
async fn expect_ok(answer: Response) -> Result<Response, Error> {
    let status = answer.status();
    if status.is_success() {
        Ok(answer)
    } else if status.is_server_error() || status == StatusCode::REQUEST_TIMEOUT {
        Err(Error::Unreachable { reason: format!("the answer has status {status}") })
    } else {
        Err(refused(answer).await)
    }
}

async fn refused(answer: Response) -> Error {
    let status = answer.status().as_u16();
    let text = answer.text().await.unwrap_or_default();
    Error::Refused {
        status: Some(status),
        reason: text.trim().chars().take(REASON_LIMIT_CHARS).collect(),
    }
}

fn version_of(answer: &Response) -> Option<Version> {
    Version::from_etag(answer.headers().get(ETAG)?.to_str().ok()?)
}

fn unreachable(error: &reqwest::Error) -> Error {
    Error::Unreachable { reason: chain(error) }
}

/// Returns the messages of an error and its sources, the innermost one last.
fn chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text += &format!(": {inner}");
        source = inner.source();
    }
    text
}
