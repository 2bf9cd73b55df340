"""Tests of the Retry-After header and of a target's availability."""

import asyncio
import unittest

from hemlockkeel._internal.relay import availability
from hemlockkeel._internal.utils import retry_after

# 2026-12-04 09:00:00 UTC.
WALL_S = 1796374800.0


def read(*values: bytes) -> retry_after.RetryAfter:
    """Return the delay of a response with these Retry-After headers."""
    return retry_after.read([(b"Retry-After", v) for v in values], WALL_S)


class TestRetryAfter(unittest.TestCase):
    """Valid and invalid values of the header."""

    def test_seconds_may_have_fractions(self) -> None:
        self.assertEqual(read(b"2").delay_s, 2.0)
        self.assertEqual(read(b" 0.25 ").delay_s, 0.25)
        self.assertEqual(read(b"0").delay_s, 0.0)

    def test_date_is_compared_with_the_time_of_day(self) -> None:
        self.assertEqual(read(b"Fri, 04 Dec 2026 09:00:07 GMT").delay_s, 7.0)
        self.assertEqual(read(b"Fri, 04 Dec 2026 08:00:00 GMT").delay_s, 0.0)

    def test_invalid_values_are_returned_and_ignored(self) -> None:
        for value in (b"", b"soon", b"-1", b"nan", b"inf", b"1e9", b"1,2"):
            with self.subTest(value):
                found = read(value)
                self.assertIsNone(found.delay_s)
                self.assertEqual(found.invalid, (value.decode(),))
        self.assertEqual(read(b"x", b"3").delay_s, 3.0)

    def test_longest_of_repeated_values_counts(self) -> None:
        self.assertEqual(read(b"1", b"4", b"2").delay_s, 4.0)

    def test_long_delays_are_shortened(self) -> None:
        self.assertEqual(read(b"999999999").delay_s, retry_after.MAX_DELAY_S)
        self.assertEqual(
            read(b"Fri, 04 Dec 9999 09:00:07 GMT").delay_s,
            retry_after.MAX_DELAY_S,
        )

    def test_no_header(self) -> None:
        self.assertEqual(read(), retry_after.RetryAfter())


class TestAvailability(unittest.IsolatedAsyncioTestCase):
    """What a target's responses say about new requests."""

    async def test_hold_ends_by_itself_and_is_never_shortened(self) -> None:
        state = availability.Availability()
        self.assertTrue(state.hold(13.0, 10.0, WALL_S))
        self.assertFalse(state.hold(11.0, 10.5, WALL_S))
        self.assertIs(state.find_refusal(12.9), availability.Refusal.HELD)
        self.assertIsNone(state.find_refusal(13.0))

    async def test_leaving_is_final_and_outlasts_a_hold(self) -> None:
        state = availability.Availability()
        state.hold(13.0, 10.0, WALL_S)
        self.assertTrue(state.mark_leaving())
        self.assertFalse(state.mark_leaving())
        self.assertIs(state.find_refusal(99.0), availability.Refusal.LEAVING)

    async def test_next_incarnation_keeps_what_it_may_have_said(self) -> None:
        for leaves in (False, True):
            for started_at_s, held in (
                (WALL_S - 1.0, True),
                (WALL_S + 1.0, False),
            ):
                now = asyncio.get_running_loop().time()
                state = availability.Availability()
                state.hold(now + 3.0, now, WALL_S)
                if leaves:
                    state.mark_leaving(WALL_S)
                successor = availability.Availability()
                state.carry_over(successor, started_at_s)
                refusal = successor.find_refusal(now + 2.0)
                self.assertIs(
                    refusal, availability.Refusal.HELD if held else None
                )
                self.assertIsNone(successor.find_refusal(now + 20.0))

    async def test_waits_end_at_once(self) -> None:
        for change in ("hold", "leave"):
            state = availability.Availability()
            loop = asyncio.get_running_loop()
            with self.assertRaises(TimeoutError):
                async with state.interruptible():
                    if change == "hold":
                        state.hold(loop.time() + 9.0, loop.time(), WALL_S)
                    else:
                        state.mark_leaving()
                    await asyncio.Event().wait()
            self.assertEqual(state.waits, set())


if __name__ == "__main__":
    unittest.main()
