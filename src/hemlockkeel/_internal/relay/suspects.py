"""Whether requests that may crash targets are sent on, and where to.

Combines what an entry knows of crashes with its requests in progress; the
rules themselves are in `blame` and `suspect_admission`.
"""

import asyncio
import collections.abc

from hemlockkeel._internal.discovery import blame
from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import traits as traits_module
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import request_memory
from hemlockkeel._internal.relay import suspect_admission
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.utils import event_log


class Suspects:
    """The suspected traits at an entry, and its requests that have them."""

    def __init__(
        self,
        ledger: crash_ledger.CrashLedger,
        memory: request_memory.RequestMemory,
        log: event_log.EventLog,
    ) -> None:
        self.ledger = ledger
        self.memory = memory
        self.log = log
        # Connections on which requests are in progress, by their traits.
        self.copies: dict[ids.Trait, set[exchange.TargetConnection]] = {}

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def find_hold(
        self, request: traits_module.RequestTraits
    ) -> suspect_admission.Hold | None:
        """Return why a request must not be sent on now; None if it may be."""
        reasons = self.ledger.get_blame().find_reasons(request)
        if reasons and not self.is_trial_due(reasons, request):
            return suspect_admission.QUARANTINED
        holds = (
            self.find_trait_hold(trait, request)
            for trait in request.all
            if trait not in reasons
        )
        return next((hold for hold in holds if hold is not None), None)

    def is_trial_due(
        self,
        reasons: collections.abc.Set[ids.Trait],
        request: traits_module.RequestTraits,
    ) -> bool:
        """Return whether a request with blamed traits is sent as a trial.

        ``reasons`` are these. A content that is blamed is not tried, and the
        request must have nothing else that could crash the target.
        """
        blamed = self.ledger.get_blame().blamed
        for trait in reasons:
            if self.copies.get(trait):
                return False
            if trait in blamed and not traits_module.is_shared(trait):
                return False
        if any(
            self.get_actionable_suspicion(trait)
            for trait in request.shared
            if trait not in reasons
        ):
            return False
        ambiguous = self.has_other_reason(reasons, request)
        return all(
            self.now >= self.get_next_trial_at(trait, ambiguous)
            for trait in reasons
        )

    def has_other_reason(
        self,
        reasons: collections.abc.Set[ids.Trait],
        request: traits_module.RequestTraits,
    ) -> bool:
        """Return whether a crash would not tell what a request's reason is.

        This is so if it has several blamed traits, or another shared one that
        was at several crashes, even if those are explained.
        """
        return len(reasons) > 1 or any(
            trait in self.ledger.repeated
            for trait in request.shared
            if trait not in reasons
        )

    def get_next_trial_at(self, trait: ids.Trait, ambiguous: bool) -> float:
        """Return the loop time at which a blamed trait may be tried.

        ``ambiguous`` tells whether the request has other possible reasons.
        """
        crashes = self.ledger.list_crashes(trait)
        trials = self.memory.get_trials(trait)
        delay_s = suspect_admission.get_retrial_delay_s(
            self.memory.get_trial_delay_s(trait, len(crashes)),
            trials.failed,
            ambiguous,
        )
        # That a target has crashed may not be known yet.
        return max(trials.sent_at, *(each.at for each in crashes)) + delay_s

    def get_actionable_suspicion(
        self, trait: ids.Trait
    ) -> crash_ledger.Suspicion:
        """Return how strongly a trait is suspected, as far as that matters.

        Sound requests may have a suspected shared trait, too, so that it
        matters only once the next crash may decide about it.
        """
        suspicion = self.ledger.get_suspicion(trait)
        if suspicion is not crash_ledger.Suspicion.SUSPECTED:
            return suspicion
        if not traits_module.is_shared(trait):
            return suspicion
        crashes = len(self.ledger.list_crashes(trait))
        if trait in self.ledger.established or (
            crashes < blame.REPEATED_CRASHES
        ):
            return crash_ledger.Suspicion.NONE
        return suspicion

    def find_trait_hold(
        self, trait: ids.Trait, request: traits_module.RequestTraits
    ) -> suspect_admission.Hold | None:
        """Return why requests with a trait must not be sent on now."""
        suspicion = self.get_actionable_suspicion(trait)
        losses = self.memory.get_losses(trait)
        if suspicion is crash_ledger.Suspicion.NONE and not losses:
            return None
        crashes = self.ledger.list_crashes(trait)
        state = suspect_admission.SuspectState(
            suspicion,
            max((crash.at for crash in crashes), default=0.0),
            len(self.copies.get(trait, ())),
            any(
                self.ledger.get_suspicion(other)
                is crash_ledger.Suspicion.CONTESTED
                for other in self.copies
                if other not in request.all
            ),
            losses,
        )
        delay_s = self.memory.get_trial_delay_s(trait, len(crashes))
        return suspect_admission.find_hold(state, delay_s, self.now)

    def is_watched(self, trait: ids.Trait) -> bool:
        """Return whether requests with a trait should run apart from others.

        Not those with a shared trait that is probably harmless.
        """
        if trait in self.ledger.established:
            return False
        return bool(self.ledger.get_suspicion(trait))

    def find_shared_targets(
        self,
        request: traits_module.RequestTraits,
        targets: collections.abc.Iterable[target_module.Target],
    ) -> set[records.InstanceId]:
        """Return the targets at which a request would be beside a suspect.

        This is empty for a request that is not suspected itself.
        """
        if not any(self.is_watched(trait) for trait in request.all):
            return set()
        return {
            target.record.instance_id
            for target in targets
            if any(
                self.is_watched(other)
                for other in target.traits
                if other not in request.all
            )
        }

    def must_be_separate(self, request: traits_module.RequestTraits) -> bool:
        """Return whether the next crash decides about a request's content.

        It then runs only where no other suspect does, so that a harmless one
        does not share all crashes of the one to blame.
        """
        crashes = len(self.ledger.list_crashes(request.content))
        return crashes >= blame.REPEATED_CRASHES

    def add_copy(
        self,
        request: traits_module.RequestTraits,
        connection: exchange.TargetConnection,
    ) -> None:
        """Record that a request is in progress on a connection."""
        for trait in request.all:
            self.copies.setdefault(trait, set()).add(connection)
        for trait in self.ledger.get_blame().find_reasons(request):
            self.memory.record_trial(trait, self.now)
            self.log_suspicion("suspect_tried", trait)

    def remove_copy(
        self,
        request: traits_module.RequestTraits,
        connection: exchange.TargetConnection,
    ) -> None:
        """Record the end of an exchange."""
        for trait in request.all:
            copies = self.copies[trait]
            copies.discard(connection)
            if not copies:
                del self.copies[trait]

    def abort_copies(self, trait: ids.Trait) -> None:
        """Abort requests with a trait that no target has begun to answer.

        A target may have queued them, and drops them if the connection
        closes.
        """
        for connection in self.copies.get(trait, ()):
            if not connection.answering:
                connection.abort()

    def log_suspicion(self, event: str, trait: ids.Trait) -> None:
        """Log how strongly a trait is suspected, and of which crashes."""
        crashes = self.ledger.list_crashes(trait)
        self.log.write(
            event,
            digest=trait,
            suspicion=self.ledger.get_suspicion(trait).name.lower(),
            crashes=[
                f"{crash.key.target}/{crash.key.started_at_ms}"
                for crash in crashes
            ],
            beside=[len(crash.traits) - 1 for crash in crashes],
        )
