"""Exhaustive search of all orders of events of membership and leases, within bounds.

- `explorer`: depth-first search of all paths, for any protocol.
- `membership_search`, `membership_state`: three members in every order of events.
- `lease_search`, `lease_model`, `lease_state`: three acceptors and two proposers in every order of
  events.
"""
