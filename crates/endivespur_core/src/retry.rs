//! The budget from which retries are paid.

/// A budget that each request fills a little and each retry empties by one.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    limit: f64,
}

impl Budget {
    /// Makes a full budget that permits `share` retries a request and `limit` in a row.
    pub fn new(share: f64, limit: f64) -> Self {
        Self {
            tokens: limit,
            share,
            limit,
        }
    }

    /// Notes a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.limit);
    }

    /// Takes one retry from the budget; tells whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
