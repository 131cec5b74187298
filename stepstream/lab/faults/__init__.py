"""Fault schedules, read from a file or generated from a seed, and their injection into a cluster.

- `schedule`: the kinds of faults, a schedule of them, and its file form.
- `random_schedule`: a schedule from a seed.
- `injector`: what applies a schedule to a cluster, simulated or of processes.
"""
