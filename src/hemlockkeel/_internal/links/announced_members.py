"""The control members that entries and agents connect to."""


class AnnouncedMembers:
    """Merges the lists of members that control members announce.

    The lists may differ: a member that has just started does not know the
    others yet, and one without contact to them announces an older list.
    """

    def __init__(self) -> None:
        # Lists by the address of the member that announced them.
        self.announced: dict[str, frozenset[str]] = {}

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses in any of the lists."""
        return frozenset().union(*self.announced.values())

    def record(self, member: str, addresses: list[str]) -> None:
        """Store the list of a member; an empty one says nothing."""
        if addresses:
            self.announced[member] = frozenset(addresses)

    def forget(self, member: str) -> None:
        """Drop the list of a member whose link is closed.

        The last list is kept to find the members again.
        """
        if len(self.announced) > 1:
            self.announced.pop(member, None)
