"""Where streams began, and where they may go on."""

import unittest

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import resumption

SERVICE = records.ServiceName("s")
OTHER_SERVICE = records.ServiceName("o")
ORIGIN = stream_origins.StreamOrigin(SERVICE, "v1")
LATER = stream_origins.StreamOrigin(SERVICE, "v2")
R1, R2, R3 = (ids.RequestId(f"r{number}") for number in (1, 2, 3))


def make_record(version: str) -> records.TargetRecord:
    """Return an announcement of a software version."""
    return records.TargetRecord(
        records.InstanceId("t1"),
        SERVICE,
        "127.0.0.1:1",
        "dc1",
        records.TargetState.READY,
        1,
        1,
        software_version=version,
    )


class TestOriginTable(unittest.TestCase):
    """The streams that are remembered, and for how long."""

    def test_origin_is_known_until_it_expires(self) -> None:
        table = stream_origins.OriginTable(10)
        table.add(R1, ORIGIN, 5.0)
        self.assertEqual(table.find(R1, 4.9), ORIGIN)
        self.assertIsNone(table.find(R1, 5.0))
        table.expire(5.0)
        self.assertFalse(table.origins)

    def test_repeated_report_does_not_shorten_the_time(self) -> None:
        table = stream_origins.OriginTable(10)
        table.add(R1, ORIGIN, 9.0)
        table.add(R1, ORIGIN, 5.0)
        self.assertEqual(table.find(R1, 8.0), ORIGIN)

    def test_oldest_stream_is_dropped_beyond_the_capacity(self) -> None:
        table = stream_origins.OriginTable(2)
        for name in (R1, R2, R3):
            table.add(name, ORIGIN, 9.0)
        self.assertIsNone(table.find(R1, 1.0))
        self.assertEqual(table.find(R3, 1.0), ORIGIN)

    def test_current_streams_have_the_time_that_is_left(self) -> None:
        table = stream_origins.OriginTable(10)
        table.add(R1, ORIGIN, 2.0)
        table.add(R2, LATER, 9.0)
        self.assertEqual(list(table.list_current(3.0)), [(R2, LATER, 6.0)])


class TestVersionHistory(unittest.TestCase):
    """The versions that may have begun a stream."""

    def test_version_that_was_announced_before_is_left_out(self) -> None:
        history = stream_origins.VersionHistory()
        history.add(make_record("v1"), 1.0)
        history.add(make_record("v2"), 5.0)
        self.assertEqual(history.list_since(SERVICE, 0.0), ["v1", "v2"])
        self.assertEqual(history.list_since(SERVICE, 2.0), ["v2"])
        self.assertEqual(history.list_since(OTHER_SERVICE, 0.0), [])

    def test_late_announcement_does_not_make_a_version_older(self) -> None:
        history = stream_origins.VersionHistory()
        history.add(make_record("v1"), 5.0)
        history.add(make_record("v1"), 1.0)
        self.assertEqual(history.list_since(SERVICE, 4.0), ["v1"])

    def test_number_of_versions_is_bounded(self) -> None:
        history = stream_origins.VersionHistory()
        for number in range(2 * stream_origins.MAX_VERSIONS):
            history.add(make_record(f"v{number}"), float(number))
        self.assertEqual(
            len(history.list_since(SERVICE, 0.0)), stream_origins.MAX_VERSIONS
        )


class TestChooseOrigin(unittest.TestCase):
    """Where a stream goes on that a caller resumes."""

    def choose(
        self,
        origin: stream_origins.StreamOrigin | None = None,
        conclusive: bool = True,
        versions: tuple[str, ...] = ("v1",),
        complete: bool = True,
        services: tuple[records.ServiceName, ...] = (SERVICE,),
    ) -> stream_origins.StreamOrigin | results.Cause:
        """Return the origin, or the cause of a refusal."""
        outcome = resumption.choose_origin(
            services,
            resumption.Lookup(origin, conclusive),
            resumption.VersionView(
                dict.fromkeys(services, versions), complete
            ),
        )
        if isinstance(outcome, resumption.Refusal):
            return outcome.cause
        return outcome

    def test_known_origin_is_kept(self) -> None:
        self.assertEqual(self.choose(LATER), LATER)
        self.assertEqual(self.choose(LATER, versions=("v1", "v2")), LATER)

    def test_known_origin_in_another_service_is_refused(self) -> None:
        chosen = self.choose(ORIGIN, services=(OTHER_SERVICE,))
        self.assertIs(chosen, results.Cause.ORIGIN_GONE)

    def test_only_possible_version_is_taken(self) -> None:
        self.assertEqual(self.choose(), ORIGIN)

    def test_unknown_origin_is_refused_where_it_may_differ(self) -> None:
        for chosen in (
            self.choose(versions=("v1", "v2")),
            self.choose(versions=()),
            self.choose(complete=False),
            self.choose(services=(SERVICE, OTHER_SERVICE)),
        ):
            self.assertIs(chosen, results.Cause.ORIGIN_UNKNOWN)

    def test_refusal_is_not_final_while_control_cannot_be_asked(self) -> None:
        chosen = self.choose(conclusive=False)
        self.assertIs(chosen, results.Cause.ORIGIN_UNAVAILABLE)
