"""Model the network between the members of a cluster: delay, loss, duplicates, partitions.

`Links` decides whether and when a datagram arrives; it stores no datagram. Simulated clusters use
it in simulated time, `emulator.udp_relay` uses it for real datagrams. The code that creates a
`Links` owns it and decides which threads may use it.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

LinkPair = tuple[str, str]
"""One direction of a link: the sender's name and the receiver's."""


@dataclass(slots=True)
class Links:
    """The properties of all links of a cluster.

    Attributes:
        loss_probability: probability that one copy of a datagram is dropped.
        duplicate_probability: probability that a datagram is sent twice.
        delay_seconds: least and greatest delay; each copy gets a random delay between them.
        reorder_probability: probability that a copy is delayed by `reorder_delay_seconds` more,
            so that it arrives after datagrams that were sent later.
        reorder_delay_seconds: the additional delay of a reordered copy.
        cut_pairs: the directions in which every datagram is dropped.

    """

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    delay_seconds: tuple[float, float] = (0.0005, 0.005)
    reorder_probability: float = 0.0
    reorder_delay_seconds: float = 0.3
    cut_pairs: set[LinkPair] = field(default_factory=set)

    def cut(
        self, senders: Iterable[str], receivers: Iterable[str], *, both_ways: bool = True
    ) -> None:
        """Cut the links from each sender to each receiver, and back if `both_ways`."""
        receiver_names = list(receivers)
        for sender in senders:
            for receiver in receiver_names:
                if sender == receiver:
                    continue
                self.cut_pairs.add((sender, receiver))
                if both_ways:
                    self.cut_pairs.add((receiver, sender))

    def heal(self) -> None:
        """Restore all links that were cut."""
        self.cut_pairs.clear()

    def sample_delays(self, rng: random.Random) -> Iterator[float]:
        """Yield the delay in seconds of each copy of a datagram that arrives.

        This function ignores `cut_pairs`: the caller checks them. The order of the random numbers
        must not change, because otherwise a seed would replay another run: whether the datagram is
        duplicated, then for each copy whether it is lost, its delay, and whether it is reordered.
        """
        copies = 2 if rng.random() < self.duplicate_probability else 1
        for _ in range(copies):
            if rng.random() < self.loss_probability:
                continue
            delay_seconds = rng.uniform(*self.delay_seconds)
            if rng.random() < self.reorder_probability:
                yield delay_seconds + self.reorder_delay_seconds
            else:
                yield delay_seconds
