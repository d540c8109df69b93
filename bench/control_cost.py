"""Measures the cost of control traffic per node at several fleet sizes.

All nodes of a fleet run in one process over an in-memory network. Payload sizes are those of real
datagrams; the UDP and IP headers and the authentication tag are added. The time of decisions and
codecs is measured on that network, without the kernel's cost of sending. The processor time
of the socket and of the tag is measured separately over loopback and added per datagram.
"""

from __future__ import annotations

from collections.abc import Callable
from gc import collect
from json import dumps
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from statistics import mean
from time import perf_counter, process_time
from tracemalloc import get_traced_memory, start, stop
from typing import Any, Final

from msgspec.structs import replace
from xxhash import xxh32_intdigest

from sequoiapulley.fleet._datagram import Datagram, DatagramKind, encode_datagram
from sequoiapulley.fleet.datagram_keys import TAG_BYTES, DatagramKeys
from sequoiapulley.fleet.membership import Membership
from sequoiapulley.ids import ConfigVersion, NodeId
from sequoiapulley.observe.log_event import MemoryLog
from tests.config_simulation import ConfigSimulation
from tests.membership_simulation import MembershipSimulation, make_member, make_vm_list

SIZES: Final = (5, 15, 30, 60)
TARGET_NODES: Final = 590
SETTLE_S: Final = 40.0
MEASURED_S: Final = 30.0
UDP_IP_HEADER_BYTES: Final = 28
SOCKET_ROUNDS: Final = 20_000
RESTARTS_PER_DAY: Final = 367
"""VM failures, restarts and replacements at the target size."""
EDITS_PER_DAY: Final = 590
DAY_S: Final = 86_400
FLEET_ID: Final = xxh32_intdigest(b"c")
NO_VERSION: Final = ConfigVersion(0)


def run() -> dict[str, Any]:
    """Measures all fleet sizes.

    Returns:
        Points, slopes over the fleet size, and the figures extrapolated to 590 nodes.
    """
    socket_us = measure_socket_us()
    points = [measure(size, socket_us) for size in SIZES]
    restart = [measure_restart(size) for size in SIZES]
    edits = [measure_edit(size) for size in SIZES]
    return {
        "nodes_are": "in one process over an in-memory network",
        "socket_us_per_datagram": socket_us,
        "points": points,
        "restarts": restart,
        "edits": edits,
        "store": [measure_store_calls(size) for size in SIZES],
        "bytes_per_member": measure_member_bytes(),
        "slopes_per_member": {key: _slope(points, key) for key in points[0] if key != "nodes"},
        "target": _extrapolate(points, restart, edits),
    }


class _TimedNode:
    """Sums the time of one node's decisions, without that of the simulated network."""

    def __init__(self, node: Membership) -> None:
        """Wraps the methods of the node that make decisions."""
        self.seconds = 0.0
        node.tick = self._timed(node.tick)  # type: ignore[method-assign]
        node.on_message = self._timed(node.on_message)  # type: ignore[method-assign]

    def _timed(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: Any) -> Any:
            started = perf_counter()
            actions = call(*args)
            self.seconds += perf_counter() - started
            return actions

        return timed


def measure(size: int, socket_us: float) -> dict[str, float]:
    """Measures a fleet without changes.

    Args:
        size: Number of nodes.
        socket_us: Processor time to send and receive one datagram, in microseconds.

    Returns:
        Figures per node and second: datagrams sent, bytes sent and received, share of a core.
    """
    net = MembershipSimulation(size)
    net.run(SETTLE_S)
    net.sent.clear()
    timed = [_TimedNode(node) for node in net.nodes.values()]
    net.run(MEASURED_S)
    seconds = sum(node.seconds for node in timed)
    node_seconds = size * MEASURED_S
    messages = len(net.sent) / node_seconds
    overhead = UDP_IP_HEADER_BYTES + TAG_BYTES
    sent = sum(length + overhead for _when, _node, length in net.sent) / node_seconds
    return {
        "nodes": size,
        "messages_sent_per_s": round(messages, 3),
        "bytes_sent_and_received_per_s": round(2 * sent, 1),
        "core_share": round(seconds / node_seconds + messages * socket_us / 1e6, 6),
    }


def measure_restart(size: int) -> dict[str, float]:
    """Measures the traffic of one node's failure and rejoin, in excess of the idle traffic."""
    net = MembershipSimulation(size)
    net.run(SETTLE_S)
    idle = _bytes_over(net, MEASURED_S)
    node = NodeId("n1")
    net.stopped.add(node)
    lost = _bytes_over(net, MEASURED_S)
    net.stopped.clear()
    net.add(make_member(1, incarnation=1000), ())
    net.execute(node, net.nodes[node].on_vm_list(_make_vm_list(net), net.now))
    rejoined = _bytes_over(net, MEASURED_S)
    extra = 2 * (max(0.0, lost - idle) + max(0.0, rejoined - idle)) / size
    return {"nodes": size, "extra_bytes_per_node": round(extra, 1)}


def measure_edit(size: int) -> dict[str, float]:
    """Measures the traffic and the delay of an edit of one line in a large configuration.

    Args:
        size: Number of nodes.

    Returns:
        Bytes sent and received per node, and seconds until the edit is active on every node.
    """
    net = ConfigSimulation(size)
    lines = [
        f'"upstream-{number}": {{ "host": "10.0.0.1", "port": 80 }},\n' for number in range(8500)
    ]
    net.run(3.0)
    net.edit("".join(lines))
    net.run(5.0)
    net.bytes.clear()
    lines[4000] = "changed\n"
    started = net.clock.now()
    net.edit("".join(lines))
    while len(net.versions()) > 1:
        net.run(0.05)
    return {
        "nodes": size,
        "text_bytes": len("".join(lines)),
        "seconds_until_everywhere": round(net.clock.now() - started, 2),
        "bytes_per_node": round(2 * sum(net.bytes.values()) / size, 1),
    }


def measure_store_calls(size: int) -> dict[str, float]:
    """Measures the calls to the store per second, in normal operation and in an outage."""
    net = ConfigSimulation(size)
    net.run(5.0)
    net.edit("text")
    calls: dict[str, float] = {"nodes": size}
    for name, down in (("quiet_calls_per_s", False), ("outage_calls_per_s", True)):
        net.store.down = down
        net.run(30.0)
        net.store.calls = 0
        net.run(60.0)
        calls[name] = round(net.store.calls / 60, 3)
    return calls


def measure_socket_us() -> float:
    """Measures the processor time to send, receive and verify one datagram over loopback."""
    keys = DatagramKeys(None, MemoryLog())
    keys._keys = (b"0123456789abcdef0123456789abcdef",)
    payload = Random(1).randbytes(120)
    with socket(AF_INET, SOCK_DGRAM) as receiver, socket(AF_INET, SOCK_DGRAM) as sender:
        receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()
        started = process_time()
        for _ in range(SOCKET_ROUNDS):
            sender.sendto(keys.sign(payload, 0.0), address)
            keys.verify(receiver.recvfrom(2048)[0], 0.0)
        return round((process_time() - started) / SOCKET_ROUNDS * 1e6, 2)


def measure_member_bytes() -> dict[str, float]:
    """Measures the memory that each additional member uses on one node."""
    small, large = 100, 1100
    sizes = [_view_bytes(count) for count in (small, large)]
    return {"bytes": round((sizes[1] - sizes[0]) / (large - small), 1)}


def _view_bytes(count: int) -> int:
    """Returns the bytes allocated by a node that receives `count` other members in datagrams."""
    net = MembershipSimulation(1, joined=False)
    node = next(iter(net.nodes.values()))
    start()
    for number in range(1, count + 1):
        member = make_member(number)
        datagram = Datagram(
            DatagramKind.GOSSIP, FLEET_ID, member.node, member.incarnation, NO_VERSION
        )
        payload = encode_datagram(replace(datagram, members=(member,)))
        node.on_message(member.address, payload, net.now)
        del member, datagram, payload
    # Empties the gossip queue, so that only what the node keeps of each member is counted.
    while node.next_due() is not None and node._queue:
        node._queue.take(1200, count)
    collect()
    size, _peak = get_traced_memory()
    stop()
    return size


def _bytes_over(net: MembershipSimulation, seconds: float) -> float:
    net.sent.clear()
    net.run(seconds)
    overhead = UDP_IP_HEADER_BYTES + TAG_BYTES
    return float(sum(length + overhead for _when, _node, length in net.sent))


def _make_vm_list(net: MembershipSimulation) -> Any:
    return make_vm_list([node.local_member for node in net.nodes.values()])


def _slope(points: list[dict[str, float]], key: str) -> float:
    """Returns the least-squares slope of a figure over the fleet size."""
    sizes = [point["nodes"] for point in points]
    values = [point[key] for point in points]
    mean_size, mean_value = mean(sizes), mean(values)
    squares = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    return sum((size - mean_size) * (value - mean_value) for size, value in pairs) / squares


def _extrapolate(
    points: list[dict[str, float]],
    restarts: list[dict[str, float]],
    edits: list[dict[str, float]],
) -> dict[str, float]:
    """Extrapolates to the target size; a negative slope counts as zero."""
    target: dict[str, float] = {"nodes": TARGET_NODES}
    for key in points[-1]:
        if key != "nodes":
            target[key] = _at_target(points, key)
    restart_bytes = _at_target(restarts, "extra_bytes_per_node")
    target["restart_bytes_per_s"] = restart_bytes * RESTARTS_PER_DAY / DAY_S
    target["edit_bytes_per_s"] = _at_target(edits, "bytes_per_node") * EDITS_PER_DAY / DAY_S
    return {key: round(value, 6) for key, value in target.items()}


def _at_target(points: list[dict[str, float]], key: str) -> float:
    last = points[-1]
    return last[key] + max(0.0, _slope(points, key)) * (TARGET_NODES - last["nodes"])


if __name__ == "__main__":
    print(dumps(run(), indent=2))
