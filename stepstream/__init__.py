"""stepstream: the decisions of a dispatcher that pushes jobs to workers."""

from stepstream.balance import Balancer

__all__ = ["Balancer"]
