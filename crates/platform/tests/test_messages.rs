use std::time::Duration;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::HeaderMap;
use lavenderhollow_platform::LeaseRef;
use lavenderhollow_platform::StartTask;
use lavenderhollow_platform::TaskAnswer;
use lavenderhollow_platform::TaskStatus;
use lavenderhollow_platform::answer_from_headers;
use lavenderhollow_platform::answer_to_headers;
use lavenderhollow_platform::body_digest;
use lavenderhollow_platform::start_from_headers;
use lavenderhollow_platform::start_to_headers;
use lavenderhollow_types::AttemptId;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::RequestId;

/// Guards against a start request that reaches the worker with another lease or run time.
#[test]
fn start_survives_its_headers() {
    let task = StartTask {
        request: RequestId::random(),
        attempt: AttemptId::random(),
        lease: LeaseRef {
            holder: Incarnation::random(),
            end: UNIX_EPOCH + Duration::from_millis(1_800_000_000_123),
        },
        run_time: Duration::from_millis(1_500),
        saved: Duration::from_millis(300),
        trace: Some("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned()),
        body: Bytes::from_static(b"input"),
    };
    let mut headers = HeaderMap::new();
    assert_eq!(start_to_headers(&task, &mut headers), Ok(()));
    let read = start_from_headers(&headers, task.body.clone());
    assert_eq!(read.as_ref(), Ok(&task));

    headers.remove("x-lease-end-ms");
    assert!(start_from_headers(&headers, Bytes::new()).is_err());
}

/// Guards against an answer whose damaged digest is read as another one.
#[test]
fn answer_survives_its_headers() {
    let body = Bytes::from_static(b"output");
    let answer = TaskAnswer {
        request: RequestId::random(),
        attempt: AttemptId::random(),
        status: TaskStatus::Dropped,
        length: body.len() as u64,
        digest: body_digest(&body),
        body,
    };
    let mut headers = HeaderMap::new();
    assert_eq!(answer_to_headers(&answer, &mut headers), Ok(()));
    let read = answer_from_headers(&headers, answer.body.clone());
    assert_eq!(read.as_ref(), Ok(&answer));

    for digest in ["", "00", &"g".repeat(64), &"0".repeat(66), &"é".repeat(32)] {
        if let Ok(value) = http::HeaderValue::from_str(digest) {
            headers.insert("x-body-sha256", value);
        }
        assert!(
            answer_from_headers(&headers, Bytes::new()).is_err(),
            "{digest:?}"
        );
    }
}
