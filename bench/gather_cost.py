"""Measures the cost of a search per shard: plan, scatter, gather, merge and codec of batches.

Run as `python -m bench.gather_cost`; prints JSON.
"""

from __future__ import annotations

from gc import collect
from statistics import median
from time import process_time
from typing import Any, Final

from msgspec import json, msgpack

from sequoiapulley.ids import (
    CallerId,
    ConfigVersion,
    ContractName,
    FailureDomainName,
    Fingerprint,
    InstanceName,
    NodeId,
    RegionName,
    RequestId,
    ServiceName,
    ShardId,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import (
    Configuration,
    Contract,
    FailureDomain,
    Instance,
    Service,
    Snapshot,
    Upstream,
)
from sequoiapulley.observe.log_event import MemoryLog
from sequoiapulley.search.actions import (
    DeliverAnswer,
    SendGroupReply,
    SendGroupSearch,
    SubmitSubSearch,
)
from sequoiapulley.search.coordinator import SearchCoordinator
from sequoiapulley.search.home_service import HomeService
from sequoiapulley.search.messages import GroupReply, GroupSearch, Hit, SearchRequest, ShardReply

FAN_OUTS: Final = (20, 60, 140, 560)
HOMES: Final = 15
HITS_PER_SHARD: Final = 10
LIMIT: Final = 10
ROUNDS: Final = 15
SHARDS_PER_ROUND: Final = 11_200
MICROSECONDS: Final = 1e6
SERVICE: Final = ServiceName("wide")
SNAPSHOT: Final = Snapshot(1, 1)


class _RoundRobinHomes:
    """Assigns homes to instances round-robin."""

    def __init__(self, instances: tuple[Instance, ...]) -> None:
        homes = tuple(NodeId(f"node-{number}") for number in range(HOMES))
        self._homes = {
            instance.name: (homes[number % HOMES], homes[(number + 1) % HOMES])
            for number, instance in enumerate(instances)
        }

    def homes_of(self, service: ServiceName, instance: InstanceName) -> tuple[NodeId, ...]:
        """Returns the homes of an instance."""
        return self._homes[instance]


def make_configuration(fan_out: int) -> Configuration:
    """Builds a configuration with one service of `fan_out` instances."""
    domain = FailureDomain(FailureDomainName("here"), RegionName("region"))
    upstream = Upstream(UpstreamName("only"), domain.name, "127.0.0.1", 1)
    instances = tuple(
        Instance(InstanceName(f"shard-{number}"), (upstream,)) for number in range(fan_out)
    )
    contract = Contract(ContractName("usual"), 2, 60, 6.0)
    return Configuration(
        ConfigVersion(1),
        WorkspaceName("customer"),
        {domain.name: domain},
        {contract.name: contract},
        {SERVICE: Service(SERVICE, contract.name, instances)},
    )


def _replies(fan_out: int) -> dict[ShardId, ShardReply]:
    replies: dict[ShardId, ShardReply] = {}
    for number in range(fan_out):
        shard = ShardId(f"shard-{number}")
        hits = tuple(
            Hit(f"{shard}-{rank}", (number * 37 + rank * 11) % 101 / (rank + 1), shard)
            for rank in range(HITS_PER_SHARD)
        )
        ranked = tuple(sorted(hits, key=lambda hit: -hit.score))
        replies[shard] = ShardReply(shard, SNAPSHOT, ranked, None, (SNAPSHOT,))
    return replies


class _Tier:
    """An entry node and its homes without a network; upstreams answer immediately."""

    def __init__(self, fan_out: int) -> None:
        configuration = make_configuration(fan_out)
        homes = _RoundRobinHomes(configuration.services[SERVICE].instances)
        self.entry = SearchCoordinator(homes, MemoryLog())
        self.entry.configure(configuration, 0.0)
        self.homes = [HomeService(MemoryLog()) for _ in range(HOMES)]
        self.replies = _replies(fan_out)
        self.encoder = msgpack.Encoder()
        self.decoder = msgpack.Decoder(GroupReply)
        self.number = 0
        self.bytes_sent = 0
        self.entry_s = 0.0
        self.home_s = 0.0

    def search(self) -> None:
        """Runs one search to completion and adds the processor time of each role to its total."""
        self.number += 1
        request = SearchRequest(
            RequestId(f"search-{self.number}"),
            CallerId("caller"),
            SERVICE,
            "query",
            LIMIT,
            1.0,
            0.0,
            None,
            Fingerprint("print"),
        )
        started = process_time()
        actions = self.entry.start(request, 0.0)
        self.entry_s += process_time() - started
        for action in actions:
            assert isinstance(action, SendGroupSearch)
            home = self.homes[int(action.node.removeprefix("node-"))]
            self._answer(action.node, home, action.message)

    def _answer(self, node: NodeId, home: HomeService, message: GroupSearch) -> None:
        started = process_time()
        sent: list[bytes] = []
        for action in home.on_group_search(NodeId("entry"), message, 0.0):
            assert isinstance(action, SubmitSubSearch)
            reply = self.replies[action.sub.target.shard]
            for batch in home.on_sub_finished(action.sub.sub_id, reply, 0.0):
                assert isinstance(batch, SendGroupReply)
                sent.append(self.encoder.encode(batch.message))
        home_finished = process_time()
        self.home_s += home_finished - started
        for frame in sent:
            self.bytes_sent += len(frame)
            for finish in self.entry.on_group_reply(node, self.decoder.decode(frame), 0.0):
                assert isinstance(finish, DeliverAnswer) and finish.answer.complete
        self.entry_s += process_time() - home_finished


def _measure(fan_out: int) -> dict[str, Any]:
    tier = _Tier(fan_out)
    tier.search()
    entry: list[float] = []
    home: list[float] = []
    bytes_per_search = tier.bytes_sent
    searches = SHARDS_PER_ROUND // fan_out
    for _ in range(ROUNDS):
        tier.entry_s = tier.home_s = 0.0
        collect()
        for _ in range(searches):
            tier.search()
        shards = searches * fan_out
        entry.append(tier.entry_s / shards * MICROSECONDS)
        home.append(tier.home_s / shards * MICROSECONDS)
    return {
        "fan_out": fan_out,
        "entry_us_per_shard": round(median(entry), 3),
        "entry_us_per_shard_spread": [round(min(entry), 3), round(max(entry), 3)],
        "batch_bytes_per_shard": round(bytes_per_search / fan_out),
        "home_us_per_shard": round(median(home), 3),
        "home_us_per_shard_spread": [round(min(home), 3), round(max(home), 3)],
    }


def run() -> dict[str, Any]:
    """Measures every fan-out.

    Returns:
        Microseconds of processor time per shard at the entry node and at the homes, and the
        ratio of the entry's cost per shard at the widest fan-out to that at the narrowest.
    """
    rows = [_measure(fan_out) for fan_out in FAN_OUTS]
    growth = rows[-1]["entry_us_per_shard"] / rows[0]["entry_us_per_shard"]
    return {
        "bench": "gather_cost",
        "homes": HOMES,
        "hits_per_shard": HITS_PER_SHARD,
        "limit": LIMIT,
        "rows": rows,
        "entry_growth_of_cost_per_shard": round(growth, 3),
    }


if __name__ == "__main__":
    print(json.format(json.encode(run())).decode())
