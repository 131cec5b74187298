"""How many dispatchers share the cluster's capacity, in partitions above all."""

from hypothesis import given, settings
from hypothesis import strategies as st

from stepstream.membership.member_count import MemberCount, ObservedMember
from stepstream.membership.messages import MemberState

ALIVE = MemberState.ALIVE
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


@settings(derandomize=True, max_examples=120, deadline=None)
@given(
    sides=st.lists(st.sampled_from("abc"), min_size=2, max_size=11),
    crashed=st.sets(st.integers(0, 10)),
    rng=st.randoms(use_true_random=False),
)
def test_in_a_partition_all_take_at_most_half_again_and_a_minority_no_more_than_before(
    sides, crashed, rng
):
    """Members learn of deaths at any time and in any order: confirmations count, not lists."""
    everyone = [f"n{number:02}" for number in range(len(sides))]
    up = [name for number, name in enumerate(everyone) if number not in crashed]
    counts = {name: MemberCount(name, 3.0) for name in everyone}
    side = dict(zip(everyone, sides, strict=True))
    noticed_at = {(a, b): rng.uniform(0, 60) for a in everyone for b in everyone}
    confirmations: dict[str, frozenset[int]] = {}
    for now in range(0, 80, 2):
        observed = {
            name: [
                ObservedMember(
                    b,
                    DEAD if dead else ALIVE,
                    now - noticed_at[name, b],
                    everyone.index(b),
                )
                for b in everyone
                for dead in [(side[b] != side[name] or b not in up) and now >= noticed_at[name, b]]
            ]
            for name in up
        }
        confirmations |= {
            name: frozenset(counts[name].confirmed_deaths(observed[name])) for name in up
        }
        shares = {}
        for name in up:
            received = {
                other: deaths
                for other, deaths in confirmations.items()
                if side[other] == side[name]
            }
            shares[name] = 1 / counts[name].update(observed[name], received)
        assert sum(shares.values()) <= 1.5 + 1e-9
        for which in "abc":
            ours = [name for name in up if side[name] == which]
            if 2 * len(ours) < len(everyone):
                assert sum(shares[name] for name in ours) <= len(ours) / len(everyone) + 1e-9
    if len(set(sides)) == 1 and 2 * len(up) > len(everyone):
        assert set(shares.values()) == {1 / len(up)}  # and after a mere crash the rest have it all


def test_left_and_confirmed_dead_members_do_not_count_until_they_return():
    member_count = MemberCount("a", 30.0)

    def observed(c=ALIVE, d=ALIVE, seconds=31.0, death=7):
        return [
            ObservedMember("a", ALIVE, 99.0, 1),
            ObservedMember("b", ALIVE, 99.0, 2),
        ] + [ObservedMember(name, state, seconds, death) for name, state in (("c", c), ("d", d))]

    both = {"a": frozenset({7}), "b": frozenset({7})}
    assert member_count.update(observed(), both) == 4
    assert member_count.update(observed(d=LEFT), both) == 3
    assert member_count.confirmed_deaths(observed(c=DEAD, seconds=29.0)) == []
    assert member_count.confirmed_deaths(observed(c=DEAD)) == [7]
    assert member_count.update(observed(c=DEAD, d=LEFT), {"a": frozenset({7})}) == 3
    assert member_count.update(observed(c=DEAD, d=LEFT, death=8), both) == 3  # another claim
    assert member_count.update(observed(c=DEAD, d=LEFT), both) == 2
    assert member_count.update(observed(c=DEAD, d=LEFT, death=8), {}) == 3  # it was back meanwhile
    assert member_count.update(observed(), both) == 4
