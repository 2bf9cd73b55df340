"""Reports a target's crash to control, with the requests that were running.

All requests that were running at a crash are suspected of it.
"""

import collections.abc
import concurrent.futures
import threading

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import logs

REPORT_TIMEOUT_S = 1.0
# Pause before a report that control did not answer is sent again.
RETRY_INTERVAL_S = 0.5
MAX_KNOWN_BOOTS = 64


class CrashReporter:
    """Commits one crash report per boot of the target.

    Failed runs wait until the report is committed and this agent has its
    outcome, so that it does not run a request for which its target has just
    crashed. While control does not answer, the report is sent again in the
    background.

    ``refresh`` waits, for at most a number of seconds, until the agent's view
    has all that is committed.
    """

    def __init__(
        self,
        control: control_client.ControlClient,
        target_id: str,
        refresh: collections.abc.Callable[[float], bool],
    ) -> None:
        self.control = control
        self.target_id = target_id
        self.refresh = refresh
        self.lock = threading.Lock()
        self.reports: dict[str, concurrent.futures.Future[None]] = {}
        self.stopping = threading.Event()
        self.executor = concurrent.futures.ThreadPoolExecutor(
            1, "crash-report"
        )

    def report(
        self,
        boot_id: str,
        digests: list[str],
        adapters: collections.abc.Sequence[str] = (),
    ) -> None:
        """Report the crash of a boot, or wait for its report in progress.

        ``digests`` and ``adapters`` are those of the requests that were
        running.
        """
        with self.lock:
            future = self.reports.get(boot_id)
            if future is None and not self.stopping.is_set():
                future = self.executor.submit(
                    self.commit_report, boot_id, digests, list(adapters)
                )
                self.reports[boot_id] = future
                self.drop_oldest_reports()
        if future is not None:
            concurrent.futures.wait([future], REPORT_TIMEOUT_S)

    def stop(self) -> None:
        """Stop; reports that control has not answered are lost."""
        with self.lock:
            self.stopping.set()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def drop_oldest_reports(self) -> None:
        """Limit the number of boots that are remembered."""
        while len(self.reports) > MAX_KNOWN_BOOTS:
            self.reports.pop(next(iter(self.reports)))

    def commit_report(
        self, boot_id: str, digests: list[str], adapters: list[str]
    ) -> None:
        """Commit a crash report; repeat it until control answers.

        Control counts a report that it receives twice only once.
        """
        logs.log_event(
            "engine_crashed",
            target=self.target_id,
            boot=boot_id,
            running=len(digests),
        )
        if not digests:
            return
        command = commands.ReportCrash(
            target_id=self.target_id,
            boot_id=boot_id,
            digests=digests,
            adapters=adapters,
        )
        while True:
            try:
                self.control.propose(command, REPORT_TIMEOUT_S)
                if not self.refresh(REPORT_TIMEOUT_S):
                    logs.log_error("crash_report_unseen", boot=boot_id)
                return
            except ttypes.RpcFault as error:
                logs.log_error("crash_report_lost", reason=error)
                return
            except exceptions.ControlUnavailableError as error:
                logs.log_error("crash_report_delayed", reason=error)
            if self.stopping.wait(RETRY_INTERVAL_S):
                logs.log_error("crash_report_lost", reason="agent stopping")
                return

    def clear_suspicion(self, keys: list[str]) -> None:
        """Commit that a suspected request ran without a crash.

        ``keys`` are what it is suspected by.

        A failure is ignored.
        """
        try:
            self.control.propose(
                commands.ClearSuspect(digests=keys), REPORT_TIMEOUT_S
            )
        except (exceptions.ControlUnavailableError, ttypes.RpcFault):
            # The suspicion expires after a while.
            return
