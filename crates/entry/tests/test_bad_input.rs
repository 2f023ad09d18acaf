//! Malformed, oversized and half-sent input gets a clear error and stops nothing.

use std::time::Duration;
use std::time::SystemTime;

use http::Method;
use lavenderhollow_entry::EntryBuilder;
use serde_json::json;

use crate::support::Call;
use crate::support::Guard;
use crate::support::HOME;
use crate::support::OPERATOR_TOKEN;
use crate::support::World;
use crate::support::WorldBuilder;
use crate::support::exchange;
use crate::support::key_at;
use crate::support::new_key;
use crate::support::send_part;
use crate::support::wait_until;

const HOUR: Duration = Duration::from_secs(3600);

async fn assert_serves(world: &World) -> eyre::Result<()> {
    let call = Call::request(world.callers(0), "renewals", "after");
    world.send(call).await?.assert_ran(b"after");
    let call = Call::request(world.callers(0), "fees", "after");
    let answer = world
        .send(call.header("idempotency-key", new_key()))
        .await?;
    answer.assert_ran(b"after");
    Ok(())
}

/// Guards against headers that are ignored or guessed at when they can't be read, and against
/// refusals without a verdict.
#[tokio::test]
async fn unreadable_requests_are_refused_with_a_reason() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let address = world.callers(0);
    let renewal = || Call::request(address, "renewals", "body");
    let fee = || Call::request(address, "fees", "body");
    let old = key_at(SystemTime::now() - 2 * HOUR);
    let ahead = key_at(SystemTime::now() + HOUR);
    let cases = [
        (Call::request(address, "nothing", "body"), 404, "no_queue"),
        (Call::open(address, "renewals", "body"), 401, "unauthorized"),
        (
            Call::open(address, "renewals", "").bearer("unknown"),
            401,
            "unauthorized",
        ),
        (
            Call::open(address, "renewals", "").header("authorization", "Basic eA=="),
            401,
            "unauthorized",
        ),
        (
            Call::open(address, "notices", "").bearer("unknown"),
            401,
            "unauthorized",
        ),
        (renewal().bearer("twice"), 400, "invalid"),
        (renewal().header("deadline-ms", "soon"), 400, "invalid"),
        (renewal().header("deadline-ms", "0"), 400, "invalid"),
        (renewal().header("deadline-ms", "-1"), 400, "invalid"),
        (renewal().header("priority", "very"), 400, "invalid"),
        (renewal().header("priority", b"urg\xffnt"), 400, "invalid"),
        (fee(), 400, "invalid"),
        (fee().header("idempotency-key", "1"), 400, "invalid"),
        (
            fee().header("idempotency-key", uuid::Uuid::new_v4().to_string()),
            400,
            "invalid",
        ),
        (fee().header("idempotency-key", old), 409, "expired"),
        (fee().header("idempotency-key", ahead), 409, "expired"),
        (
            fee().header("execution-ticket", "not a ticket"),
            400,
            "invalid",
        ),
        (
            Call::open(address, "notices", "").header("idempotency-key", new_key()),
            401,
            "unauthorized",
        ),
        (
            Call::job(address, "fees", "").header("idempotency-key", "1"),
            400,
            "invalid",
        ),
        (Call::job(address, "nothing", ""), 404, "no_queue"),
    ];
    for (number, (call, status, kind)) in cases.into_iter().enumerate() {
        let answer = world.send(call).await?;
        assert_eq!(answer.status(), status, "case {number}: {answer:?}");
        answer.assert_refused(kind);
    }
    assert_eq!(world.run_count().await?, 0, "a refused request ran");
    assert_serves(&world).await
}

/// Guards against a refusal by the HTTP library that carries no verdict, after which a caller
/// does not know whether a retry is safe.
#[tokio::test]
async fn oversized_bodies_are_refused_with_a_verdict() -> eyre::Result<()> {
    let world = WorldBuilder::new()
        .setting("max_body_bytes", json!(100_000))
        .start()
        .await?;
    let address = world.callers(0);
    let body = vec![b'x'; 100_001];
    let answer = world
        .send(Call::request(address, "renewals", body.clone()))
        .await?;
    answer.assert_refused("invalid");
    assert_eq!(answer.status(), 400, "{answer:?}");
    let answer = world.send(Call::job(address, "renewals", body)).await?;
    answer.assert_refused("invalid");
    assert_eq!(world.run_count().await?, 0, "a refused request ran");
    let whole = vec![b'y'; 100_000];
    let answer = world
        .send(Call::request(address, "renewals", whole.clone()))
        .await?;
    answer.assert_ran(&whole);
    Ok(())
}

/// Guards against a server that runs half a request or that a broken connection stops.
#[tokio::test]
async fn broken_connections_run_nothing_and_stop_nothing() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let address = world.callers(0);
    let head = "POST /v1/queues/notices/requests HTTP/1.1\r\nhost: x\r\n";
    let long = format!("{head}x-long: {}\r\n\r\n", "a".repeat(1 << 20));
    let many = format!("{head}{}\r\n", "x-many: 1\r\n".repeat(2000));
    let half = format!("{head}content-length: 100\r\n\r\nhalf");
    let chunk = format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n");
    let both = format!("{head}content-length: x\r\n\r\nbody");
    let binary = "\x16\x03\x01\u{0}\u{1}".repeat(100);
    for text in [
        &long,
        &many,
        &half,
        &chunk,
        &both,
        &binary,
        head,
        "GET\r\n\r\n",
        "",
    ] {
        let answer = exchange(address, text.as_bytes()).await?;
        let fine = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(
            fine,
            "{:?} was answered by {answer:?}",
            &text[..text.len().min(80)]
        );
    }
    let open = send_part(address, half.as_bytes()).await?;
    assert_eq!(world.run_count().await?, 0, "a broken request ran");
    assert_serves(&world).await?;
    drop(open);
    Ok(())
}

/// Guards against an operator's document of which only the first fault is named, and against
/// changes by somebody who does not have the token.
#[tokio::test]
async fn operators_learn_every_problem_of_a_document() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let operators = world.entries[0].operators();
    let config = |token: &str, body: &[u8]| {
        let call = Call::new(Method::POST, operators, "/v1/config").bearer(token);
        world.send(call.body(body.to_vec()))
    };
    let before = world.status(0).await?["version"].clone();

    let command = json!({"id": uuid::Uuid::new_v4(), "change": {"patch": {"deployment": "x"}}});
    let answer = config("wrong", command.to_string().as_bytes()).await?;
    assert_eq!(
        (answer.status(), answer.text("result").as_str()),
        (401, "refused")
    );
    let answer = world
        .send(Call::new(Method::GET, operators, "/v1/config"))
        .await?;
    assert_eq!(answer.status(), 401);

    for body in [
        &b"{"[..],
        b"",
        b"\xff\xfe",
        b"[1]",
        b"{\"id\": 1, \"change\": {\"bad\": 1}}",
    ] {
        let answer = config(OPERATOR_TOKEN, body).await?;
        assert_eq!(answer.status(), 400, "{answer:?}");
        assert!(!answer.text("reason").is_empty(), "{answer:?}");
    }

    let wrong_form = world.config.clone();
    let wrong_form = wrong_form.set("/teams/harbour", "limit", json!("many"));
    let wrong_form = wrong_form.set("/queues/fees", "deadline_ms", json!(-1));
    let wrong_form = wrong_form.set("/pools/main", "colour", json!("red"));
    let answer = world.publish(wrong_form.document().clone()).await?;
    assert_eq!(answer.status(), 400, "{answer:?}");
    let reason = answer.text("reason");
    for path in [
        "teams.harbour.limit",
        "queues.fees.deadline_ms",
        "pools.main.colour",
    ] {
        assert!(reason.contains(path), "{path} is not named in {reason}");
    }

    let wrong_rule = world.config.clone();
    let wrong_rule = wrong_rule.set("/teams/harbour", "home", json!("nowhere"));
    let wrong_rule = wrong_rule.set("/queues/fees", "pool", json!("nothing"));
    let answer = world.publish(wrong_rule.document().clone()).await?;
    assert_eq!(answer.status(), 400, "{answer:?}");
    let reason = answer.text("reason");
    for path in ["teams.harbour.home", "queues.fees.pool"] {
        assert!(reason.contains(path), "{path} is not named in {reason}");
    }

    assert_eq!(
        world.status(0).await?["version"],
        before,
        "a refused document changed something"
    );
    assert_serves(&world).await
}

/// Guards against a stray append to the log that stops every entry.
#[tokio::test]
async fn foreign_records_of_the_log_have_no_effect() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let records = json!({"records": [
        1, "text", null, {}, {"other": 1}, {"change": 5}, {"change": {"id": 7}}, {"snapshot": 3},
    ]});
    for stream in ["config", "fleet", &format!("zone%2F{HOME}")] {
        let path = format!("/streams/{stream}/records");
        let call = Call::new(Method::POST, world.log.address(), &path);
        let call = call.header("content-type", "application/json");
        let answer = world.send(call.body(records.to_string())).await?;
        assert_eq!(answer.status(), 200, "{stream}: {answer:?}");
    }
    let answer = world
        .change(json!({"patch": {"deployment": "renamed"}}))
        .await?;
    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_serves(&world).await
}

/// Guards against an entry that a malformed message stops, or that runs a request which comes
/// with a wrong authentication code.
#[tokio::test]
async fn messages_of_strangers_are_not_trusted() -> eyre::Result<()> {
    let world = WorldBuilder::new().start().await?;
    let peers = world.entries[0].peers();
    let long = [&u32::MAX.to_be_bytes()[..], b"frame"].concat();
    let noise = [
        &8_u32.to_be_bytes()[..],
        b"\xff\xff\xff\xff\xff\xff\xff\xff",
    ]
    .concat();
    for bytes in [&long[..], &noise, b"GET / HTTP/1.1\r\n\r\n", b""] {
        exchange(peers, bytes).await?;
    }
    let mut settings = world.settings("stranger", HOME)?;
    settings.peer_secret = "the secret of another deployment".to_owned();
    let stranger = EntryBuilder::new(settings).start().await?;
    world
        .list("stranger", stranger.peers(), HOME, "entries")
        .await?;
    let header = world.guard(Guard::Ticket).await?;
    wait_until("the stranger to admit keys", async || {
        let call = Call::request(stranger.callers(), "fees", "fee");
        let answer = world.send(call.header(header.0, &header.1)).await?;
        Ok(answer.verdict() == "may_have_run")
    })
    .await?;
    assert_eq!(world.run_count().await?, 0, "a stranger's request ran");
    world.fee(0, &header, b"fee").await?.assert_ran(b"fee");
    assert_serves(&world).await
}
