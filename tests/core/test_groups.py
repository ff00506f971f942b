import random
from collections import Counter

import pytest

from crocusspindle.core.group_coordinator import CoordinatorLoad
from crocusspindle.core.groups import GroupChooser, partition_targets

TARGETS = [f"10.0.{index // 250}.{index % 250}:80" for index in range(1_000)]


@pytest.mark.parametrize("number", [1, 8, 15, 25, 100, 1_000])
def test_every_target_is_in_one_group_of_bounded_size(number):
    groups = partition_targets("bayaran", TARGETS[:number])
    assert sorted(each for group in groups for each in group.targets) == sorted(
        TARGETS[:number]
    )
    assert max(len(group.targets) for group in groups) <= 16
    assert partition_targets("bayaran", reversed(TARGETS[:number])) == groups


def test_few_targets_change_their_group_when_one_is_removed():
    """A host is replaced. If all targets were partitioned anew, every coordinator would
    lose its queue and the slots that it has learnt."""
    before = {
        target: group.number
        for group in partition_targets("bayaran", TARGETS[:100])
        for target in group.targets
    }
    moved = []
    for removed in TARGETS[:40]:
        after = partition_targets(
            "bayaran", [each for each in TARGETS[:100] if each != removed]
        )
        moved.append(
            sum(
                before[target] != group.number
                for group in after
                for target in group.targets
            )
        )
    assert sum(moved) / len(moved) < 5.0


def test_groups_are_chosen_by_wait_and_requests_sent_since():
    """The loads known to an entry are stale. By these alone it would send all requests
    to the group that was idle then."""
    groups = partition_targets("bayaran", TARGETS[:40])
    chooser = GroupChooser(random.Random(1))
    for group in groups:
        chooser.update_load(group, CoordinatorLoad(0, 0, 24, 0.0))
    chooser.update_load(groups[0], CoordinatorLoad(50, 24, 24, 400.0))
    chosen = Counter(chooser.choose(groups).number for _ in range(400))
    assert chosen[0] < 0.15 * 400
    assert min(chosen[group.number] for group in groups[1:]) > 0.2 * 400
