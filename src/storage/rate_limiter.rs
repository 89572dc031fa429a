//! The client side of a service's rate limit: a token bucket that can go into debt.

use crate::time::Time;

/// How many bursts the bucket can be in debt at most.
const MAX_DEBT_BURSTS: f64 = 2.0;

/// A token bucket. Urgent requests may take tokens that are not there yet; other requests wait until the debt is
/// paid back.
pub struct RateLimiter {
    /// Tokens per second.
    rate: f64,
    /// The most tokens that the bucket holds.
    burst: f64,
    /// The tokens in the bucket; negative when in debt.
    tokens: f64,
    /// When `tokens` was last brought up to date.
    updated_at: Time,
}

impl RateLimiter {
    /// Returns a full bucket.
    pub fn new(rate: f64, burst: f64) -> RateLimiter {
        RateLimiter { rate, burst, tokens: burst, updated_at: Time::ZERO }
    }

    /// Changes the limit and keeps the tokens.
    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.burst);
        self.updated_at = now;
    }

    /// Takes `count` tokens if they are there, or if the bucket is full, and returns whether it did.
    pub fn take(&mut self, now: Time, count: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= count.min(self.burst);
        if enough {
            self.tokens -= count;
        }
        enough
    }

    /// Whether the bucket is filled to at least this share, so that a request which can wait delays no other.
    pub fn is_filled_to(&mut self, now: Time, share: f64) -> bool {
        self.is_filled_beyond(now, share, 0.0)
    }

    /// Whether the bucket is filled to at least this part of a burst, which is negative in debt, and `more` tokens.
    pub fn is_filled_beyond(&mut self, now: Time, share: f64, more: f64) -> bool {
        self.refill(now);
        self.tokens >= self.burst * share + more
    }

    /// Tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// How many tokens there are; negative in debt.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Takes `count` tokens for a request that must not wait, going into debt if necessary.
    pub fn take_on_credit(&mut self, now: Time, count: f64) {
        self.refill(now);
        self.tokens = (self.tokens - count).max(-MAX_DEBT_BURSTS * self.burst);
    }

    /// Empties the bucket, after the service has said that the limit is exceeded.
    pub fn drain(&mut self, now: Time) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
}
