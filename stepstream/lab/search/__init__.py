"""Exhaustive search of the orders of events of membership and leases, to a stated depth."""
