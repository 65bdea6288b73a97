//! Listed targets, and what they report in their responses.

use std::{str::FromStr, sync::Arc, time::Duration};

use strum::{Display, EnumString};

/// A listed target.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Target {
    /// Its name, unique over all services.
    pub name: Arc<str>,
    /// The service it serves.
    pub service: Arc<str>,
    /// Where to connect, `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// How many requests it runs at once; zero counts as one.
    pub slots: u32,
    /// How many connections it accepts from all proxies together; zero counts as one.
    pub connections: u32,
    /// Whether it is leaving and must receive no new requests.
    pub leaving: bool,
}

/// The slots of a target that are in use, written `IN_USE/SLOTS`.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Load {
    /// The number of slots in use.
    pub in_use: u32,
    /// The number of all slots.
    pub slots: u32,
}

impl FromStr for Load {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let (in_use, slots) = text.trim().split_once('/').ok_or(())?;
        let (in_use, slots) = (in_use.parse().map_err(|_| ())?, slots.parse().map_err(|_| ())?);
        if slots == 0 { Err(()) } else { Ok(Self { in_use, slots }) }
    }
}

/// The state that a target reports in a response.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It accepts requests.
    #[default]
    Ready,
    /// It has just started and is still slow.
    Cold,
    /// It completes the requests it has and must receive no new ones.
    Draining,
}

/// The part of a response that affects later picks.
#[derive(Debug, Default, Copy, Clone, PartialEq)]
pub struct TargetReport {
    /// The reported load, if any.
    pub load: Option<Load>,
    /// The reported state.
    pub state: State,
    /// How long the target wants no further requests from this proxy.
    pub pause: Option<Duration>,
    /// How many requests a second the target takes from all proxies together, if it names a limit.
    pub limit_per_s: Option<f64>,
}
