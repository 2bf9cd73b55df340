"""Identifier types."""

import typing

RequestId = typing.NewType("RequestId", str)
RequestKey = typing.NewType("RequestKey", str)
CallerId = typing.NewType("CallerId", str)
SessionId = typing.NewType("SessionId", str)
TargetId = typing.NewType("TargetId", str)
MemberId = typing.NewType("MemberId", str)
AdapterName = typing.NewType("AdapterName", str)
AdapterVersion = typing.NewType("AdapterVersion", str)
BaseModel = typing.NewType("BaseModel", str)
DeploymentName = typing.NewType("DeploymentName", str)
ServiceName = typing.NewType("ServiceName", str)
SiteName = typing.NewType("SiteName", str)
DataCentre = typing.NewType("DataCentre", str)
ChangeId = typing.NewType("ChangeId", str)
OperatorName = typing.NewType("OperatorName", str)
ClusterId = typing.NewType("ClusterId", str)
ContentDigest = typing.NewType("ContentDigest", str)

Version = typing.NewType("Version", int)
"""Position in the replicated log; it only grows."""

Incarnation = typing.NewType("Incarnation", int)
"""Start number of a process; a restarted process has a larger one."""

Fence = typing.NewType("Fence", int)
"""Fencing number on an order to an engine."""
