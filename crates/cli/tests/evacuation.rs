//! Tests of whole processes while operators evacuate zones.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use lavenderhollow_http::CallLimits;
use lavenderhollow_http::HttpClient;
use lavenderhollow_testing::NodeProcess;
use lavenderhollow_testing::OPERATOR_TOKEN;
use lavenderhollow_testing::fakes::FakePlatform;
use lavenderhollow_testing::fakes::POOL;
use lavenderhollow_testing::fakes::ROUTE_HOST;
use lavenderhollow_testing::fakes::ROUTE_PREFIX;
use lavenderhollow_testing::fakes::STANDBY_POOL;
use lavenderhollow_testing::fakes::StoreFaults;
use lavenderhollow_testing::fakes::TEAM_KEY;

const BINARY: &str = env!("CARGO_BIN_EXE_lavenderhollow");

const VMS: [&str; 2] = ["vm-1", "vm-2"];

const TASK_TIME: Duration = Duration::from_millis(300);

/// The time between two jobs. Their tasks use most of two workers, and more than that at first.
const JOB_INTERVAL: Duration = Duration::from_millis(700);

/// The number of tasks of a job, which fill four workers.
const TASKS: usize = 32;

/// The time bound on evacuations, `evacuate_ms` in the settings of a deployment.
const EVACUATE_TIME: Duration = Duration::from_secs(5);

/// The longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(30);

/// A platform, its processes and the load on them.
struct Setup {
    platform: FakePlatform,
    nodes: Vec<Option<NodeProcess>>,
    dir: PathBuf,
    client: HttpClient,
    next_job: u64,
}

impl Drop for Setup {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // The directory of a failed test stays for its logs.
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Setup {
    /// Creates the workers of the serving pool and then those of the standby pool, each in a zone.
    async fn new(name: &str, zones: &[&str], standby_zones: &[&str]) -> Self {
        let (workers, standby) = (zones.len(), standby_zones.len());
        let platform = FakePlatform::start_with_standby(workers, standby, TASK_TIME).await;
        let platform = platform.expect("start the fake platform");
        for (worker, zone) in zones.iter().chain(standby_zones).enumerate() {
            platform.set_zone(worker, zone);
        }
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("create the directory");
        std::fs::write(dir.join("token"), OPERATOR_TOKEN).expect("write the token");
        Self {
            platform,
            nodes: Vec::new(),
            dir,
            client: HttpClient::new(Duration::from_secs(1), 4),
            next_job: 1,
        }
    }

    fn start_nodes(&mut self) {
        let start = |vm| NodeProcess::start(Path::new(BINARY), &self.platform, &self.dir, vm);
        self.nodes = VMS
            .map(|vm| Some(start(vm).expect("start the binary")))
            .into();
    }

    /// Submits a job at each process until one responds as it is accepted or rejected. Returns the status
    /// of the last response.
    async fn submit(&mut self) -> Option<StatusCode> {
        let id = self.next_job;
        self.next_job += 1;
        let body = format!(
            r#"{{"spec":"work","steps":[{{"count":{TASKS},"cpu":1000,"mem_mb":64,"estimated_ms":300}}]}}"#
        );
        let limits = CallLimits {
            timeout: Duration::from_secs(1),
            max_body: 1 << 16,
        };
        let mut status = None;
        for node in self.nodes.iter().flatten() {
            let uri = format!("http://{}{ROUTE_PREFIX}{id:016x}", node.caller_address);
            let request = Request::post(uri)
                .header("host", ROUTE_HOST)
                .header("authorization", format!("Bearer {TEAM_KEY}"))
                .body(Bytes::from(body.clone()))
                .expect("a valid request");
            let Ok(response) = self.client.call(request, limits).await else {
                continue;
            };
            status = Some(response.status());
            if response.status() == StatusCode::TOO_MANY_REQUESTS {
                assert!(response.headers().contains_key("retry-after"));
            }
            if [StatusCode::OK, StatusCode::TOO_MANY_REQUESTS].contains(&response.status()) {
                break;
            }
        }
        status
    }

    /// Submits jobs for a time.
    async fn load(&mut self, time: Duration) {
        let begun = Instant::now();
        while begun.elapsed() < time {
            self.submit().await;
            tokio::time::sleep(JOB_INTERVAL).await;
        }
    }

    /// Submits jobs until a condition holds.
    async fn load_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let begun = Instant::now();
        while !condition(self) {
            let dir = self.dir.display();
            assert!(begun.elapsed() < PATIENCE, "{what}; logs in {dir}");
            self.submit().await;
            tokio::time::sleep(JOB_INTERVAL).await;
        }
    }

    /// Returns how many starts each of the workers has carried out.
    fn runs(&self, workers: &[usize]) -> Vec<u32> {
        let runs = workers.iter().map(|w| self.platform.run_count(*w));
        runs.collect()
    }

    /// Returns the index of a process whose log has an event, if there is one.
    fn logged(&self, event: &str) -> Option<usize> {
        let line = format!(r#""event":"{event}""#);
        VMS.iter().position(|vm| {
            let log = std::fs::read_to_string(self.dir.join(format!("{vm}.log")));
            log.is_ok_and(|log| log.contains(&line))
        })
    }

    /// Returns the status that a process prints.
    fn status(&self, node: usize) -> String {
        let node = self.nodes[node].as_ref().expect("a running process");
        let output = Command::new(BINARY)
            .arg("status")
            .env("LAVENDERHOLLOW_ENTRIES", node.operator_address.to_string())
            .env("LAVENDERHOLLOW_TOKEN_FILE", self.dir.join("token"))
            .output()
            .expect("start the binary");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

/// Guards against a start that reaches a worker of an evacuated zone: while the evacuation goes on, a
/// worker restarts there, the store is away for a while, invalid records follow, and the owner of the
/// shard is killed. Guards also against an evacuation that does not end, and against jobs that are
/// accepted while all zones are evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn no_start_reaches_an_evacuated_zone_until_the_request_is_withdrawn() {
    let mut setup = Setup::new("evacuation", &["a", "a", "b", "b"], &[]).await;
    setup.start_nodes();
    let (inside, outside) = ([0, 1], [2, 3]);
    setup
        .load_until("some worker has no tasks", |s| {
            s.runs(&[0, 1, 2, 3]).iter().all(|runs| *runs > 0)
        })
        .await;
    setup.platform.evacuate("a");
    setup.load(EVACUATE_TIME).await;
    let before = (setup.runs(&inside), setup.runs(&outside));
    let status = setup.status(0);
    assert!(status.contains("\nevacuated zones: a\n"), "{status}");
    setup.platform.put_raw_operator("evacuate/b", b"[]");
    setup.platform.put_raw_operator("evacuate/", b"{}");
    setup.platform.restart_worker(0);
    setup.platform.register_restarted_worker(0);
    setup.load(Duration::from_secs(2)).await;
    let down = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    setup.platform.set_store_faults(down);
    setup.load(Duration::from_secs(1)).await;
    setup.platform.set_store_faults(StoreFaults::default());
    setup.load(Duration::from_secs(1)).await;
    let owner = setup.logged("evacuated_workers_changed");
    let owner = owner.expect("the owner has logged the affected workers");
    setup.nodes[owner] = None;
    let at_kill = setup.runs(&outside);
    setup
        .load_until("no successor starts tasks", |s| {
            s.runs(&outside).iter().sum::<u32>() > at_kill.iter().sum::<u32>() + 2 * TASKS as u32
        })
        .await;
    setup.load(Duration::from_secs(2)).await;
    let dir = setup.dir.display().to_string();
    assert_eq!(setup.runs(&inside), before.0, "logs in {dir}");
    assert!(setup.runs(&outside).iter().sum::<u32>() > before.1.iter().sum::<u32>());
    assert!(setup.logged("operator_record_decode_failed").is_some());

    setup.platform.evacuate("b");
    tokio::time::sleep(EVACUATE_TIME).await;
    let all = setup.runs(&[0, 1, 2, 3]);
    assert_eq!(setup.submit().await, Some(StatusCode::TOO_MANY_REQUESTS));
    setup.load(Duration::from_secs(1)).await;
    assert_eq!(setup.runs(&[0, 1, 2, 3]), all, "logs in {dir}");

    setup.platform.withdraw_evacuation("b");
    setup.platform.withdraw_evacuation("a");
    setup
        .load_until("no tasks in the zone after its evacuation", |s| {
            s.runs(&inside)
                .iter()
                .zip(&all)
                .any(|(now, then)| now > then)
        })
        .await;
    assert!(setup.logged("zone_evacuation_ended").is_some());
}

/// Guards against a machine that moves from an evacuated zone to a pool that lacks capacity, by processes
/// that have started during the evacuation.
#[tokio::test(flavor = "multi_thread")]
async fn no_machine_of_an_evacuated_zone_moves_to_a_pool_that_lacks_capacity() {
    let mut setup = Setup::new("evacuated-machines", &["b"], &["a", "b"]).await;
    setup.platform.evacuate("a");
    setup.start_nodes();
    let is_in = |setup: &Setup, worker: usize, pool: &str| {
        setup.platform.pool_of(worker).as_deref() == Some(pool)
    };
    setup
        .load_until("no machine moves", |s| is_in(s, 2, POOL))
        .await;
    setup.load(Duration::from_secs(3)).await;
    assert!(is_in(&setup, 1, STANDBY_POOL));
    setup.platform.withdraw_evacuation("a");
    setup
        .load_until("the machine does not move after the evacuation", |s| {
            is_in(s, 1, POOL)
        })
        .await;
}
