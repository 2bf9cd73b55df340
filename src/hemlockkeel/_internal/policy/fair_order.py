"""Lets requests of different organisations take turns for a scarce resource.

Start-time fair queueing: each turn costs an organisation 1, and the request
with the least start tag is next, so that a burst of one organisation waits
behind its own requests. Pure. Source: Goyal, Vin, Cheng, "Start-Time Fair
Queuing", 1996.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Claim:
    """A request that waits for a turn."""

    organisation: str
    # Requests for the same thing need only one turn.
    thing: collections.abc.Hashable
    # Virtual time at which it arrived.
    arrived_at: float


class FairOrder:
    """The virtual time, and what organisations have used of it."""

    def __init__(self) -> None:
        # Start tag of the last turn.
        self.virtual_time = 0.0
        # End of each organisation's last turn, if after the virtual time.
        self.finish_tags: dict[str, float] = {}

    def make_tags(
        self, claims: collections.abc.Iterable[Claim]
    ) -> list[float]:
        """Return the start tag of each claim.

        An organisation's claims must be in the order in which it gets its
        turns.
        """
        tags = []
        next_tags: dict[str, float] = {}
        known: dict[tuple[str, collections.abc.Hashable], float] = {}
        for claim in claims:
            name = claim.organisation
            tag = known.get((name, claim.thing))
            if tag is None:
                used = self.finish_tags.get(name, 0.0)
                tag = max(next_tags.get(name, used), claim.arrived_at)
                known[name, claim.thing] = tag
                next_tags[name] = tag + 1.0
            tags.append(tag)
        return tags

    def record_turn(self, organisation: str, tag: float) -> None:
        """Charge an organisation for a turn with a start tag."""
        self.virtual_time = max(self.virtual_time, tag)
        self.finish_tags[organisation] = tag + 1.0
        self.finish_tags = {
            name: finish
            for name, finish in self.finish_tags.items()
            if finish > self.virtual_time
        }
