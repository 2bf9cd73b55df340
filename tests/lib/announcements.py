"""Announcements of stand-in targets."""

from hemlockkeel._internal.discovery import records

SLOTS = 64


def make_record(
    name: str,
    service: records.ServiceName,
    address: str,
    sequence: int,
    started_at_ms: int = 1,
    state: records.TargetState = records.TargetState.READY,
    slots: int = SLOTS,
    software_version: str = "",
) -> records.TargetRecord:
    """Return an announcement of a target in the entries' data centre."""
    return records.TargetRecord(
        records.InstanceId(name),
        service,
        address,
        "dc1",
        state,
        sequence,
        started_at_ms,
        slots,
        software_version=software_version,
    )
