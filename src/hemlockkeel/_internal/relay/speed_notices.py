"""Tells the other entries which targets are slow, and believes theirs."""

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.policy import speed_sharing
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.relay import target_registry
from hemlockkeel._internal.utils import event_log


class SpeedNotices:
    """Notices of one entry to and from the control members."""

    def __init__(
        self,
        control: dialer.DialerSet,
        registry: target_registry.TargetRegistry,
        log: event_log.EventLog,
    ) -> None:
        self.control = control
        self.registry = registry
        self.log = log
        self.notices: speed_sharing.SpeedNotices[records.IncarnationKey] = (
            speed_sharing.SpeedNotices()
        )

    def handle_measurement(
        self, target: target_module.Target, now: float
    ) -> None:
        """Tell one control member if a measurement is news to others."""
        self.notices.expire(now)
        usable = self.registry.list_usable(target.record.service)
        usual_s = self.registry.get_usual_service_s(usable)
        ratio = target.speed.service_s / usual_s
        solo_ratio = target.speed.solo_s / usual_s
        if not self.notices.is_news(
            target.incarnation_key, ratio, solo_ratio, now
        ):
            return
        name = target.record.instance_id
        members = self.control.list_capable(messages.SPEED_PROTOCOL)
        if not members:
            return
        # All entries choose the same member for a target, so that it can tell
        # what the others know already.
        chosen = max(
            members,
            key=lambda address: routing.get_rendezvous_hash(name, address),
        )
        members[chosen].send(
            messages.SpeedNotice(
                target=name,
                started_at_ms=target.record.started_at_ms,
                ratio=ratio,
            )
        )

    def handle_notice(self, notice: messages.SpeedNotice, now: float) -> None:
        """Believe what another entry has measured."""
        target = self.registry.targets.get(records.InstanceId(notice.target))
        if target is None:
            return
        key = target.incarnation_key
        usable = self.registry.list_usable(target.record.service)
        if (
            key.started_at_ms != notice.started_at_ms
            or target.engine is not None
            or not self.notices.may_adopt(
                key,
                notice.ratio,
                [record.incarnation_key for record in usable],
            )
        ):
            return
        self.notices.record(key, notice.ratio, now)
        if self.notices.is_slow(key):
            usual_s = self.registry.get_usual_service_s(usable)
            target.speed.adopt(notice.ratio * usual_s, now)
        else:
            target.speed.forget()
        self.log.write(
            "target_speed",
            target=notice.target,
            born_ms=notice.started_at_ms,
            ratio=round(notice.ratio, 2),
        )
