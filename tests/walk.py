"""The one helper for random steps: a rig plays each on the code and on its model, and compares them."""

from hypothesis import given, settings
from hypothesis import strategies as st


def walks(rig, **moves):
    """A test that plays up to 30 random moves; each is a method of `rig`, its argument drawn as given."""
    move = st.one_of([st.tuples(st.just(name), argument) for name, argument in moves.items()])

    # Derandomized: CI must give the same verdict every time.
    @settings(derandomize=True, deadline=None, max_examples=300, database=None)
    @given(st.lists(move, max_size=30))
    def test(steps):
        played = rig()
        for name, argument in steps:
            getattr(played, name)(argument)
            played.check()
        if hasattr(played, "finish"):
            played.finish()

    return test
