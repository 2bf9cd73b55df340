"""Sets of voters that suffice for an election or a commit.

A quorum is a majority of the voters. With an even number of voters, half of
them suffice if one of the others has lost its disk: it can neither vote nor
keep entries again, so that two such halves have a member in common, as have
such a half and any majority. See docs/design/member-replacement.md.
"""

import collections.abc
import dataclasses
import typing

Comparable = typing.TypeVar("Comparable", int, float)


@dataclasses.dataclass(frozen=True)
class Quorum:
    """The quorums of one set of voters.

    ``lost`` are the voters whose disks are known to be lost.
    """

    voters: frozenset[str]
    lost: frozenset[str] = frozenset()

    @property
    def majority(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def half(self) -> int:
        """Return the number of voters in a half, rounded up."""
        return (len(self.voters) + 1) // 2

    def is_met_by(self, members: collections.abc.Set[str]) -> bool:
        """Return whether members include a quorum."""
        found = self.voters & members
        if len(found) >= self.majority:
            return True
        return bool(self.lost) and len(found - self.lost) >= self.half

    def get_reached(
        self, get_value: collections.abc.Callable[[str], Comparable]
    ) -> Comparable:
        """Return the highest value that all voters of a quorum have reached.

        ``get_value`` returns that of one voter; there has to be a voter.
        """
        every = sorted(map(get_value, self.voters), reverse=True)
        reached = every[self.majority - 1]
        left = sorted(map(get_value, self.voters - self.lost), reverse=True)
        if not self.lost or len(left) < self.half:
            return reached
        return max(reached, left[self.half - 1])
