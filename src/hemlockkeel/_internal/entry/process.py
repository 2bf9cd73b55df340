"""Creates the components of an entry and runs them."""

import dataclasses
import functools
import threading
import time

from hemlockkeel._internal.entry import app
from hemlockkeel._internal.entry import dispatcher
from hemlockkeel._internal.entry import parse
from hemlockkeel._internal.entry import records
from hemlockkeel._internal.entry import runs
from hemlockkeel._internal.entry import target_links
from hemlockkeel._internal.entry.filters import admission
from hemlockkeel._internal.entry.filters import base
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision
from hemlockkeel._internal.utils import web_server

# Threads beyond the request limit, so that requests over the limit are refused
# without waiting for a thread.
SPARE_THREADS = 16
HOUSEKEEPING_INTERVAL_S = 0.2
# The web server reads bodies up to this multiple of the limit, so that the
# caller receives a refusal; it closes the connection for larger ones.
SERVER_BODY_LIMIT_FACTOR = 4
DRAIN_POLL_INTERVAL_S = 0.05
# Time for the load balancer to see the failing readiness check before the
# entry stops accepting connections.
BALANCER_NOTICE_S = 1.0
# Time that a stopping entry gives callers to finish the requests that they
# have begun to send, so that it can refuse them.
INCOMPLETE_REQUESTS_S = 5.0


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry; ``control`` lists the control addresses."""

    member_id: str
    control: list[str]
    secret: str
    data_centre: str
    site: str
    host: str = "127.0.0.1"
    port: int = 0
    max_in_flight: int = 256
    balancer_notice_s: float = BALANCER_NOTICE_S
    router: routing.Router = dataclasses.field(
        default_factory=routing.LeastCost
    )


class EntryProcess:
    """An entry with its web server and its links to targets."""

    def __init__(
        self, settings: EntrySettings, counters: metrics.Metrics
    ) -> None:
        self.settings = settings
        self.counters = counters
        self.stopping = threading.Event()
        self.control = control_client.ControlClient(
            settings.control, settings.secret, settings.member_id
        )
        self.follower = follower.Follower(
            members.Description(
                settings.member_id,
                members.Role.ENTRY,
                "",
                settings.data_centre,
                settings.site,
            ),
            self.control,
            clock.SystemClock(),
        )
        self.target_links = target_links.TargetLinks(
            self.follower, settings.secret, counters
        )
        self.recorder = records.Recorder(self.control, counters)
        self.dispatcher = dispatcher.Dispatcher(
            self.follower,
            self.target_links,
            self.recorder,
            settings.router,
            counters,
        )
        self.limit = admission.LimitFilter(settings.max_in_flight, counters)
        chain = base.make_chain(
            [
                admission.ReadinessFilter(self.follower),
                admission.ModelFilter(self.follower),
                admission.QuarantineFilter(self.follower, counters),
                self.limit,
            ],
            functools.partial(runs.handle, self.dispatcher),
        )
        self.web = web_server.WebServer(
            app.EntryApp(self.follower, chain, self.recorder, counters),
            settings.host,
            settings.port,
            int(settings.max_in_flight * limits.MAX_TOTAL_SHARE)
            + SPARE_THREADS,
            SERVER_BODY_LIMIT_FACTOR * parse.MAX_BODY_BYTES,
        )
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run, self.stopping),
            name="entry",
            daemon=True,
        )

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{self.web.address}"

    def start(self) -> None:
        """Start serving."""
        self.follower.start()
        self.target_links.start()
        self.web.start()
        self.thread.start()
        logs.log_event(
            "entry_started", entry=self.settings.member_id, url=self.url
        )

    def run(self) -> None:
        """Cancel attempts of disconnected callers until stopped."""
        while not self.stopping.wait(HOUSEKEEPING_INTERVAL_S):
            self.dispatcher.cancel_due(time.monotonic())

    def drain(self) -> None:
        """Refuse new requests and wait until those in flight have finished.

        Also waits until their responses have been sent, and for a limited
        time for the rest of requests that have arrived in part.
        """
        self.follower.leave()
        self.stopping.wait(self.settings.balancer_notice_s)
        incomplete_until = time.monotonic() + INCOMPLETE_REQUESTS_S
        while not self.stopping.is_set() and (
            self.count_unfinished() > 0
            or self.web.count_unsent() > 0
            or (
                self.web.count_incomplete() > 0
                and time.monotonic() < incomplete_until
            )
        ):
            self.stopping.wait(DRAIN_POLL_INTERVAL_S)
        self.recorder.stop()

    def count_unfinished(self) -> int:
        """Return the number of requests in flight."""
        return self.limit.count_in_flight()

    def stop(self) -> None:
        """Stop without waiting for requests in flight."""
        self.stopping.set()
        self.web.stop()
        self.target_links.stop()
        self.follower.stop()
        self.control.close()
