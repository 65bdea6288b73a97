//! Validators of setting values that several programs share, for
//! [`Values::get_with`](super::Values::get_with).

use std::{net::SocketAddr, time::Duration};

/// The maximum length of the name of a host or failure domain, in bytes.
const NAME_LIMIT_BYTES: usize = 64;

/// Validates the name of a host or failure domain.
///
/// # Errors
/// Fails with the reason why the name is not valid.
pub fn name(text: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text {
        "" => Err("it is empty".to_owned()),
        _ if text.len() > NAME_LIMIT_BYTES => Err("it is too long".to_owned()),
        _ if !text.chars().all(allowed) => Err("it has a character that is not allowed".to_owned()),
        _ => Ok(text.to_owned()),
    }
}

/// Parses an address that is advertised to other hosts.
///
/// # Errors
/// Fails if `text` is not `IP:PORT` or the IP is unspecified, such as `0.0.0.0`.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|_| "it is not IP:PORT".to_owned())?;
    if address.ip().is_unspecified() {
        return Err("other hosts cannot reach this address".to_owned());
    }
    Ok(address)
}

/// Parses a whole number.
///
/// # Errors
/// Fails if `text` is not a whole number from `min` to `max`.
pub fn number(text: &str, min: u64, max: u64) -> Result<u64, String> {
    match text.parse() {
        Ok(value) if (min..=max).contains(&value) => Ok(value),
        Ok(_) => Err("it is out of range".to_owned()),
        Err(_) => Err("it is not a whole number".to_owned()),
    }
}

/// Parses a whole number of milliseconds.
///
/// # Errors
/// Fails if `text` is not a whole number from `min` to `max`.
pub fn milliseconds(text: &str, min: u64, max: u64) -> Result<Duration, String> {
    number(text, min, max).map(Duration::from_millis)
}
