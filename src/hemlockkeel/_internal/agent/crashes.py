"""Reports an engine's crash to control, with the requests that were running.

All requests in the batch of a crashed engine are suspected of the crash.
"""

import concurrent.futures
import threading

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import logs

REPORT_TIMEOUT_S = 1.0
MAX_KNOWN_BOOTS = 64


class CrashReporter:
    """Commits at most one crash report per boot of the engine.

    Failed runs wait for the report, so that a request is already suspected
    when its caller retries it.
    """

    def __init__(
        self, control: control_client.ControlClient, target_id: str
    ) -> None:
        self.control = control
        self.target_id = target_id
        self.lock = threading.Lock()
        self.reports: dict[str, concurrent.futures.Future[None]] = {}

    def report(self, boot_id: str, digests: list[str]) -> None:
        """Report the crash of a boot, or wait for its report in progress."""
        with self.lock:
            future = self.reports.get(boot_id)
            first = future is None
            if future is None:
                future = concurrent.futures.Future()
                self.reports[boot_id] = future
                self.drop_oldest_reports()
        if not first:
            concurrent.futures.wait([future], REPORT_TIMEOUT_S)
            return
        try:
            self.commit_report(boot_id, digests)
        finally:
            future.set_result(None)

    def drop_oldest_reports(self) -> None:
        """Limit the number of boots that are remembered."""
        while len(self.reports) > MAX_KNOWN_BOOTS:
            self.reports.pop(next(iter(self.reports)))

    def commit_report(self, boot_id: str, digests: list[str]) -> None:
        """Commit a crash report; if that fails, the crash is not counted."""
        logs.log_event(
            "engine_crashed",
            target=self.target_id,
            boot=boot_id,
            running=len(digests),
        )
        if not digests:
            return
        try:
            self.control.propose(
                commands.ReportCrash(
                    target_id=self.target_id,
                    boot_id=boot_id,
                    digests=digests,
                ),
                REPORT_TIMEOUT_S,
            )
        except (exceptions.ControlUnavailableError, ttypes.RpcFault) as error:
            logs.log_error("crash_report_lost", reason=error)

    def clear_suspicion(self, digest: str) -> None:
        """Commit that a suspected request ran without a crash.

        A failure is ignored.
        """
        try:
            self.control.propose(
                commands.ClearSuspect(digests=[digest]), REPORT_TIMEOUT_S
            )
        except (exceptions.ControlUnavailableError, ttypes.RpcFault):
            # The suspicion expires after a while.
            return
