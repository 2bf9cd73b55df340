"""Keeps reported crashes of targets and passes them on to entries."""

from hemlockkeel._internal.coordinator import subscribers
from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.links import crash_reports
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids


class CrashReports:
    """The crashes that one control member has been told of.

    They are kept in memory only: entries report theirs again to a member that
    has restarted.
    """

    def __init__(
        self, listeners: subscribers.Subscribers, peers: dialer.DialerSet
    ) -> None:
        self.subscribers = listeners
        self.peers = peers
        self.ledger = crash_ledger.CrashLedger()

    def handle_report(self, report: messages.CrashReport, now: float) -> None:
        """Keep a crash, and forward it if it is new."""
        if crash_reports.merge_report(self.ledger, report, now):
            self.subscribers.send_to_entries(report)
            self.send_to_members(report)

    def handle_cleared(self, message: messages.CrashCleared) -> None:
        """Clear a request that has completed, and forward that."""
        self.subscribers.send_to_entries(message)
        if self.ledger.clear(ids.Trait(message.digest)):
            self.send_to_members(message)

    def send_to_members(self, message: messages.AnyMessage) -> None:
        """Send a message to the other control members."""
        for peer in self.peers.list_links():
            peer.send(message)

    def send_all(self, peer: link.Link, now: float) -> None:
        """Send an entry or a member that has connected all crashes."""
        for report in crash_reports.list_reports(self.ledger, now):
            peer.send(report)
