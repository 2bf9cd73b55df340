"""Bounds on what is read from targets.

A faulty target may send bytes that are no response without end: interim
responses, responses to other requests, or the body of a refusal.
"""

from hemlockkeel._internal.utils import process_budget


class BudgetExhaustedError(Exception):
    """A target has sent more than is read from it."""


class ReadBudget:
    """What may be read for one exchange without being forwarded."""

    # More than a connection's receive buffer holds, since the first read may
    # return a head with a large part of its body.
    MAX_BYTES = 512 * 1024
    # Interim responses, and responses to other requests.
    MAX_MESSAGES = 16
    # From the first message that is not forwarded to the end of the last.
    MAX_DURATION_S = 0.5

    def __init__(self) -> None:
        self.bytes_read = 0
        self.messages = 0
        # Loop time of the first message that was not forwarded.
        self.begun_at: float | None = None

    def add_bytes(self, count: int, now: float) -> None:
        """Count bytes that were read.

        :raises BudgetExhaustedError: when the budget is exhausted.
        """
        self.bytes_read += count
        if self.bytes_read > self.MAX_BYTES:
            raise BudgetExhaustedError(
                f"more than {self.MAX_BYTES} bytes that are no response"
            )
        self.check_duration(now)

    def add_message(self, now: float) -> None:
        """Count a message that is not forwarded.

        :raises BudgetExhaustedError: when the budget is exhausted.
        """
        if self.begun_at is None:
            self.begun_at = now
        self.messages += 1
        if self.messages > self.MAX_MESSAGES:
            raise BudgetExhaustedError(
                f"more than {self.MAX_MESSAGES} messages that are no response"
            )
        self.check_duration(now)

    def check_duration(self, now: float) -> None:
        """Check the time since the first message that is not forwarded.

        :raises BudgetExhaustedError: when it is too long.
        """
        if self.begun_at is None:
            return
        if now - self.begun_at > self.MAX_DURATION_S:
            raise BudgetExhaustedError(
                "no response within "
                f"{self.MAX_DURATION_S} s of bytes that are none"
            )


class BodyMemory(process_budget.Owner):
    """Memory that all response bodies of a process may take together.

    The incomplete events of streams count as well.

    It is a part of the budget of the process, if there is one.
    """

    # A quarter of the memory of the smallest instance that runs an entry.
    MAX_BYTES = 48 * 1024 * 1024

    def __init__(
        self, budget: process_budget.ProcessBudget | None = None
    ) -> None:
        self.budget = budget or process_budget.ProcessBudget(
            process_budget.ProcessLimits()
        )
        self.holder = self.budget.add(self)
        self.budget.set_activity(self.holder, process_budget.Activity.RUNNING)
        self.bytes_used = 0

    def shed(self) -> None:
        """Do nothing: these requests run."""

    def acquire(self, count: int) -> None:
        """Take memory for a part of a body.

        :raises BudgetExhaustedError: when there is not enough left.
        """
        if self.bytes_used + count > self.MAX_BYTES:
            raise BudgetExhaustedError(
                f"response bodies take more than {self.MAX_BYTES} bytes"
            )
        if not self.budget.try_resize(self.holder, self.bytes_used + count):
            raise BudgetExhaustedError("no memory left for response bodies")
        self.bytes_used += count

    def release(self, count: int) -> None:
        """Return memory."""
        self.bytes_used -= count
        self.budget.resize(self.holder, self.bytes_used)


class HeldMemory:
    """Memory that a part of one response takes while it is incomplete."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.count = 0

    def resize(self, count: int) -> None:
        """Set how many bytes are held.

        :raises BudgetExhaustedError: when there is not enough memory left.
        """
        if count > self.count:
            self.memory.acquire(count - self.count)
        elif count < self.count:
            self.memory.release(self.count - count)
        self.count = count

    def release(self) -> None:
        """Return what is held."""
        self.resize(0)
