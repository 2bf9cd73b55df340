"""Driver for a model engine: scheduling, runs, adapters and crashes."""

import collections.abc
import concurrent.futures
import threading
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import crashes
from hemlockkeel._internal.agent import driver
from hemlockkeel._internal.agent import engine_run
from hemlockkeel._internal.engines import base
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import members
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.policy import scheduler
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision

MONITOR_INTERVAL_S = 0.25
MAX_CACHED_PREFIXES = 64
# How long runs of a previous agent are assumed to use adapters, at most. The
# engine's load report may lag behind its runs by this much.
ORPHANED_RUNS_TIMEOUT_S = 60.0


class EngineDriver(driver.TargetDriver):
    """Schedules and runs work orders on one engine.

    ``preloads`` makes the loader restore adapters after an engine restart.
    """

    def __init__(
        self,
        engine: base.Engine,
        service: str,
        target_id: str,
        store: answers.AnswerStore,
        follower: follower.Follower,
        reporter: crashes.CrashReporter,
        policy: eviction.EvictionPolicy,
        counters: metrics.Metrics,
        max_queued: int = 256,
        preloads: bool = True,
    ) -> None:
        self.engine = engine
        self.service = service
        self.target_id = target_id
        self.store = store
        self.follower = follower
        self.reporter = reporter
        self.policy = policy
        self.counters = counters
        self.max_queued = max_queued
        self.preloads = preloads
        # Adapters that a restart of the engine unloaded, the most valuable
        # first. The loader loads them again when slots are free.
        self.adapters_to_restore: list[adapters.AdapterRef] = []
        self.identity = engine.get_identity()
        self.boot_id = self.identity.boot_id
        # Whether the engine may have restarted since `boot_id` was read.
        self.boot_unknown = False
        self.lock = threading.RLock()
        self.scheduler = self.make_scheduler()
        # Until then, runs that a previous agent started may use any loaded
        # adapter; monotonic seconds.
        self.orphaned_runs_until = 0.0
        self.adopt_engine_state()
        self.active_attempts: dict[str, engine_run.ActiveAttempt] = {}
        self.loader_wakeup = threading.Event()
        self.stopping = threading.Event()
        workers = self.identity.batch_slots + 2
        self.executor = concurrent.futures.ThreadPoolExecutor(
            workers, "engine-run"
        )
        self.monitor = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.monitor_engine, self.stopping),
            name="engine-monitor",
            daemon=True,
        )
        self.event_sequence = 0
        self.prefixes: dict[str, None] = {}

    def make_scheduler(self) -> scheduler.EngineScheduler:
        """Return an empty scheduler with the engine's capacity."""
        limits = scheduler.SchedulerLimits(
            self.identity.batch_slots,
            self.identity.adapter_slots,
            self.max_queued,
        )
        return scheduler.EngineScheduler(limits, self.policy)

    def adopt_engine_state(self) -> None:
        """Take over the adapters and runs that the engine already has."""
        report = self.engine.get_report()
        now = time.monotonic()
        for text in report.loaded:
            ref = adapters.parse_adapter(text)
            if self.scheduler.get_free_slots() <= 0:
                break
            self.scheduler.begin_load(ref, now)
            self.scheduler.end_load(ref, True, now)
        if report.running + report.queued > 0:
            self.orphaned_runs_until = now + ORPHANED_RUNS_TIMEOUT_S

    def has_orphaned_runs(self) -> bool:
        """Return whether runs of a previous agent may still use adapters.

        :raises UnreachableError: when the engine does not respond.
        """
        if time.monotonic() >= self.orphaned_runs_until:
            return False
        report = self.engine.get_report()
        with self.lock:
            own = len(self.scheduler.running)
        if report.running + report.queued > own:
            return True
        self.orphaned_runs_until = 0.0
        return False

    def describe(self) -> members.TargetInfo:
        return members.TargetInfo(
            self.target_id,
            members.TargetKind.ENGINE,
            self.service,
            self.identity.base_model,
            self.identity.batch_slots,
            self.identity.adapter_slots,
        )

    def start(self) -> None:
        self.monitor.start()

    def stop(self) -> None:
        self.stopping.set()
        self.loader_wakeup.set()
        if self.monitor.is_alive():
            self.monitor.join(2.0)
        self.reporter.stop()
        self.executor.shutdown(wait=False, cancel_futures=True)

    # Work

    def submit(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        if order.base_model and order.base_model != self.identity.base_model:
            return outcomes.refuse(
                outcomes.RefusalCode.STALE_TARGET,
                f"this target serves {self.identity.base_model}, not "
                f"{order.base_model}",
            )
        now = time.monotonic()
        active = engine_run.make_active_attempt(order, now)
        with self.lock:
            refusal = self.scheduler.admit(active.work, now)
            if refusal is not None:
                return refusal
            self.active_attempts[order.request_id] = active
            shed = self.scheduler.take_shed()
            if active.work.ref is not None:
                self.scheduler.hints.record(
                    active.work.ref, order.owner, order.popularity, now
                )
        self.fail_queued(
            shed,
            outcomes.RefusalCode.BUSY,
            "the request was dropped from the queue in favour of a request "
            "with a higher priority",
        )
        if active.work in shed:
            return None
        self.schedule()
        return None

    def schedule(self) -> None:
        """Start the queued work that can run now, and wake the loader.

        Nothing starts after a crash until the monitor has seen the engine
        again: its adapters are gone, and a crash of its next boot would be
        reported as the one before.

        Work past its deadline is refused, as is work whose content has been
        quarantined while it was queued. Work that is preempted, so that
        starving work gets its adapter's slot, is refused as well; entries
        retry it on another target.
        """
        now = time.monotonic()
        catalog = self.follower.catalog
        wall = time.time()
        with self.lock:
            quarantined = self.scheduler.take_quarantined(
                lambda key: catalog.is_quarantined(key, wall)
            )
            self.scheduler.mark_suspects(catalog.is_suspect)
            expired = self.scheduler.take_expired(now)
            started = (
                [] if self.boot_unknown else self.scheduler.start_ready(now)
            )
            for work in started:
                self.active_attempts[work.request_id].boot_id = self.boot_id
            preempted = self.scheduler.preempt_for_starving(now)
        self.fail_queued(
            quarantined,
            outcomes.RefusalCode.QUARANTINED,
            "requests with the same content or adapter crashed several "
            "targets",
        )
        self.fail_queued(
            expired,
            outcomes.RefusalCode.DEADLINE,
            "the deadline passed before the request could start",
        )
        self.fail_queued(
            preempted,
            outcomes.RefusalCode.BUSY,
            "the adapter's slot is needed for another adapter",
        )
        for work in started:
            self.record_load_stall(work, now)
            self.executor.submit(
                self.run, self.active_attempts[work.request_id]
            )
        self.loader_wakeup.set()

    def record_load_stall(self, work: scheduler.WorkItem, now: float) -> None:
        """Record how long a request waited for its adapter to be loaded."""
        with self.lock:
            slot = self.scheduler.slots.get(work.ref) if work.ref else None
        answer = self.store.answers.get(work.request_id)
        if slot is None or answer is None:
            return
        stall_s = max(0.0, slot.ready_at - work.arrived_at)
        answer.load_stall_us = int(stall_s * 1e6)
        self.counters.time(metrics.Timer.LOAD_STALL, stall_s)
        if stall_s == 0.0:
            self.counters.count(metrics.Counter.ADAPTER_HITS)

    def fail_queued(
        self,
        queued: collections.abc.Iterable[scheduler.WorkItem],
        code: outcomes.RefusalCode,
        message: str,
    ) -> None:
        """Refuse queued work with the verdict NOT_RUN."""
        for work in queued:
            with self.lock:
                active = self.active_attempts.pop(work.request_id, None)
            if active is None:
                continue
            refusal = outcomes.refuse(code, message)
            self.store.end(
                answers.make_failure(
                    work.request_id, active.key.number, refusal
                )
            )

    def run(self, active: engine_run.ActiveAttempt) -> None:
        """Run one attempt to its end; run on a thread of the executor."""
        try:
            attempt_run = engine_run.EngineRun(
                self.engine,
                self.identity.base_model,
                self.store,
                self.follower,
                self.counters,
                self.is_same_boot,
            )
            self.end_complete(active, attempt_run.run(active))
        except base.RunFailedError as error:
            self.handle_failure(active, error)
        except Exception as error:
            logs.log_error("run_failed", reason=repr(error))
            self.end_failed(
                active,
                outcomes.Refused(
                    outcomes.RefusalCode.INTERNAL,
                    "internal error in the agent while the request ran",
                    outcomes.Verdict.MAY_HAVE_RUN,
                ),
            )
        finally:
            with self.lock:
                self.scheduler.finish(active.work.request_id, time.monotonic())
                self.active_attempts.pop(active.work.request_id, None)
            self.schedule()

    def end_complete(
        self, active: engine_run.ActiveAttempt, tokens: list[str]
    ) -> None:
        """End a complete answer."""
        if active.work.suspect:
            self.reporter.clear_suspicion(active.work.suspect_keys)
        self.store.end(
            answers.make_end(
                active.order.request_id, active.key.number, tokens
            )
        )

    def end_failed(
        self, active: engine_run.ActiveAttempt, refusal: outcomes.Refused
    ) -> None:
        """End an answer that failed."""
        self.store.end(
            answers.make_failure(
                active.order.request_id, active.key.number, refusal
            )
        )

    def handle_failure(
        self, active: engine_run.ActiveAttempt, error: base.RunFailedError
    ) -> None:
        """End a failed attempt; report the crash first if there was one."""
        if active.cancelled:
            verdict = outcomes.Verdict.MAY_HAVE_RUN
            refusal = outcomes.Refused(
                outcomes.RefusalCode.LOST, "the request was cancelled", verdict
            )
            self.end_failed(active, refusal)
            return
        if error.crashed:
            with self.lock:
                if active.boot_id == self.boot_id:
                    self.boot_unknown = True
            self.report_crash(active.boot_id)
        self.end_failed(
            active,
            outcomes.Refused(error.code, error.message, error.verdict),
        )

    def report_crash(self, boot_id: str) -> None:
        """Report the end of a boot of the engine, with its batch."""
        with self.lock:
            running = [
                active.work
                for active in self.active_attempts.values()
                if active.boot_id == boot_id
            ]
        digests = {work.digest for work in running}
        keys = {key for work in running for key in work.suspect_keys}
        self.reporter.report(boot_id, sorted(digests), sorted(keys - digests))

    def is_same_boot(self) -> bool:
        """Return whether the engine has not restarted since the last check."""
        try:
            return self.engine.get_identity().boot_id == self.boot_id
        except exceptions.UnreachableError:
            return False

    def cancel(self, request_id: str, attempt: int) -> bool:
        with self.lock:
            active = self.active_attempts.get(request_id)
            if active is None or active.key.number != attempt:
                return False
            active.cancelled = True
            withdrawn = self.scheduler.remove_queued(request_id)
        if withdrawn is not None:
            self.fail_queued(
                [withdrawn],
                outcomes.RefusalCode.LOST,
                "the request was cancelled before it ran",
            )
            return True
        fence = ids.Fence(self.follower.incarnation)
        try:
            self.engine.cancel(ids.RequestId(active.key.engine_run_id), fence)
        except (exceptions.UnreachableError, exceptions.EngineOrderError):
            return False
        return True

    # Monitoring the engine

    def monitor_engine(self) -> None:
        """Check for restarts and cache events until stopped."""
        while not self.stopping.wait(MONITOR_INTERVAL_S):
            try:
                # A crash while the engine is asked is checked the next time.
                was_unknown = self.boot_unknown
                self.check_boot(self.engine.get_identity())
                if was_unknown:
                    self.boot_unknown = False
                self.read_cache_events()
            except (
                exceptions.UnreachableError,
                exceptions.EngineOrderError,
                ValueError,
            ):
                continue
            self.schedule()

    def check_boot(self, identity: base.Identity) -> None:
        """Reset the adapter slots and prefixes if the engine has restarted.

        Also reports a crash if requests were running.
        """
        if identity.boot_id == self.boot_id:
            return
        self.counters.count(metrics.Counter.ENGINE_RESTARTS)
        logs.log_event(
            "engine_restarted", target=self.target_id, boot=identity.boot_id
        )
        if self.scheduler.running:
            self.report_crash(self.boot_id)
        with self.lock:
            self.identity = identity
            self.boot_id = identity.boot_id
            self.boot_unknown = False
            if self.preloads:
                self.adapters_to_restore = self.scheduler.rank_slots(
                    time.monotonic()
                )
            self.scheduler.reset_slots()
            self.event_sequence = 0
            self.prefixes.clear()
        self.store.notify_load_change()

    def read_cache_events(self) -> None:
        """Update the cached prefixes from the engine's new cache events.

        A gap in the sequence numbers means that events were lost, so the
        prefixes known before it are discarded.
        """
        for event in self.engine.get_events(self.event_sequence):
            if self.event_sequence and event.sequence != (
                self.event_sequence + 1
            ):
                self.counters.count(metrics.Counter.EVENT_GAPS)
                self.prefixes.clear()
            self.event_sequence = event.sequence
            self.scheduler.epoch += 1
            if event.present:
                self.prefixes[event.prefix] = None
            else:
                self.prefixes.pop(event.prefix, None)
        while len(self.prefixes) > MAX_CACHED_PREFIXES:
            self.prefixes.pop(next(iter(self.prefixes)))

    # Load report

    def get_load(
        self, known_epoch: int = driver.UNKNOWN_EPOCH
    ) -> ttypes.LoadReport:
        now = time.monotonic()
        with self.lock:
            fresh = known_epoch != self.scheduler.epoch
            ready = self.scheduler.get_loaded() if fresh else []
            loading = self.scheduler.get_loading() if fresh else []
            return ttypes.LoadReport(
                running=len(self.scheduler.running),
                queued=len(self.scheduler.queue),
                batch_slots=self.identity.batch_slots,
                adapters=[str(ref) for ref in ready] if fresh else None,
                loading=[str(ref) for ref in loading] if fresh else None,
                adapters_epoch=self.scheduler.epoch,
                accepting=(
                    self.follower.get_state() is follower.FollowerState.READY
                ),
                adapter_slots=self.identity.adapter_slots,
                incarnation=self.follower.incarnation,
                prefixes=list(self.prefixes) if fresh else None,
                eviction_value=self.scheduler.get_eviction_value(now),
                free_slots=self.scheduler.get_free_slots(),
                queued_by_rank=self.scheduler.count_queued_by_rank(),
                engine_version=self.identity.software_version,
            )

    def count_unfinished(self) -> int:
        with self.lock:
            return len(self.active_attempts)
