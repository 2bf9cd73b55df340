"""Identifier types."""

import typing

RequestId = typing.NewType("RequestId", str)
CallerId = typing.NewType("CallerId", str)
TargetId = typing.NewType("TargetId", str)
AdapterName = typing.NewType("AdapterName", str)
AdapterVersion = typing.NewType("AdapterVersion", str)
ChangeId = typing.NewType("ChangeId", str)
ContentDigest = typing.NewType("ContentDigest", str)

Incarnation = typing.NewType("Incarnation", int)
"""Start number of a process; a restarted process has a larger one."""

Fence = typing.NewType("Fence", int)
"""Fencing number on an order to an engine."""
