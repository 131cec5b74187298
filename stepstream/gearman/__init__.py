"""The Gearman front: it takes jobs of Gearman clients and carries the core's calls to workers.

`docs/gearman.md` maps the protocol to the rules of the core. In this package "the protocol" is the
published one (gearman.org, "Gearman Protocol"). The modules named `..._rules` hold the decisions,
as pure functions.
"""
