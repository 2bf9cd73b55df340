"""Tells entries and agents what has changed."""

import zlib

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.utils import event_log


def make_configuration_update(
    state: catalogue.CatalogueState,
) -> messages.ConfigurationUpdate:
    """Return a configuration as it is sent to subscribers."""
    return messages.ConfigurationUpdate(
        version=state.version, compressed_body=zlib.compress(state.body)
    )


class Subscribers:
    """Links of entries and agents, and what they were told."""

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
        """Tell a new subscriber everything."""
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
        """Forget a link that is lost."""
        self.links.discard(peer)

    def push_changes(self) -> None:
        """Tell what the replicated state has changed."""
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
        """Tell subscribers versions of adapters that are new."""
        fresh = []
        for model, adapter, version in self.catalogue.list_versions():
            if self.pushed_versions.get((model, adapter)) == version:
                continue
            self.pushed_versions[model, adapter] = version
            fresh.append((model, adapter, version))
            self.log.write(
                "version_committed",
                model=model,
                adapter=adapter,
                version=version,
            )
        if fresh:
            self.send_to_all(messages.VersionsUpdate(versions=fresh))

    def send_configuration(self, peer: link.Link) -> None:
        """Send the configuration, or to another data centre its version.

        A subscriber gets it from the nearest member that way, and from any
        other if that one is late.
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
        """Send to every subscriber."""
        for peer in self.links:
            peer.send(message)

    def send_to_entries(self, message: messages.AnyMessage) -> None:
        """Send to every entry."""
        for peer in self.links:
            if peer.role == "entry":
                peer.send(message)

    def send_record(self, record: records.TargetRecord) -> None:
        """Send an announcement to those who want it."""
        update = messages.RecordsUpdate(records=[record], ages_s=[0.0])
        for peer in self.links:
            if peer.target_address in ("", record.address):
                peer.send(update)

    def make_members_update(self) -> messages.MembersUpdate:
        """Return the members and the number of entries."""
        entries = {peer.name for peer in self.links if peer.role == "entry"}
        return messages.MembersUpdate(
            addresses=[
                peer.address for peer in self.catalogue.membership.peers
            ],
            entries=len(entries),
        )
