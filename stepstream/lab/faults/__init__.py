"""Fault schedules, read from a file or drawn from a seed, and their injection into a cluster."""
