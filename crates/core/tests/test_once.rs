//! Rules of claims and tickets that the once machine does not reach.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use assert_matches::assert_matches;
use lavenderhollow_core::exchange::Body;
use lavenderhollow_core::exchange::Digest;
use lavenderhollow_core::fold::Context;
use lavenderhollow_core::fold::State;
use lavenderhollow_core::once::CLAIM_WINDOW;
use lavenderhollow_core::once::ClaimChange;
use lavenderhollow_core::once::ClaimKey;
use lavenderhollow_core::once::ClaimRejection;
use lavenderhollow_core::once::Claims;
use lavenderhollow_core::once::KEY_AHEAD;
use lavenderhollow_core::once::MAX_KEPT_BODY;
use lavenderhollow_core::once::Spend;
use lavenderhollow_core::once::Stored;
use lavenderhollow_core::once::TicketError;
use lavenderhollow_core::once::TicketLimits;
use lavenderhollow_core::once::Tickets;
use lavenderhollow_core::record::Position;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Offset;
use lavenderhollow_types::RecordId;
use lavenderhollow_types::TeamName;
use lavenderhollow_types::Verdict;
use lavenderhollow_types::ZoneName;

const SECOND: Duration = Duration::from_secs(1);

fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000)
}

fn tickets(number: u128) -> Tickets {
    let zone = ZoneName::new("lhr-a").unwrap();
    let limits = TicketLimits {
        unspent: SECOND * 10,
        running: SECOND * 100,
        kept: SECOND * 20,
        count: 64,
    };
    Tickets::new(zone, Incarnation::from_number(number), &[7; 32], limits)
}

/// Guards against one request's or team's outcome being given to another.
#[test]
fn key_of_another_request_or_team_is_refused() {
    let mut claims = Claims::default();
    let owner = Incarnation::from_number(1);
    let key = ClaimKey::from_parts(start(), 1);
    let teams = ["fees", "proofs"].map(|name| TeamName::new(name).unwrap());
    let digests = [Digest::of(b"a"), Digest::of(b"b")];
    let mut claim = |team: usize, digest: usize| {
        let position = Position {
            offset: Offset::new(0),
            time: start(),
        };
        let cx = Context {
            position,
            id: RecordId::random(),
            actor: owner,
        };
        let change = ClaimChange::Claim {
            key,
            team: teams[team].clone(),
            digest: digests[digest],
            owner,
        };
        claims.apply(&cx, &change).map(|_| ())
    };
    assert_eq!(claim(0, 0), Ok(()));
    assert_eq!(claim(0, 0), Err(ClaimRejection::Claimed));
    assert_eq!(claim(0, 1), Err(ClaimRejection::Mismatch));
    assert_eq!(claim(1, 0), Err(ClaimRejection::Mismatch));
    let answer = |team: usize, digest: usize| claims.answer(&key, &teams[team], &digests[digest]);
    assert_matches!(answer(0, 0), Some(Verdict::MayHaveRun(_)));
    assert_matches!(answer(0, 1), Some(Verdict::NotRun(_)));
    assert_matches!(answer(1, 0), Some(Verdict::NotRun(_)));
}

/// Guards against keys whose history can't be known, and against ids without a time.
#[test]
fn key_age_is_bounded_on_both_sides() {
    let key = ClaimKey::from_parts(start(), 1);
    assert_eq!(key.time(), start());
    assert!(key.check_age(start() + CLAIM_WINDOW).is_ok());
    assert!(key.check_age(start() + CLAIM_WINDOW + SECOND).is_err());
    assert!(key.check_age(start() - KEY_AHEAD).is_ok());
    assert!(key.check_age(start() - KEY_AHEAD - SECOND).is_err());
    assert!(RecordId::random().to_string().parse::<ClaimKey>().is_err());
    let large = Stored::new(200, Body::from(vec![0; MAX_KEPT_BODY + 1]));
    assert_eq!((large.body, large.length), (None, MAX_KEPT_BODY as u64 + 1));
}

/// Guards against forged tickets, and against a ticket being used for two requests.
#[test]
fn ticket_is_for_one_request_of_its_owner() {
    let (now, digest) = (Instant::now(), Digest::of(b"a"));
    let table = tickets(1);
    let text = table.issue(now).unwrap();
    let last = if text.ends_with('0') { "1" } else { "0" };
    let forged = format!("{}{last}", &text[..text.len() - 1]);
    assert_eq!(table.verify(&forged), Err(TicketError::Signature));
    assert_eq!(table.verify("ticket1:lhr-a:1"), Err(TicketError::Malformed));
    assert_eq!(tickets(2).verify(&text), Err(TicketError::Foreign));
    assert_matches!(
        table.spend(&forged, digest, now),
        Spend::Answered(Verdict::NotRun(_))
    );
    let Spend::Granted(grant) = table.spend(&text, digest, now) else {
        panic!("a fresh ticket is granted");
    };
    let (permit, running) = grant.permit((), now + SECOND);
    let other = Digest::of(b"b");
    assert_matches!(
        table.spend(&text, other, now),
        Spend::Answered(Verdict::NotRun(_))
    );
    assert_matches!(
        table.spend(&text, digest, now + SECOND * 60),
        Spend::Running
    );
    let unsettled = table.spend(&text, digest, now + SECOND * 100);
    assert_matches!(unsettled, Spend::Answered(Verdict::MayHaveRun(_)));
    drop(permit);
    table.settle(
        running,
        Verdict::Ran(Stored::new(200, Body::default())),
        now,
    );
    let kept = table.spend(&text, digest, now + SECOND * 19);
    assert_matches!(kept, Spend::Answered(Verdict::Ran(_)));
    let forgotten = table.spend(&text, digest, now + SECOND * 21);
    assert_matches!(forgotten, Spend::Answered(Verdict::MayHaveRun(_)));
}

/// Guards against a table that grows without bound, or that stays full for ever.
#[test]
fn ticket_table_is_bounded() {
    let now = Instant::now();
    let table = tickets(1);
    (0..64).for_each(|_| assert!(table.issue(now).is_ok()));
    assert_eq!(table.issue(now), Err(TicketError::Full));
    assert!(table.issue(now + SECOND * 11).is_ok());
    table.expire(now + SECOND * 30);
    assert!(table.is_empty());
}
