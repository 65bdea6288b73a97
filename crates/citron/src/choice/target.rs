//! What the host list and a target's answers say about it.

use std::{str::FromStr, sync::Arc};

use strum::{Display, EnumString};

/// A target as the host list names it.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Target {
    /// The name, unique over all services.
    pub name: Arc<str>,
    /// The service it serves.
    pub service: Arc<str>,
    /// Where to connect, `ip:port`.
    pub address: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests it runs at once; zero counts as one.
    pub slots: u32,
    /// Connections it accepts from all proxies together; zero counts as one.
    pub connections: u32,
    /// Whether it leaves and must receive no new work.
    pub leaving: bool,
}

/// Busy slots of a target, written `BUSY/SLOTS`.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Load {
    /// Slots in use.
    pub in_use: u32,
    /// All slots.
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

/// What a target says about itself in an answer.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It takes work.
    #[default]
    Ready,
    /// It has just started and is slow at first.
    Cold,
    /// It finishes what it has and wants no more.
    Draining,
}

/// The part of an answer that bears on later choices.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct TargetReport {
    /// The load that the target reported, if any.
    pub load: Option<Load>,
    /// The state that the target reported.
    pub state: State,
}
