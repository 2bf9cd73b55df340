"""Keeps connections to targets open, whose end shows that a process ended."""

import asyncio
import collections.abc

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import process_identity
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import supervision

# Connections to each target. Targets close idle ones: with two that were
# opened at different times, one is left.
CONNECTIONS = 2
# Least time between the openings of two connections to a target.
OPENING_INTERVAL_S = 0.4
# The same while the target does not accept any, and in addition if it closes
# them at once.
RETRY_INTERVAL_S = 0.3
CLOSED_INTERVAL_S = 2.0


class ConnectionWatch:
    """Keeps connections to one target open, without sending anything.

    Starts connecting when it is created, in the running event loop.
    """

    def __init__(
        self, record: records.TargetRecord, log: event_log.EventLog
    ) -> None:
        self.address = record.address
        self.identity = process_identity.ProcessIdentity(record.started_at_ms)
        self.connections: set[channel.Channel] = set()
        self.changed = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(
            supervision.keep_running(self.run, log)
        )

    async def run(self) -> None:
        """Open connections until the task is cancelled."""
        while True:
            if await self.open_connection():
                await asyncio.sleep(OPENING_INTERVAL_S)
                if not self.connections:
                    await asyncio.sleep(CLOSED_INTERVAL_S)
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
            while len(self.connections) >= CONNECTIONS:
                self.changed.clear()
                await self.changed.wait()

    async def open_connection(self) -> bool:
        """Open a connection; return whether that worked."""
        try:
            opened = await exchange.open_channel(self.address)
        except exchange.ConnectFailedError:
            # Requests to the target log that it cannot be reached.
            return False
        if opened.ended:
            opened.abort()
            return False
        opened.on_end = lambda: self.handle_end(opened)
        self.connections.add(opened)
        self.identity.handle_connected(asyncio.get_running_loop().time())
        return True

    def handle_end(self, ended: channel.Channel) -> None:
        """Remove a connection that has ended."""
        ended.abort()
        self.connections.discard(ended)
        self.identity.handle_closed()
        self.changed.set()

    def close_connections(self) -> None:
        """Close the connections; others replace them."""
        for each in self.connections:
            each.on_end = None
            each.abort()
        self.connections.clear()
        self.identity.handle_given_up()
        self.changed.set()

    def stop(self) -> None:
        """Close the connections for good."""
        self.task.cancel()
        self.close_connections()


class ConnectionWatches:
    """The watches of one entry, of those targets that it has to identify."""

    def __init__(self, log: event_log.EventLog) -> None:
        self.log = log
        self.watches: dict[records.InstanceId, ConnectionWatch] = {}

    def update(
        self,
        targets: collections.abc.Collection[target_module.Target],
        services: collections.abc.Set[records.ServiceName],
    ) -> None:
        """Watch the targets of some services, and no others.

        Engines are left out: their agents tell which process runs.
        """
        wanted = {
            target.record.instance_id: target
            for target in targets
            if target.record.service in services
            and target.engine is None
            and target.record.state is not records.TargetState.GONE
        }
        for instance_id, watch in list(self.watches.items()):
            target = wanted.get(instance_id)
            if target is None or target.record.address != watch.address:
                del self.watches[instance_id]
                watch.stop()
        for target in targets:
            instance_id = target.record.instance_id
            if instance_id in wanted and instance_id not in self.watches:
                self.add(target)
            known = self.watches.get(instance_id)
            target.identity = known.identity if known else None

    def add(self, target: target_module.Target) -> None:
        """Watch a target at its present address."""
        watch = ConnectionWatch(target.record, self.log)
        self.watches[target.record.instance_id] = watch
        target.identity = watch.identity

    def handle_announcement(
        self, target: target_module.Target, heard_at: float
    ) -> None:
        """Identify a target's process by its announcement, if possible."""
        record = target.record
        watch = self.watches.get(record.instance_id)
        if watch is None:
            return
        if watch.address != record.address:
            watch.stop()
            self.add(target)
            return
        before = watch.identity.confirmed
        if watch.identity.handle_announcement(record.started_at_ms, heard_at):
            watch.close_connections()
        if watch.identity.confirmed and not before:
            self.log.write(
                "target_identified",
                target=record.instance_id,
                born_ms=record.started_at_ms,
                software=record.software_version,
            )

    def stop(self) -> None:
        """Stop all watches."""
        for watch in self.watches.values():
            watch.stop()
        self.watches.clear()
