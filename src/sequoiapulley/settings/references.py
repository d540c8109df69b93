"""Checks across the operators' text: names that must exist, and what must be unique."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from sequoiapulley.ids import ContractName, FailureDomainName, ServiceName
from sequoiapulley.model.contract import Contract
from sequoiapulley.model.failure_domain import FailureDomain
from sequoiapulley.model.service import Service, Upstream
from sequoiapulley.settings.document import Problem
from sequoiapulley.settings.section import Section

MOST_SHOWN: Final = 8
"""Services of one cycle that a finding names."""


class ReferenceCheck:
    """Remembers what was seen and records what does not fit."""

    def __init__(
        self,
        failure_domains: Mapping[FailureDomainName, FailureDomain],
        contracts: Mapping[ContractName, Contract],
    ) -> None:
        """Initialise the check.

        Args:
            failure_domains: Every failure domain of the text.
            contracts: Every contract of the text.
        """
        self._failure_domains = failure_domains
        self._contracts = contracts
        self._instances: set[str] = set()
        self._upstreams: set[str] = set()
        self._addresses: dict[tuple[str, int], str] = {}

    def check_contract(self, name: ContractName, section: Section) -> None:
        """Records a contract that does not exist."""
        if name and name not in self._contracts:
            section.report(f'contract "{name}" does not exist', "contract")

    def check_instance(self, name: str, section: Section) -> None:
        """Records an instance name that another service has."""
        if name in self._instances:
            section.report(f'instance "{name}" exists twice', at_key=True)
        self._instances.add(name)

    def check_upstream(self, upstream: Upstream, section: Section) -> None:
        """Records an unknown failure domain, a name that exists twice and a shared address."""
        if upstream.failure_domain and upstream.failure_domain not in self._failure_domains:
            section.report(f'failure domain "{upstream.failure_domain}" does not exist', "place")
        if upstream.name in self._upstreams:
            section.report(f'upstream "{upstream.name}" exists twice', at_key=True)
        self._upstreams.add(upstream.name)
        if not upstream.port:
            return
        address = (upstream.host, upstream.port)
        other = self._addresses.setdefault(address, upstream.name)
        if other != upstream.name:
            message = f'upstreams "{other}" and "{upstream.name}" share one address'
            section.report(message, "address")

    def check_dependencies(
        self, services: Mapping[ServiceName, Service], problems: list[Problem]
    ) -> None:
        """Records dependencies on unknown services, and every cycle once."""
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
    """Walks depth first, without recursion, and records each edge that closes a cycle."""
    if start in finished:
        return
    trail = {start: None}
    pending = [iter(enumerate(services[start].depends_on))]
    while pending:
        step = next(pending[-1], None)
        if step is None:
            pending.pop()
            finished.add(trail.popitem()[0])
            continue
        index, dependency = step
        if dependency in trail:
            message = f"services depend on each other: {_format_cycle(list(trail), dependency)}"
            problems.append(_at_dependency(services[next(reversed(trail))], index, message))
            continue
        if dependency in finished or dependency not in services:
            continue
        trail[dependency] = None
        pending.append(iter(enumerate(services[dependency].depends_on)))


def _format_cycle(trail: list[ServiceName], dependency: ServiceName) -> str:
    cycle = trail[trail.index(dependency) :]
    shown = [*cycle[:MOST_SHOWN], "..."] if len(cycle) > MOST_SHOWN else cycle
    return " -> ".join([*shown, dependency])


def _at_dependency(service: Service, index: int, message: str) -> Problem:
    return Problem(("services", service.name, "depends_on", index), message)
