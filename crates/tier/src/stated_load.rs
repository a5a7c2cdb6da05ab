//! Load that a server states in its responses, as an estimate of the time until it would
//! answer a request that is sent now.
//!
//! A statement is true for a moment, and a node hears one only with a response. So its
//! weight fades with its age, and what is seen of the server stays the base of the estimate.

use std::time::Duration;

use carobstep_clock::BootTime;

use crate::model::ServerLoad;

/// Time in which the weight of the stated requests halves.
const QUEUE_HALF_LIFE: Duration = Duration::from_millis(40);

/// Time in which the weight of the stated speed of the machine halves.
const WORK_HALF_LIFE: Duration = Duration::from_millis(150);

/// Greatest number of slots, or of requests in a queue, that is believed.
const MAX_REQUESTS: u32 = 10_000;

/// Bounds on the time that work takes, as a factor on the usual.
const WORK_FACTORS: (f64, f64) = (0.25, 20.0);

/// The last load that a server has stated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatedLoad {
    /// Requests of other nodes that were running or waiting.
    others: f64,
    slots: f64,
    /// Time that work took, as a factor on the usual.
    work_factor: f64,
    stated_at: BootTime,
}

impl StatedLoad {
    /// Reads a statement that was received while `in_flight` requests of this node were at the
    /// server; `None` if it contradicts itself or no server has such a load.
    pub(crate) fn new(now: BootTime, load: ServerLoad, in_flight: u32) -> Option<Self> {
        let ServerLoad { running, waiting, slots, work_percent } = load;
        let work_factor = f64::from(work_percent) / 100.0;
        let (least, most) = WORK_FACTORS;
        let is_plausible = (1..=MAX_REQUESTS).contains(&slots)
            && running <= slots
            && waiting <= MAX_REQUESTS
            && (least..=most).contains(&work_factor);
        is_plausible.then(|| Self {
            others: f64::from((running + waiting).saturating_sub(in_flight)),
            slots: f64::from(slots),
            work_factor,
            stated_at: now,
        })
    }

    fn weight(&self, now: BootTime, half_life: Duration) -> f64 {
        (-now.since(self.stated_at).as_secs_f64() / half_life.as_secs_f64()).exp2()
    }

    /// Returns the time that work takes on the server's machine now, as a factor on the usual.
    pub(crate) fn work_factor(&self, now: BootTime) -> f64 {
        1.0 + (self.work_factor - 1.0) * self.weight(now, WORK_HALF_LIFE)
    }

    /// Returns the time until a request is answered that is sent now, after `in_flight` others
    /// of this node, in multiples of the usual time of one.
    pub(crate) fn answer_time(&self, now: BootTime, in_flight: u32) -> f64 {
        let others = self.others * self.weight(now, QUEUE_HALF_LIFE);
        let ahead = (others + f64::from(in_flight) + 1.0 - self.slots).max(0.0);
        (1.0 + ahead / self.slots) * self.work_factor(now)
    }
}
