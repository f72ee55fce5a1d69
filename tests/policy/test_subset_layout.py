"""How many proxies may send to an upstream in slow start, as each of them reckons it."""

from __future__ import annotations

import itertools
from collections import Counter

import pytest

from loadbalancer.policy import Balancer, api
from loadbalancer.policy.subset_layout import SubsetLayout

SECOND = 1_000_000_000
START = 100 * SECOND
FAR = 1_000_000 * SECOND
ZONES = ("a", "b", "c", "d")


@pytest.mark.parametrize(
    ("proxies", "upstreams", "ordered"),
    [(1, 5, 2), (3, 12, 5), (20, 24, 4), (200, 24, 2), (200, 140, 2), (7, 100, 15), (48, 7, 7)],
)
def test_proxies_in_ring_order_are_counted_exactly(
    proxies: int, upstreams: int, ordered: int
) -> None:
    layout = SubsetLayout(proxies, upstreams, ordered)
    members = Counter(
        (proxy * upstreams // proxies + step) % upstreams
        for proxy, step in itertools.product(range(proxies), range(ordered))
    )
    assert [layout.proxies_at(i, 0) for i in range(upstreams)] == [
        members[i] for i in range(upstreams)
    ]


def test_the_reckoned_proxies_of_all_upstreams_add_up_to_all_subsets() -> None:
    counts = {"a": 12, "b": 6, "c": 1, "lost": 0}
    upstreams = sum(counts.values())
    layout = SubsetLayout(200, upstreams, 2, 3, counts.values())
    zones = [zone for zone, count in counts.items() for _ in range(count)]
    reckoned = sum(layout.proxies_at(i, counts[zone]) for i, zone in enumerate(zones))
    assert reckoned == pytest.approx(200 * 5)


def fleet_of(proxies: int, upstreams: list[api.Upstream], zones: tuple[str, ...]) -> list[Balancer]:
    """Return proxies, spread evenly over the zones, that know these upstreams."""
    balancers = []
    for index in range(proxies):
        settings = api.Settings(
            instance_index=index,
            instance_count=proxies,
            zone=zones[index % len(zones)],
            classes={"read": api.RequestClass("read")},
            rules=api.TrafficRules(slow_start_ns=8 * SECOND),
            prices=api.Prices(cross_zone=0.03),
        )
        balancer = Balancer(settings, seed=index, now=START)
        event = api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams)
        balancer.handle(START, [event])
        balancers.append(balancer)
    return balancers


def share_of_senders(balancers: list[Balancer], cold: int) -> float:
    """Return the sum of the shares that the proxies take of a cold upstream; 1 is all of it."""
    shares = []
    for balancer in balancers:
        upstream_set = balancer.upstream_set
        upstream = upstream_set.upstreams[cold]
        if upstream_set.slow_start.may_attempt(upstream, FAR):  # whenever its first attempt is due
            shares.append(1 / upstream_set.proxies_sharing(upstream))
    return sum(shares)


# Guards against more proxies that send to a cold upstream than each of them reckons with: a lost
# zone that returns one upstream at a time, and zones of unequal size.
@pytest.mark.parametrize("returned", [1, 2, 6])
@pytest.mark.parametrize("proxies", [4, 12, 40, 200])
def test_shares_of_a_cold_upstream_do_not_exceed_it(proxies: int, returned: int) -> None:
    warm = [api.Upstream(n, zone=ZONES[n % 3]) for n in range(1, 19)]
    cold = [api.Upstream(100 + n, zone="d", started_ns=START) for n in range(returned)]
    balancers = fleet_of(proxies, warm + cold, ZONES)
    shares = [share_of_senders(balancers, upstream.id) for upstream in cold]
    assert 0.7 < sum(shares) / len(shares) < 1.1
    assert max(shares) < 1.35


def test_a_proxy_outside_the_subset_sends_nothing_to_a_cold_upstream() -> None:
    warm = [api.Upstream(n, zone=ZONES[n % 4]) for n in range(1, 24)]
    cold = api.Upstream(100, zone="a", started_ns=START)
    for balancer in fleet_of(200, [*warm, cold], ZONES):
        upstream = balancer.upstream_set.upstreams[100]
        availability = balancer.upstream_set.availability
        if not upstream.in_subset:
            assert not availability.accepts(upstream, START + 7 * SECOND)


def test_an_upstream_that_operators_enable_is_shared_by_all_proxies() -> None:
    upstreams = [api.Upstream(n, zone=ZONES[n % 4]) for n in range(1, 25)]
    [balancer] = fleet_of(200, upstreams, ZONES)[:1]
    upstream_set = balancer.upstream_set
    balancer.handle(START, [api.UpstreamDisabled(5, True)])
    balancer.handle(START + SECOND, [api.UpstreamDisabled(5, False)])
    assert upstream_set.proxies_sharing(upstream_set.upstreams[5]) == 200.0
