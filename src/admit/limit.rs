//! Adaptive limit of the requests that one entry VM has in flight at a backend server.

/// Multiplicative decrease of the limit when the server sheds a request.
const DECREASE_FACTOR: f64 = 0.8;

/// Served requests for each increase of the limit by one, as a multiple of the limit.
const SERVED_ROUNDS_PER_STEP: f64 = 2.0;

/// Additive-increase, multiplicative-decrease limit of requests in flight.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    slots: u32,
    current: f64,
}

impl AdaptiveLimit {
    /// Creates a limit of all usable slots, at least 1.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            current: f64::from(slots),
        }
    }

    /// Requests allowed in flight, from 1 to the slots.
    pub fn allowed(&self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "current lies between 1 and a u32"
        )]
        let allowed = self.current as u32;
        allowed.clamp(1, self.slots)
    }

    /// Applies a change of the server's usable slots.
    pub fn resize(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots > self.slots {
            self.current += f64::from(slots - self.slots);
        }
        self.slots = slots;
        self.current = self.current.clamp(1.0, f64::from(slots));
    }

    /// Raises the limit for a served request.
    pub fn record_served(&mut self) {
        let step = 1.0 / (self.current * SERVED_ROUNDS_PER_STEP);
        self.current = (self.current + step).min(f64::from(self.slots));
    }

    /// Lowers the limit for a request that the server shed.
    pub fn record_shed(&mut self) {
        self.current = (self.current * DECREASE_FACTOR).max(1.0);
    }
}
