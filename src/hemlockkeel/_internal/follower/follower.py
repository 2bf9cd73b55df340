"""Registers an entry or agent, renews its lease and updates its view."""

import dataclasses
import enum
import threading
import uuid

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.follower import catalog
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.models import members
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import supervision

# Of one registration or heartbeat, with retries.
CALL_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.1
DEFAULT_HEARTBEAT_INTERVAL_S = 0.5
# Fault codes of the control leader.
SUPERSEDED = "superseded"
UNREGISTERED = "unregistered"


class FollowerState(enum.Enum):
    """Whether this process may accept new requests; only READY permits it.

    LEASE_LOST ends with the next heartbeat that succeeds. SUPERSEDED is
    final: a later process registered under the same member id.
    """

    JOINING = "joining"
    READY = "ready"
    LEASE_LOST = "lease_lost"
    LEAVING = "leaving"
    SUPERSEDED = "superseded"


@dataclasses.dataclass
class Lease:
    """The lease of this process."""

    # On the monotonic clock of this process, in seconds.
    expires_at: float = 0.0


class Follower:
    """Sends heartbeats to the control leader on a thread of its own.

    A heartbeat renews the lease and returns the changes of the view.
    """

    def __init__(
        self,
        description: members.Description,
        control: control_client.ControlClient,
        time_source: clock.Clock,
    ) -> None:
        self.description = msgspec.structs.replace(
            description, start_nonce=uuid.uuid4().hex
        )
        self.control = control
        self.clock = time_source
        self.catalog = catalog.Catalog(description.site)
        self.lease = Lease()
        self.incarnation = 0
        self.leaving = False
        self.superseded = False
        self.heartbeat_interval_s = DEFAULT_HEARTBEAT_INTERVAL_S
        self.wake_event = threading.Event()
        # When the last heartbeat that was answered had been sent, on the
        # monotonic clock.
        self.renewal_sent_at = float("-inf")
        self.renewed = threading.Condition()
        self.stopping = threading.Event()
        self.logged_state = FollowerState.JOINING
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run, self.stopping),
            name="follower",
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self.stopping.set()
        self.wake_event.set()
        if self.thread.is_alive():
            self.thread.join(3.0)

    def leave(self) -> None:
        """Announce at once that this process accepts no new work."""
        self.leaving = True
        self.wake_event.set()

    def refresh(self, timeout_s: float) -> bool:
        """Wait until the view has all that is committed now.

        Returns False if that took longer than ``timeout_s``.
        """
        asked_at = self.clock.monotonic()
        self.wake_event.set()
        with self.renewed:
            return self.renewed.wait_for(
                lambda: self.renewal_sent_at >= asked_at, timeout_s
            )

    def get_state(self) -> FollowerState:
        """Return whether this process may accept new requests now."""
        if self.superseded:
            return FollowerState.SUPERSEDED
        if self.leaving:
            return FollowerState.LEAVING
        if self.incarnation == 0:
            return FollowerState.JOINING
        if self.clock.monotonic() >= self.lease.expires_at:
            return FollowerState.LEASE_LOST
        return FollowerState.READY

    def run(self) -> None:
        """Register, then renew the lease until stopped or superseded."""
        while not self.stopping.is_set() and not self.superseded:
            pause = self.heartbeat_interval_s if self.step() else RETRY_DELAY_S
            self.log_state_change()
            self.wake_event.wait(pause)
            self.wake_event.clear()

    def step(self) -> bool:
        """Send a heartbeat, after registering if necessary.

        Returns whether the lease was renewed.
        """
        try:
            if self.incarnation == 0:
                self.register()
            return self.renew()
        except exceptions.ControlUnavailableError:
            return False
        except ttypes.RpcFault as fault:
            self.handle_rejection(fault)
            return False

    def register(self) -> None:
        """Register this process and store its incarnation.

        :raises ControlUnavailableError: when no leader answers in time.
        :raises RpcFault: when the leader refuses the call.
        """
        outcome = self.control.propose(
            commands.RegisterMember(description=self.description),
            CALL_TIMEOUT_S,
        )
        exceptions.require(
            outcome.incarnation > self.incarnation,
            "incarnation did not increase",
        )
        self.incarnation = outcome.incarnation

    def renew(self) -> bool:
        """Send a heartbeat, apply the returned changes and renew the lease.

        :raises ControlUnavailableError: when no leader answers in time.
        :raises RpcFault: when the leader refuses the call.
        """
        sent_at = self.clock.monotonic()
        reply: ttypes.HeartbeatReply = self.control.call(
            "heartbeat",
            ttypes.Heartbeat(
                member_id=self.description.member_id,
                incarnation=self.incarnation,
                description=msgspec.msgpack.encode(self.description),
                view_version=self.catalog.version,
                leaving=self.leaving,
            ),
            CALL_TIMEOUT_S,
        )
        if reply.delta is not None:
            self.catalog.apply(reply.delta)
            self.control.update_addresses(
                self.catalog.control_addresses.values()
            )
            # Confirm the new version to the leader without waiting for the
            # heartbeat interval.
            self.wake_event.set()
        # Counted from when the heartbeat was sent, so that the lease expires
        # here before it does on the leader.
        self.lease.expires_at = sent_at + reply.lease_ms / 1000.0
        self.heartbeat_interval_s = reply.interval_ms / 1000.0
        with self.renewed:
            self.renewal_sent_at = sent_at
            self.renewed.notify_all()
        return True

    def handle_rejection(self, fault: ttypes.RpcFault) -> None:
        """Handle a fault by which the leader refused a call.

        An unregistered process registers again; a superseded one gives up.
        Other faults are left to the next attempt.
        """
        if fault.code == UNREGISTERED:
            self.description = msgspec.structs.replace(
                self.description, start_nonce=uuid.uuid4().hex
            )
            self.incarnation = 0
            return
        if fault.code == SUPERSEDED:
            self.superseded = True
            logs.log_error(
                "member_superseded",
                member=self.description.member_id,
                reason=fault.message,
            )

    def log_state_change(self) -> None:
        """Log the state if it differs from the one logged last."""
        state = self.get_state()
        if state is self.logged_state:
            return
        logs.log_event(
            "member_follow",
            member=self.description.member_id,
            state=state.value,
            version=self.catalog.version,
        )
        self.logged_state = state
