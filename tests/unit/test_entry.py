"""Tests of how an entry verifies and forwards the frames of an answer."""

import types
import unittest
import unittest.mock

from hemlockkeel._internal.entry import attempts
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import dispatcher
from hemlockkeel._internal.entry import links
from hemlockkeel._internal.entry import runs
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import digests
from hemlockkeel._internal.utils import metrics

TOKENS = ["[a@1]", " x", " y"]


def make_tokens(
    offset: int, tokens: list[str], attempt: int = 1
) -> ttypes.AnswerFrame:
    """Return a frame with tokens that start at an offset."""
    return ttypes.AnswerFrame(
        request_id="r",
        attempt=attempt,
        offset=offset,
        kind=ttypes.FrameKind.TOKENS,
        tokens=tokens,
    )


def make_end(**changes: object) -> ttypes.AnswerFrame:
    """Return the end frame of the complete answer, with changed fields."""
    digest = digests.TokenDigest()
    digest.update(TOKENS)
    fields: dict[str, object] = {
        "request_id": "r",
        "attempt": 1,
        "kind": ttypes.FrameKind.END,
        "tokens": [],
        "digest": digest.hexdigest(),
        "length": len(TOKENS),
        "verdict": outcomes.Verdict.RAN,
        "status": 200,
        "adapter": "a",
        "adapter_version": "1",
    }
    fields.update(changes)
    return ttypes.AnswerFrame(**fields)


class TestFollowAttempt(unittest.TestCase):
    """Frames of one attempt, up to the events for the caller."""

    def setUp(self) -> None:
        self.stream = links.Stream("r#1", "r", 1, 0)
        request = context.RequestContext(
            "r",
            context.RequestKind.COMPLETION,
            b"",
            "caller",
            0.0,
            1e12,
            ref=adapters.parse_adapter("a@1"),
        )
        self.counters = metrics.Metrics()
        shared = types.SimpleNamespace(
            follower=None,
            target_links=None,
            counters=self.counters,
            service_times=dispatcher.ServiceTimes(),
            cancel_later=lambda attempt: None,
        )
        self.request_run = runs.RequestRun(shared, request)
        link = types.SimpleNamespace(
            remove_stream=lambda stream: None, engine_version=""
        )
        self.attempt = attempts.Attempt(1, "t", 1, link, self.stream)

    def follow_attempt(self) -> tuple[str, list[object], object]:
        """Follow the attempt; return the text, the events and the failure."""
        events: list[object] = []
        attempt_events = self.request_run.follow_attempt(self.attempt)
        try:
            while True:
                events.append(next(attempt_events))
        except StopIteration as stop:
            failure = stop.value
        text = "".join(
            token
            for event in events
            if isinstance(event, context.TokenEvent)
            for token in event.tokens
        )
        return text, events, failure

    def test_frames_received_before_following_are_delivered(self) -> None:
        # A joined stream receives frames as soon as it is attached.
        self.assertTrue(self.stream.accept(make_tokens(0, TOKENS)))
        self.assertTrue(self.stream.accept(make_end()))
        text, events, failure = self.follow_attempt()
        self.assertIsNone(failure)
        self.assertEqual("".join(TOKENS), text)
        self.assertIsInstance(events[-1], context.EndEvent)

    def test_misplaced_and_foreign_frames_are_dropped(self) -> None:
        self.assertTrue(self.stream.accept(make_tokens(0, TOKENS[:1])))
        self.assertFalse(self.stream.accept(make_tokens(0, TOKENS[:1])))
        self.assertFalse(self.stream.accept(make_tokens(2, TOKENS[2:])))
        self.assertFalse(self.stream.accept(make_tokens(1, ["z"], attempt=2)))
        self.assertTrue(self.stream.accept(make_tokens(1, TOKENS[1:])))
        self.assertTrue(self.stream.accept(make_end()))
        self.assertFalse(self.stream.accept(make_end()))
        self.assertEqual("".join(TOKENS), self.follow_attempt()[0])

    def test_incomplete_or_invalid_answer_is_rejected(self) -> None:
        invalid = {
            "length": {"length": 2},
            "digest": {"digest": "0" * 32},
            "adapter": {"adapter": "b"},
            "version": {"adapter_version": "2"},
        }
        for name, changes in invalid.items():
            with self.subTest(name):
                self.setUp()
                self.stream.accept(make_tokens(0, TOKENS))
                self.stream.accept(make_end(**changes))
                _, events, failure = self.follow_attempt()
                self.assertIsInstance(failure, outcomes.Refused)
                kinds = [type(event) for event in events]
                self.assertNotIn(context.EndEvent, kinds)

    def test_second_run_must_repeat_delivered_tokens(self) -> None:
        self.request_run.tokens = ["[a@1]", " other"]
        self.stream.accept(make_tokens(0, TOKENS))
        _, events, failure = self.follow_attempt()
        self.assertEqual([], events)
        self.assertIs(outcomes.Verdict.MAY_HAVE_RUN, failure.verdict)

    def test_second_run_continues_after_delivered_tokens(self) -> None:
        self.request_run.tokens = TOKENS[:2]
        self.stream.accept(make_tokens(0, TOKENS))
        self.stream.accept(make_end())
        text, _, failure = self.follow_attempt()
        self.assertIsNone(failure)
        self.assertEqual(TOKENS[2], text)


class TestVerdict(unittest.TestCase):
    """The verdict that callers get after several attempts."""

    def test_refusal_after_a_lost_attempt_may_have_run(self) -> None:
        request = context.RequestContext(
            "r", context.RequestKind.COMPLETION, b"", "caller", 0.0, 1e12
        )
        request.idempotent = True
        shared = types.SimpleNamespace(
            follower=None,
            target_links=None,
            counters=metrics.Metrics(),
            spend_retry=lambda: True,
        )
        run = runs.RequestRun(shared, request)
        failures = [
            outcomes.Refused(
                outcomes.RefusalCode.LOST,
                "lost",
                outcomes.Verdict.MAY_HAVE_RUN,
            ),
            outcomes.refuse(outcomes.RefusalCode.QUARANTINED, "quarantined"),
        ]
        with unittest.mock.patch.object(
            run, "start_attempt", side_effect=failures
        ):
            events = list(run.run())
        self.assertEqual(1, len(events))
        assert isinstance(events[0], context.FailureEvent)
        final = events[0].refusal
        self.assertIs(outcomes.RefusalCode.QUARANTINED, final.code)
        self.assertIs(outcomes.Verdict.MAY_HAVE_RUN, final.verdict)
