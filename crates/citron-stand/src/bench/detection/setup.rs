//! What is simulated.

use std::time::Duration;

use citron::policy::Profile;
use strum::{Display, EnumIter};

/// The number of proxies.
pub const PROXIES: usize = 18;
/// The number of targets.
pub const TARGETS: usize = 20;
/// The number of failure domains of both.
pub const DOMAINS: usize = 4;
/// Slots of a target.
pub const SLOTS: usize = 3;
/// Requests that wait at a target with full slots before it sheds.
pub const QUEUE: usize = 4;

/// A service and its load.
#[derive(Debug, Copy, Clone)]
pub struct Setup {
    /// Its name.
    pub name: &'static str,
    /// Its profile.
    pub profile: Profile,
    /// Requests per second over all proxies.
    pub rate: f64,
    /// The median service time.
    pub median: Duration,
    /// The longest time of an attempt.
    pub deadline: Duration,
    /// The least share of targets in use.
    pub floor: f64,
}

impl Setup {
    /// Returns the services of both users.
    pub fn all() -> [Self; 2] {
        [
            Self {
                name: "tec-live",
                profile: Profile::Fast,
                rate: 700.0,
                median: Duration::from_millis(30),
                deadline: Duration::from_secs(1),
                floor: 0.6,
            },
            Self {
                name: "lot-desk",
                profile: Profile::Careful,
                rate: 100.0,
                median: Duration::from_millis(60),
                deadline: Duration::from_secs(2),
                floor: 0.6,
            },
        ]
    }
}

/// A gray fault of one target.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Service takes six times as long.
    Slow,
    /// 40 in 100 requests fail.
    Errors,
    /// 25 in 100 answers belong to another request.
    Wrong,
    /// Half of the requests are never answered.
    Stall,
    /// 60 in 100 requests fail for 3 s out of every 6 s.
    Flapping,
}

/// The network of proxy 0.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Network {
    /// As good as the others'.
    Good,
    /// Slow and lossy to all targets.
    BadToAll,
    /// Slow and lossy to the targets of one failure domain.
    BadToDomain,
    /// Slow and lossy to one target.
    BadToOne,
}

impl Network {
    /// Whether the path from `proxy` to `target` is bad.
    pub fn is_bad(self, proxy: usize, target: usize) -> bool {
        proxy == 0
            && match self {
                Self::Good => false,
                Self::BadToAll => true,
                Self::BadToDomain => target % DOMAINS == 1,
                Self::BadToOne => target == 5,
            }
    }
}
