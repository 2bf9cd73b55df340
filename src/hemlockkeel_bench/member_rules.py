"""Rules on the members of a simulated cluster, to be compared.

`ProductRule` is that of the product; docs/design/member-replacement.md has
the figures of the others.
"""

import abc
import collections.abc

from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.coordinator import membership


class MemberRule(abc.ABC):
    """Decides changes of the members as a leader."""

    @abc.abstractmethod
    def plan_change(
        self, view: membership.LeaderView
    ) -> messages.Membership | None:
        """Return the next membership, or None if no change is needed."""

    @abc.abstractmethod
    def plan_leaving(
        self, members: messages.Membership, member_id: str
    ) -> messages.Membership | None:
        """Return the membership without a member that is about to end.

        None if it stays a member.
        """


class ProductRule(MemberRule):
    """The rule of the product."""

    def plan_change(
        self, view: membership.LeaderView
    ) -> messages.Membership | None:
        return membership.plan_change(view)

    def plan_leaving(
        self, members: messages.Membership, member_id: str
    ) -> messages.Membership | None:
        return membership.plan_leaving(members, member_id)


RULES: dict[str, collections.abc.Callable[[], MemberRule]] = {
    "product": ProductRule,
}


def make_rule(name: str) -> MemberRule:
    """Return the rule of a name.

    :raises ValueError: when there is none.
    """
    if name not in RULES:
        raise ValueError(f"rule {name!r} is not one of {', '.join(RULES)}")
    return RULES[name]()
