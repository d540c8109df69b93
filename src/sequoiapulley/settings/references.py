"""Checks of references and uniqueness across a whole configuration text."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from sequoiapulley.ids import ContractName, FailureDomainName, ServiceName
from sequoiapulley.model.contract import Contract
from sequoiapulley.model.failure_domain import FailureDomain
from sequoiapulley.model.service import Service, Upstream
from sequoiapulley.settings.document import Problem
from sequoiapulley.settings.section import Section

MAX_CYCLE_SERVICES: Final = 8
"""Maximum number of services that a finding lists for a dependency cycle."""


class ReferenceChecker:
    """Reports undefined references, duplicate names, shared addresses and dependency cycles."""

    def __init__(
        self,
        failure_domains: Mapping[FailureDomainName, FailureDomain],
        contracts: Mapping[ContractName, Contract],
    ) -> None:
        """Initialise the checker.

        Args:
            failure_domains: All failure domains of the configuration.
            contracts: All contracts of the configuration.
        """
        self._failure_domains = failure_domains
        self._contracts = contracts
        self._instances: set[str] = set()
        self._upstreams: set[str] = set()
        self._addresses: dict[tuple[str, int], str] = {}

    def check_contract(self, name: ContractName, section: Section) -> None:
        """Reports a reference to an undefined contract."""
        if name and name not in self._contracts:
            section.report(f'contract "{name}" does not exist', "contract")

    def check_instance(self, name: str, section: Section) -> None:
        """Reports an instance name that is already in use."""
        if name in self._instances:
            section.report(f'instance "{name}" is defined twice', at_key=True)
        self._instances.add(name)

    def check_upstream(self, upstream: Upstream, section: Section) -> None:
        """Reports an undefined failure domain, a duplicate name or a shared address."""
        if upstream.failure_domain and upstream.failure_domain not in self._failure_domains:
            section.report(f'failure domain "{upstream.failure_domain}" does not exist', "place")
        if upstream.name in self._upstreams:
            section.report(f'upstream "{upstream.name}" is defined twice', at_key=True)
        self._upstreams.add(upstream.name)
        if not upstream.port:
            return
        address = (upstream.host, upstream.port)
        other = self._addresses.setdefault(address, upstream.name)
        if other != upstream.name:
            message = f'upstreams "{other}" and "{upstream.name}" have the same address'
            section.report(message, "address")

    def check_dependencies(
        self, services: Mapping[ServiceName, Service], problems: list[Problem]
    ) -> None:
        """Reports dependencies on undefined services, and dependency cycles."""
        for service in services.values():
            for index, dependency in enumerate(service.depends_on):
                if dependency not in services:
                    message = f'service "{dependency}" does not exist'
                    problems.append(_at_dependency(service, index, message))
        finished: set[ServiceName] = set()
        for name in services:
            _find_cycles(name, services, finished, problems)


def _find_cycles(
    start: ServiceName,
    services: Mapping[ServiceName, Service],
    finished: set[ServiceName],
    problems: list[Problem],
) -> None:
    """Reports each edge that closes a cycle, found by an iterative depth-first search."""
    if start in finished:
        return
    path = {start: None}
    pending = [iter(enumerate(services[start].depends_on))]
    while pending:
        step = next(pending[-1], None)
        if step is None:
            pending.pop()
            finished.add(path.popitem()[0])
            continue
        index, dependency = step
        if dependency in path:
            message = f"dependency cycle: {_format_cycle(list(path), dependency)}"
            problems.append(_at_dependency(services[next(reversed(path))], index, message))
            continue
        if dependency in finished or dependency not in services:
            continue
        path[dependency] = None
        pending.append(iter(enumerate(services[dependency].depends_on)))


def _format_cycle(path: list[ServiceName], dependency: ServiceName) -> str:
    cycle = path[path.index(dependency) :]
    shown = [*cycle[:MAX_CYCLE_SERVICES], "..."] if len(cycle) > MAX_CYCLE_SERVICES else cycle
    return " -> ".join([*shown, dependency])


def _at_dependency(service: Service, index: int, message: str) -> Problem:
    return Problem(("services", service.name, "depends_on", index), message)
