"""End-to-end tests of requests from a caller to an engine and back."""

import unittest

from tests.lib import calls
from tests.lib import clusters


class TestWholePath(unittest.TestCase):
    """Requests through all roles of a healthy cluster."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = clusters.Cluster()
        cls.addClassCleanup(cls.cluster.stop)

    def test_answer_comes_from_requested_adapter_version(self) -> None:
        reply = calls.complete(self.cluster.url, "check-1@2")
        self.assertEqual(200, reply.status, reply.body)
        body = reply.json()
        self.assertEqual("check-1@2", body["hemlockkeel"]["adapter"])
        self.assertTrue(body["choices"][0]["text"].startswith("[check-1@2]"))
        self.assertEqual(6, body["usage"]["completion_tokens"])

    def test_versions_of_one_adapter_give_different_answers(self) -> None:
        first = calls.complete(self.cluster.url, "check-1@1").json()
        second = calls.complete(self.cluster.url, "check-1@2").json()
        texts = [r["choices"][0]["text"] for r in (first, second)]
        self.assertTrue(texts[0].startswith("[check-1@1]"))
        self.assertTrue(texts[1].startswith("[check-1@2]"))
        self.assertNotEqual(texts[0][11:], texts[1][11:])

    def test_stream_equals_unstreamed_answer(self) -> None:
        reply = calls.complete(self.cluster.url, "club-1@1", "same", 9)
        stream = calls.SseStream(self.cluster.url, "club-1@1", "same", 9)
        stream.read_all()
        text = reply.json()["choices"][0]["text"]
        self.assertEqual(text, stream.text)
        self.assertEqual(9, stream.finish["length"])

    def test_chat_request_is_answered(self) -> None:
        body = {
            "model": "club-2@1",
            "messages": [{"role": "user", "content": "hi"}],
            "max_tokens": 3,
        }
        url = f"{self.cluster.url}/v1/chat/completions"
        reply = calls.call(url, "POST", body).json()
        content = reply["choices"][0]["message"]["content"]
        self.assertTrue(content.startswith("[club-2@1]"))

    def test_base_model_is_served_without_adapter(self) -> None:
        reply = calls.complete(self.cluster.url, "scribe-7b")
        text = reply.json()["choices"][0]["text"]
        self.assertTrue(text.startswith("[scribe-7b]"), text)

    def test_models_are_listed(self) -> None:
        reply = calls.call(f"{self.cluster.url}/v1/models").json()
        names = [model["id"] for model in reply["data"]]
        self.assertIn("check-1@2", names)
        self.assertEqual(10, len(names))

    def test_plain_service_request_is_forwarded(self) -> None:
        url = f"{self.cluster.url}/services/entries-app/entries"
        reply = calls.call(url, "POST", {"runner": "W12"})
        self.assertEqual(201, reply.status, reply.body)
        listed = calls.call(url).json()["entries"]
        self.assertIn({"runner": "W12"}, listed)
        self.assertEqual("ran", reply.headers["Hemlockkeel-Verdict"])

    def test_status_lists_registered_members(self) -> None:
        status = self.cluster.operator.get("/v1/status").json()
        roles = sorted(
            member["description"]["role"] for member in status["members"]
        )
        self.assertEqual(["agent", "agent", "agent", "entry"], roles)
        self.assertTrue(status["in_force"])
