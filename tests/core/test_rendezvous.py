"""Test which keys move when members leave, and the effect of weights."""

from crocusspindle.core.rendezvous import order, order_by_weight


def test_only_the_keys_of_a_lost_member_move():
    """A node fails: only the keys for which it ranked first move to another one."""
    members = [f"node-{number}" for number in range(40)]
    keys = [f"service-{number}".encode() for number in range(2_000)]
    before = {key: order(key, members) for key in keys}
    after = {key: order(key, members[1:])[0] for key in keys}
    for key in keys:
        if before[key][0] == members[0]:
            assert after[key] == before[key][1]
        else:
            assert after[key] == before[key][0]


def test_a_member_ranks_first_for_keys_in_proportion_to_its_weight():
    weights = {"large": 400.0, **{f"small{number}": 1.0 for number in range(100)}}
    heads = [order_by_weight(b"%d" % key, weights)[0] for key in range(5_000)]
    assert 0.77 < heads.count("large") / len(heads) < 0.83


def test_only_the_keys_of_a_member_that_leaves_move():
    """A large host leaves: the roles of all others stay where they are."""
    weights = {f"n{number}": float(number + 1) for number in range(20)}
    rest = {name: weight for name, weight in weights.items() if name != "n19"}
    for key in range(300):
        before = order_by_weight(b"%d" % key, weights)
        after = order_by_weight(b"%d" % key, rest)
        assert after == [name for name in before if name != "n19"]


def test_members_of_one_weight_are_ordered_as_without_weights():
    names = [f"n{number}" for number in range(30)]
    for key in range(100):
        weights = dict.fromkeys(names, 7.0)
        assert order_by_weight(b"%d" % key, weights) == order(b"%d" % key, names)
