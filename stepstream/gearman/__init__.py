"""Gearman: a front for its clients and a carrier for calls to its workers.

`docs/gearman.md` maps the protocol to the rules of the core. In this package "the protocol" is the
published one (gearman.org, "Gearman Protocol"). The modules named `..._rules` decide, without I/O.
"""
