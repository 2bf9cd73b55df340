"""Proofs that the configuration of an entry is the newest.

The entry asks one control member at a time, which asks the leader. The answer
holds for the moment at which the entry sent its call: a configuration that was
acknowledged before has no higher version. What was acknowledged while the
answer was under way is covered by the age of the proof only.
"""

import asyncio
import contextlib
import math
import random

from hemlockkeel._internal.links import configurations
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import authentication
from hemlockkeel._internal.utils import clock as clock_module
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import instruments
from hemlockkeel._internal.utils import supervision

POLL_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.5
# Time after a call that failed at once until another member is asked.
RETRY_INTERVAL_S = 0.25
# Shortest time between calls, however many unknown keys arrive.
MIN_INTERVAL_S = 0.1
# Time for which a request with an unknown key waits for a proof.
CONFIRM_TIMEOUT_S = 0.5
# Time in which a configuration usually arrives after its version is known.
FETCH_DELAY_S = 0.2
# Versions that are known and not in force; more are never outstanding unless
# none can be decoded.
MAX_OUTSTANDING = 16


class NewestVersion:
    """When the version in force was the newest, by the proofs so far."""

    def __init__(self) -> None:
        # Version of the configuration in force; 0 for none.
        self.version = 0
        # Send time of the newest call that proves it.
        self.proven_at = -math.inf
        # The same for versions that are not in force yet.
        self.outstanding: dict[int, float] = {}

    def record_proof(self, version: int, sent_at: float) -> None:
        """Record that ``version`` was the newest when a call was sent."""
        if version <= self.version:
            self.proven_at = max(self.proven_at, sent_at)
            return
        known = self.outstanding.get(version, -math.inf)
        self.outstanding[version] = max(known, sent_at)
        if len(self.outstanding) > MAX_OUTSTANDING:
            del self.outstanding[min(self.outstanding)]

    def record_version(self, version: int) -> None:
        """Record the version that is in force from now on."""
        self.version = max(self.version, version)
        for proven in [v for v in self.outstanding if v <= self.version]:
            sent_at = self.outstanding.pop(proven)
            self.proven_at = max(self.proven_at, sent_at)


class VersionProofs:
    """Asks control members for proofs and keeps the newest one."""

    def __init__(
        self,
        control: dialer.DialerSet,
        receiver: configurations.ConfigurationReceiver,
        log: event_log.EventLog,
        metrics: instruments.Instruments,
        clock: clock_module.Clock,
        revoke_s: float,
        rng: random.Random,
    ) -> None:
        self.control = control
        self.receiver = receiver
        self.log = log
        self.instruments = metrics
        # Counts the time for which the process or its machine is suspended.
        self.clock = clock
        self.revoke_s = revoke_s
        self.rng = rng
        self.newest = NewestVersion()
        # Address of the member that is asked; empty before the first call.
        self.member = ""
        # Highest version that was fetched because it had not arrived.
        self.fetched_version = 0
        # Whether keys were allowed when it was last looked at; None before.
        self.was_allowed: bool | None = None
        self.wake_event = asyncio.Event()
        # Set, and replaced, with each proof of the version in force.
        self.renewed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to ask control members, in the running event loop."""
        self.task = asyncio.get_running_loop().create_task(
            supervision.keep_running(self.run, self.log)
        )

    def stop(self) -> None:
        """Ask no more."""
        if self.task is not None:
            self.task.cancel()

    # What the entry decides by

    def get_age(self) -> authentication.ProofAge:
        """Return the age of the newest proof of the version in force."""
        age_s = self.clock.monotonic() - self.newest.proven_at
        return authentication.ProofAge(age_s, self.revoke_s)

    def is_recent(self) -> bool:
        """Return whether callers with keys may be sent to this entry."""
        return self.get_age().is_recent

    async def wait_until_confirmed(self) -> None:
        """Wait until unknown keys can be refused, for a limited time."""
        self.wake()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                while not self.get_age().refutes_unknown_keys:
                    await self.renewed.wait()

    # What the entry learns

    def wake(self) -> None:
        """Ask at once instead of at the end of the interval."""
        self.wake_event.set()

    def handle_version(self, version: int) -> None:
        """Handle a configuration that has been put into force."""
        self.newest.record_version(version)
        self.handle_change()

    def record_proof(self, version: int, sent_at: float) -> None:
        """Handle a proof whose call was sent at a time of the clock."""
        self.newest.record_proof(version, sent_at)
        self.handle_change()

    def handle_change(self) -> None:
        """Let waiting requests look at the proof; log changes of state."""
        self.renewed.set()
        self.renewed = asyncio.Event()
        age = self.get_age()
        if age.allows_keys is self.was_allowed:
            return
        self.was_allowed = age.allows_keys
        event = "key_proof_renewed" if age.allows_keys else "key_proof_stale"
        self.instruments.events.labels(event).inc()
        self.log.write(
            event,
            age=None if math.isinf(age.age_s) else round(age.age_s, 3),
            version=self.newest.version,
            awaited=max(self.newest.outstanding, default=0),
            member=self.member,
        )

    # Calls

    async def run(self) -> None:
        """Ask for a proof in each interval, until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            begun_at = loop.time()
            self.wake_event.clear()
            succeeded = await self.request_proof()
            self.handle_change()
            elapsed_s = loop.time() - begun_at
            await asyncio.sleep(max(0.0, MIN_INTERVAL_S - elapsed_s))
            interval_s = POLL_INTERVAL_S if succeeded else RETRY_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(begun_at + interval_s):
                    await self.wake_event.wait()

    async def request_proof(self) -> bool:
        """Ask one member; return whether it gave a proof.

        After a failure, the next call goes to another member.
        """
        members = self.control.list_capable(messages.PROOF_PROTOCOL)
        if self.member not in members:
            self.member = self.choose_member(members)
        peer = members.get(self.member)
        if peer is None:
            return False
        sent_at = self.clock.monotonic()
        reason = "no leader"
        try:
            reply = await peer.call(messages.ConfirmVersion(), CALL_TIMEOUT_S)
            if isinstance(reply, messages.VersionProof) and reply.done:
                self.record_proof(reply.version, sent_at)
                self.fetch_later(peer, reply.version)
                return True
        except (link.LinkClosedError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
        self.instruments.events.labels("key_proof_call_failed").inc()
        self.log.write(
            "key_proof_call_failed", peer=self.member, reason=reason
        )
        self.member = self.choose_member(members)
        return False

    def choose_member(self, members: dict[str, link.Link]) -> str:
        """Return a member at random, not the present one if there is another.

        The entries choose separately, so that all members have equal load.
        """
        others = sorted(set(members) - {self.member})
        return self.rng.choice(others) if others else self.member

    def fetch_later(self, peer: link.Link, version: int) -> None:
        """Fetch a version that does not arrive by itself, once."""
        if version <= max(self.newest.version, self.fetched_version):
            return
        self.fetched_version = version
        asyncio.get_running_loop().call_later(
            FETCH_DELAY_S, self.receiver.fetch, peer, version
        )
