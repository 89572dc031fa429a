//! Client-side rate limiting of calls to another service, with a token bucket whose fill level may be negative.

use crate::time::Time;

/// Largest debt of a bucket, in multiples of its burst. Bounds the time for which urgent requests hold back others.
const MAX_DEBT_BURSTS: f64 = 2.0;

/// A token bucket. Urgent requests are always admitted and may leave a negative fill level, a debt. Other requests are
/// not admitted until the bucket has refilled.
pub struct RateLimiter {
    /// Refill rate in tokens per second.
    rate: f64,
    /// Capacity of the bucket in tokens.
    burst: f64,
    /// Fill level in tokens as of `updated_at`; negative while the bucket is in debt.
    tokens: f64,
    /// Time of the last refill.
    updated_at: Time,
}

impl RateLimiter {
    /// Returns a full bucket.
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst, tokens: burst, updated_at: Time::ZERO }
    }

    /// Changes refill rate and capacity; the fill level stays.
    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
    }

    /// Adds the tokens that have accrued since the last refill, up to the capacity.
    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.burst);
        self.updated_at = now;
    }

    /// Takes `count` tokens and returns `true` if the bucket holds that many. A request for more than the capacity
    /// needs a full bucket and leaves a debt; it could never be admitted otherwise.
    pub fn take(&mut self, now: Time, count: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= count.min(self.burst);
        if enough {
            self.tokens -= count;
        }
        enough
    }

    /// Returns `true` if the fill level is at least the given fraction of the capacity, so that a request which can
    /// wait does not delay others.
    pub fn is_filled_to(&mut self, now: Time, fraction: f64) -> bool {
        self.is_filled_beyond(now, fraction, 0.0)
    }

    /// Returns `true` if the fill level is at least the given fraction of the capacity plus `extra_tokens`. A negative
    /// fraction allows a debt.
    pub fn is_filled_beyond(&mut self, now: Time, fraction: f64, extra_tokens: f64) -> bool {
        self.refill(now);
        self.tokens >= self.burst * fraction + extra_tokens
    }

    /// Returns the refill rate in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the fill level in tokens; negative while the bucket is in debt.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `count` tokens for a request that must not wait, with a debt of up to `MAX_DEBT_BURSTS` if necessary.
    pub fn take_on_credit(&mut self, now: Time, count: f64) {
        self.refill(now);
        self.tokens = (self.tokens - count).max(-MAX_DEBT_BURSTS * self.burst);
    }

    /// Empties the bucket after the service has refused a request for exceeding the limit. A debt is kept.
    pub fn drain(&mut self, now: Time) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}
