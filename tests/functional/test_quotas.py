"""Credit of organisations over real links between entries and a member."""

import asyncio

from hemlockkeel._internal.routes import organisations
from tests.lib import quota_load
from tests.lib import relay_fleet

NAME = organisations.OrganisationName("o")
RATE = 1000.0
COST = 50.0
QUOTA = quota_load.make_quota(RATE)
ORGANISATION = organisations.Organisation(NAME, None, QUOTA)
ENTRY_COUNT = 3
PLAY_S = 2.0


class TestQuotas(relay_fleet.RelayFleetCase):
    """Guards against entries that do not find the leader, or use more."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.start_limiting_member()
        for _ in range(ENTRY_COUNT):
            await self.start_entry()
        await self.wait_for(self.members[1].node.has_lease)

    async def start_limiting_member(self) -> None:
        await self.start_member(1)
        self.members[1].credits.quotas = {NAME: QUOTA}

    async def play(self, seconds: float) -> float:
        """Send as much as possible at all entries; return what is granted."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        granted = 0.0

        async def call(entry: int) -> None:
            nonlocal granted
            while loop.time() < ends_at:
                quotas = self.entries[entry].quotas
                decision = await quotas.acquire(ORGANISATION, COST)
                granted += COST * decision.granted
                await asyncio.sleep(0.01)

        async with asyncio.TaskGroup() as group:
            for entry in range(ENTRY_COUNT):
                group.create_task(call(entry))
        return granted

    async def test_entries_share_a_quota(self) -> None:
        await self.wait_for(
            lambda: all(
                entry.count_announced_entries() for entry in self.entries
            )
        )
        # Begins the term; the bucket fills from then on.
        await self.play(0.1)
        granted = await self.play(PLAY_S)
        self.assertGreaterEqual(granted, 0.9 * RATE * PLAY_S)
        self.assertLessEqual(granted, 1.1 * RATE * (PLAY_S + 1.0))

    async def test_entries_use_their_parts_until_the_member_is_back(
        self,
    ) -> None:
        await self.play(0.5)
        await self.stop_member(1)
        # What a new isolation may use beside the rate is used first.
        for entry in self.entries:
            account = entry.quotas.get_account(NAME, QUOTA)
            account.credit.isolated_at = entry.quotas.clock.monotonic()
        granted = await self.play(PLAY_S)
        self.assertLessEqual(
            granted, 1.1 * RATE * PLAY_S + 2 * ENTRY_COUNT * COST
        )
        self.assertGreater(granted, 0.5 * RATE * PLAY_S)
        await self.start_limiting_member()
        await self.play(0.1)
        await self.wait_for(
            lambda: all(
                entry.quotas.isolated_at is None for entry in self.entries
            )
        )
