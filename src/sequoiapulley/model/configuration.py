"""The validated configuration that every node applies."""

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
    """The configuration that a valid configuration text defines."""

    version: ConfigVersion
    workspace: WorkspaceName
    failure_domains: dict[FailureDomainName, FailureDomain]
    contracts: dict[ContractName, Contract]
    services: dict[ServiceName, Service]

    def dependency_closure(self, name: ServiceName) -> tuple[Service, ...]:
        """Returns a service and its direct and indirect dependencies, each once.

        Args:
            name: A service of this configuration.

        Returns:
            The services in breadth-first order, starting with the named one.

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
        """Returns the contract of a service, which limits the use of its upstreams."""
        return self.contracts[service.contract]
