"""One accepted configuration, as every node applies it."""

from __future__ import annotations

from msgspec import Struct

from sequoiapulley.ids import (
    ConfigVersion,
    ContractName,
    FailureDomainName,
    ServiceName,
    WorkspaceName,
)
from sequoiapulley.model.contract import Contract
from sequoiapulley.model.failure_domain import FailureDomain
from sequoiapulley.model.service import Service


class Configuration(Struct, frozen=True):
    """The operators' text after its check."""

    version: ConfigVersion
    workspace: WorkspaceName
    failure_domains: dict[FailureDomainName, FailureDomain]
    contracts: dict[ContractName, Contract]
    services: dict[ServiceName, Service]

    def closure(self, name: ServiceName) -> tuple[Service, ...]:
        """Lists a service and everything it depends on, each once, the service first.

        Args:
            name: A service of this configuration.

        Returns:
            The services in breadth-first order.

        Raises:
            KeyError: If the service does not exist.
        """
        found = [self.services[name]]
        seen = {name}
        for service in found:
            for dependency in service.depends_on:
                if dependency in seen:
                    continue
                seen.add(dependency)
                found.append(self.services[dependency])
        return tuple(found)

    def contract_of(self, service: Service) -> Contract:
        """Returns the contract that the upstreams of a service keep."""
        return self.contracts[service.contract]
