//! The decisions of the system as functions of state and an explicit time.
//!
//! This crate does no I/O, reads no clock and does not depend on the encoding of messages, so the same code runs in
//! the daemon and in the state-machine tests.

mod demand_estimate;
mod duplicate_filter;
mod ledger_messages;
mod ledger_requests;
mod lender_history;
mod limit_keys;
mod loan_ledger;
mod loan_policy;
mod loan_terms;
mod pending_requests;
mod rate_limit;
mod seat_claim;
mod seat_holder;
mod share_split;
mod share_transition;
mod slot_limit;
mod tick_refill;

pub use demand_estimate::ShortageCounter;
pub use ledger_messages::GrantOutcome;
pub use lender_history::LoanPeer;
pub use limit_keys::{LimitKey, RateLimitKey, SlotLimitKey};
pub use loan_ledger::{
    LedgerOutput, LedgerSettings, LoanLedger, OutgoingMessage, RateHandle, SlotHandle,
};
pub use loan_policy::{DemandView, LoanPolicy, SlotDemandView};
pub use loan_terms::{
    Incarnation, LOAN_LIFETIME, LoanAmount, LoanGrant, LoanRequest, LoanReturn, RateAmount,
    SPEND_LEASE, with_drift_margin,
};
pub use seat_claim::{
    ClaimStep, PROBE_INTERVAL, SeatCandidate, SeatClaim, SeatRecordState, UpdateOutcome,
    claim_order,
};
pub use seat_holder::{HolderState, SEAT_LEASE, SeatHolder};
pub use share_split::{MILLI_PER_TOKEN, split_rate, split_slots};
pub use share_transition::{OldShareUse, ShareTransition};

mod attempt_state;
mod crash_suspects;
mod key_owner;
mod replay_memory;
mod retry_budget;
mod wait_queue;

pub use attempt_state::{
    AttemptEnd, AttemptHistory, AttemptState, NextStep, OpenAttempt, Refusal, RefusalKind,
    RetryConditions, RunStatus, decide_next_step,
};
pub use crash_suspects::{
    BodyDigest, CRASH_RETENTION, CRASHES_TO_REFUSE, ClearReport, CrashId, CrashReport,
    FINGERPRINT_BODY_BYTES, HeadFingerprint, RequestHead, SuspectFingerprint, SuspectList,
    SuspectTable,
};
pub use key_owner::{
    IdempotencyKey, IdempotencyKeyError, KEY_RETENTION, KeyOwner, MAX_KEY_BYTES, OWNER_OVERLAP,
    SeatRoster, SeatTenure, find_key_owner,
};
pub use replay_memory::{
    FinishOutcome, ImportError, MAX_ANSWER_BYTES, ReplayDecision, ReplayEnd, ReplayEntry,
    ReplayLimits, ReplayMemory, ReplayProgress, ReplayTicket, RequestDigest,
};
pub use retry_budget::{MAX_ATTEMPTS, RetryBudget, RetryPolicy, RetryRefill, backoff_delay};
pub use wait_queue::{
    MAX_TIMES_PASSED_OVER, PushOutcome, WaitQueue, WaitTicket, WaiterAccount, max_queue_wait,
};

mod config_age;
mod entry_ranking;
mod generation_tracker;
mod health_evaluator;
mod link_meter;
mod shift_meter;
mod upstream_choice;
mod upstream_health;

pub use config_age::{ConfigAge, IsolationDecision, PeerConfigReport, StalenessGauge};
pub use entry_ranking::{
    EntryInstance, EntryKey, EntryTable, EntryTableBuilder, MAX_RANKED_ENTRIES, RankedEntries,
};
pub use generation_tracker::{
    ConfigFault, ConfigSource, DocumentOutcome, GenerationTracker, OfferAction, ReportedFault,
    RolloutStatus,
};
pub use health_evaluator::{
    HealthChange, HealthChangeKind, HealthEvaluator, LoadReport, ProbeResult, RampPolicy,
};
pub use link_meter::{LinkMeter, LinkRegistry};
pub use shift_meter::{ShiftMeter, ShiftMove, ShiftRegistry, ShiftTable};
pub use upstream_choice::{
    ChoicePolicy, ChoiceRequest, ChoiceStart, TierCandidates, TierTable, UpstreamHandle,
};
pub use upstream_health::{DrainSource, FULL_RAMP_PERMILLE, UpstreamHealth};

mod admission;

pub use admission::{AdmittedRequest, admit_request};
