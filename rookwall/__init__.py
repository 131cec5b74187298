"""rookwall: the decisions of a dispatcher that pushes jobs to workers."""

from rookwall.balance import Balancer

__all__ = ["Balancer"]
