"""The count of dispatchers that share the cluster's capacity, above all in partitions."""

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
def test_in_a_partition_the_shares_sum_to_at_most_1_5_and_no_minority_takes_more_than_before(
    sides, crashed, rng
):
    """Each member learns of each death at a random time, in any order.

    The shares must follow the confirmed deaths, not what each membership list shows.
    """
    everyone = [f"n{number:02}" for number in range(len(sides))]
    running = [name for number, name in enumerate(everyone) if number not in crashed]
    counts = {name: MemberCount(name, 3.0) for name in everyone}
    side_of = dict(zip(everyone, sides, strict=True))
    noticed_at = {
        (observer, other): rng.uniform(0, 60) for observer in everyone for other in everyone
    }
    confirmations: dict[str, frozenset[int]] = {}
    for now in range(0, 80, 2):
        observed = {
            name: [
                ObservedMember(
                    other,
                    DEAD if is_dead else ALIVE,
                    now - noticed_at[name, other],
                    everyone.index(other),
                )
                for other in everyone
                for is_dead in [
                    (side_of[other] != side_of[name] or other not in running)
                    and now >= noticed_at[name, other]
                ]
            ]
            for name in running
        }
        confirmations |= {
            name: frozenset(counts[name].confirmed_deaths(observed[name])) for name in running
        }
        shares = {}
        for name in running:
            received = {
                other: deaths
                for other, deaths in confirmations.items()
                if side_of[other] == side_of[name]
            }
            shares[name] = 1 / counts[name].update(observed[name], received)
        assert sum(shares.values()) <= 1.5 + 1e-9
        for side in "abc":
            members = [name for name in running if side_of[name] == side]
            if 2 * len(members) < len(everyone):
                assert sum(shares[name] for name in members) <= len(members) / len(everyone) + 1e-9
    if len(set(sides)) == 1 and 2 * len(running) > len(everyone):
        # Without a partition, the shares of the running majority sum to 1.
        assert set(shares.values()) == {1 / len(running)}


def test_left_and_confirmed_dead_members_do_not_count_until_they_return():
    member_count = MemberCount("a", 30.0)

    def observed(c=ALIVE, d=ALIVE, seconds=31.0, claim=7):
        return [
            ObservedMember("a", ALIVE, 99.0, 1),
            ObservedMember("b", ALIVE, 99.0, 2),
        ] + [ObservedMember(name, state, seconds, claim) for name, state in (("c", c), ("d", d))]

    confirmed_by_a_and_b = {"a": frozenset({7}), "b": frozenset({7})}
    assert member_count.update(observed(), confirmed_by_a_and_b) == 4
    assert member_count.update(observed(d=LEFT), confirmed_by_a_and_b) == 3
    assert member_count.confirmed_deaths(observed(c=DEAD, seconds=29.0)) == []
    assert member_count.confirmed_deaths(observed(c=DEAD)) == [7]
    assert member_count.update(observed(c=DEAD, d=LEFT), {"a": frozenset({7})}) == 3
    # The confirmations are of claim 7, so they do not count for a death with claim 8.
    assert member_count.update(observed(c=DEAD, d=LEFT, claim=8), confirmed_by_a_and_b) == 3
    assert member_count.update(observed(c=DEAD, d=LEFT), confirmed_by_a_and_b) == 2
    # c has returned with claim 8 and died again. No member has confirmed this death yet.
    assert member_count.update(observed(c=DEAD, d=LEFT, claim=8), {}) == 3
    assert member_count.update(observed(), confirmed_by_a_and_b) == 4
