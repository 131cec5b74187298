"""Read `name=value` numbers as the platform's headers and load reports write them.

Pure functions: no state, no I/O.
"""

from stepstream.http.errors import HttpError

LARGEST_NUMBER = 1e6  # slots, memory units or waiting jobs; no worker has so many
QUOTED_CHARACTERS = 40  # of malformed input, in an error's text


class PairFormatError(HttpError, ValueError):
    """A part of a peer's text is not `name=value`."""


def read_pairs(text: str) -> dict[str, str]:
    """Split `name=value, name=value`; the values stay text.

    Raises PairFormatError for a part without an equals sign.
    """
    pairs = {}
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        name, equals, value = part.partition("=")
        if not equals:
            raise PairFormatError(f"{part[:QUOTED_CHARACTERS]!r} is not name=value")
        pairs[name.strip()] = value
    return pairs


def bounded_number(value: object) -> float:
    """Return a number from 0 to LARGEST_NUMBER, given as one or as its text.

    Raises ValueError for anything else, as float() does: discovery's log line names the type. The
    bound guards the sums over workers: a number like 1e300 would swallow all others.
    """
    number = float(value) if isinstance(value, str) else value
    if (
        isinstance(number, bool)
        or not isinstance(number, int | float)
        or not 0 <= number <= LARGEST_NUMBER
    ):
        raise ValueError(
            f"{value!r:.{QUOTED_CHARACTERS}} is not a number from 0 to {LARGEST_NUMBER:.0f}"
        )
    return float(number)
