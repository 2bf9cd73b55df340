"""Where streams began: what may write the rest of them."""

import msgspec

from hemlockkeel._internal.discovery import records


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """The service and the software version that began a stream.

    What two versions write does not fit together, so a stream goes on only
    at targets of the same service and version.
    """

    service: records.ServiceName
    software_version: str

    def matches(self, record: records.TargetRecord) -> bool:
        """Return whether a target may go on with the stream."""
        return (
            record.service == self.service
            and record.software_version == self.software_version
        )
