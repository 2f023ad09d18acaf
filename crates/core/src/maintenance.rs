//! Pool membership, availability budgets, drain grants and waves.
