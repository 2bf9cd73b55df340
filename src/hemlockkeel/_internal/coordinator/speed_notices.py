"""Tells entries which targets other entries have measured to be slow."""

from hemlockkeel._internal.coordinator import subscribers
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import speed_sharing
from hemlockkeel._internal.utils import event_log


class SpeedNotices:
    """Passes notices on, once for all entries that send the same."""

    def __init__(
        self, listeners: subscribers.Subscribers, log: event_log.EventLog
    ) -> None:
        self.subscribers = listeners
        self.log = log
        self.notices: speed_sharing.SpeedNotices[records.IncarnationKey] = (
            speed_sharing.SpeedNotices()
        )
        self.budget = speed_sharing.ByteBudget()

    def handle_notice(
        self, sender: link.Link, notice: messages.SpeedNotice, now: float
    ) -> None:
        """Send a notice to the other entries if it is news and affordable."""
        self.notices.expire(now)
        key = records.IncarnationKey(
            records.InstanceId(notice.target), notice.started_at_ms
        )
        # The entry has judged already whether the target is slow.
        if not self.notices.is_news(key, notice.ratio, notice.ratio, now):
            return
        listeners = [
            peer
            for peer in self.subscribers.links
            if peer.role == "entry"
            and peer.protocol >= messages.SPEED_PROTOCOL
            and peer is not sender
        ]
        size = len(link.encode_frame(notice)) * len(listeners)
        sent = self.budget.try_spend(size, now)
        self.log.write(
            "target_speed",
            target=notice.target,
            born_ms=notice.started_at_ms,
            ratio=round(notice.ratio, 2),
            reporter=sender.name,
            sent=sent,
        )
        if sent:
            link.send_to_all(listeners, notice)
