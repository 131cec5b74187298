"""Fault schedules, read from a file or generated from a seed, and their injection into a cluster.

- `schedule`: the kinds of faults, a schedule of them, and its file form.
- `random_schedule`: generates a schedule from a seed.
- `injector`: applies a schedule to a cluster, either simulated or of real processes.
- `stop_plan`: which dispatchers a soak test stops, when and how.
"""
