"""Driver for a plain HTTP service, to which requests are forwarded.

A plain service does not report its starts. It has crashed if it refuses
connections after a response was lost; the next connection that it accepts is
taken for a new start.
"""

import concurrent.futures
import contextlib
import http.client
import math
import socket
import threading
import time
import uuid

from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import batch
from hemlockkeel._internal.agent import crashes
from hemlockkeel._internal.agent import driver
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import bounded_http
from hemlockkeel._internal.utils import byte_limit
from hemlockkeel._internal.utils import digests
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import pause

CONNECT_TIMEOUT_S = 2.0
MS_PER_S = 1000
# Response bodies that are being read, of all requests together.
MAX_READ_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024


class NoMemoryError(http.client.HTTPException):
    """All responses together take too much memory."""


class PlainDriver(driver.TargetDriver):
    """Forwards requests to one plain service, from a bounded queue."""

    def __init__(
        self,
        host: str,
        port: int,
        service: str,
        target_id: str,
        store: answers.AnswerStore,
        follower: follower.Follower,
        reporter: crashes.CrashReporter,
        concurrent_calls: int = 16,
        max_queued: int = 256,
    ) -> None:
        self.host = host
        self.port = port
        self.service = service
        self.target_id = target_id
        self.store = store
        self.follower = follower
        self.concurrent_calls = concurrent_calls
        self.max_queued = max_queued
        self.lock = threading.Lock()
        self.unfinished: dict[str, ttypes.WorkOrder] = {}
        self.reporter = reporter
        self.batch = batch.IsolatingBatch()
        # Identifies the present start of the service in crash reports.
        self.boot_id = str(uuid.uuid4())
        self.crashed = False
        self.pause = pause.Pause()
        self.read_limit = byte_limit.ByteLimit(MAX_READ_BYTES)
        self.executor = concurrent.futures.ThreadPoolExecutor(
            concurrent_calls, "plain-call"
        )

    def describe(self) -> members.TargetInfo:
        return members.TargetInfo(
            self.target_id,
            members.TargetKind.PLAIN,
            self.service,
            batch_slots=self.concurrent_calls,
        )

    def start(self) -> None:
        """Do nothing; a plain service needs no background work."""

    def stop(self) -> None:
        self.reporter.stop()
        self.batch.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def submit(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        with self.lock:
            limit = self.concurrent_calls + self.max_queued
            if len(self.unfinished) >= limit:
                return outcomes.refuse(
                    outcomes.RefusalCode.BUSY,
                    "the queue of the service is full",
                    1000,
                )
            self.unfinished[order.request_id] = order
        deadline = time.monotonic() + order.deadline_ms / 1000.0
        self.executor.submit(self.run, order, deadline)
        return None

    def run(self, order: ttypes.WorkOrder, deadline: float) -> None:
        """Forward one request and store its complete answer.

        A suspected request is forwarded once no other one is in progress.
        """
        suspect = order.suspect or self.follower.catalog.is_suspect(
            order.content_digest
        )
        try:
            if self.batch.enter(order.content_digest, suspect, deadline):
                try:
                    frame = self.call_service(order, deadline)
                finally:
                    self.batch.leave(order.content_digest)
            else:
                frame = make_expired_frame(order)
        finally:
            with self.lock:
                self.unfinished.pop(order.request_id, None)
        self.store.end(frame)

    def call_service(
        self, order: ttypes.WorkOrder, deadline: float
    ) -> ttypes.AnswerFrame:
        """Return the frame with the service's response or the failure."""
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            return make_expired_frame(order)
        catalog = self.follower.catalog
        if catalog.is_quarantined(order.content_digest, time.time()):
            return answers.make_failure(
                order.request_id,
                order.attempt,
                outcomes.refuse(
                    outcomes.RefusalCode.QUARANTINED,
                    "requests with the same content crashed several targets",
                ),
            )
        pause_s = self.pause.get_remaining_s()
        if pause_s:
            return answers.make_failure(
                order.request_id,
                order.attempt,
                outcomes.refuse(
                    outcomes.RefusalCode.BUSY,
                    "the service asked for a pause",
                    math.ceil(pause_s * MS_PER_S),
                ),
            )
        connection = bounded_http.Connection(
            self.host, self.port, CONNECT_TIMEOUT_S
        )
        connection.set_limits(remaining, remaining)
        with contextlib.closing(connection):
            return self.send_call(order, connection, remaining)

    def send_call(
        self,
        order: ttypes.WorkOrder,
        connection: http.client.HTTPConnection,
        remaining: float,
    ) -> ttypes.AnswerFrame:
        """Connect, send the request and read the response.

        A failure to connect has the verdict NOT_RUN; later failures have
        MAY_HAVE_RUN.
        """
        verdict = outcomes.Verdict.NOT_RUN
        try:
            connection.connect()
            self.record_connected()
            connection.sock.settimeout(remaining)
            verdict = outcomes.Verdict.MAY_HAVE_RUN
            headers = {"Content-Type": "application/json"}
            connection.request(order.method, order.path, order.body, headers)
            response = connection.getresponse()
            self.pause.record_response(response)
            data = self.read_body(response)
        except (OSError, http.client.HTTPException) as error:
            if verdict is outcomes.Verdict.MAY_HAVE_RUN:
                self.check_crash(self.batch.list_members())
            refusal = outcomes.Refused(
                outcomes.RefusalCode.LOST,
                f"the service did not respond: {error}",
                verdict,
            )
            return answers.make_failure(
                order.request_id, order.attempt, refusal
            )
        if order.suspect and response.status < http.HTTPStatus.BAD_REQUEST:
            self.reporter.clear_suspicion([order.content_digest])
        return ttypes.AnswerFrame(
            request_id=order.request_id,
            attempt=order.attempt,
            offset=0,
            kind=ttypes.FrameKind.END,
            tokens=[],
            digest=digests.digest_content(data),
            length=len(data),
            verdict=outcomes.Verdict.RAN,
            code="",
            message="",
            status=response.status,
            payload=data,
            content_type=response.getheader("Content-Type", ""),
        )

    def read_body(self, response: http.client.HTTPResponse) -> bytes:
        """Return the body of a response.

        :raises IncompleteRead: when it ends early.
        :raises NoMemoryError: when all bodies that are read take too much.
        """
        body = bytearray()
        held_bytes = 0
        try:
            while True:
                if not self.read_limit.try_acquire(READ_BYTES):
                    raise NoMemoryError("no memory left for responses")
                held_bytes += READ_BYTES
                data = response.read(READ_BYTES)
                body += data
                self.read_limit.release(held_bytes - len(body))
                held_bytes = len(body)
                if not data:
                    break
        finally:
            self.read_limit.release(held_bytes)
        if response.length:
            raise http.client.IncompleteRead(bytes(body), response.length)
        return bytes(body)

    def record_connected(self) -> None:
        """Record that the service listens, after a crash in a new start."""
        with self.lock:
            if self.crashed:
                self.crashed = False
                self.boot_id = str(uuid.uuid4())

    def check_crash(self, digests: list[str]) -> None:
        """Report a crash if the service refuses connections.

        ``digests`` are those of the requests in progress when a response was
        lost. Those that are lost at the same crash report it together.
        """
        with self.lock:
            boot_id = self.boot_id
        try:
            with socket.create_connection(
                (self.host, self.port), CONNECT_TIMEOUT_S
            ):
                return
        except ConnectionRefusedError:
            with self.lock:
                self.crashed = True
            self.reporter.report(boot_id, digests)
        except OSError as error:
            logs.log_error("crash_probe_failed", reason=error)

    def cancel(self, request_id: str, attempt: int) -> bool:
        # A request to a plain service cannot be cancelled once it is sent.
        return False

    def get_load(
        self, known_epoch: int = driver.UNKNOWN_EPOCH
    ) -> ttypes.LoadReport:
        with self.lock:
            unfinished = len(self.unfinished)
        running = min(unfinished, self.concurrent_calls)
        return ttypes.LoadReport(
            running=running,
            queued=unfinished - running,
            batch_slots=self.concurrent_calls,
            adapters=[],
            loading=[],
            adapters_epoch=0,
            accepting=self.follower.get_state()
            is follower.FollowerState.READY,
            adapter_slots=0,
            incarnation=self.follower.incarnation,
            prefixes=[],
            eviction_value=0.0,
            free_slots=0,
            queued_by_rank=[unfinished - running],
            engine_version="",
        )

    def count_unfinished(self) -> int:
        with self.lock:
            return len(self.unfinished)


def make_expired_frame(order: ttypes.WorkOrder) -> ttypes.AnswerFrame:
    """Return the failure of an order whose deadline passed before its run."""
    return answers.make_failure(
        order.request_id,
        order.attempt,
        outcomes.refuse(
            outcomes.RefusalCode.DEADLINE,
            "the deadline passed before the request could start",
        ),
    )
