//! What the tasks and handlers of one entry process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use lavenderhollow_config::Key;
use lavenderhollow_core::configuration::ConfigState;
use lavenderhollow_core::exchange::Exchange;
use lavenderhollow_core::fleet::FleetState;
use lavenderhollow_core::freshness::Current;
use lavenderhollow_core::freshness::Freshness;
use lavenderhollow_core::keyring::Admission;
use lavenderhollow_core::keyring::Member;
use lavenderhollow_core::once::Tickets;
use lavenderhollow_core::zone::ZoneState;
use lavenderhollow_platform::VmList;
use lavenderhollow_platform::WorkerService;
use lavenderhollow_types::Clock;
use lavenderhollow_types::Incarnation;
use lavenderhollow_types::Refusal;
use lavenderhollow_types::RefusalKind;
use lavenderhollow_types::TeamName;

use crate::dispatch::AnswerWaiter;
use crate::jobs::DurableJobs;
use crate::meters::Meters;
use crate::peers::Peers;
use crate::plan::Plans;
use crate::pools::Pools;
use crate::settings::Settings;
use crate::stream::Stream;
use crate::targets::Targets;

/// How long a caller is asked to wait after a refusal that time will mend.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The streams that an entry follows.
pub(crate) struct Streams {
    pub(crate) config: Stream<ConfigState>,
    pub(crate) fleet: Stream<FleetState>,
    pub(crate) zone: Stream<ZoneState>,
}

/// The parts of one entry process.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) workers: Arc<dyn WorkerService>,
    pub(crate) vms: Arc<dyn VmList>,
    pub(crate) streams: Streams,
    pub(crate) config: Current,
    pub(crate) freshness: Mutex<Freshness>,
    /// The time until which keyed work may be taken, published for the request path.
    pub(crate) keyed_until: ArcSwapOption<Instant>,
    pub(crate) targets: Targets,
    pub(crate) meters: Meters,
    pub(crate) pools: Pools,
    pub(crate) exchange: Exchange<AnswerWaiter>,
    pub(crate) tickets: Tickets,
    pub(crate) peers: Peers,
    pub(crate) jobs: DurableJobs,
    pub(crate) plans: Plans,
    pub(crate) gate: RequestGate,
}

impl Context {
    /// Locks the freshness state and publishes what it allows afterwards.
    pub(crate) fn with_freshness<T>(&self, f: impl FnOnce(&mut Freshness) -> T) -> T {
        let mut freshness = self.freshness();
        let result = f(&mut freshness);
        let until = freshness.keyed_until(self.clock.now());
        self.keyed_until.store(until.map(Arc::new));
        result
    }

    fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request by its key and the freshness of the configuration.
    ///
    /// # Errors
    ///
    /// Refuses the request; it did not run.
    pub(crate) fn admit(&self, key: Option<&Key>, queue: &str) -> Result<Admission, Refusal> {
        let installed = self.config.load();
        if installed.version.get() == 0 {
            let refusal = Refusal::new(RefusalKind::Stale, "no configuration was read yet");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        let admission = installed.keys.admit(key, queue)?;
        if admission.is_keyed() {
            self.check_fresh()?;
        }
        Ok(admission)
    }

    /// Returns the team of a key.
    ///
    /// # Errors
    ///
    /// Refuses an unknown key, and every key while the configuration is not fresh.
    pub(crate) fn admit_team(&self, key: &Key) -> Result<Arc<Member>, Refusal> {
        let member = self.config.load().keys.member(key)?;
        self.check_fresh()?;
        Ok(member)
    }

    /// Returns a team by its name, for requests that another entry has admitted.
    ///
    /// # Errors
    ///
    /// Refuses a team that is not configured here.
    pub(crate) fn member_named(&self, team: &TeamName) -> Result<Arc<Member>, Refusal> {
        let installed = self.config.load();
        let settings = installed.config.teams.get(team).cloned();
        let settings =
            settings.ok_or_else(|| Refusal::new(RefusalKind::Unauthorized, "team is not known"))?;
        Ok(Arc::new(Member {
            name: team.clone(),
            settings,
        }))
    }

    /// Checks that the configuration is fresh enough for keyed work.
    ///
    /// # Errors
    ///
    /// Refuses with [`RefusalKind::Stale`].
    pub(crate) fn check_fresh(&self) -> Result<(), Refusal> {
        let now = self.clock.now();
        if self
            .keyed_until
            .load()
            .as_ref()
            .is_some_and(|until| now <= **until)
        {
            return Ok(());
        }
        let detail = "the configuration is not confirmed by the log or the other zones";
        Err(Refusal::new(RefusalKind::Stale, detail).retry_after(RETRY_AFTER))
    }
}

/// Counts open requests and stops new ones at a shutdown.
#[derive(Debug, Default)]
pub(crate) struct RequestGate {
    closing: AtomicBool,
    open: AtomicU32,
}

/// A request that a shutdown waits for, until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest<'a>(&'a RequestGate);

impl RequestGate {
    /// Lets a request in.
    ///
    /// # Errors
    ///
    /// Refuses the request when the entry is shutting down.
    pub(crate) fn enter(&self) -> Result<OpenRequest<'_>, Refusal> {
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenRequest(self);
        if self.closing.load(Ordering::SeqCst) {
            let refusal = Refusal::new(RefusalKind::Closing, "this entry is shutting down");
            return Err(refusal.retry_after(RETRY_AFTER));
        }
        Ok(open)
    }

    /// Refuses new requests from now on.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Tells whether new requests are refused.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Returns the number of open requests.
    pub(crate) fn open(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
