"""Publishes changes to entries and agents."""

import zlib

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.utils import event_log


def make_configuration_update(
    state: catalogue.CatalogueState,
) -> messages.ConfigurationUpdate:
    """Return the message that sends a configuration to subscribers."""
    return messages.ConfigurationUpdate(
        version=state.version, compressed_body=zlib.compress(state.body)
    )


class Subscribers:
    """Links of entries and agents, and the state last published to them."""

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
        self.configuration_update = messages.ConfigurationUpdate(
            version=0, compressed_body=b""
        )
        self.pushed_versions: dict[tuple[str, str], int] = {}

    def add(
        self, peer: link.Link, known: records.TargetTable, now: float
    ) -> None:
        """Add a subscriber and send it the whole state.

        ``known`` are the targets that this member knows, ``now`` is the time
        of the event loop in seconds.
        """
        self.links.add(peer)
        if self.configuration_update.version:
            self.send_configuration(peer)
        peer.send(
            messages.VersionsUpdate(versions=self.catalogue.list_versions())
        )
        wanted = [
            record
            for record in known.by_id.values()
            if peer.target_address in ("", record.address)
        ]
        ages_s = known.get_ages(wanted, now)
        peer.send(messages.RecordsUpdate(records=wanted, ages_s=ages_s))
        self.send_to_all(self.make_members_update())

    def remove(self, peer: link.Link) -> None:
        """Remove a subscriber; do nothing if it is not one."""
        self.links.discard(peer)

    def push_changes(self) -> None:
        """Send subscribers the changes of the replicated state."""
        state = self.catalogue.state
        if state.version > self.configuration_update.version:
            self.configuration_update = make_configuration_update(state)
            for peer in self.links:
                self.send_configuration(peer)
            self.log.write(
                "configuration_committed",
                version=state.version,
                subscribers=len(self.links),
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
            self.send_to_all(messages.VersionsUpdate(versions=changed))

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
        for peer in self.links:
            peer.send(message)

    def send_to_entries(self, message: messages.AnyMessage) -> None:
        """Send a message to every subscribed entry."""
        for peer in self.links:
            if peer.role == "entry":
                peer.send(message)

    def send_record(self, record: records.TargetRecord) -> None:
        """Send a target's record to the subscribers of its address."""
        update = messages.RecordsUpdate(records=[record], ages_s=[0.0])
        for peer in self.links:
            if peer.target_address in ("", record.address):
                peer.send(update)

    def make_members_update(self) -> messages.MembersUpdate:
        """Return the update with the members and the number of entries."""
        entries = {peer.name for peer in self.links if peer.role == "entry"}
        return messages.MembersUpdate(
            addresses=[
                peer.address for peer in self.catalogue.membership.peers
            ],
            entries=len(entries),
        )
