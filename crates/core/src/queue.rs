//! Bounded queues with deadlines and early refusal.
