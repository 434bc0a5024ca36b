//! Every decision of the system as a function of state and an explicit time.
//!
//! Nothing here does I/O, reads a clock or knows how a message is encoded, so the same code runs
//! under the daemon and under the state-machine tests.

mod loan_ledger;
mod seat_claim;
mod share_split;

mod attempt_state;
mod crash_suspects;
mod key_owner;
mod replay_memory;
mod retry_budget;
mod wait_queue;

pub use attempt_state::{
    AttemptEnd, AttemptState, NextStep, OpenAttempt, Refusal, RefusalKind, RetryFacts, RunHistory,
    RunMark, next_step,
};
pub use crash_suspects::{
    BodyDigest, ClearReport, CrashId, CrashReport, FINGERPRINT_BODY_BYTES, HeadFingerprint,
    REFUSED_AT, RequestHead, SUSPECT_LIFE, SuspectFingerprint, SuspectList, SuspectTable,
};
pub use key_owner::{
    IdempotencyKey, KEY_RETENTION, KeyFault, KeyOwner, MAX_KEY_BYTES, OWNER_OVERLAP, SeatRoster,
    SeatTenure, owner_of,
};
pub use replay_memory::{
    FinishOutcome, ImportError, MAX_ANSWER_BYTES, ReplayDecision, ReplayEnd, ReplayEntry,
    ReplayLimits, ReplayMemory, ReplayProgress, ReplayTicket, RequestDigest,
};
pub use retry_budget::{MAX_ATTEMPTS, RetryBudget, RetryPolicy, RetryRefill, backoff_delay};
pub use wait_queue::{
    PASSED_OVER_MOST, PushOutcome, WaitQueue, WaitTicket, WaiterAccount, longest_wait,
};

mod config_age;
mod entry_ranking;
mod generation_tracker;
mod link_meter;
mod shift_meter;
mod upstream_choice;
mod upstream_health;

mod admission;
