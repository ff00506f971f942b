"""Choose the hosts that discovery answers list, by capacity left and by domain."""

from collections import Counter
from itertools import pairwise

import pytest

from crocusspindle.core.capacity_left import LEFT_MAX, LEFT_MIN
from crocusspindle.core.host_choice import (
    MAX_ADDRESSES,
    HostChoice,
    OpenHost,
    caller_capacity,
)

CALLERS = [f"10.7.{number // 250}.{number % 250}" for number in range(500)]


def hosts(
    domain: str, count: int, left: int = LEFT_MAX, capacity: float = 30.0
) -> list[OpenHost]:
    return [
        OpenHost(f"{domain}{number:03}:80", domain, capacity, left)
        for number in range(count)
    ]


def listed(choice: HostChoice, domain: str) -> Counter[str]:
    """Return for how many callers of a domain each host is listed."""
    return Counter(a for caller in CALLERS for a in choice.addresses(domain, caller))


def expected_picks(choice: HostChoice, domain: str) -> Counter[str]:
    """Return how many callers of a domain pick each host, on average."""
    picks: Counter[str] = Counter()
    for caller in CALLERS:
        answer = choice.addresses(domain, caller)
        picks.update(dict.fromkeys(answer, 1.0 / len(answer)))
    return picks


@pytest.mark.parametrize("count", [2, 21, 64])
def test_alike_hosts_that_are_not_loaded_are_all_listed(count):
    """Guards against callers that move although all hosts are alike."""
    choice = HostChoice(reversed([*hosts("a", count), *hosts("b", 9)]))
    for caller in CALLERS[:20]:
        addresses = [host.address for host in hosts("a", count)]
        assert choice.addresses("a", caller) == addresses


def test_hosts_of_other_domains_are_listed_where_one_or_none_is_local():
    """Guards against callers whose only address ends with its host."""
    choice = HostChoice([*hosts("a", 1), *hosts("b", 5)])
    assert len(choice.addresses("a", CALLERS[0])) == 6
    assert len(choice.addresses("unknown", CALLERS[0])) == 6
    assert HostChoice([]).addresses("a", CALLERS[0]) == []


def test_large_hosts_get_callers_by_their_size():
    """19 hosts of 0.43 cores and 2 of 2.15 serve 500 callers of one domain.

    With a list of all hosts for each caller, the small ones get five times as much per
    core as the large ones.
    """
    large = [OpenHost(f"z{number}:80", "a", 215.0) for number in range(2)]
    choice = HostChoice([*hosts("a", 19, capacity=43.0), *large])
    counts, picks = listed(choice, "a"), expected_picks(choice, "a")
    small = [host.address for host in hosts("a", 19)]
    assert {counts[host.address] for host in large} == {len(CALLERS)}
    mean_small = sum(counts[address] for address in small) / len(small)
    assert mean_small == pytest.approx(len(CALLERS) / 5, rel=0.1)
    assert min(counts[address] for address in small) > 0.6 * mean_small
    per_core = [picks[host.address] / 215.0 for host in large]
    small_per_core = sum(picks[address] for address in small) / len(small) / 43.0
    assert all(0.8 < value / small_per_core < 1.3 for value in per_core)


def test_no_host_of_a_domain_of_67_is_left_without_callers():
    """Guards against hosts that are last in text order and never listed."""
    choice = HostChoice(hosts("a", 67))
    counts = listed(choice, "a")
    assert {len(choice.addresses("a", c)) for c in CALLERS} == {MAX_ADDRESSES}
    assert len(counts) == 67
    assert min(counts.values()) > 0.9 * len(CALLERS)


def test_large_domain_keeps_the_proportions_of_its_hosts():
    """Guards against a bound on the list that evens out the sizes of 150 hosts."""
    large = [OpenHost(f"z{n:03}:80", "a", 60.0) for n in range(75)]
    choice = HostChoice([*hosts("a", 75), *large])
    counts = listed(choice, "a")
    of_large = sum(counts[host.address] for host in large)
    assert of_large / (sum(counts.values()) - of_large) == pytest.approx(2.0, rel=0.1)


@pytest.mark.parametrize(("left", "fraction"), [(3, 0.75), (2, 0.5), (1, 0.25)])
def test_host_with_less_capacity_left_is_listed_for_fewer_callers(left, fraction):
    """Guards against a pressed host that gets as many callers as the others."""
    loaded = OpenHost("loaded:80", "a", 30.0, left)
    choice = HostChoice([*hosts("a", 20), loaded])
    counts = listed(choice, "a")
    assert counts[loaded.address] == pytest.approx(fraction * len(CALLERS), rel=0.15)
    assert all(counts[host.address] == len(CALLERS) for host in hosts("a", 20))


def test_fleet_of_loaded_hosts_does_not_shrink():
    """Guards against callers that crowd on few hosts when all are loaded."""
    choice = HostChoice(hosts("a", 21, LEFT_MIN))
    assert {len(choice.addresses("a", caller)) for caller in CALLERS} == {21}


def test_idle_host_of_a_loaded_fleet_is_not_overrun():
    """A host has just been restarted, and the others are at their limit."""
    choice = HostChoice([*hosts("a", 20, LEFT_MIN), OpenHost("new:80", "a", 30.0)])
    picks = expected_picks(choice, "a")
    assert picks["new:80"] < 3.0 * len(CALLERS) / 21


def test_change_of_one_host_moves_only_its_callers():
    """Guards against connections that are closed as another host gets loaded."""
    before = HostChoice(hosts("a", 21))
    pressed = hosts("a", 20)
    last = hosts("a", 21)[-1]
    after = HostChoice([*pressed, OpenHost(last.address, "a", 30.0, 3)])
    lost = 0
    for caller in CALLERS:
        missing = set(before.addresses("a", caller)) - set(after.addresses("a", caller))
        assert missing <= {last.address}
        lost += len(missing)
    assert lost == pytest.approx(len(CALLERS) / 4, rel=0.15)


def test_host_that_goes_moves_only_its_callers():
    """Guards against answers that change with each host that comes or goes."""
    uneven = [*hosts("a", 20, 2), *hosts("a", 41)[20:]]
    before, after = HostChoice(uneven), HostChoice(uneven[:-1])
    for caller in CALLERS:
        remaining = set(before.addresses("a", caller)) - {uneven[-1].address}
        assert remaining == set(after.addresses("a", caller))


def test_domain_with_capacity_left_keeps_its_callers():
    """Guards against traffic between domains that costs without need."""
    choice = HostChoice([*hosts("a", 20, 2), *hosts("b", 20)])
    assert all(address.startswith("a") for address in listed(choice, "a"))


def test_hosts_of_other_domains_join_where_a_domain_is_loaded():
    """A domain is at its limit while another has capacity left.

    At most half of its traffic leaves it, so that a herd can't overload the other one.
    """
    choice = HostChoice([*hosts("a", 20, 1), *hosts("b", 20), *hosts("c", 20, 2)])
    picks = expected_picks(choice, "a")
    abroad = sum(count for address, count in picks.items() if address[0] != "a")
    assert 0.4 * len(CALLERS) < abroad < 0.55 * len(CALLERS)
    assert not [address for address in picks if address[0] == "c"]
    local = {address for address in picks if address[0] == "a"}
    assert len(local) == 20
    assert all(address.startswith("b") for address in listed(choice, "b"))


def test_traffic_abroad_grows_gradually_with_the_load():
    """Guards against all callers of a domain leaving it at one threshold."""
    abroad = []
    for loaded in range(21):
        local = [*hosts("a", 20, 2)[loaded:], *hosts("a", 20, 1)[:loaded]]
        choice = HostChoice([*local, *hosts("b", 20)])
        picks = expected_picks(choice, "a")
        abroad.append(sum(n for a, n in picks.items() if a[0] == "b") / len(CALLERS))
    assert abroad[0] == 0.0
    assert max(b - a for a, b in pairwise(abroad)) < 0.06
    assert abroad == sorted(abroad)


def test_no_domain_is_joined_where_all_are_loaded():
    """Guards against two loaded domains that swap their callers."""
    choice = HostChoice([*hosts("a", 20, 1), *hosts("b", 20, 1)])
    assert all(address.startswith("a") for address in listed(choice, "a"))


def test_no_large_host_takes_a_quarter_of_a_domain_of_small_ones():
    """Guards against the loss of one host that fails a third of a domain's callers."""
    hosts = [
        OpenHost(f"10.0.0.{number}:80", "a", caller_capacity(200 if number < 2 else 10))
        for number in range(21)
    ]
    choice = HostChoice(hosts)
    share = 0.0
    for caller in range(2_000):
        listed = choice.addresses("a", f"10.9.{caller // 250}.{caller % 250}")
        share += (hosts[0].address in listed) / len(listed) / 2_000
    assert 3 / 21 < share < 0.25
