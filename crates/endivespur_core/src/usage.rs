//! What was used and refused of a quota in the last minute, in whole seconds.

use std::collections::VecDeque;

use crate::clock::Time;

/// The seconds that are remembered.
const REMEMBERED_S: u64 = 60;
/// The seconds over which the rate of use is averaged.
const RATE_S: u64 = 10;

/// The counts of one second.
#[derive(Clone, Copy, Debug)]
struct Second {
    number: u64,
    used: u64,
    refused: u64,
}

/// The counts of the last minute.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    seconds: VecDeque<Second>,
}

impl Usage {
    /// Counts an amount as used.
    pub fn charge(&mut self, now: Time, amount: u64) {
        self.current(now).used += amount;
    }

    /// Counts an amount as not used after all, in the latest seconds with use.
    pub fn put_back(&mut self, amount: u64) {
        let mut left = amount;
        for second in self.seconds.iter_mut().rev() {
            let part = left.min(second.used);
            second.used -= part;
            left -= part;
        }
    }

    /// Counts a refused request.
    pub fn refuse(&mut self, now: Time) {
        self.current(now).refused += 1;
    }

    /// Returns the amount used a second, over the last ten seconds, of which the current one is not over yet.
    pub fn rate(&self, now: Time) -> f64 {
        let used = self.within(now, RATE_S).map(|second| second.used);
        used.sum::<u64>() as f64 / RATE_S as f64
    }

    /// Returns the number of requests that were refused in the last minute.
    pub fn refused(&self, now: Time) -> u64 {
        let seconds = self.within(now, REMEMBERED_S);
        seconds.map(|second| second.refused).sum()
    }

    fn within(&self, now: Time, seconds: u64) -> impl Iterator<Item = &Second> {
        let first = (now.as_secs() + 1).saturating_sub(seconds);
        self.seconds
            .iter()
            .filter(move |second| second.number >= first)
    }

    fn current(&mut self, now: Time) -> &mut Second {
        let number = now.as_secs();
        let is_past = |second: &mut Second| second.number + REMEMBERED_S <= number;
        while self.seconds.pop_front_if(is_past).is_some() {}
        if self
            .seconds
            .back()
            .is_none_or(|second| second.number < number)
        {
            self.seconds.push_back(Second {
                number,
                used: 0,
                refused: 0,
            });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }
}
