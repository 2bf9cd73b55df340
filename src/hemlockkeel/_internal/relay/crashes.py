"""Requests that crash the targets that run them.

An entry that loses an answer looks whether the target still listens. If not,
the requests that it had there become suspects at every entry; one that was
running at the crashes of three targets is refused for a while.
"""

import asyncio

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import target_registry as registry_module
from hemlockkeel._internal.state import suspects
from hemlockkeel._internal.utils import event_log

# Targets that a request may crash before it is refused: with fewer, one
# that shared two targets' crashes by chance would be.
QUARANTINE_CRASHES = 3


class CrashMonitor:
    """One entry's view of suspected requests."""

    def __init__(
        self, control: dialer.DialerSet, log: event_log.EventLog
    ) -> None:
        self.control = control
        self.log = log
        self.table = suspects.SuspectTable(QUARANTINE_CRASHES)
        self.probing: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def is_quarantined(self, digest: ids.ContentDigest) -> bool:
        """Tell whether a request is refused for now."""
        return self.table.is_quarantined(digest, self.now)

    def start_probe(
        self, target: registry_module.Target, digests: list[ids.ContentDigest]
    ) -> None:
        """Look into a target whose answer broke off."""
        start = (target.record.instance_id, target.record.started_at_ms)
        if start in self.probing:
            return
        self.probing.add(start)
        task = asyncio.get_running_loop().create_task(
            self.probe(target, [str(digest) for digest in digests])
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(
        self, target: registry_module.Target, digests: list[str]
    ) -> None:
        """Report a crash if nothing listens at the target's address."""
        record = target.record
        try:
            connection = await exchange.connect(record.address)
            connection.abort()
            return
        except exchange.ConnectFailedError as error:
            if not isinstance(error.__cause__, ConnectionRefusedError):
                return
        finally:
            self.probing.discard((record.instance_id, record.started_at_ms))
        self.log.write(
            "target_crashed",
            target=record.instance_id,
            born_ms=record.started_at_ms,
            suspects=len(digests),
        )
        report = messages.CrashReport(
            target=record.instance_id,
            born_ms=record.started_at_ms,
            digests=digests,
        )
        self.handle_report(report)
        self.broadcast(report)

    def handle_report(self, report: messages.CrashReport) -> None:
        """Count a crash; reports that come twice count once."""
        for suspect in self.table.report(
            report.target, str(report.born_ms), report.digests, self.now
        ):
            if suspect.quarantined_until:
                self.log.write(
                    "request_quarantined",
                    digest=suspect.digest,
                    crashes=suspect.crashes,
                )

    def report_success(self, digest: ids.ContentDigest) -> None:
        """Clear a suspect that ran well."""
        if self.table.clear([digest]):
            self.broadcast(messages.CrashCleared(digest=digest))

    def handle_cleared(self, message: messages.CrashCleared) -> None:
        """Clear a suspect that ran well elsewhere."""
        self.table.clear([message.digest])

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Tell all entries, by way of every control member."""
        for peer in self.control.links():
            peer.send(message)

    def expire(self) -> None:
        """Forget what is old."""
        self.table.expire(self.now)
