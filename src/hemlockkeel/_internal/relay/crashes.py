"""Detects and quarantines requests that crash the targets that run them.

When a response breaks off, the entry checks whether the target still accepts
connections. If not, every entry is told that the requests in progress there
are suspected; one that was in progress when three targets crashed is refused
for a while.
"""

import asyncio

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import target_registry as registry_module
from hemlockkeel._internal.state import suspects
from hemlockkeel._internal.utils import event_log

# Crashes of targets after which a request is refused. With fewer, a request
# that was in progress at two crashes by chance would be refused.
QUARANTINE_CRASHES = 3


class CrashMonitor:
    """Reports crashes of targets and tracks suspected requests."""

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
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def is_quarantined(self, digest: ids.ContentDigest) -> bool:
        """Return whether requests with this content are refused for now."""
        return self.table.is_quarantined(digest, self.now)

    def start_probe(
        self, target: registry_module.Target, digests: list[ids.ContentDigest]
    ) -> None:
        """Start a probe of a target whose response broke off.

        ``digests`` are those of this entry's requests at the target. One
        probe runs for each target incarnation.
        """
        incarnation = (target.record.instance_id, target.record.started_at_ms)
        if incarnation in self.probing:
            return
        self.probing.add(incarnation)
        task = asyncio.get_running_loop().create_task(
            self.probe(target, [str(digest) for digest in digests])
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(
        self, target: registry_module.Target, digests: list[str]
    ) -> None:
        """Report a crash if the target refuses a new connection."""
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
            started_at_ms=record.started_at_ms,
            digests=digests,
        )
        self.handle_report(report)
        self.broadcast(report)

    def handle_report(self, report: messages.CrashReport) -> None:
        """Count a crash; repeated reports count once."""
        for suspect in self.table.report(
            report.target, str(report.started_at_ms), report.digests, self.now
        ):
            if suspect.quarantined_until:
                self.log.write(
                    "request_quarantined",
                    digest=suspect.digest,
                    crashes=suspect.crashes,
                )

    def report_success(self, digest: ids.ContentDigest) -> None:
        """Clear the suspicion of a request that completed, at all entries."""
        if self.table.clear([digest]):
            self.broadcast(messages.CrashCleared(digest=digest))

    def handle_cleared(self, message: messages.CrashCleared) -> None:
        """Clear a request that completed at another entry."""
        self.table.clear([message.digest])

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to all entries through every control member."""
        for peer in self.control.list_links():
            peer.send(message)

    def expire(self) -> None:
        """Remove outdated suspicions and quarantines."""
        self.table.expire(self.now)
