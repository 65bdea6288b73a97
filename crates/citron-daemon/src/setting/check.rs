//! Checks of values that several programs take, for [`Values::get_with`](super::Values::get_with).

use std::{net::SocketAddr, time::Duration};

/// The longest name of a host or failure domain, bytes.
const NAME_LIMIT_BYTES: usize = 64;

/// Checks a name of a host or failure domain.
///
/// # Errors
/// Says what is wrong with the name.
pub fn name(text: &str) -> Result<String, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text {
        "" => Err("it is empty".to_owned()),
        _ if text.len() > NAME_LIMIT_BYTES => Err("it is too long".to_owned()),
        _ if !text.chars().all(allowed) => Err("it has a character that is not allowed".to_owned()),
        _ => Ok(text.to_owned()),
    }
}

/// Checks an address that is announced to other hosts.
///
/// # Errors
/// Fails on what is not `IP:PORT` and on an address that stands for all of a host's.
pub fn address(text: &str) -> Result<SocketAddr, String> {
    let address: SocketAddr = text.parse().map_err(|_| "it is not IP:PORT".to_owned())?;
    if address.ip().is_unspecified() {
        return Err("other hosts cannot reach this address".to_owned());
    }
    Ok(address)
}

/// Checks a whole number.
///
/// # Errors
/// Fails on what is not a whole number from `min` to `max`.
pub fn number(text: &str, min: u64, max: u64) -> Result<u64, String> {
    match text.parse() {
        Ok(value) if (min..=max).contains(&value) => Ok(value),
        Ok(_) => Err("it is out of range".to_owned()),
        Err(_) => Err("it is not a whole number".to_owned()),
    }
}

/// Checks a whole number of milliseconds.
///
/// # Errors
/// Fails on what is not a whole number from `min` to `max`.
pub fn milliseconds(text: &str, min: u64, max: u64) -> Result<Duration, String> {
    number(text, min, max).map(Duration::from_millis)
}
