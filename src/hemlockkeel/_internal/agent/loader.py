"""Loads adapters into the engine, with one permit from control per load.

The control leader issues the permits, which limits the load on the site's
weight store.
"""

import concurrent.futures
import threading
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.agent import engine_driver
from hemlockkeel._internal.agent import engine_run
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision

PERMIT_WAIT_S = 0.2
CALL_TIMEOUT_S = 1.5
IDLE_CHECK_INTERVAL_S = 0.2
RETRY_DELAY_S = 0.05
MAX_LOAD_REQUESTS = 16


class Loader:
    """Requests permits for waiting loads and executes the loads."""

    def __init__(
        self,
        driver: engine_driver.EngineDriver,
        control: control_client.ControlClient,
        follower: follower.Follower,
        counters: metrics.Metrics,
    ) -> None:
        self.driver = driver
        self.control = control
        self.follower = follower
        self.counters = counters
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.in_progress: dict[adapters.AdapterRef, None] = {}
        self.executor = concurrent.futures.ThreadPoolExecutor(2, "load")
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run, self.stopping),
            name="loader",
            daemon=True,
        )

    def start(self) -> None:
        """Start requesting permits."""
        self.thread.start()

    def stop(self) -> None:
        """Stop requesting permits and drop loads that have not started."""
        self.stopping.set()
        self.driver.loader_wakeup.set()
        if self.thread.is_alive():
            self.thread.join(3.0)
        self.executor.shutdown(wait=False, cancel_futures=True)

    def run(self) -> None:
        """Request permits whenever work waits for a load, until stopped."""
        while not self.stopping.is_set():
            self.driver.loader_wakeup.wait(IDLE_CHECK_INTERVAL_S)
            self.driver.loader_wakeup.clear()
            load_requests = self.find_load_requests()
            if not load_requests or self.stopping.is_set():
                continue
            self.request_permits(load_requests)
            # One call may not have granted permits for all waiting work.
            self.driver.loader_wakeup.set()

    def find_load_requests(self) -> list[ttypes.LoadWant]:
        """Return the loads that could start if permits were granted."""
        if self.follower.get_state() not in engine_run.ORDERING_STATES:
            return []
        now = time.monotonic()
        with self.driver.lock:
            scheduler = self.driver.scheduler
            available_slots = scheduler.get_free_slots() + len(
                scheduler.find_evictable()
            )
            wanted = scheduler.find_pending_loads(now)
        with self.lock:
            wanted = [w for w in wanted if w.ref not in self.in_progress]
            available_slots -= len(self.in_progress)
        wanted.sort(key=lambda want: -want.weight)
        if available_slots <= 0:
            return []
        if not wanted:
            return self.find_preloads()
        return [
            ttypes.LoadWant(
                want.ref.name,
                want.ref.version,
                want.weight,
                int((now - want.waiting_since) * 1000),
                False,
            )
            for want in wanted[: min(available_slots, MAX_LOAD_REQUESTS)]
        ]

    def find_preloads(self) -> list[ttypes.LoadWant]:
        """Return at most one load that restores an adapter after a restart.

        Once no slot is free, the remaining adapters are given up.
        """
        with self.driver.lock:
            scheduler = self.driver.scheduler
            unloaded = [
                r
                for r in self.driver.adapters_to_restore
                if r not in scheduler.slots
            ]
            self.driver.adapters_to_restore = unloaded
            if scheduler.get_free_slots() <= 0:
                unloaded.clear()
        with self.lock:
            unloaded = [ref for ref in unloaded if ref not in self.in_progress]
        return [
            ttypes.LoadWant(ref.name, ref.version, 0.0, 0, True)
            for ref in unloaded[:1]
        ]

    def request_permits(self, load_requests: list[ttypes.LoadWant]) -> None:
        """Request permits and start the loads that are granted."""
        granted = self.call_control(load_requests, [], [], PERMIT_WAIT_S)
        if granted is None:
            self.stopping.wait(RETRY_DELAY_S)
            return
        for text in granted:
            ref = adapters.parse_adapter(text)
            with self.lock:
                self.in_progress[ref] = None
            self.executor.submit(self.run_permit, ref)

    def call_control(
        self,
        load_requests: list[ttypes.LoadWant],
        finished: list[adapters.AdapterRef],
        unused: list[adapters.AdapterRef],
        wait_s: float,
    ) -> list[str] | None:
        """Return and request permits in one call to the control leader.

        ``finished`` and ``unused`` are permits that were used for a load or
        not needed. Returns the adapters that were granted a permit, or None
        when the call failed.
        """
        with self.lock:
            in_progress = [str(ref) for ref in self.in_progress]
        request = ttypes.PermitRequest(
            member_id=self.follower.description.member_id,
            incarnation=self.follower.incarnation,
            site=self.follower.description.site,
            wants=load_requests,
            in_progress=in_progress,
            finished=[str(ref) for ref in finished],
            unused=[str(ref) for ref in unused],
            wait_ms=int(wait_s * 1000),
        )
        try:
            reply = self.control.call("permits", request, CALL_TIMEOUT_S)
        except (exceptions.ControlUnavailableError, ttypes.RpcFault):
            return None
        granted: list[str] = reply.granted
        return granted

    def run_permit(self, ref: adapters.AdapterRef) -> None:
        """Use one permit, then return it and start the next granted loads."""
        used = True
        try:
            used = self.try_load(ref)
        except Exception as error:
            logs.log_error("load_failed", adapter=ref, reason=repr(error))
        finally:
            with self.lock:
                self.in_progress.pop(ref, None)
            self.driver.schedule()
            finished, unused = ([ref], []) if used else ([], [ref])
            granted = self.call_control(
                self.find_load_requests(), finished, unused, 0.0
            )
            for text in granted or []:
                next_ref = adapters.parse_adapter(text)
                with self.lock:
                    self.in_progress[next_ref] = None
                self.executor.submit(self.run_permit, next_ref)

    def try_load(self, ref: adapters.AdapterRef) -> bool:
        """Load one adapter, evicting another one if no slot is free.

        Returns False when the load is no longer needed or possible, so that
        the permit was not used.
        """
        now = time.monotonic()
        fence = ids.Fence(self.follower.incarnation)
        orphaned_runs = self.driver.has_orphaned_runs()
        with self.driver.lock:
            scheduler = self.driver.scheduler
            if ref in scheduler.slots:
                return False
            is_restore = ref in self.driver.adapters_to_restore
            if ref not in scheduler.get_adapters_in_use() and not is_restore:
                # No request waits for this load any more.
                return False
            victim = None
            if scheduler.get_free_slots() <= 0:
                victim = (
                    None if orphaned_runs else scheduler.choose_victim(now)
                )
                if victim is None:
                    return False
                scheduler.evict(victim)
            scheduler.begin_load(ref, now)
            boot_id = self.driver.boot_id
        self.execute_load(ref, victim, fence, boot_id)
        return True

    def execute_load(
        self,
        ref: adapters.AdapterRef,
        victim: adapters.AdapterRef | None,
        fence: ids.Fence,
        boot_id: str,
    ) -> None:
        """Unload the victim and load the adapter; update the scheduler.

        If loading failed repeatedly, the requests that wait for the adapter
        are refused, so that entries retry them on another target.
        """
        started_at = time.monotonic()
        loaded = False
        try:
            if victim is not None:
                self.counters.count(metrics.Counter.ADAPTER_EVICTIONS)
                self.driver.engine.unload_adapter(victim, fence)
            self.driver.engine.load_adapter(ref, fence)
            loaded = True
        except (
            exceptions.EngineOrderError,
            exceptions.UnreachableError,
        ) as error:
            self.counters.count(metrics.Counter.ADAPTER_LOADS_FAILED)
            logs.log_event("adapter_load_failed", adapter=ref, reason=error)
        now = time.monotonic()
        self.counters.count(metrics.Counter.ADAPTER_LOADS)
        self.counters.time(metrics.Timer.LOAD, now - started_at)
        with self.driver.lock:
            is_same_boot = boot_id == self.driver.boot_id
            if ref in self.driver.adapters_to_restore:
                self.driver.adapters_to_restore.remove(ref)
                self.counters.count(metrics.Counter.ADAPTER_PRELOADS)
            refused = self.driver.scheduler.end_load(
                ref, loaded and is_same_boot, now
            )
        self.driver.fail_queued(
            refused,
            outcomes.RefusalCode.LOAD_FAILED,
            f"adapter {ref} could not be loaded on this target",
        )
        self.driver.store.notify_load_change()
