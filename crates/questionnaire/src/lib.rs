//! Generation of a configuration from the questionnaire that a new team fills in.
//!
//! A YAML or JSON document is read into [`RawAnswers`], in which each answer carries its source
//! location. [`RawAnswers`] without faults are converted into [`TeamAnswers`], in which each
//! reference is a small `Copy` key. All faults of a questionnaire are collected and reported
//! together. [`generate`] is a pure function of the answers: the same answers give the same
//! document, byte for byte.
//!
//! ```
//! let findings = coltsfootkeel_questionnaire::parse("team.yaml", "team: spa-group\n").unwrap_err();
//! assert!(findings.to_string().contains("regions: expected at least one region"));
//! ```

mod answer_check;
mod answer_reader;
mod capacity_estimate;
mod config_generator;
mod document_writer;
mod raw_answers;
mod team_answers;

pub use config_generator::{DerivedValue, GeneratedConfig, generate, parse};
pub use raw_answers::{
    RawAnswers, RawCaller, RawDepartment, RawDeparture, RawDomain, RawLink, RawPool, RawRegion,
    RawService, RawSite, RawUpstreams,
};
pub use team_answers::{
    CallerAnswer, DelayAnswer, DeliveryAnswer, DepartmentAnswer, DepartureAnswer, DomainAnswer,
    LinkAnswer, PoolAnswer, RegionAnswer, ServiceAnswer, SiteAnswer, TeamAnswers, UpstreamAnswer,
};
