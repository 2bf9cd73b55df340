"""Targets that name how many requests a second they take."""

import asyncio
import re

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.relay import target_selection
from tests.lib import ending_target
from tests.lib import relay_fleet

ENTRY_COUNT = 5
# Time from the first naming until a limit must be kept, and the time that an
# entry has from a response that names it.
CONTACT_S = 3.0
NOTICE_S = 0.5
# What a target may get in any window, beside a multiple of its limit.
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
EXTRA_REQUESTS = 5
# Part of a limit that is used at least while there are enough requests.
MIN_USED_SHARE = 0.5
PLAY_S = CONTACT_S + 1.25 * WINDOW_S
REQUEST_INTERVAL_S = 0.05
SUCCESS = b"HTTP/1.1 200"


class RateLimitCase(relay_fleet.RelayFleetCase):
    """Base of the tests: one control member and several entries."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)
        # Requests that a target got from entries that it had told.
        self.served: list[bool] = []
        await self.start_member(1)
        for _ in range(ENTRY_COUNT):
            await self.start_entry()

    @staticmethod
    def get_now() -> float:
        return asyncio.get_running_loop().time()

    async def start_fleet(self, count: int, limit: bytes) -> None:
        """Start targets, the first of which names a limit."""
        await self.start_targets(count, ending_target.EndMode.REFUSES)
        self.name_limit(limit)

    def name_limit(self, limit: bytes) -> None:
        """Make the first target name a limit from now on, or none."""
        line = b"Server-Limit: %s\r\n" % limit if limit else b""
        self.targets[0].extra = line

    async def send_from(self, entry: int, kind: str = "once") -> bytes:
        """Send a request that tells the target where it came from."""
        return await self.send(
            entry, f"{kind}/x", extra=f"X-Entry: {entry}\r\n"
        )

    async def play(self, seconds: float, entries: list[int]) -> None:
        """Send requests at entries for a while."""
        ends_at = self.get_now() + seconds

        async def call(entry: int) -> None:
            while self.get_now() < ends_at:
                response = await self.send_from(entry)
                self.served.append(response.startswith(SUCCESS))
                await asyncio.sleep(REQUEST_INTERVAL_S)

        async with asyncio.TaskGroup() as group:
            for entry in entries:
                group.create_task(call(entry))

    def count_most(self, since: float) -> int:
        """Return the most requests of told entries in any window."""
        told_at: dict[bytes, float] = {}
        counted = []
        for at, request in self.targets[0].arrivals:
            entry = request.headers[b"x-entry"]
            # The response follows at once.
            if at > told_at.setdefault(entry, at) + NOTICE_S:
                counted.append(at)
        return max(
            (
                sum(begin <= at <= begin + WINDOW_S for at in counted)
                for begin in counted
                if begin >= since
            ),
            default=0,
        )

    def check_limit(self, limit: float, since: float = 0.0) -> None:
        """Check that the first target got no more than its limit allows."""
        begun_at = self.targets[0].arrivals[0][0] + CONTACT_S
        allowed = LIMIT_RATIO * limit * WINDOW_S + EXTRA_REQUESTS
        self.assertLessEqual(self.count_most(max(begun_at, since)), allowed)


class TestRateLimit(RateLimitCase):
    """Limits that are named, changed, lifted, zero or unreadable."""

    async def test_limit_is_kept_by_all_entries_together(self) -> None:
        await self.start_fleet(2, b"1")
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(1.0)
        self.assertGreater(sum(self.served) / len(self.served), 0.95)
        # The target still gets some of what it takes, from any entry.
        told_at = self.targets[0].arrivals[0][0] + NOTICE_S
        later = [at for at, _ in self.targets[0].arrivals if at > told_at]
        self.assertGreaterEqual(
            len(later), MIN_USED_SHARE * (PLAY_S - NOTICE_S)
        )

    async def test_callers_of_a_target_alone_are_told_when_to_return(
        self,
    ) -> None:
        await self.start_fleet(1, b"1.5")
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(1.5)
        begun_at = self.get_now()
        responses = [await self.send_from(0) for _ in range(5)]
        self.assertLess(self.get_now() - begun_at, 1.0)
        refused = [r for r in responses if not r.startswith(SUCCESS)]
        self.assertTrue(refused)
        for response in refused:
            self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
            self.assertIsNotNone(re.search(rb"Retry-After: [\d.]+", response))

    async def test_limit_of_zero(self) -> None:
        await self.start_fleet(2, b"0")
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(0.0)
        self.assertGreater(sum(self.served) / len(self.served), 0.95)

    async def test_limit_that_is_lowered(self) -> None:
        await self.start_fleet(2, b"20")
        await self.play(CONTACT_S, list(range(ENTRY_COUNT)))
        self.name_limit(b"1")
        lowered_at = self.get_now()
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(1.0, lowered_at + CONTACT_S)

    async def test_limit_that_is_lifted_holds_nobody_back(self) -> None:
        await self.start_fleet(1, b"1")
        await self.play(CONTACT_S, list(range(ENTRY_COUNT)))
        self.name_limit(b"")
        await self.play(2 * CONTACT_S, list(range(ENTRY_COUNT)))
        self.served.clear()
        await self.play(1.0, list(range(ENTRY_COUNT)))
        self.assertTrue(all(self.served))

    async def test_unreadable_limit_changes_nothing(self) -> None:
        await self.start_fleet(1, b"1")
        await self.play(1.0, [0, 1])
        self.name_limit(b"many")
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(1.0)


class TestFaults(RateLimitCase):
    """Entries and control members that start late, and long waits."""

    async def test_entry_that_starts_later_keeps_the_limit(self) -> None:
        await self.start_fleet(2, b"1")
        await self.play(1.0, list(range(ENTRY_COUNT)))
        later = [await self.start_entry() for _ in range(3)]
        await self.play(PLAY_S, [*range(ENTRY_COUNT), *later])
        self.check_limit(1.0)

    async def test_limit_is_kept_when_a_control_member_restarts(self) -> None:
        await self.start_fleet(2, b"1")
        await self.play(CONTACT_S, list(range(ENTRY_COUNT)))
        await self.stop_member(1)
        await self.play(1.0, list(range(ENTRY_COUNT)))
        await self.start_member(1)
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(1.0)

    async def test_limit_is_kept_without_any_control_member(self) -> None:
        await self.start_fleet(2, b"1")
        await self.play(CONTACT_S, list(range(ENTRY_COUNT)))
        await self.stop_member(1)
        await self.play(PLAY_S, list(range(ENTRY_COUNT)))
        self.check_limit(1.0)

    async def test_lifted_limit_is_noticed_without_any_control_member(
        self,
    ) -> None:
        await self.start_fleet(1, b"2")
        await self.play(1.0, list(range(ENTRY_COUNT)))
        await self.stop_member(1)
        self.name_limit(b"")
        for number in range(ENTRY_COUNT):
            async with asyncio.timeout(2 * PLAY_S):
                while not (await self.send_from(number)).startswith(SUCCESS):
                    await asyncio.sleep(REQUEST_INTERVAL_S)
            response = await self.send_from(number)
            self.assertTrue(response.startswith(SUCCESS), response)

    async def test_requests_that_waited_for_adapters_are_not_sent_together(
        self,
    ) -> None:
        await self.start_fleet(1, b"1")
        await self.play(1.0, list(range(ENTRY_COUNT)))
        released = asyncio.Event()

        async def acquire(address, call):  # type: ignore
            await released.wait()

        for entry in self.entries:
            entry.shared.adapter_client.acquire = acquire  # type: ignore
            target = entry.registry.targets[records.InstanceId("t0")]
            target.engine = target_selection.EngineView(
                frozenset({"m/a"}), can_load=True
            )
        waiting = []
        for number in range(8 * ENTRY_COUNT):
            entry = number % ENTRY_COUNT
            extra = f"X-Entry: {entry}\r\nX-Model-Name: m/a\r\n"
            waiting.append(
                asyncio.create_task(self.send(entry, "once/x", extra=extra))
            )
            await asyncio.sleep(CONTACT_S / 8 / ENTRY_COUNT)
        released.set()
        await asyncio.gather(*waiting)
        self.check_limit(1.0)
