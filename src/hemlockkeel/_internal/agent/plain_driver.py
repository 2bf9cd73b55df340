"""Driver for a plain HTTP service, to which requests are forwarded."""

import concurrent.futures
import contextlib
import http.client
import threading
import time

from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import driver
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import digests

CONNECT_TIMEOUT_S = 2.0


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
        """Forward one request and store its complete answer."""
        try:
            frame = self.call_service(order, deadline)
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
            return answers.make_failure(
                order.request_id,
                order.attempt,
                outcomes.refuse(
                    outcomes.RefusalCode.DEADLINE,
                    "the deadline passed before the request could start",
                ),
            )
        connection = http.client.HTTPConnection(
            self.host, self.port, timeout=CONNECT_TIMEOUT_S
        )
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
            connection.sock.settimeout(remaining)
            verdict = outcomes.Verdict.MAY_HAVE_RUN
            headers = {"Content-Type": "application/json"}
            connection.request(order.method, order.path, order.body, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            refusal = outcomes.Refused(
                outcomes.RefusalCode.LOST,
                f"the service did not respond: {error}",
                verdict,
            )
            return answers.make_failure(
                order.request_id, order.attempt, refusal
            )
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
        )

    def count_unfinished(self) -> int:
        with self.lock:
            return len(self.unfinished)
