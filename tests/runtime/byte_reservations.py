"""A budget of which a part is taken for the time of a test."""

import contextlib

from stepstream.runtime.byte_budget import ByteReservation


@contextlib.contextmanager
def reserved(budget, size_bytes):
    """Hold bytes of a budget inside the context."""
    reservation = ByteReservation(budget, size_bytes)
    try:
        yield
    finally:
        reservation.release()
