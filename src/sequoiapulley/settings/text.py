"""Parsing and validation of the configuration text, which operators write.

The text calls the workspace `customer` and a failure domain `place`.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Final

from result import Err, Ok, Result

from sequoiapulley.ids import (
    ConfigVersion,
    ContractName,
    FailureDomainName,
    InstanceName,
    RegionName,
    ServiceName,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model.configuration import Configuration
from sequoiapulley.model.contract import Contract
from sequoiapulley.model.failure_domain import FailureDomain
from sequoiapulley.model.service import Instance, Objectives, SearchPolicy, Service, Upstream
from sequoiapulley.settings.document import Problem, blank_comments, decode_blanked
from sequoiapulley.settings.finding import Finding
from sequoiapulley.settings.references import ReferenceChecker
from sequoiapulley.settings.section import Section

MAX_TEXT_BYTES: Final = 800_000
"""Size limit in UTF-8. The store accepts values of up to 1 MB, and escaping of quotes and line
breaks makes the stored value longer than the text."""
INSTANCES_PER_STEP: Final = 50
"""Instances of one service that are read between two yields to the event loop."""
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_OPEN_MS: Final = 10_000.0
MAX_DEADLINE_MS: Final = 60_000.0
MAX_WEIGHT: Final = 1_000
MAX_OBJECTIVE: Final = 0.999_999
"""Less than 1, because the burn rate is a ratio to the allowed share of bad events."""

_POLICY: Final = SearchPolicy()
_OBJECTIVES: Final = Objectives()


ParsedConfiguration = Result[Configuration, tuple[Finding, ...]]


def parse_configuration(text: str, version: ConfigVersion, file: str) -> ParsedConfiguration:
    """Parses and validates a configuration text.

    Args:
        text: JSON with comments.
        version: Version to assign to the configuration.
        file: File name for findings.

    Returns:
        The configuration, or all findings in text order.
    """
    steps = parse_configuration_in_steps(text, version, file)
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            result: ParsedConfiguration = exc.value
            return result


def parse_configuration_in_steps(
    text: str, version: ConfigVersion, file: str
) -> Generator[None, None, ParsedConfiguration]:
    """Parses and validates a configuration text in steps, so that the event loop is not blocked.

    Args:
        text: JSON with comments.
        version: Version to assign to the configuration.
        file: File name for findings.

    Yields:
        None after each step; other work may run in between.

    Returns:
        The configuration, or all findings in text order.
    """
    size = len(text.encode("utf-8", "replace"))
    if size > MAX_TEXT_BYTES:
        message = f"the text has {size} bytes, at most {MAX_TEXT_BYTES} can be stored"
        return Err((Finding(file, 1, 1, message),))
    blanked = blank_comments(text, file)
    if isinstance(blanked, Err):
        return blanked
    yield
    document = decode_blanked(blanked.ok_value, file)
    if isinstance(document, Err):
        return document
    yield
    problems: list[Problem] = []
    root = Section(document.ok_value.value, (), problems)
    configuration = yield from _read_configuration(root, version)
    findings = document.ok_value.locate(problems)
    return Err(findings) if findings else Ok(configuration)


def _read_configuration(
    root: Section, version: ConfigVersion
) -> Generator[None, None, Configuration]:
    workspace = WorkspaceName(root.name("customer"))
    domains = _read_failure_domains(root)
    contracts = _read_contracts(root)
    check = ReferenceChecker(domains, contracts)
    services: dict[ServiceName, Service] = {}
    for name, section in root.named_sections("services"):
        service = yield from _read_service(ServiceName(name), section, check)
        services[service.name] = service
    check.check_dependencies(services, root.problems)
    root.report_unknown_keys()
    return Configuration(version, workspace, domains, contracts, services)


def _read_failure_domains(root: Section) -> dict[FailureDomainName, FailureDomain]:
    domains: dict[FailureDomainName, FailureDomain] = {}
    for name, section in root.named_sections("places"):
        region = RegionName(section.name("region"))
        section.report_unknown_keys()
        domains[FailureDomainName(name)] = FailureDomain(FailureDomainName(name), region)
    return domains


def _read_contracts(root: Section) -> dict[ContractName, Contract]:
    contracts: dict[ContractName, Contract] = {}
    for name, section in root.named_sections("contracts"):
        contract = Contract(
            name=ContractName(name),
            slots=section.integer("slots", 1, MAX_SLOTS),
            connections=section.integer("connections", 1, MAX_CONNECTIONS),
            open_ms=section.number("open_ms", 0.0, MAX_OPEN_MS),
            reports_load=section.flag("reports_load", True),
        )
        section.report_unknown_keys()
        contracts[ContractName(name)] = contract
    return contracts


def _read_service(
    name: ServiceName, section: Section, check: ReferenceChecker
) -> Generator[None, None, Service]:
    contract = ContractName(section.text("contract"))
    check.check_contract(contract, section)
    instances: list[Instance] = []
    for instance_name, instance_section in section.named_sections("instances"):
        check.check_instance(instance_name, instance_section)
        instances.append(_read_instance(InstanceName(instance_name), instance_section, check))
        if len(instances) % INSTANCES_PER_STEP == 0:
            yield
    service = Service(
        name=name,
        contract=contract,
        instances=tuple(instances),
        depends_on=tuple(ServiceName(item) for item in section.names("depends_on")),
        search=_read_policy(section.section("search")),
        objectives=_read_objectives(section.section("objectives")),
        weight=section.integer("weight", 1, MAX_WEIGHT, 1),
    )
    section.report_unknown_keys()
    return service


def _read_instance(name: InstanceName, section: Section, check: ReferenceChecker) -> Instance:
    upstreams: list[Upstream] = []
    for upstream_name, value in section.members.items():
        section.check_name(upstream_name, upstream_name, at_key=True)
        child = Section(value, (*section.path, upstream_name), section.problems)
        domain = FailureDomainName(child.text("place"))
        host, port = child.address("address")
        draining = child.flag("draining", False)
        child.report_unknown_keys()
        upstream = Upstream(UpstreamName(upstream_name), domain, host, port, draining)
        check.check_upstream(upstream, child)
        upstreams.append(upstream)
    if not upstreams:
        section.report(f'instance "{name}" has no upstream', at_key=True)
    return Instance(name, tuple(upstreams))


def _read_policy(section: Section | None) -> SearchPolicy:
    if section is None:
        return _POLICY
    policy = SearchPolicy(
        deadline_ms=section.number("deadline_ms", 1.0, MAX_DEADLINE_MS, _POLICY.deadline_ms),
        min_coverage=section.number("min_coverage", 0.0, 1.0, _POLICY.min_coverage),
        wait_for_coverage=section.flag("wait_for_coverage", _POLICY.wait_for_coverage),
        early_ms=section.number("early_ms", 1.0, MAX_DEADLINE_MS, _POLICY.early_ms),
    )
    if section.has("early_ms") and policy.early_ms > policy.deadline_ms:
        section.report('"early_ms" is greater than "deadline_ms"', "early_ms")
    section.report_unknown_keys()
    return policy


def _read_objectives(section: Section | None) -> Objectives:
    if section is None:
        return _OBJECTIVES
    objectives = Objectives(
        in_time=section.number("in_time", 0.0, MAX_OBJECTIVE, _OBJECTIVES.in_time),
        full_coverage=section.number(
            "full_coverage", 0.0, MAX_OBJECTIVE, _OBJECTIVES.full_coverage
        ),
        not_refused=section.number("not_refused", 0.0, MAX_OBJECTIVE, _OBJECTIVES.not_refused),
    )
    section.report_unknown_keys()
    return objectives
