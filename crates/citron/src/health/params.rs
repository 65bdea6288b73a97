//! How a service's profile trades detection time against false ejections.

use std::time::Duration;

use crate::policy::Profile;

/// The thresholds of one profile; scores are natural logarithms of likelihood ratios.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct DetectionParams {
    /// The joint score at which a coordinator ejects a target.
    pub ejection_score: f64,
    /// The score that must remain without the strongest failure domain of observers.
    pub corroboration_score: f64,
    /// The most that one observer contributes to a joint score.
    pub observer_cap: f64,
    /// The most by which a joint score rises per second: what comes at one moment has one cause,
    /// such as a short pause of the target, and counts little more than once.
    pub rise_per_s: f64,
    /// The rise that may come at once.
    pub rise_burst: f64,
    /// The score at which a proxy by itself leaves a target only a trickle.
    pub suspicion_score: f64,
    /// The share of targets that look sick at which a coordinator stops ejecting.
    pub common_cause_share: f64,
    /// How long a target stays ejected before its first trial.
    pub base_ejection_time: Duration,
    /// The longest time a flapping target stays ejected before a trial.
    pub max_ejection_time: Duration,
    /// The score in a trial's favour at which a target returns.
    pub trial_pass_score: f64,
}

impl DetectionParams {
    /// Returns the thresholds of a profile.
    pub fn for_profile(profile: Profile) -> Self {
        match profile {
            Profile::Fast => Self {
                ejection_score: 14.0,
                corroboration_score: 3.0,
                observer_cap: 8.0,
                rise_per_s: 8.0,
                rise_burst: 4.0,
                suspicion_score: 18.0,
                common_cause_share: 0.4,
                base_ejection_time: Duration::from_secs(10),
                max_ejection_time: Duration::from_secs(300),
                trial_pass_score: 4.0,
            },
            Profile::Careful => Self {
                ejection_score: 20.0,
                corroboration_score: 6.0,
                observer_cap: 9.0,
                rise_per_s: 8.0,
                rise_burst: 6.0,
                suspicion_score: 15.0,
                common_cause_share: 0.3,
                base_ejection_time: Duration::from_secs(10),
                max_ejection_time: Duration::from_secs(600),
                trial_pass_score: 6.0,
            },
        }
    }
}
