//! Pace at which a server that has started or recovered gets requests.
//!
//! Nodes see few requests each and not those of the others, so the pace is a probability:
//! each node lets the server compete for a request with it. The server's part of all
//! requests is then the same whether one node sends them or a hundred.

use std::time::Duration;

use carobstep_clock::BootTime;

/// Share of a server that gives up its ramp because its answers stay bad.
const MIN_SHARE: f64 = 0.04;

/// Time in which the share doubles while no answer speaks against it.
const DOUBLING_TIME: Duration = Duration::from_millis(1_200);

/// Like [`DOUBLING_TIME`], while the server says that it is cold.
const COLD_DOUBLING_TIME: Duration = Duration::from_millis(2_400);

/// Factor on the share after a good answer.
const GOOD_FACTOR: f64 = 1.1;

/// Factor on the share after a slow answer.
const SLOW_FACTOR: f64 = 0.6;

/// Time for which the share does not grow after a slow answer.
const SLOW_HOLD: Duration = Duration::from_millis(800);

/// Factor on the share after a refusal or a failure.
const BAD_FACTOR: f64 = 0.5;

/// Time for which the share does not grow after a refusal or a failure.
const BAD_HOLD: Duration = Duration::from_millis(1_000);

/// Latency above which an answer is slow, in multiples of that of the service's others.
const SLOW_LATENCY: f64 = 2.5;

/// How the share of a server starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceRule {
    /// Share of a server that has just started or recovered; 1 is that of any other server.
    pub initial_share: f64,
}

impl Default for PaceRule {
    fn default() -> Self {
        Self { initial_share: 0.1 }
    }
}

/// What an attempt says about the pace of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PaceSign {
    /// An answer after this multiple of the time that others take.
    Answered(f64),
    /// A refusal, a failure or silence.
    Bad,
}

/// Why a server no longer gets fewer requests than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PaceEnd {
    /// Its answers were good, or none spoke against it for long enough.
    Warm,
    /// Its answers stayed bad; it is judged like any slow or failing server.
    GivenUp,
}

/// Share of a server that has just started or recovered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServerPace {
    share: f64,
    /// When the share was set; it grows from then on.
    since: BootTime,
    cold_until: BootTime,
    /// Number of answers.
    pub(crate) good: u32,
    pub(crate) bad: u32,
}

impl ServerPace {
    pub(crate) const fn new(rule: PaceRule, since: BootTime, cold_until: BootTime) -> Self {
        Self { share: rule.initial_share, since, cold_until, good: 0, bad: 0 }
    }

    /// Returns the share; 1 or more is that of any other server.
    pub(crate) fn share(&self, now: BootTime) -> f64 {
        let cold = now.min(self.cold_until).since(self.since).as_secs_f64();
        let warm = now.since(self.since.max(self.cold_until)).as_secs_f64();
        let doublings =
            cold / COLD_DOUBLING_TIME.as_secs_f64() + warm / DOUBLING_TIME.as_secs_f64();
        self.share * doublings.exp2()
    }

    /// Applies what an attempt has shown; returns why the ramp ends, if it does.
    pub(crate) fn observe(&mut self, now: BootTime, sign: PaceSign) -> Option<PaceEnd> {
        let share = self.share(now).min(1.0);
        let (factor, hold) = match sign {
            PaceSign::Answered(relative) if relative <= SLOW_LATENCY => {
                (GOOD_FACTOR, Duration::ZERO)
            }
            PaceSign::Answered(_) => (SLOW_FACTOR, SLOW_HOLD),
            PaceSign::Bad => (BAD_FACTOR, BAD_HOLD),
        };
        if factor > 1.0 {
            self.good += 1;
        } else {
            self.bad += 1;
        }
        self.share = (share * factor).max(MIN_SHARE);
        self.since = now + hold;
        if self.share >= 1.0 {
            return Some(PaceEnd::Warm);
        }
        let is_hopeless = self.share <= MIN_SHARE && now >= self.cold_until;
        is_hopeless.then_some(PaceEnd::GivenUp)
    }
}
