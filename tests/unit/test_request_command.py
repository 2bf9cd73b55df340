"""Responses that the command ``hemlockkeel request`` prints."""

import contextlib
import io
import unittest

import typer

from hemlockkeel._internal.cli import exit_codes
from hemlockkeel._internal.commands import request
from tests.unit import test_bounded_http

STREAM = (
    test_bounded_http.HEAD
    + b"Content-Type: text/event-stream\r\n\r\n"
    + b'data: {"choices": [{"text": "a"}]}\n\n'
)
END = b"data: [DONE]\n\n"


class TestStream(unittest.TestCase):
    """Guards against streams that end early and look complete."""

    def run_command(self, data: bytes) -> int:
        """Print a response; return the exit code of the command."""
        server = test_bounded_http.CuttingServer(data)
        self.addCleanup(server.stop)
        with (
            contextlib.redirect_stdout(io.StringIO()),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            try:
                request.request(
                    "prompt",
                    model="m",
                    service="",
                    entry_url=f"http://127.0.0.1:{server.port}",
                    max_tokens=1,
                    key="",
                    as_json=False,
                )
            except typer.Exit as error:
                return error.exit_code
        return 0

    def test_stream_without_its_last_event_has_failed(self) -> None:
        self.assertEqual(self.run_command(STREAM + END), 0)
        self.assertEqual(self.run_command(STREAM), exit_codes.FAILED)

    def test_cut_head_is_no_response(self) -> None:
        self.assertEqual(self.run_command(STREAM[:30]), exit_codes.UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
