"""Shares of the retry budget's reserve for entries in tests."""

from hemlockkeel._internal.routes import reserve_share


class WholeReserve(reserve_share.ReserveShare):
    """The share of an entry that is alone and in contact with control."""

    def __init__(self) -> None:
        super().__init__(0.0)

    def get(self, now: float) -> float:
        return 1.0
