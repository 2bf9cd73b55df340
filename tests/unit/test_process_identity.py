"""Whether the process at a target's address is the one announced."""

import unittest

from hemlockkeel._internal.relay import process_identity

DELAY_S = process_identity.ANNOUNCEMENT_DELAY_S
FIRST_MS, SECOND_MS = 1_000, 2_000


class TestProcessIdentity(unittest.TestCase):
    """What connections and announcements tell."""

    def setUp(self) -> None:
        self.identity = process_identity.ProcessIdentity(FIRST_MS)
        self.recorded: list[str] = []

    def identify(self) -> None:
        """Connect to the first start, which is then announced."""
        self.identity.handle_connected(1.0)
        self.identity.handle_announcement(FIRST_MS, 1.0)
        self.assertTrue(self.identity.confirmed)

    def test_announcement_before_the_connection_tells_nothing(self) -> None:
        self.identity.handle_announcement(FIRST_MS, 0.5)
        self.identity.handle_connected(1.0)
        self.identity.handle_announcement(FIRST_MS, 0.9)
        self.assertFalse(self.identity.confirmed)

    def test_announcement_while_connected_identifies_the_process(self) -> None:
        self.identify()

    def test_one_of_two_connections_may_end(self) -> None:
        self.identify()
        self.identity.handle_connected(2.0)
        self.identity.handle_closed()
        self.assertTrue(self.identity.confirmed)

    def test_process_is_unknown_once_all_connections_have_ended(self) -> None:
        self.identify()
        self.identity.handle_closed()
        self.assertFalse(self.identity.confirmed)
        self.identity.handle_connected(2.0)
        self.assertFalse(self.identity.confirmed)

    def test_late_announcement_of_the_ended_process_tells_nothing(
        self,
    ) -> None:
        self.identify()
        self.identity.handle_closed()
        self.identity.handle_connected(2.0)
        self.identity.handle_announcement(FIRST_MS, 2.0 + 0.9 * DELAY_S)
        self.assertFalse(self.identity.confirmed)
        self.identity.handle_announcement(FIRST_MS, 2.0 + DELAY_S)
        self.assertTrue(self.identity.confirmed)

    def test_announcement_of_a_later_start_identifies_it_at_once(self) -> None:
        self.identify()
        self.identity.handle_closed()
        self.identity.handle_connected(2.0)
        self.assertFalse(self.identity.handle_announcement(SECOND_MS, 2.1))
        self.assertTrue(self.identity.confirmed)

    def test_later_start_contradicts_connections_that_are_open(self) -> None:
        self.identify()
        self.assertTrue(self.identity.handle_announcement(SECOND_MS, 2.0))
        self.assertFalse(self.identity.confirmed)
        self.identity.handle_given_up()
        self.identity.handle_connected(2.5)
        self.identity.handle_announcement(SECOND_MS, 3.0)
        self.assertTrue(self.identity.confirmed)

    def test_claim_is_confirmed_with_the_process(self) -> None:
        self.identity.handle_connected(1.0)
        claim = self.identity.add_claim(lambda: self.recorded.append("early"))
        self.assertFalse(claim.confirmed)
        self.identity.handle_announcement(FIRST_MS, 1.0)
        self.assertTrue(claim.confirmed)
        self.identity.add_claim(lambda: self.recorded.append("later"))
        self.assertEqual(self.recorded, ["early", "later"])

    def test_claim_on_an_ended_process_is_never_confirmed(self) -> None:
        self.identity.handle_connected(1.0)
        claim = self.identity.add_claim(lambda: self.recorded.append("x"))
        self.identity.handle_closed()
        self.identity.handle_connected(2.0)
        self.identity.handle_announcement(FIRST_MS, 20.0)
        self.assertTrue(self.identity.confirmed)
        self.assertFalse(claim.confirmed)
        self.assertFalse(self.recorded)

    def test_claim_is_confirmed_for_the_start_announced_at_last(self) -> None:
        """What the process writes is that of no earlier announcement."""
        self.identity.handle_connected(1.0)
        claim = self.identity.add_claim(
            lambda: self.recorded.append(str(self.identity.started_at_ms))
        )
        # Sent before the connection, so perhaps of an earlier process.
        self.identity.handle_announcement(SECOND_MS, 0.9)
        self.assertFalse(claim.confirmed)
        self.identity.handle_announcement(SECOND_MS, 2.0)
        self.assertTrue(claim.confirmed)
        self.assertEqual(self.recorded, [str(SECOND_MS)])

    def test_claim_on_contradicted_connections_is_never_confirmed(
        self,
    ) -> None:
        self.identify()
        self.assertTrue(self.identity.handle_announcement(SECOND_MS, 2.0))
        claim = self.identity.add_claim(lambda: self.recorded.append("x"))
        self.identity.handle_given_up()
        self.identity.handle_connected(2.5)
        self.identity.handle_announcement(SECOND_MS, 3.0)
        self.assertFalse(claim.confirmed)

    def test_number_of_claims_is_bounded(self) -> None:
        for _ in range(process_identity.MAX_CLAIMS + 1):
            self.identity.add_claim(lambda: None)
        self.assertEqual(
            len(self.identity.claims), process_identity.MAX_CLAIMS
        )


if __name__ == "__main__":
    unittest.main()
