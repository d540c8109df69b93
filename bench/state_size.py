"""Measures the memory of a node's state per upstream, instance and member.

`python -m bench.state_size`
"""

from __future__ import annotations

from gc import collect
from resource import RUSAGE_SELF, getrusage
from tracemalloc import get_traced_memory, start, stop
from typing import Any, Final

from msgspec import json

import sequoiapulley.daemon.main  # noqa: F401
from bench.policy_scenarios import make_configuration
from sequoiapulley.daemon.upstream_shares import UpstreamShares
from sequoiapulley.fleet.config_record import ConfigRecord
from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.fleet.home_map import HomeMap
from sequoiapulley.fleet.member import Member
from sequoiapulley.ids import (
    ConfigVersion,
    EditId,
    FailureDomainName,
    Incarnation,
    NodeId,
    RegionName,
)
from sequoiapulley.model import Configuration
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.runtime import SystemClock, TimerQueue
from sequoiapulley.settings.text import parse_configuration
from sequoiapulley.upstream.dispatcher import Dispatcher
from sequoiapulley.upstream.http_codec import HttpExchangeCodec
from sequoiapulley.upstream.transport import UpstreamTransport
from sequoiapulley.wire.reactor import Reactor

INSTANCES: Final = (50, 200, 500, 1_000)
MEMBERS: Final = (15, 60, 150, 590)
UPSTREAMS_PER_INSTANCE: Final = 2
BYTES_PER_KIB: Final = 1_024


class NodeState:
    """The state that a node holds for a configuration and a fleet."""

    def __init__(self, configuration: Configuration, members: int) -> None:
        """Builds the state as the daemon does.

        Args:
            configuration: The active configuration.
            members: Number of nodes in the fleet.
        """
        clock = SystemClock()
        timers = TimerQueue(clock)
        self.homes = HomeMap()
        self.homes.configure(configuration)
        nodes = tuple(_member(number) for number in range(members))
        self.homes.update_members(nodes)
        self.directory = EntryDirectory(nodes[0].node)
        self.directory.update_members(nodes)
        self.shares = UpstreamShares(nodes[0].node, configuration, self.homes)
        self.dispatcher = Dispatcher(HttpExchangeCodec(), MemoryLog(), 1)
        connections, slots = self.shares.connections, self.shares.slots
        self.dispatcher.configure(configuration, clock.now(), connections, slots)
        reactor = Reactor(clock, timers)
        ignore: Any = lambda *_: None  # noqa: E731
        self.transport = UpstreamTransport(reactor, clock, timers, ignore, ignore)
        self.transport.configure(configuration, lambda name: 1)


def _member(number: int) -> Member:
    """Returns a member."""
    return Member(
        node=NodeId(f"bench-{number:03d}"),
        incarnation=Incarnation(1),
        failure_domain=FailureDomainName(f"p{number % 2 + 1}"),
        region=RegionName("r1"),
        host="127.0.0.1",
        membership_port=1,
        link_port=2,
        callers_port=3,
        operators_port=4,
    )


def _traced(build: Any) -> tuple[Any, int]:
    """Returns the result of a function and the bytes that remain allocated after its call."""
    collect()
    start()
    built = build()
    collect()
    size = get_traced_memory()[0]
    stop()
    return built, size


def _text_row(instances: int) -> dict[str, Any]:
    """Measures the text, the parsed configuration and the node state for a number of instances."""
    text = _text(instances)
    version = ConfigVersion(1)
    configuration, parsed = _traced(lambda: parse_configuration(text, version, "bench").unwrap())
    record = ConfigRecord(version, EditId("e"), "a", 0.0, text)
    _, state = _traced(lambda: NodeState(configuration, 15))
    return {
        "upstreams": instances * UPSTREAMS_PER_INSTANCE,
        "text_bytes": len(record.text.encode()),
        "configuration_bytes": parsed,
        "state_bytes": state,
    }


def _text(instances: int) -> str:
    """Returns a configuration text with a number of instances."""
    configuration = make_configuration(instances)
    service = next(iter(configuration.services.values()))
    named = {
        instance.name: {
            upstream.name: {
                "place": upstream.failure_domain,
                "address": f"{upstream.host}:{upstream.port}",
            }
            for upstream in instance.upstreams
        }
        for instance in service.instances
    }
    text = {
        "customer": "bench",
        "places": {"p1": {"region": "r1"}, "p2": {"region": "r1"}},
        "contracts": {"c": {"slots": 2, "connections": 60, "open_ms": 6}},
        "services": {"desk": {"contract": "c", "instances": named}},
    }
    return json.format(json.encode(text)).decode()


def _member_row(members: int) -> dict[str, Any]:
    """Measures the node state in a fleet with a number of members."""
    configuration = make_configuration(100)
    _, state = _traced(lambda: NodeState(configuration, members))
    return {"members": members, "state_bytes": state}


def run() -> dict[str, Any]:
    """Measures the state for several numbers of upstreams and of members.

    Returns:
        Name, unit, rows over upstreams, rows over members, and the resident memory of the
        process with every module of the daemon imported.
    """
    resident_kib = getrusage(RUSAGE_SELF).ru_maxrss
    return {
        "name": "state_size",
        "unit": "bytes",
        "rows": [_text_row(instances) for instances in INSTANCES],
        "member_rows": [_member_row(members) for members in MEMBERS],
        "resident_bytes_at_start": resident_kib * BYTES_PER_KIB,
    }


if __name__ == "__main__":
    print(json.format(json.encode(run())).decode())
