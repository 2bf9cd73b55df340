"""Detects crashes of targets and quarantines the requests to blame for them.

A target has crashed if it accepts no connection after a response has broken
off or while it is silent, or if a later incarnation announces itself in its
place. Every entry is then told which requests were in progress there or had
just been lost. A crash that only a probe has found is withdrawn if the target
goes on to announce itself: it was cut off from this entry.
Requests with a trait that is to blame for crashes are refused for a while.
"""

import asyncio
import collections.abc
import enum
import random

from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import traits as traits_module
from hemlockkeel._internal.links import crash_reports
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import request_memory
from hemlockkeel._internal.relay import suspects
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import instruments

MAX_LOGGED_TRAITS = 8
# How long a retry waits for the probe of the target that lost the response: a
# refused connection is reported within the time of a round trip.
PROBE_WAIT_S = 0.05
# Announcements may arrive this late, so that one that is received sooner after
# a crash does not show that the target still runs.
ANNOUNCEMENT_DELAY_S = 3.0
# What is read of a stream may have been written this long ago.
MAX_READ_DELAY_S = 1.0
# Time in which the entries report a crash. The first of their reports may
# blame a request that the others do not.
REPORT_SPREAD_S = 0.25


class ProbeOutcome(enum.Enum):
    """What became of a new connection to a target.

    The values appear in logs and metrics.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class CrashMonitor:
    """Reports crashes of targets and tracks suspected requests."""

    def __init__(
        self,
        control: dialer.DialerSet,
        log: event_log.EventLog,
        metrics: instruments.Instruments,
        rng: random.Random,
    ) -> None:
        self.control = control
        self.log = log
        self.instruments = metrics
        self.ledger = crash_ledger.CrashLedger()
        self.probes: dict[records.IncarnationKey, asyncio.Task[None]] = {}
        self.memory = request_memory.RequestMemory(rng)
        self.suspects = suspects.Suspects(self.ledger, self.memory, log)
        self.quarantined: frozenset[ids.Trait] = frozenset()

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def record_lost(
        self,
        target: target_module.Target,
        request: traits_module.RequestTraits,
        by_target: bool,
    ) -> None:
        """Record a request that was sent but got no complete response.

        ``by_target`` tells whether the target broke it off or has been silent
        since; otherwise the caller left while the target was responding.
        """
        target.record_lost(request, self.now)
        if not by_target:
            return
        if target.record.state is not records.TargetState.READY:
            return
        for trait in request.all:
            if traits_module.is_shared(trait) and self.memory.has_completed(
                trait, self.now
            ):
                continue
            self.memory.record_loss(trait, self.now)

    def start_probe(self, target: target_module.Target) -> None:
        """Start a probe of a target whose responses broke off or stall.

        One probe runs for each target incarnation.
        """
        key = target.incarnation_key
        if key in self.probes:
            return
        target.probed_at = self.now
        task = asyncio.get_running_loop().create_task(self.probe(target))
        self.probes[key] = task
        task.add_done_callback(lambda _: self.probes.pop(key, None))

    async def wait_for_probe(self, target: target_module.Target) -> None:
        """Wait for the outcome of a target's probe, if one runs."""
        task = self.probes.get(target.incarnation_key)
        if task is not None:
            await asyncio.wait([task], timeout=PROBE_WAIT_S)

    def probe_silent_targets(
        self, targets: collections.abc.Iterable[target_module.Target]
    ) -> None:
        """Probe targets that owe responses but have sent no data for long."""
        for target in targets:
            if target.is_silent(self.now):
                self.start_probe(target)

    async def probe(self, target: target_module.Target) -> None:
        """Report a crash if the target accepts no new connection."""
        outcome = await probe_target(target.record.address)
        unanswered = target.list_unanswered(self.now)
        self.instruments.target_probes.labels(outcome.value).inc()
        self.log.write(
            "target_probed",
            target=target.record.instance_id,
            born_ms=target.record.started_at_ms,
            outcome=outcome.value,
            suspects=unanswered[:MAX_LOGGED_TRAITS],
            suspect_count=len(unanswered),
        )
        if outcome is ProbeOutcome.ACCEPTED or not unanswered:
            return
        if target.record.state is records.TargetState.READY:
            # The end of a target that leaves is planned.
            self.report_crash(target.record, unanswered, outcome.value)

    def handle_announcement(
        self, target: target_module.Target, heard_at: float
    ) -> None:
        """Withdraw the crash of a target that still announces itself."""
        self.confirm_completed(
            target, float("-inf"), heard_at - ANNOUNCEMENT_DELAY_S
        )
        key = target.incarnation_key
        crash = self.ledger.crashes.get(key)
        if crash is None or target.replaced:
            return
        if heard_at < crash.at + ANNOUNCEMENT_DELAY_S:
            return
        if self.ledger.withdraw(key, self.now):
            self.log.write(
                "crash_withdrawn",
                target=key.target,
                born_ms=key.started_at_ms,
                sequence=target.record.sequence,
            )
            self.apply_quarantines()

    def handle_replaced(self, target: target_module.Target) -> None:
        """Report the crash of a target that has been replaced.

        Whatever a probe found, its end is certain now.
        """
        self.ledger.reinstate(target.incarnation_key)
        self.apply_quarantines()
        unanswered = target.list_unanswered(self.now)
        if unanswered:
            self.report_crash(target.record, unanswered, "replaced")

    def report_crash(
        self,
        record: records.TargetRecord,
        unanswered: collections.abc.Sequence[ids.Trait],
        evidence: str,
    ) -> None:
        """Count a crash and report it to all entries."""
        self.instruments.events.labels("target_crashed").inc()
        self.log.write(
            "target_crashed",
            target=record.instance_id,
            born_ms=record.started_at_ms,
            evidence=evidence,
            suspects=len(unanswered),
        )
        report = messages.CrashReport(
            target=record.instance_id,
            started_at_ms=record.started_at_ms,
            digests=list(unanswered),
            established=self.list_established(unanswered),
        )
        self.handle_report(report)
        self.broadcast(report)

    def list_established(
        self, traits: collections.abc.Iterable[ids.Trait]
    ) -> list[str]:
        """Return the shared traits that are probably harmless.

        Requests with them have completed, or are common.
        """
        return [
            trait
            for trait in traits
            if traits_module.is_shared(trait)
            and (
                self.memory.has_completed(trait, self.now)
                or self.memory.is_common(trait)
            )
        ]

    def handle_report(self, report: messages.CrashReport) -> None:
        """Add a crash; what is known already changes nothing."""
        added = crash_reports.merge_report(self.ledger, report, self.now)
        for trait in added:
            self.memory.record_crash(trait, self.now)
        self.ledger.establish(map(ids.Trait, self.list_established(added)))
        for trait in sorted(added):
            if trait in self.ledger.established:
                continue
            if self.memory.has_completed(trait, self.now):
                self.clear_suspicion(trait)
                continue
            self.suspects.log_suspicion("request_suspected", trait)
        self.apply_quarantines()

    def apply_quarantines(self) -> None:
        """Put a change of the blame into force."""
        found = self.ledger.get_blame()
        blamed = found.blamed
        self.memory.track_trials(blamed | found.contested, self.now)
        for trait in sorted(blamed - self.quarantined):
            self.instruments.events.labels("request_quarantined").inc()
            self.suspects.log_suspicion("request_quarantined", trait)
            asyncio.get_running_loop().call_later(
                REPORT_SPREAD_S, self.abort_if_blamed, trait
            )
        for trait in sorted(self.quarantined - blamed):
            self.suspects.log_suspicion("quarantine_ended", trait)
        self.quarantined = blamed

    def abort_if_blamed(self, trait: ids.Trait) -> None:
        """Abort requests with a trait that is still blamed."""
        if trait in self.quarantined:
            self.suspects.abort_copies(trait)

    def send_all(self, peer: link.Link) -> None:
        """Report all crashes to a control member that has connected.

        It may have restarted, or the link may have been down when they were
        noticed.
        """
        for report in crash_reports.list_reports(self.ledger, self.now):
            peer.send(report)

    def report_success(self, request: traits_module.RequestTraits) -> None:
        """Record that a request completed, and clear its traits."""
        for trait in request.all:
            self.memory.record_completed(trait, self.now)
            if self.ledger.get_suspicion(trait):
                self.clear_suspicion(trait)

    def confirm_completed(
        self,
        target: target_module.Target,
        began_at: float,
        alive_at: float,
    ) -> None:
        """Record the responses that a target has completed for certain.

        The same process of it ran at both loop times. That something is read
        of it says so only of the time at which it was written.
        """
        for request in target.confirm(began_at, alive_at):
            self.report_success(request)

    def clear_suspicion(self, trait: ids.Trait) -> None:
        """Clear a trait of a request that has completed, at all entries."""
        self.ledger.clear(trait)
        self.log.write("suspicion_cleared", digest=trait)
        self.broadcast(messages.CrashCleared(digest=trait))
        self.apply_quarantines()

    def handle_new_versions(self, message: messages.VersionsUpdate) -> None:
        """Clear adapters that have a new version, which may be sound."""
        for model, adapter, _ in message.versions:
            trait = traits_module.make_adapter(model, adapter)
            if self.ledger.get_suspicion(trait):
                self.clear_suspicion(trait)

    def handle_cleared(self, message: messages.CrashCleared) -> None:
        """Clear a trait of a request that completed at another entry."""
        trait = ids.Trait(message.digest)
        self.memory.record_completed(trait, self.now)
        if self.ledger.clear(trait):
            self.log.write("suspicion_cleared", digest=trait)
            self.apply_quarantines()

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to all entries through every control member."""
        for peer in self.control.list_links():
            peer.send(message)

    def expire(self) -> None:
        """Drop old crashes."""
        self.ledger.expire(self.now)
        self.apply_quarantines()


async def probe_target(address: str) -> ProbeOutcome:
    """Open a connection to a target and close it."""
    try:
        connection = await exchange.connect(address)
    except exchange.ConnectFailedError as error:
        if isinstance(error.__cause__, ConnectionRefusedError):
            return ProbeOutcome.REFUSED
        return ProbeOutcome.UNREACHABLE
    connection.abort()
    return ProbeOutcome.ACCEPTED
