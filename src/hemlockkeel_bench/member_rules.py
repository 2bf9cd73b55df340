"""Rules on the members of a simulated cluster, to be compared.

`ProductRule` is that of the product; docs/design/member-replacement.md has
the figures of the others.
"""

import abc
import collections.abc

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.coordinator import membership


class MemberRule(abc.ABC):
    """Decides changes of the members as a leader."""

    # Whether members notice that connections to another one are refused.
    notices_ends = True

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
    """The rule of the product, for a group of a declared size."""

    def __init__(self, size: int) -> None:
        self.policy = membership.VotePolicy(size, core.Timing().election_min_s)

    def plan_change(
        self, view: membership.LeaderView
    ) -> messages.Membership | None:
        return membership.plan_change(view, self.policy)

    def plan_leaving(
        self, members: messages.Membership, member_id: str
    ) -> messages.Membership | None:
        return membership.plan_leaving(members, member_id, self.policy)


class ParityRule(MemberRule):
    """Takes a voter for spare if the number of voters is even.

    That was the product's rule before the size of a group was declared.
    """

    notices_ends = False

    def get_policy(
        self, members: messages.Membership
    ) -> membership.VotePolicy:
        """Return the policy that the number of voters suggests."""
        count = len(members.voters)
        is_spare = count > 2 and count % 2 == 0
        return membership.VotePolicy(
            count - 1 if is_spare else count, membership.UNRESPONSIVE_AFTER_S
        )

    def plan_change(
        self, view: membership.LeaderView
    ) -> messages.Membership | None:
        return membership.plan_change(view, self.get_policy(view.members))

    def plan_leaving(
        self, members: messages.Membership, member_id: str
    ) -> messages.Membership | None:
        return membership.plan_leaving(
            members, member_id, self.get_policy(members)
        )


RULES: dict[str, collections.abc.Callable[[int], MemberRule]] = {
    "product": ProductRule,
    "parity": lambda size: ParityRule(),
}


def make_rule(name: str, size: int) -> MemberRule:
    """Return the rule of a name for a group of a size.

    :raises ValueError: when there is none.
    """
    if name not in RULES:
        raise ValueError(f"rule {name!r} is not one of {', '.join(RULES)}")
    return RULES[name](size)
