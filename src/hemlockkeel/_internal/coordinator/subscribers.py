"""Publishes changes to entries and agents."""

import collections
import collections.abc
import typing
import zlib

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.utils import event_log

_Item = typing.TypeVar("_Item")


def make_configuration_update(
    state: catalogue.CatalogueState,
) -> messages.ConfigurationUpdate:
    """Return the message that sends a configuration to subscribers."""
    return messages.ConfigurationUpdate(
        version=state.version, compressed_body=zlib.compress(state.body)
    )


def make_records_update(
    announced: list[tuple[records.TargetRecord, float]], now: float
) -> messages.RecordsUpdate:
    """Return the message with records and the times since they were heard."""
    return messages.RecordsUpdate(
        records=[record for record, _ in announced],
        ages_s=[now - heard_at for _, heard_at in announced],
    )


def encode_records(
    update: messages.RecordsUpdate,
) -> collections.abc.Iterator[bytes]:
    """Yield an update in frames that are no longer than links take."""
    return encode_parts(
        list(zip(update.records, update.ages_s, strict=True)),
        lambda part: messages.RecordsUpdate(
            records=[record for record, _ in part],
            ages_s=[age_s for _, age_s in part],
        ),
    )


def encode_versions(
    versions: list[tuple[str, str, int]],
) -> collections.abc.Iterator[bytes]:
    """Yield adapter versions in frames that are no longer than links take."""
    return encode_parts(
        versions, lambda part: messages.VersionsUpdate(versions=part)
    )


def encode_parts(
    items: list[_Item],
    make_message: collections.abc.Callable[[list[_Item]], messages.AnyMessage],
) -> collections.abc.Iterator[bytes]:
    """Yield the frames of as few messages as links take, with all items."""
    frame = link.encode_frame(make_message(items))
    if len(frame) <= link.MAX_FRAME_BYTES or len(items) == 1:
        yield frame
        return
    middle = len(items) // 2
    yield from encode_parts(items[:middle], make_message)
    yield from encode_parts(items[middle:], make_message)


class Subscribers:
    """Links of entries and agents, and the state last published to them.

    The replicated state is only sent after `start_publishing`, and its changes
    after `start_following`: the log that a member applies at its start leads
    through every older state.
    """

    def __init__(
        self,
        replicated: catalogue.Catalogue,
        data_centre: str,
        log: event_log.EventLog,
    ) -> None:
        self.catalogue = replicated
        self.data_centre = data_centre
        self.log = log
        self.links: set[link.Link] = set()
        self.is_publishing = False
        self.is_following = False
        self.configuration_update = messages.ConfigurationUpdate(
            version=0, compressed_body=b""
        )
        self.pushed_versions: dict[tuple[str, str], int] = {}
        # Records to be sent, with the loop time of their announcement.
        self.queued_records: dict[
            records.InstanceId, tuple[records.TargetRecord, float]
        ] = {}

    def add(
        self, peer: link.Link, known: records.TargetTable, now: float
    ) -> None:
        """Add a subscriber and send it the whole state that is published.

        ``known`` are the targets that this member knows, ``now`` is the time
        of the event loop in seconds.
        """
        self.links.add(peer)
        if self.is_publishing:
            if self.configuration_update.version:
                self.send_configuration(peer)
            for frame in encode_versions(self.catalogue.list_versions()):
                peer.send_frame(frame)
        wanted = [
            record
            for record in known.by_id.values()
            if peer.target_address in ("", record.address)
        ]
        ages_s = known.get_ages(wanted, now)
        update = messages.RecordsUpdate(records=wanted, ages_s=ages_s)
        for frame in encode_records(update):
            peer.send_frame(frame)
        peer.send(self.make_members_update())

    def remove(self, peer: link.Link) -> None:
        """Remove a subscriber; do nothing if it is not one."""
        self.links.discard(peer)

    def start_publishing(self) -> None:
        """Send subscribers the replicated state as it is now."""
        self.is_publishing = True
        versions = self.catalogue.list_versions()
        # The first list of versions on a link is the whole one; entries take
        # what later ones contain for new versions.
        self.send_versions(versions)
        self.pushed_versions = {
            (model, adapter): version for model, adapter, version in versions
        }
        self.push_state()
        self.send_to_all(self.make_members_update())

    def start_following(self) -> None:
        """Send subscribers what has changed and, later, each change."""
        self.is_following = True
        self.push_state()

    def push_changes(self) -> None:
        """Send subscribers the changes, if these are followed."""
        if self.is_following:
            self.push_state()

    def push_state(self) -> None:
        """Send subscribers what they have not been sent of the state."""
        state = self.catalogue.state
        if state.version > self.configuration_update.version:
            self.configuration_update = make_configuration_update(state)
            for peer in self.links:
                self.send_configuration(peer)
            self.log.write(
                "configuration_committed",
                version=state.version,
                subscribers=len(self.links),
                body_bytes=len(state.body),
            )
        self.push_versions()

    def push_versions(self) -> None:
        """Send subscribers the adapter versions not sent before."""
        changed = []
        for model, adapter, version in self.catalogue.list_versions():
            if self.pushed_versions.get((model, adapter)) == version:
                continue
            self.pushed_versions[model, adapter] = version
            changed.append((model, adapter, version))
            self.log.write(
                "version_committed",
                model=model,
                adapter=adapter,
                version=version,
            )
        if changed:
            self.send_versions(changed)

    def send_versions(self, versions: list[tuple[str, str, int]]) -> None:
        """Send every subscriber the newest versions of adapters."""
        for frame in encode_versions(versions):
            for peer in self.links:
                peer.send_frame(frame)

    def send_configuration(self, peer: link.Link) -> None:
        """Send the configuration within the data centre, else its version.

        A subscriber thus receives it from the member in its data centre, and
        fetches it from another member only if that one is late.
        """
        if peer.data_centre == self.data_centre:
            peer.send(self.configuration_update)
            return
        peer.send(
            messages.ConfigurationNotice(
                version=self.configuration_update.version
            )
        )

    def send_to_all(self, message: messages.AnyMessage) -> None:
        """Send a message to every subscriber."""
        link.send_to_all(self.links, message)

    def send_to_entries(self, message: messages.AnyMessage) -> None:
        """Send a message to every subscribed entry."""
        entries = (peer for peer in self.links if peer.role == "entry")
        link.send_to_all(entries, message)

    def send_to_permit_users(self, message: messages.AnyMessage) -> None:
        """Send a message on rate limits to the entries that understand it."""
        entries = (
            peer
            for peer in self.links
            if peer.role == "entry"
            and peer.protocol >= messages.PERMIT_PROTOCOL
        )
        link.send_to_all(entries, message)

    def send_record(self, record: records.TargetRecord, now: float) -> None:
        """Send a target's record to the subscribers of its address."""
        self.queue_record(record, now)
        self.flush_records(now)

    def queue_record(self, record: records.TargetRecord, now: float) -> None:
        """Send a record with the next `flush_records`.

        A target repeats its announcement about once a second, and entries
        get the age of each, so that a short delay changes nothing there.
        """
        self.queued_records[record.instance_id] = (record, now)

    def flush_records(self, now: float) -> None:
        """Send the queued records in one message to each subscriber."""
        queued = list(self.queued_records.values())
        self.queued_records.clear()
        if not queued:
            return
        for frame in encode_records(make_records_update(queued, now)):
            for peer in self.links:
                if not peer.target_address:
                    peer.send_frame(frame)
        by_address = collections.defaultdict(list)
        for record, heard_at in queued:
            by_address[record.address].append((record, heard_at))
        for peer in self.links:
            if peer.target_address in by_address:
                update = make_records_update(
                    by_address[peer.target_address], now
                )
                for frame in encode_records(update):
                    peer.send_frame(frame)

    def make_members_update(self) -> messages.MembersUpdate:
        """Return the update with the members and the number of entries.

        It names no members until the replicated state is published.
        """
        entries = {peer.name for peer in self.links if peer.role == "entry"}
        peers = self.catalogue.membership.peers if self.is_publishing else []
        return messages.MembersUpdate(
            addresses=[peer.address for peer in peers],
            entries=len(entries),
            protocol=messages.PROTOCOL,
        )
