"""Types of identifiers."""

import typing

RequestId = typing.NewType("RequestId", str)
CallerId = typing.NewType("CallerId", str)
TargetId = typing.NewType("TargetId", str)
AdapterName = typing.NewType("AdapterName", str)
AdapterVersion = typing.NewType("AdapterVersion", str)
ChangeId = typing.NewType("ChangeId", str)
ContentDigest = typing.NewType("ContentDigest", str)
Trait = typing.NewType("Trait", str)

Incarnation = typing.NewType("Incarnation", int)
"""Number of a start of a process; increases with every restart."""

Fence = typing.NewType("Fence", int)
"""Fencing token of an order to an engine; a later one is higher."""
