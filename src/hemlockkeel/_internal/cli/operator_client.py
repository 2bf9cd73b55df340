"""Client of the admin API; finds the control leader."""

import contextlib
import http.client
import json
import time
import typing
import urllib.parse

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.utils import bounded_http

SOCKET_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 10.0
# A backup is the largest reply.
MAX_REPLY_BYTES = 256 * 1024 * 1024
# Returned by a control member that does not lead or cannot commit now.
RETRYABLE_STATUS = 503


class OperatorClient:
    """Sends calls to each control URL in turn until the leader answers."""

    def __init__(self, urls: list[str], token: str) -> None:
        if not urls:
            raise exceptions.BadSettingError(
                "--control-url is missing; set it to http://host:port,..."
            )
        self.urls = urls
        self.token = token

    def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> typing.Any:
        """Call the leader and return its decoded reply.

        Failed calls are retried for ``timeout_s``. This is safe for changes
        as well: the control role applies each change id once, and changes
        of the control members are idempotent.

        :raises ControlUnavailableError: when no leader answers in time.
        :raises OperatorApiError: when the leader refuses the call.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            failures = []
            for url in self.urls:
                try:
                    status, reply = self.send_request(url, method, path, body)
                except (OSError, http.client.HTTPException) as error:
                    failures.append(f"{url}: {error}")
                    continue
                if status != RETRYABLE_STATUS:
                    return check_reply(status, reply)
                failures.append(f"{url}: {get_error_message(reply)}")
            if time.monotonic() >= deadline:
                raise exceptions.ControlUnavailableError(
                    "no control leader answered: " + "; ".join(failures)
                )
            time.sleep(RETRY_DELAY_S)

    def send_request(
        self, url: str, method: str, path: str, body: typing.Any
    ) -> tuple[int, typing.Any]:
        """Send one call to one member; return its status and reply.

        The reply is bytes unless its content type is JSON.
        """
        parts = urllib.parse.urlsplit(url)
        connection = bounded_http.Connection(
            parts.hostname or "",
            parts.port,
            SOCKET_TIMEOUT_S,
            MAX_REPLY_BYTES,
        )
        data = None if body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {self.token}"}
        with contextlib.closing(connection):
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            payload = response.read()
        if response.getheader("Content-Type") != "application/json":
            return response.status, payload
        return response.status, json.loads(payload)


def get_error_message(reply: typing.Any) -> str:
    """Return the message of an error reply, or the start of its text."""
    if isinstance(reply, dict) and "error" in reply:
        return str(reply["error"]["message"])
    return str(reply)[:200]


def check_reply(status: int, reply: typing.Any) -> typing.Any:
    """Return the reply of a successful call.

    :raises OperatorApiError: when the status is an error.
    """
    if status < http.client.BAD_REQUEST:
        return reply
    if isinstance(reply, dict) and "reasons" in reply:
        reasons = "\n".join(f"  - {reason}" for reason in reply["reasons"])
        message = f"{reply['status']}:\n{reasons}"
        raise exceptions.OperatorApiError(message, status, reply["status"])
    code = "error"
    if isinstance(reply, dict) and "error" in reply:
        code = str(reply["error"]["code"])
    raise exceptions.OperatorApiError(get_error_message(reply), status, code)
