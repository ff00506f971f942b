from crocusspindle.core.rendezvous import order


def test_only_the_keys_of_a_lost_member_move():
    """A node dies. Requests whose home it was get a new home; no others move."""
    members = [f"node-{number}" for number in range(40)]
    keys = [f"service-{number}".encode() for number in range(2_000)]
    before = {key: order(key, members) for key in keys}
    after = {key: order(key, members[1:])[0] for key in keys}
    for key in keys:
        if before[key][0] == members[0]:
            assert after[key] == before[key][1]
        else:
            assert after[key] == before[key][0]
