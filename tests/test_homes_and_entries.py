"""Tests of home assignment and of the entry addresses for callers."""

from __future__ import annotations

from collections import Counter
from random import Random
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.fleet.home_map import HomeMap
from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.ids import (
    CallerId,
    ConfigVersion,
    ContractName,
    FailureDomainName,
    InstanceName,
    NodeId,
    RegionName,
    ServiceName,
    UpstreamName,
    WorkspaceName,
)
from sequoiapulley.model import Configuration, Contract, FailureDomain, Instance, Service, Upstream
from tests.membership_simulation import FAILURE_DOMAINS, REGIONS, make_member


def make_configuration(instances: int) -> Configuration:
    """Makes one service whose instances have upstreams in two of the three failure domains."""
    made = []
    for number in range(instances):
        upstreams = tuple(
            Upstream(
                UpstreamName(f"u{number}-{copy}"),
                FailureDomainName(FAILURE_DOMAINS[(number + copy) % 3]),
                "10.1.0.1",
                80,
            )
            for copy in range(2)
        )
        made.append(Instance(InstanceName(f"i{number}"), upstreams))
    contract = Contract(ContractName("k"), 2, 60, 6.0)
    service = Service(ServiceName("s"), contract.name, tuple(made))
    return Configuration(
        version=ConfigVersion(1),
        workspace=WorkspaceName("c"),
        failure_domains={
            FailureDomainName(d): FailureDomain(FailureDomainName(d), RegionName(r))
            for d, r in zip(FAILURE_DOMAINS, REGIONS, strict=True)
        },
        contracts={contract.name: contract},
        services={service.name: service},
    )


def make_single_domain_configuration(instances: int) -> Configuration:
    """Makes one service whose upstreams are all in the first failure domain."""
    configuration = make_configuration(instances)
    service = configuration.services[ServiceName("s")]
    instances_in_domain = tuple(
        replace(
            i, upstreams=tuple(replace(u, failure_domain=FAILURE_DOMAINS[0]) for u in i.upstreams)
        )
        for i in service.instances
    )
    services = {service.name: replace(service, instances=instances_in_domain)}
    return replace(configuration, services=services)


def make_map(members: list[Member], instances: int = 50) -> HomeMap:
    """Makes a map with a configuration and members."""
    homes = HomeMap()
    homes.configure(make_configuration(instances))
    homes.update_members(tuple(members))
    return homes


def assigned(homes: HomeMap, instances: int = 50) -> list[NodeId]:
    """Lists the preferred home of every instance."""
    return [homes.homes_of(ServiceName("s"), InstanceName(f"i{n}"))[0] for n in range(instances)]


class HomeMapTest(TestCase):
    """Home assignments while members and configuration change."""

    def test_load_is_bounded_and_near_the_upstreams(self) -> None:
        members = [make_member(n) for n in range(15)]
        homes = make_map(members, 50)
        loads = Counter(assigned(homes))
        self.assertLessEqual(max(loads.values()), 5)
        remote = 0
        for number, home in enumerate(assigned(homes)):
            domain = next(m.failure_domain for m in members if m.node == home)
            remote += domain not in (FAILURE_DOMAINS[number % 3], FAILURE_DOMAINS[(number + 1) % 3])
        self.assertLessEqual(remote, 2)

    def test_loss_of_a_node_moves_little_more_than_its_own_instances(self) -> None:
        members = [make_member(n) for n in range(30)]
        before = assigned(make_map(members, 400), 400)
        for lost in range(30):
            rest = [m for m in members if m.node != f"n{lost}"]
            after = assigned(make_map(rest, 400), 400)
            own = before.count(NodeId(f"n{lost}"))
            moved = sum(a != b for a, b in zip(before, after, strict=True))
            self.assertLessEqual(moved, 2 * own, lost)

    @given(st.lists(st.sets(st.integers(0, 19), min_size=1), min_size=1, max_size=6))
    def test_incremental_updates_match_a_fresh_map(self, views: list[set[int]]) -> None:
        homes = make_map([], 30)
        for view in views:
            members = [make_member(n) for n in sorted(view)]
            homes.update_members(tuple(members))
            fresh = make_map(members, 30)
            for number in range(30):
                key = (ServiceName("s"), InstanceName(f"i{number}"))
                ranked = homes.homes_of(*key)
                self.assertEqual(ranked, fresh.homes_of(*key))
                self.assertEqual(len(set(ranked)), min(3, len(view)))
                self.assertLessEqual(set(ranked), {f"n{n}" for n in view})

    def test_edit_that_moves_an_instance_moves_only_its_home(self) -> None:
        members = [make_member(n) for n in range(15)]
        homes = make_map(members, 50)
        before = assigned(homes)
        configuration = make_configuration(50)
        service = configuration.services[ServiceName("s")]
        upstreams = tuple(
            replace(u, failure_domain=FAILURE_DOMAINS[0]) for u in service.instances[1].upstreams
        )
        changed = replace(service.instances[1], upstreams=upstreams)
        instances = (service.instances[0], changed, *service.instances[2:])
        services = {service.name: replace(service, instances=instances)}
        homes.configure(replace(configuration, services=services))
        after = assigned(homes)
        fresh = make_map([])
        fresh.configure(replace(configuration, services=services))
        fresh.update_members(tuple(members))
        self.assertEqual(after, assigned(fresh))
        self.assertEqual(
            next(m.failure_domain for m in members if m.node == after[1]), FAILURE_DOMAINS[0]
        )
        self.assertLessEqual(sum(a != b for a, b in zip(before, after, strict=True)), 4)

    def test_instances_of_one_failure_domain_get_local_and_balanced_homes(self) -> None:
        homes = make_map([make_member(n) for n in range(60)])
        homes.configure(make_single_domain_configuration(60))
        loads = Counter(assigned(homes, 60))
        self.assertEqual({int(node[1:]) % 3 for node in loads}, {0})
        self.assertLessEqual(max(loads.values()), 5)

    def test_homes_do_not_depend_on_history_when_all_candidates_are_full(self) -> None:
        random = Random(1)
        homes = HomeMap()
        homes.configure(make_single_domain_configuration(150))
        view = set(range(80))
        for _step in range(60):
            view ^= set(random.sample(range(120), random.choice([1, 15, 15])))
            members = [make_member(n) for n in sorted(view)]
            homes.update_members(tuple(members))
            fresh = HomeMap()
            fresh.configure(make_single_domain_configuration(150))
            fresh.update_members(tuple(members))
            self.assertEqual(assigned(homes, 150), assigned(fresh, 150))

    def test_leaving_and_dead_nodes_are_no_homes_but_suspects_are(self) -> None:
        members = [make_member(n) for n in range(4)]
        members[0] = replace(members[0], state=MemberState.LEAVING)
        members[1] = replace(members[1], state=MemberState.DEAD)
        members[2] = replace(members[2], state=MemberState.SUSPECT)
        self.assertEqual(set(assigned(make_map(members))), {"n2", "n3"})

    def test_unknown_instance_and_empty_fleet_have_no_home(self) -> None:
        self.assertEqual(make_map([]).homes_of(ServiceName("s"), InstanceName("i1")), ())
        self.assertEqual(make_map([]).homes_of(ServiceName("x"), InstanceName("i1")), ())


class EntryDirectoryTest(TestCase):
    """Entry addresses and the balance of callers."""

    def make_directories(self, count: int = 15) -> list[EntryDirectory]:
        members = tuple(make_member(n) for n in range(count))
        directories = [EntryDirectory(member.node) for member in members]
        for directory in directories:
            directory.update_members(members)
        return directories

    def test_callers_are_balanced_whichever_nodes_they_ask(self) -> None:
        for seed in range(20):
            for asked in (1, 3, 15):
                random = Random(seed)
                directories = self.make_directories()
                loads: Counter[NodeId] = Counter()
                for number in range(300):
                    domain = random.choice([None, *map(FailureDomainName, FAILURE_DOMAINS)])
                    directory = random.choice(directories[:asked])
                    answer = directory.answer(CallerId(f"c{number}"), domain, 1000.0)
                    loads[answer.addresses[0].node] += 1
                self.assertLessEqual(max(loads.values()), 1.25 * 20, (seed, asked, loads))

    def test_addresses_are_near_first_and_in_different_failure_domains(self) -> None:
        directory = self.make_directories()[0]
        answer = directory.answer(CallerId("a"), FailureDomainName(FAILURE_DOMAINS[1]), 1000.0)
        domains = [address.failure_domain for address in answer.addresses]
        self.assertEqual(domains[0], FAILURE_DOMAINS[1])
        self.assertEqual(set(domains), set(FAILURE_DOMAINS))

    def test_all_callers_in_one_failure_domain_do_not_overload_its_nodes(self) -> None:
        directory = self.make_directories()[0]
        loads: Counter[NodeId] = Counter()
        for number in range(300):
            answer = directory.answer(
                CallerId(f"c{number}"), FailureDomainName(FAILURE_DOMAINS[0]), 1000.0
            )
            loads[answer.addresses[0].node] += 1
        self.assertLessEqual(max(loads.values()), 25)

    def test_caller_keeps_its_node_until_the_node_leaves(self) -> None:
        directory = self.make_directories()[0]
        first = directory.answer(CallerId("a"), None, 1000.0).addresses[0].node
        for number in range(20):
            directory.answer(CallerId(f"c{number}"), None, 1001.0)
        self.assertEqual(directory.answer(CallerId("a"), None, 1020.0).addresses[0].node, first)
        members = [make_member(n) for n in range(15)]
        members = [replace(m, state=MemberState.LEAVING) if m.node == first else m for m in members]
        directory.update_members(tuple(members))
        nodes = [a.node for a in directory.answer(CallerId("a"), None, 1021.0).addresses]
        self.assertNotIn(first, nodes)

    def test_expired_callers_no_longer_count(self) -> None:
        directory = self.make_directories(2)[0]
        given = [directory.answer(CallerId(c), None, 1000.0).addresses[0].node for c in "abc"]
        self.assertEqual(given, [given[0], given[1], given[0]])
        self.assertNotEqual(given[0], given[1])
        late = directory.answer(CallerId("d"), None, 1100.0).addresses[0].node
        self.assertEqual(late, given[0])
        self.assertEqual(EntryDirectory(NodeId("x")).answer(CallerId("a"), None, 0).addresses, ())
