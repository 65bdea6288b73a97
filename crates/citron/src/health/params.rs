//! Detection parameters, which trade detection time against false ejections.

use std::time::Duration;

use crate::policy::Profile;

/// The detection parameters of one profile; scores are natural logarithms of likelihood ratios.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct DetectionParams {
    /// The joint score at which a coordinator ejects a target.
    pub ejection_score: f64,
    /// The joint score that must remain without the failure domain whose observers add the most.
    pub corroboration_score: f64,
    /// Limit of one observer's contribution to a joint score, in either direction.
    pub observer_cap: f64,
    /// Upper limit of the rise of a joint score per second. Evidence that arrives at one moment has
    /// one cause, such as a short pause of the target, and must count little more than once.
    pub rise_per_s: f64,
    /// Upper limit of the rise of a joint score in one step.
    pub rise_burst: f64,
    /// The score at which a proxy by its own evidence suspects a target fully and sends it only a
    /// few requests.
    pub suspicion_score: f64,
    /// The share of suspected and ejected targets above which a coordinator assumes a common cause
    /// and ejects no more.
    pub common_cause_share: f64,
    /// Time from a first ejection to the trial; doubles with each further ejection.
    pub base_ejection_time: Duration,
    /// Upper limit of the time from an ejection to the trial, reached by flapping targets.
    pub max_ejection_time: Duration,
    /// The score in the target's favour at which it passes a trial.
    pub trial_pass_score: f64,
}

impl DetectionParams {
    /// Returns the parameters of a profile.
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
