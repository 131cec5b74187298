"""Exhaustive search of the orders of events of membership and leases, to a stated depth.

- `explorer`: depth-first search of all paths, for any protocol.
- `membership_search`, `membership_state`: three members in every order of events.
- `lease_search`, `lease_model`, `lease_state`: three acceptors and two proposers in every order of
  events.
"""
