"""Read `name=value` numbers in the form of the platform's headers and load reports.

Pure functions: no state, no I/O.
"""

from stepstream.http.errors import HttpError

MAX_NUMBER = 1e6  # slots, memory units or waiting jobs; no worker has as many
MAX_QUOTED_CHARACTERS = 40  # of malformed input in the text of an error


class PairFormatError(HttpError, ValueError):
    """A part of a text that a peer sent is not `name=value`."""


def read_pairs(text: str) -> dict[str, str]:
    """Split `name=value, name=value`; the values stay strings.

    Raises PairFormatError for a part without an equals sign.
    """
    pairs = {}
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        name, equals, value = part.partition("=")
        if not equals:
            raise PairFormatError(f"{part[:MAX_QUOTED_CHARACTERS]!r} is not name=value")
        pairs[name.strip()] = value
    return pairs


def bounded_number(value: object) -> float:
    """Return a number from 0 to MAX_NUMBER that is given as a number or as text.

    Raises ValueError for anything else. The bound protects sums over workers: rounding would lose
    all other numbers if one were 1e300.
    """
    number = float(value) if isinstance(value, str) else value
    if (
        isinstance(number, bool)
        or not isinstance(number, int | float)
        or not 0 <= number <= MAX_NUMBER
    ):
        raise ValueError(
            f"{value!r:.{MAX_QUOTED_CHARACTERS}} is not a number from 0 to {MAX_NUMBER:.0f}"
        )
    return float(number)
