//! A budget that limits retries to a share of the requests.

/// A token bucket: each request adds a fraction of a token, each retry takes one.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    limit: f64,
}

impl Budget {
    /// Creates a full budget that permits `share` retries per request and `limit` in a row.
    pub fn new(share: f64, limit: f64) -> Self {
        Self {
            tokens: limit,
            share,
            limit,
        }
    }

    /// Changes how many retries are permitted in a row; a budget with more left loses the excess.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
        self.tokens = self.tokens.min(limit);
    }

    /// Adds the share of a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.limit);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
