"""Requests that all differ but share a part that ends targets."""

import asyncio
import itertools

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import target_selection
from tests.lib import ending_target
from tests.lib import relay_fleet

# Targets that a part may end before all entries must know of it, the time
# that they have for that, and the sends allowed later.
MAX_ENDS = 5
CONTACT_S = 3.0
MAX_LATE_RUNS = 3
# Share of the sound requests that is served once the part is known.
MIN_SOUND_SHARE = 0.5
TARGET_COUNT = 9
# Requests that are to be refused; one of them may be a trial.
REFUSAL_COUNT = 3
PLAY_S = 2 * CONTACT_S
FATAL_PART = "bad0"
SUCCESS = b"HTTP/1.1 200"


class FatalPartCase(relay_fleet.RelayFleetCase):
    """Base of the tests: one control member and two entries."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.bodies = (str(n).encode() for n in itertools.count())
        # Requests sent later than the entries' time to learn of the part.
        self.late_sound: list[bool] = []
        await self.start_member(1)
        for _ in range(2):
            await self.start_entry()

    async def start_fleet(
        self,
        end_point: ending_target.EndPoint = ending_target.EndPoint.NOTHING,
        count: int = TARGET_COUNT,
    ) -> None:
        """Start targets that end at the part and return a moment later."""
        await self.start_targets(
            count,
            ending_target.EndMode.RETURNS,
            run_s=0.02,
            fatal_header=FATAL_PART.encode(),
            end_point=end_point,
        )

    async def send_parts(
        self, entry: int, parts: str, kind: str = "stream", adapter: str = ""
    ) -> bytes:
        """Send a request that no other one equals; the last part is its own.

        ``parts`` are the ids of the others.
        """
        body = next(self.bodies)
        prompt = ",".join(
            f"{part}:10" for part in [*parts.split(), f"e{body.decode()}"]
        )
        extra = f"X-Prompt-Prefix: {prompt}\r\n"
        if adapter:
            extra += f"X-Model-Name: {adapter}\r\n"
        return await self.send(entry, f"{kind}/x", body, extra=extra)

    def is_late(self) -> bool:
        """Return whether the entries must know of the part by now."""
        runs = self.list_fatal_runs()
        now = asyncio.get_running_loop().time()
        return len(runs) >= MAX_ENDS and now > runs[MAX_ENDS - 1] + CONTACT_S

    async def play(self, fatal: str, sound: str, kind: str = "stream") -> None:
        """Send fatal and sound requests at both entries for a while."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + PLAY_S

        async def send_fatal(entry: int) -> None:
            while loop.time() < ends_at:
                await self.send_parts(entry, fatal, kind)
                await asyncio.sleep(0.1)

        async def send_sound(entry: int) -> None:
            while loop.time() < ends_at:
                is_late = self.is_late()
                response = await self.send_parts(entry, sound, kind)
                if is_late:
                    self.late_sound.append(response.startswith(SUCCESS))
                await asyncio.sleep(0.05)

        async with asyncio.TaskGroup() as group:
            for number in range(len(self.entries)):
                group.create_task(send_fatal(number))
                group.create_task(send_sound(number))

    def check_ends(self) -> None:
        """Check that few requests with the part ran."""
        runs = self.list_fatal_runs()
        late = [at for at in runs if at > runs[MAX_ENDS - 1] + CONTACT_S]
        self.assertLessEqual(len(late), MAX_LATE_RUNS, len(runs))

    async def check_play(
        self, fatal: str, sound: str, end_point: ending_target.EndPoint
    ) -> None:
        """Play a part that ends targets; check who is served."""
        await self.start_fleet(end_point)
        await self.play(fatal, sound)
        self.check_ends()
        # The part may have been found before the fifth end.
        for number in range(len(self.entries)):
            await self.check_refused(number, fatal)
            response = await self.send_parts(number, sound)
            self.assertTrue(response.startswith(SUCCESS), response)
        served = sum(self.late_sound)
        self.assertGreaterEqual(served, MIN_SOUND_SHARE * len(self.late_sound))

    async def check_refused(
        self, entry: int, parts: str, kind: str = "stream", adapter: str = ""
    ) -> None:
        """Check that requests are refused, at most one trial aside.

        The responses say when to come back.
        """
        runs = len(self.list_fatal_runs())
        responses = []
        for _ in range(REFUSAL_COUNT):
            responses.append(
                await self.send_parts(entry, parts, kind, adapter)
            )
            await self.settle()
        self.check_refusals(responses, runs)

    def check_refusals(self, responses: list[bytes], runs: int) -> None:
        """Check that all requests but at most one, a trial, were refused.

        ``runs`` is the number of fatal requests that had run before.
        """
        self.assertLessEqual(len(self.list_fatal_runs()), runs + 1)
        refused = [r for r in responses if r.startswith(b"HTTP/1.1 503")]
        self.assertGreaterEqual(len(refused), len(responses) - 1, responses)
        for response in refused:
            self.assertIn(b"Retry-After", response)

    async def end_targets(self, count: int, parts: str) -> None:
        """Send requests that end targets, one after the other."""
        for number in range(count):
            before = len(self.list_fatal_runs())
            await self.send_parts(0, parts)
            await self.settle()
            self.assertEqual(len(self.list_fatal_runs()), before + 1, number)
            # The crashes are apart, and the targets have returned.
            await asyncio.sleep(0.6)


class TestFatalPart(FatalPartCase):
    """Where the part is in the prompt, and when the targets end."""

    async def test_first_part_before_the_first_byte(self) -> None:
        await self.check_play(
            f"{FATAL_PART} aa bb", "aa bb", ending_target.EndPoint.NOTHING
        )

    async def test_middle_part_after_the_head(self) -> None:
        await self.check_play(
            f"aa {FATAL_PART} bb", "aa bb", ending_target.EndPoint.HEAD
        )

    async def test_middle_part_after_the_first_event(self) -> None:
        await self.check_play(
            f"aa {FATAL_PART}", "aa", ending_target.EndPoint.EVENT
        )

    async def test_part_whose_streams_look_complete(self) -> None:
        await self.start_fleet(ending_target.EndPoint.CLOSED_STREAM)
        await self.play(f"aa {FATAL_PART}", "aa")
        self.check_ends()
        for number in range(len(self.entries)):
            await self.check_refused(number, f"aa {FATAL_PART}")
            response = await self.send_parts(number, "aa")
            self.assertTrue(response.startswith(SUCCESS), response)

    async def test_part_of_requests_that_are_no_streams(self) -> None:
        await self.start_fleet()
        await self.play(f"aa {FATAL_PART}", "aa", "idempotent")
        self.check_ends()
        await self.check_refused(1, f"aa {FATAL_PART}", "once")

    async def test_part_is_fatal_beside_any_other_part(self) -> None:
        await self.start_fleet()
        for first in ("aa", "bb", "cc"):
            await self.end_targets(1, f"{first} {FATAL_PART}")
        await self.check_refused(1, f"dd {FATAL_PART}")
        await self.check_refused(0, f"{FATAL_PART} ee")
        for first in ("aa", "bb", "cc", "dd"):
            response = await self.send_parts(1, first)
            self.assertTrue(response.startswith(SUCCESS), response)


class TestSharedParts(FatalPartCase):
    """Parts that were in progress at the same crashes by chance."""

    async def test_part_that_no_sound_request_had_is_not_refused(
        self,
    ) -> None:
        await self.start_fleet()
        for _ in range(MAX_ENDS):
            await self.send_parts(0, f"aa {FATAL_PART}")
            await self.settle()
            await asyncio.sleep(0.6)
        self.assertLessEqual(len(self.list_fatal_runs()), MAX_ENDS)
        for number in range(len(self.entries)):
            async with asyncio.timeout(2 * CONTACT_S):
                response = b""
                while not response.startswith(SUCCESS):
                    response = await self.send_parts(number, "aa")
        await self.check_refused(0, f"aa {FATAL_PART}")

    async def test_popular_part_at_one_more_crash_is_tried_by_sound_requests(
        self,
    ) -> None:
        await self.start_fleet()
        # With these, fatal requests were tried first, again and again.
        for number, entry in enumerate(self.entries):
            entry.crashes.memory.rng.seed(90 + number)
        # No request has completed, so that the popular part is blamed alone.
        running = asyncio.create_task(self.send_parts(0, "aa", "stream/slow"))
        await self.wait_for(lambda: any(t.slow_runs for t in self.targets))
        await next(each for each in self.targets if each.slow_runs).end()
        await running
        await asyncio.sleep(0.6)
        await self.end_targets(2, f"aa {FATAL_PART}")
        fatal = asyncio.create_task(self.repeat_parts(f"aa {FATAL_PART}"))
        self.addCleanup(fatal.cancel)
        for number in range(len(self.entries)):
            async with asyncio.timeout(2 * CONTACT_S):
                while not (await self.send_parts(number, "aa")).startswith(
                    SUCCESS
                ):
                    await asyncio.sleep(0.2)

    async def repeat_parts(self, parts: str) -> None:
        """Send requests at all entries again and again."""
        for number in itertools.cycle(range(len(self.entries))):
            await self.send_parts(number, parts)
            await asyncio.sleep(0.01)

    async def test_popular_part_survives_targets_that_end_together(
        self,
    ) -> None:
        await self.start_fleet()
        for restarted in (False, True):
            if restarted:
                await self.start_entry()
            entry = len(self.entries) - 1
            if not restarted:
                await self.send_parts(entry, "aa")
            copies = [
                asyncio.create_task(
                    self.send_parts(entry, "aa", "stream/slow")
                )
                for _ in range(4 * TARGET_COUNT)
            ]
            await self.wait_for(
                lambda copies=copies: (  # type: ignore[misc]
                    sum(target.slow_runs for target in self.targets)
                    == len(copies)
                )
            )
            busy = [each for each in self.targets if each.slow_runs]
            self.assertGreaterEqual(len(busy), MAX_ENDS)
            for target in busy[:MAX_ENDS]:
                await target.end()
            await self.settle()
            response = await self.send_parts(entry, "aa")
            self.assertTrue(response.startswith(SUCCESS), response)
            for target in self.targets:
                target.released.set()
            await asyncio.gather(*copies)
            for target in self.targets:
                target.released.clear()

    async def test_repeated_content_does_not_make_its_parts_refused(
        self,
    ) -> None:
        await self.start_targets(TARGET_COUNT, ending_target.EndMode.RETURNS)
        extra = "X-Prompt-Prefix: aa:10,cc:10,e1:5\r\n"
        for number in range(MAX_ENDS):
            await self.send(number % 2, "stream/fatal", extra=extra)
            await self.settle()
            await asyncio.sleep(0.6)
        self.assertLessEqual(len(self.list_fatal_runs()), MAX_ENDS)
        runs = len(self.list_fatal_runs())
        responses = []
        for _ in range(REFUSAL_COUNT):
            responses.append(await self.send(0, "stream/fatal", extra=extra))
            await self.settle()
        self.check_refusals(responses, runs)
        async with asyncio.timeout(2 * CONTACT_S):
            response = b""
            while not response.startswith(SUCCESS):
                response = await self.send_parts(1, "aa cc")

    async def test_part_that_turns_fatal_is_refused(self) -> None:
        await self.start_fleet()
        for target in self.targets:
            target.fatal_header = b"never"
        for number in range(len(self.entries)):
            response = await self.send_parts(number, f"aa {FATAL_PART}")
            self.assertTrue(response.startswith(SUCCESS), response)
        for target in self.targets:
            target.fatal_header = FATAL_PART.encode()
        await self.play(f"aa {FATAL_PART}", "aa")
        self.check_ends()
        await self.check_refused(0, f"aa {FATAL_PART}")
        response = await self.send_parts(0, "aa")
        self.assertTrue(response.startswith(SUCCESS), response)


class TestFatalAdapter(FatalPartCase):
    """Requests that have nothing but a fatal adapter in common."""

    async def end_targets_by_adapter(self) -> None:
        """Send different requests for the adapter until one is refused."""
        await self.start_targets(
            TARGET_COUNT,
            ending_target.EndMode.RETURNS,
            fatal_header=b"m/bad",
        )
        for number in range(2 * MAX_ENDS):
            await self.send_parts(number % 2, f"p{number}", "once", "m/bad")
            await self.settle()
            await asyncio.sleep(0.6)

    async def test_fatal_adapter_ends_few_targets(self) -> None:
        await self.end_targets_by_adapter()
        self.assertLessEqual(len(self.list_fatal_runs()), MAX_ENDS)
        await self.check_refused(0, "x", "once", "m/bad")
        response = await self.send_parts(0, "p1", "once", "m/good")
        self.assertTrue(response.startswith(SUCCESS), response)

    async def test_new_version_of_the_adapter_is_served(self) -> None:
        await self.end_targets_by_adapter()
        for entry in self.entries:
            self.assertTrue(entry.crashes.quarantined)
        for target in self.targets:
            target.fatal_header = b""
        later = await self.start_entry()
        await self.wait_for(lambda: self.entries[later].crashes.quarantined)
        self.members[1].subscribers.send_to_all(
            messages.VersionsUpdate(versions=[("m", "bad", 2)])
        )
        for entry in self.entries:
            await self.wait_for(
                lambda entry=entry: (  # type: ignore[misc]
                    not entry.crashes.quarantined
                )
            )
        for number in range(len(self.entries)):
            response = await self.send_parts(number, "x", "once", "m/bad")
            self.assertTrue(response.startswith(SUCCESS), response)


class TestLateEntries(FatalPartCase):
    """Entries that start later, and copies that wait."""

    async def test_entry_that_starts_later_refuses_the_part(self) -> None:
        await self.start_fleet()
        await self.send_parts(0, "aa")
        await self.end_targets(3, f"aa {FATAL_PART}")
        later = await self.start_entry()
        await self.wait_for(lambda: self.entries[later].crashes.quarantined)
        await self.check_refused(later, f"aa {FATAL_PART}")
        response = await self.send_parts(later, "aa")
        self.assertTrue(response.startswith(SUCCESS), response)

    async def test_request_that_waits_for_its_adapter_is_not_sent(
        self,
    ) -> None:
        await self.start_fleet()
        await self.send_parts(0, "aa")
        entry = self.entries[1]
        released = asyncio.Event()

        async def acquire(address, call):  # type: ignore
            await released.wait()

        entry.shared.adapter_client.acquire = acquire  # type: ignore
        for target in entry.registry.targets.values():
            target.engine = target_selection.EngineView(
                frozenset({"m/a"}), can_load=True
            )
        waiting = asyncio.create_task(
            self.send_parts(1, f"aa {FATAL_PART}", adapter="m/a")
        )
        await self.wait_for(
            lambda: any(
                target.availability.waits
                for target in entry.registry.targets.values()
            )
        )
        await self.end_targets(3, f"aa {FATAL_PART}")
        await self.wait_for(lambda: entry.crashes.quarantined)
        runs = len(self.list_fatal_runs())
        released.set()
        response = await waiting
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertEqual(len(self.list_fatal_runs()), runs)
        self.assertEqual(
            entry.registry.targets[records.InstanceId("t0")].in_flight, 0
        )
