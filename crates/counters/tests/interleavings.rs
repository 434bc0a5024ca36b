//! Model checks of the counters: `loom` explores every interleaving of two threads.
//!
//! Run with `RUSTFLAGS="--cfg loom" cargo test -p coltsfootkeel-counters --test interleavings`.
#![cfg(loom)]

use coltsfootkeel_counters::{ByteBudget, RateBucket, SlotCounter};
use loom::sync::Arc;
use loom::thread;

/// Guards against a lost update through which two request threads both take the last token.
#[test]
fn last_token_is_taken_once() {
    loom::model(|| {
        let bucket = Arc::new(RateBucket::new());
        bucket.set_capacity(1_000);
        bucket.refill(1_000);
        let other = Arc::clone(&bucket);
        let thread = thread::spawn(move || other.try_take(1_000));
        let taken_here = bucket.try_take(1_000);
        let taken_there = thread.join().unwrap();
        assert!(taken_here ^ taken_there);
        assert_eq!(bucket.level(), 0);
    });
}

/// Guards against tokens that are created when a loan lowers the capacity while the bucket is refilled and used.
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

/// Guards against a slot that is lent to a peer and acquired by a request thread at the same time.
#[test]
fn slot_is_lent_or_acquired_but_not_both() {
    loom::model(|| {
        let counter = Arc::new(SlotCounter::new());
        counter.set_capacity(1);
        let other = Arc::clone(&counter);
        let thread = thread::spawn(move || other.try_acquire());
        let lent = counter.reduce_capacity(1);
        let acquired = thread.join().unwrap();
        assert_eq!(u32::from(acquired) + lent, 1);
    });
}

/// Guards against two requests that both keep the last free bytes, and against bytes that are lost when they are given
/// back.
#[test]
fn last_bytes_are_taken_once() {
    loom::model(|| {
        let budget = Arc::new(ByteBudget::new(10));
        let other = Arc::clone(&budget);
        let thread = thread::spawn(move || {
            let is_taken = other.try_take(7);
            if is_taken {
                other.give_back(7);
            }
            is_taken
        });
        let is_taken_here = budget.try_take(7);
        let is_taken_there = thread.join().unwrap();
        assert!(is_taken_here || is_taken_there);
        assert_eq!(budget.taken(), if is_taken_here { 7 } else { 0 });
    });
}
