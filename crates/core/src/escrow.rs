//! Escrow of upper limits: allotments that sum to at most the limit.
