//! Selects the task that calls the store again while calls to it fail.
//!
//! Load pattern: the store is away or turns some instances away for seconds. Each instance reads several kinds of
//! objects, and a repeated call for each of them tells no more than one.

/// What a task does after a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTurn {
    /// It calls again after a pause.
    Probes,
    /// It waits until [`StoreProbe::answers`] differs from this number.
    Waits {
        /// The number of answers at the failure.
        answers: u64,
    },
}

/// The task that probes the store for all tasks of a process. `T` identifies a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreProbe<T> {
    prober: Option<T>,
    answers: u64,
}

impl<T> Default for StoreProbe<T> {
    fn default() -> Self {
        Self {
            prober: None,
            answers: 0,
        }
    }
}

impl<T: Copy + PartialEq> StoreProbe<T> {
    /// Records a failed call. The first task to fail since the last answer probes.
    pub fn record_failure(&mut self, task: T) -> ProbeTurn {
        if *self.prober.get_or_insert(task) == task {
            return ProbeTurn::Probes;
        }
        let answers = self.answers;
        ProbeTurn::Waits { answers }
    }

    /// Records an answer to any task. Returns whether a task was probing.
    pub fn record_answer(&mut self) -> bool {
        let was_probing = self.prober.take().is_some();
        self.answers += u64::from(was_probing);
        was_probing
    }

    /// Returns the number of answers that ended a probe.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.answers
    }
}
