"""`name=value` figures as headers and load reports word them; free of I/O."""

MOST = 1e6  # slots, memory units or waiting jobs; no worker has so many


def read_pairs(text: str) -> dict[str, str]:
    """`name=value, name=value`, values unread; ValueError if a part is worded otherwise."""
    pairs = {}
    for part in filter(None, (piece.strip() for piece in text.split(","))):
        name, equals, value = part.partition("=")
        if not equals:
            raise ValueError(f"{part[:40]!r} is not name=value")
        pairs[name.strip()] = value
    return pairs


def bounded_number(value: object) -> float:
    """A number from 0 to MOST, or the text of one; else ValueError.

    Guards the sums of busy slots: a figure like 1e300 would swallow all others.
    """
    number = float(value) if isinstance(value, str) else value
    if isinstance(number, bool) or not isinstance(number, int | float) or not 0 <= number <= MOST:
        raise ValueError(f"{value!r:.40} is not a number from 0 to {MOST:.0f}")
    return float(number)
