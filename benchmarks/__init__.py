"""Benchmarks: each module is a command, `python -m benchmarks.NAME`, run from the root.

`harness` holds what they share. A module's docstring says what it measures, in which unit, against
what. Nothing in the program imports this package.
"""
