"""State that all requests of an entry share."""

import dataclasses
import random

from hemlockkeel._internal.relay import adapters
from hemlockkeel._internal.relay import crashes
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import origin_directory
from hemlockkeel._internal.relay import quotas
from hemlockkeel._internal.relay import rate_limits
from hemlockkeel._internal.relay import suspects
from hemlockkeel._internal.relay import target_registry as registry_module
from hemlockkeel._internal.relay import version_proofs
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import reserve_share
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import instruments


@dataclasses.dataclass
class SharedState:
    """What forwarding decisions are based on, and where they are recorded."""

    registry: registry_module.TargetRegistry
    codec: header_codec.HeaderCodec
    adapter_client: adapters.AdapterClient
    crashes: crashes.CrashMonitor
    rate_limits: rate_limits.RateLimits
    log: event_log.EventLog
    instruments: instruments.Instruments
    rng: random.Random
    data_centre: str
    retry_limits: budget.RetryBudgetLimits
    reserve_share: reserve_share.ReserveShare
    origins: origin_directory.OriginDirectory
    # Counts the time for which the instance is suspended; the event loop's
    # clock may not.
    clock: clock.Clock
    quotas: quotas.Quotas
    configuration: table.Configuration | None = None
    # None if keys that were revoked need not stop working in time.
    proofs: version_proofs.VersionProofs | None = None
    # Loop time at which the last responses are sent; set during a shutdown
    # once the balancer has had time to move callers to other entries.
    stops_at: float | None = None
    budgets: dict[str, budget.RetryBudget] = dataclasses.field(
        default_factory=dict
    )

    @property
    def suspects(self) -> suspects.Suspects:
        """Return what is suspected of crashing targets."""
        return self.crashes.suspects

    def get_reserve_share(self) -> float:
        """Return the share of the retry reserve that may be used now."""
        return self.reserve_share.get(self.clock.monotonic())

    def get_budget(self, service: str) -> budget.RetryBudget:
        """Return the retry budget of a service, creating it if needed."""
        retry_budget = self.budgets.get(service)
        if retry_budget is None:
            retry_budget = budget.RetryBudget(self.retry_limits)
            self.budgets[service] = retry_budget
        return retry_budget
