"""Benchmarks: each module is a command, `python -m benchmarks.NAME`, run from the root.

`harness` holds the shared helpers. A module's docstring states what the module measures, in which
unit, and what it compares. No module of the program imports this package.
"""
