"""Discrete-event simulation of clusters, without sockets or threads.

- `timeline`: simulated time.
- `cluster`: processes, links, stalls and fault schedules, for any protocol.
- `membership_cluster`, `membership_process`, `membership_invariants`: members that run the
  membership protocol.
- `lease_cluster`, `random_lease_cluster`, `lease_process`, `lease_tasks`, `guarded_resource`,
  `lease_invariants`: members that contend for leases and operate on a resource.
- `errors`: what a run raises when an invariant does not hold.
"""
