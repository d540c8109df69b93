"""Identifier types shared by all packages."""

from __future__ import annotations

from typing import NewType

WorkspaceName = NewType("WorkspaceName", str)
ServiceName = NewType("ServiceName", str)
InstanceName = NewType("InstanceName", str)
UpstreamName = NewType("UpstreamName", str)
FailureDomainName = NewType("FailureDomainName", str)
RegionName = NewType("RegionName", str)
ContractName = NewType("ContractName", str)
ShardId = NewType("ShardId", str)
NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", int)
CallerId = NewType("CallerId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Fingerprint = NewType("Fingerprint", str)
ExchangeId = NewType("ExchangeId", int)
ConfigVersion = NewType("ConfigVersion", int)
EditId = NewType("EditId", str)
Revision = NewType("Revision", int)
Era = NewType("Era", int)
LeaseId = NewType("LeaseId", str)
