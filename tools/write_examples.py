"""Generates the example configurations under examples/, at the two workspaces' current sizes."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Final

from msgspec import Struct

EXAMPLES: Final = Path(__file__).resolve().parent.parent / "examples"
COMMAND: Final = "python -m tools.write_examples"
REPLICA_LETTERS: Final = "abc"


class ExampleService(Struct, frozen=True):
    """A service of an example configuration."""

    name: str
    about: str
    contract: str
    instances: int
    replicas: int
    depends_on: tuple[str, ...]
    weight: int
    search: str
    """Members of the `search` object, as `key: value` pairs separated by commas."""
    objectives: str
    """Members of the `objectives` object, in the same form."""


class ExampleWorkspace(Struct, frozen=True):
    """A workspace whose example configuration is generated."""

    name: str
    file: str
    about: str
    failure_domains: tuple[tuple[str, str], ...]
    """Failure domain and its region."""
    contracts: tuple[tuple[str, str, str], ...]
    """Name, comment and members of each contract."""
    services: tuple[ExampleService, ...]
    first_port: int


CEDARLINE: Final = ExampleWorkspace(
    name="cedarline",
    file="cedarline.json5",
    about="Cedarline Renovation Planners Co-operative: coverage matters most.",
    failure_domains=(
        ("burnaby-a", "lower-mainland"),
        ("nanaimo-a", "vancouver-island"),
        ("kelowna-a", "interior"),
    ),
    contracts=(
        (
            "desk",
            "Shard servers: few slots, connections that open slowly.",
            "slots: 2, connections: 60, open_ms: 6, reports_load: true",
        ),
        (
            "portal",
            "Front servers: few slots, many connections that open fast.",
            "slots: 2, connections: 250, open_ms: 1, reports_load: true",
        ),
    ),
    services=(
        ExampleService(
            name="planner-desk",
            about="Plans, fixture prices and code checks. Planners wait for whole answers.",
            contract="desk",
            instances=20,
            replicas=2,
            depends_on=("member-ledger", "homeowner-portal", "supplier-sync"),
            weight=3,
            search="deadline_ms: 120, min_coverage: 0.95, wait_for_coverage: true",
            objectives="in_time: 0.99, full_coverage: 0.99, not_refused: 0.999",
        ),
        ExampleService(
            name="member-ledger",
            about="Accounts and orders of the members.",
            contract="desk",
            instances=30,
            replicas=2,
            depends_on=("supplier-sync",),
            weight=2,
            search="deadline_ms: 150, min_coverage: 1, wait_for_coverage: true",
            objectives="in_time: 0.99, full_coverage: 0.999, not_refused: 0.999",
        ),
        ExampleService(
            name="homeowner-portal",
            about="Saved plans that homeowners review.",
            contract="portal",
            instances=1,
            replicas=3,
            depends_on=(),
            weight=1,
            search="deadline_ms: 120, min_coverage: 1, wait_for_coverage: true",
            objectives="in_time: 0.98, full_coverage: 0.99, not_refused: 0.99",
        ),
        ExampleService(
            name="supplier-sync",
            about="Stock and prices of suppliers.",
            contract="portal",
            instances=1,
            replicas=3,
            depends_on=(),
            weight=1,
            search="deadline_ms: 120, min_coverage: 0, wait_for_coverage: true",
            objectives="in_time: 0.98, full_coverage: 0.98, not_refused: 0.99",
        ),
    ),
    first_port=21_000,
)

SENDEROS_ALTOS: Final = ExampleWorkspace(
    name="senderos-altos",
    file="senderos-altos.json5",
    about="Senderos Altos Permisos Franquicia: tail latency matters most.",
    failure_domains=(("xela-uno", "occidente"), ("flores-uno", "peten"), ("zona-diez", "central")),
    contracts=(
        (
            "mostrador",
            "Shard servers: few slots, connections that open slowly.",
            "slots: 2, connections: 55, open_ms: 6, reports_load: true",
        ),
        (
            "registro",
            "Front servers: more slots, connections that open fast.",
            "slots: 6, connections: 100, open_ms: 1, reports_load: true",
        ),
    ),
    services=(
        ExampleService(
            name="mostrador",
            about="Applications, licences and quotas. Clerks get an answer early.",
            contract="mostrador",
            instances=20,
            replicas=2,
            depends_on=("contabilidad", "registro-guias"),
            weight=5,
            search="deadline_ms: 120, min_coverage: 0.9, wait_for_coverage: false, early_ms: 60",
            objectives="in_time: 0.995, full_coverage: 0.98, not_refused: 0.999",
        ),
        ExampleService(
            name="contabilidad",
            about="Fees, refunds and the accounts of franchise desks.",
            contract="mostrador",
            instances=30,
            replicas=2,
            depends_on=("avisos",),
            weight=2,
            search="deadline_ms: 150, min_coverage: 1, wait_for_coverage: true",
            objectives="in_time: 0.99, full_coverage: 0.99, not_refused: 0.999",
        ),
        ExampleService(
            name="registro-guias",
            about="Licences of guides.",
            contract="registro",
            instances=1,
            replicas=3,
            depends_on=(),
            weight=2,
            search="deadline_ms: 120, min_coverage: 0, wait_for_coverage: false, early_ms: 60",
            objectives="in_time: 0.99, full_coverage: 0.98, not_refused: 0.99",
        ),
        ExampleService(
            name="avisos",
            about="Notices to desks and guides.",
            contract="registro",
            instances=1,
            replicas=3,
            depends_on=(),
            weight=1,
            search="deadline_ms: 120, min_coverage: 0, wait_for_coverage: false, early_ms: 60",
            objectives="in_time: 0.98, full_coverage: 0.98, not_refused: 0.99",
        ),
    ),
    first_port=22_000,
)

WORKSPACES: Final = (CEDARLINE, SENDEROS_ALTOS)


def render_example(workspace: ExampleWorkspace) -> str:
    """Renders the configuration of one workspace.

    Args:
        workspace: The workspace to describe.

    Returns:
        The configuration as JSON5.
    """
    lines = [f"// {workspace.about}", f"// Written by `{COMMAND}`.", "{"]
    lines.append(f'  "customer": "{workspace.name}",')
    lines.append("  // Failure domains, each inside a region.")
    lines.append('  "places": {')
    for domain, region in workspace.failure_domains:
        lines.append(f'    "{domain}": {{"region": "{region}"}},')
    lines.append("  },")
    lines.append("  // What one upstream allows its clients, summed over all nodes.")
    lines.append('  "contracts": {')
    for name, about, members in workspace.contracts:
        lines.append(f"    // {about}")
        lines.append(f'    "{name}": {{{_quote_keys(members)}}},')
    lines.append("  },")
    lines.append('  "services": {')
    port = workspace.first_port
    for service in workspace.services:
        lines.extend(_render_service(service, workspace.failure_domains, port))
        port += service.instances * service.replicas
    lines.append("  },")
    lines.append("}")
    return "\n".join(lines) + "\n"


def _render_service(
    service: ExampleService, failure_domains: tuple[tuple[str, str], ...], port: int
) -> list[str]:
    depends_on = ", ".join(f'"{name}"' for name in service.depends_on)
    lines = [f"    // {service.about}", f'    "{service.name}": {{']
    lines.append(f'      "contract": "{service.contract}",')
    lines.append(f'      "depends_on": [{depends_on}],')
    lines.append(f'      "weight": {service.weight},')
    lines.append(f'      "search": {{{_quote_keys(service.search)}}},')
    lines.append(f'      "objectives": {{{_quote_keys(service.objectives)}}},')
    lines.append('      "instances": {')
    for index in range(service.instances):
        instance = f"{service.name}-{index + 1:02d}"
        lines.append(f'        "{instance}": {{')
        for replica in range(service.replicas):
            domain = failure_domains[(index + replica) % len(failure_domains)][0]
            name = f"{instance}-{REPLICA_LETTERS[replica]}"
            address = f"127.0.0.1:{port}"
            lines.append(f'          "{name}": {{"place": "{domain}", "address": "{address}"}},')
            port += 1
        lines.append("        },")
    lines.append("      },")
    lines.append("    },")
    return lines


def _quote_keys(members: str) -> str:
    pairs = (member.split(": ", 1) for member in members.split(", "))
    return ", ".join(f'"{key}": {value}' for key, value in pairs)


def main() -> int:
    """Writes all examples, or with `--check` reports those that differ and returns 1."""
    status = 0
    for workspace in WORKSPACES:
        path = EXAMPLES / workspace.file
        text = render_example(workspace)
        if "--check" not in sys.argv:
            path.write_text(text, encoding="utf-8")
            continue
        if not path.exists() or path.read_text(encoding="utf-8") != text:
            print(f"{path}: differs; run `{COMMAND}`")
            status = 1
    return status


if __name__ == "__main__":
    sys.exit(main())
