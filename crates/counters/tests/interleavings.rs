//! Model checks of the counters under every interleaving of their threads.
//!
//! Run with `RUSTFLAGS="--cfg loom" cargo test -p coltsfootkeel-counters --test interleavings`.
#![cfg(loom)]

use coltsfootkeel_counters::{RateBucket, SlotCounter};
use loom::sync::Arc;
use loom::thread;

/// Guards against two request threads that both take the last token.
#[test]
fn last_token_is_taken_once() {
    loom::model(|| {
        let bucket = Arc::new(RateBucket::new());
        bucket.set_capacity(1_000);
        bucket.refill(1_000);
        let other = Arc::clone(&bucket);
        let thread = thread::spawn(move || other.try_take(1_000));
        let here = bucket.try_take(1_000);
        let there = thread.join().unwrap();
        assert!(here ^ there);
        assert_eq!(bucket.level(), 0);
    });
}

/// Guards against tokens that appear when a loan shrinks the bucket while it is refilled and used.
#[test]
fn tokens_are_conserved_while_the_capacity_shrinks() {
    loom::model(|| {
        let bucket = Arc::new(RateBucket::new());
        bucket.set_capacity(3_000);
        bucket.refill(2_000);
        let other = Arc::clone(&bucket);
        let thread = thread::spawn(move || i64::from(other.try_take(1_000)) * 1_000);
        let lent = bucket.take_up_to(1_000);
        bucket.set_capacity(2_000);
        bucket.refill(1_000);
        let taken = thread.join().unwrap();
        assert!(lent + taken + bucket.level() <= 3_000);
        assert!(bucket.level() <= 2_000);
    });
}

/// Guards against a slot that is lent to a peer while a request thread takes it.
#[test]
fn slot_is_lent_or_used_but_not_both() {
    loom::model(|| {
        let counter = Arc::new(SlotCounter::new());
        counter.set_capacity(1);
        let other = Arc::clone(&counter);
        let thread = thread::spawn(move || other.try_acquire());
        let lent = counter.reduce_capacity(1);
        let taken = thread.join().unwrap();
        assert_eq!(u32::from(taken) + lent, 1);
    });
}
