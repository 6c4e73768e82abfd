//! The number of requests that one entry VM has at a backend server at a time.

/// Part of the limit that is left after the server shed a request.
const DECREASE: f64 = 0.8;

/// Requests served for each step of one by which the limit grows.
const INCREASE_ROUNDS: f64 = 2.0;

/// A limit that follows what the backend server accepts.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: u32,
    current: f64,
}

impl AdaptiveLimit {
    /// A limit that starts at all usable slots, at least 1.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            current: f64::from(slots),
        }
    }

    /// Requests allowed at a time, from 1 to the slots.
    pub fn allowed(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "current lies between 1 and a u32"
        )]
        let allowed = self.current as u32;
        allowed.clamp(1, self.slots)
    }

    /// Follows a change of the server's usable slots.
    pub fn resize(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots > self.slots {
            self.current += f64::from(slots - self.slots);
        }
        self.slots = slots;
        self.current = self.current.clamp(1.0, f64::from(slots));
    }

    /// The server served a request.
    pub fn record_served(&mut self) {
        let step = 1.0 / (self.current * INCREASE_ROUNDS);
        self.current = (self.current + step).min(f64::from(self.slots));
    }

    /// The server shed a request.
    pub fn record_shed(&mut self) {
        self.current = (self.current * DECREASE).max(1.0);
    }
}
