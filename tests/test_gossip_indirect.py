"""Indirect pings over links in memory and in simulated time."""

import random
from collections import Counter
from typing import Any

import anyio
import pytest

from briardock.gossip import Gossip, make_gossip
from briardock.gossip_links import Address, LinkSettings, Route
from briardock.gossip_settings import GossipHooks, GossipSettings
from briardock.membership import (
    MemberRecord,
    MembershipSettings,
    MemberState,
    make_member_table,
)
from briardock.metrics import Metrics
from simulated_time import SimulatedClock, run_simulated

NODE_COUNT = 4
DURATION_S = 300.0
# Latest time by which all nodes know each other, s.
JOINED_S = 20.0


class Network:
    """Links of all nodes, with one failed link.

    :param latency_s: time from sending to receiving
    :param failed: addresses at the ends of the failed link
    """

    def __init__(self, latency_s: float, failed: frozenset[Address]) -> None:
        self.nodes: dict[Address, Gossip] = {}
        self.failed = failed
        self.lost_count = 0
        self.latency_s = latency_s
        self.tasks: Any = None

    async def deliver(self, source: Address, address: Address, data: bytes) -> None:
        await anyio.sleep(self.latency_s)
        self.nodes[address]._on_data(data, Route(address=source))


class Links:
    """Links of one node.

    :param network: links of all nodes
    :param address: address of the node
    """

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address

    def send(self, address: Address, data: bytes) -> bool:
        network = self._network
        if {self._address, address} == network.failed:
            network.lost_count += 1
            return False
        network.tasks.start_soon(network.deliver, self._address, address, data)
        return True

    def send_on_route(self, route: Route, data: bytes) -> bool:
        assert route.address is not None
        return self.send(route.address, data)

    def close(self, address: Address) -> None:
        """Nothing stays open."""

    async def run(self, tasks: object) -> None:
        await anyio.sleep_forever()


def make_node(
    number: int, network: Network, states: Counter[MemberState]
) -> tuple[Gossip, Metrics]:
    address = address_of(number)
    record = MemberRecord(
        f"n{number}", 1, 1, "svc", "d", "r", address.host, 1, address.port, "t"
    )
    clock, rng, metrics = SimulatedClock(), random.Random(number), Metrics()
    table = make_member_table(record, clock, rng, MembershipSettings())
    settings = GossipSettings(
        LinkSettings(address.host, address.port), seeds=(address_of(2),)
    )
    hooks = GossipHooks(
        on_members=lambda records: states.update(record.state for record in records)
    )
    gossip = make_gossip(table, clock, rng, metrics, settings, hooks)
    links: Any = Links(network, address)
    gossip._links = links
    network.nodes[address] = gossip
    return gossip, metrics


def address_of(number: int) -> Address:
    return Address(f"127.0.1.{number + 1}", 1)


@pytest.mark.parametrize("latency_s", [0.001, 0.05, 0.1])
def test_failed_link_between_two_members_makes_neither_suspect(
    latency_s: float,
) -> None:
    """One bad link must not make a member unreachable for all. An indirect ping passes
    four links, and its timeout is 500 ms.
    """
    network = Network(latency_s, frozenset((address_of(0), address_of(1))))
    states: Counter[MemberState] = Counter()
    nodes: list[tuple[Gossip, Metrics]] = []

    async def run() -> None:
        nodes.extend(make_node(number, network, states) for number in range(NODE_COUNT))
        async with anyio.create_task_group() as tasks:
            network.tasks = tasks
            for gossip, _ in nodes:
                tasks.start_soon(gossip.run)
            await anyio.sleep(JOINED_S)
            assert [len(gossip._table) for gossip, _ in nodes] == [NODE_COUNT] * 4
            network.lost_count = 0
            await anyio.sleep(DURATION_S)
            tasks.cancel_scope.cancel()

    run_simulated(run)
    # Each end pings the other once in three periods of 1 s.
    assert network.lost_count > DURATION_S / 2
    assert set(states) == {MemberState.ALIVE}
    for _, metrics in nodes:
        assert "gossip.probe_failures" not in metrics.counters
