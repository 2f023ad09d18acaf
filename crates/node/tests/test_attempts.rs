//! Tests of what a caller is told after several attempts.

use lavenderhollow_node::Attempts;
use lavenderhollow_node::RequestError;
use lavenderhollow_node::ShardResponse;

const REJECTED: ShardResponse = ShardResponse::Rejected {
    retry_after_ms: 100,
};

/// Guards against a caller that is told that its job never runs, although an earlier attempt is still on
/// its way to another owner.
#[test]
fn a_rejection_after_an_attempt_without_a_response_leaves_the_outcome_unknown() {
    let mut attempts = Attempts::default();
    assert_eq!(attempts.conclude(REJECTED), Ok(REJECTED));
    assert_eq!(attempts.error(), RequestError::OwnerUnreachable);
    attempts.add_unknown();
    assert_eq!(
        attempts.conclude(REJECTED),
        Err(RequestError::OutcomeUnknown)
    );
    assert_eq!(attempts.error(), RequestError::OutcomeUnknown);
    // A job that is stored is stored, whichever attempt did it.
    let accepted = ShardResponse::Accepted;
    assert_eq!(attempts.conclude(accepted.clone()), Ok(accepted));
}

/// Guards against the same for the refusal of an owner whose store does not respond.
#[test]
fn an_owner_without_its_store_says_nothing_of_earlier_attempts() {
    let refused = ShardResponse::Unavailable {
        retry_after_ms: 1_000,
    };
    let mut attempts = Attempts::default();
    assert_eq!(attempts.conclude(refused.clone()), Ok(refused.clone()));
    attempts.add_unknown();
    assert_eq!(
        attempts.conclude(refused),
        Err(RequestError::OutcomeUnknown)
    );
}
