"""Ejection of outliers: how long a worker gets no work, and which classes keep away from it."""

from dataclasses import dataclass

FIRST_EJECTION_US = 1_000_000
LONGEST_EJECTION_US = 8_000_000


def next_ejection_time_us(previous_us: int) -> int:
    """Return the time of an ejection that follows one of `previous_us`: doubled, within bounds."""
    return min(max(2 * previous_us, FIRST_EJECTION_US), LONGEST_EJECTION_US)


@dataclass(slots=True)
class ClassEjection:
    """A class that keeps away from a worker, which took jobs of it and never started them."""

    ejection_time_us: int = 0
    next_probation_us: int = 0  # when the next job of the class may be sent
    ejected_at_us: int = 0  # attempts sent before this are under the verdict already

    def extend(self, attempt_sent_us: int, now_us: int) -> None:
        """Eject for longer, as one more attempt sent then was lost."""
        if attempt_sent_us >= self.ejected_at_us:
            self.ejection_time_us = next_ejection_time_us(self.ejection_time_us)
            self.next_probation_us = now_us + self.ejection_time_us
            self.ejected_at_us = now_us

    def begin_probation(self, now_us: int) -> None:
        """Note an attempt: one at a time on probation."""
        self.next_probation_us = now_us + self.ejection_time_us

    def shorten(self) -> bool:
        """Admit the next job at once, as one has started; return whether the ejection is over."""
        self.ejection_time_us //= 2
        self.next_probation_us = 0
        return self.ejection_time_us < FIRST_EJECTION_US
