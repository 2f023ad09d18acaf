//! Buffers and moves by the user's weights.
