"""Retries of all entries together while control members come and go."""

import asyncio

from hemlockkeel._internal.relay import process as relay_process
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import reserve_share
from tests.lib import ending_target
from tests.lib import relay_fleet

# As on the users' site with five entries.
ENTRIES = 5
RATIO = 0.2
WINDOW_S = 10.0
RESERVE = 58.0
REQUESTS = 60


class TestRetryBudget(relay_fleet.RelayFleetCase):
    """Targets that fail all requests, and five entries that retry."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The loop's debug mode would take most of the time.
        asyncio.get_running_loop().set_debug(False)
        self.retry_limits = budget.RetryBudgetLimits(RATIO, WINDOW_S, RESERVE)
        self.make_reserve_share = lambda: reserve_share.ReserveShare(WINDOW_S)
        self.route_changes = {"max_attempts": 2}
        await self.start_member(1)
        for _ in range(ENTRIES):
            await self.start_entry()
        await self.start_targets(2, ending_target.EndMode.REFUSES)
        for target in self.targets:
            target.always_fails = True
        for entry in self.entries:
            await self.wait_for(
                lambda entry=entry: (  # type: ignore[misc]
                    entry.registry.entry_count == ENTRIES
                )
            )
            # It has been in contact for long.
            entry.shared.reserve_share.contact_since -= 10 * WINDOW_S

    async def fail_requests(self, number: int) -> None:
        """Send requests to an entry, whose targets fail all of them."""
        await asyncio.gather(
            *(
                self.send(number, "idempotent/x", f"{number}/{n}".encode())
                for n in range(REQUESTS)
            )
        )

    def check_retries(self) -> None:
        """Check the retries of all entries, some of which were allowed."""
        arrivals = sum(len(each.server.received) for each in self.targets)
        retries = arrivals - ENTRIES * REQUESTS
        self.assertLessEqual(retries, RATIO * ENTRIES * REQUESTS + RESERVE)
        self.assertGreater(retries, RATIO * ENTRIES * REQUESTS / 2)

    async def test_calm_system(self) -> None:
        for number in range(ENTRIES):
            await self.fail_requests(number)
        self.check_retries()

    async def test_restarted_member_knows_few_entries(self) -> None:
        for number in range(ENTRIES):
            await self.cut_control_links(number)
        await self.stop_member(1)
        await self.start_member(1)
        for number, entry in enumerate(self.entries):
            await self.restore_control_links(number)
            await self.wait_until_heard(entry)
            await self.fail_requests(number)
        self.check_retries()

    async def test_entries_without_contact_use_no_reserve(self) -> None:
        for number in range(ENTRIES - 1):
            await self.cut_control_links(number)
        # The others' share grows once they have not been heard for long.
        share = self.entries[-1].shared.reserve_share
        share.announcements.clear()
        await self.wait_for(share.announcements.__len__)
        for number in range(ENTRIES):
            await self.fail_requests(number)
        self.check_retries()

    async def wait_until_heard(
        self, entry: relay_process.EntryProcess
    ) -> None:
        """Wait until a member has announced the entries to one."""
        await self.wait_for(entry.shared.reserve_share.heard_at.__len__)
