"""stepstream: the decisions of a dispatcher that pushes jobs to workers, and the dispatcher round them."""

from stepstream.balance import Balancer

__all__ = ["Balancer"]
__version__ = "0.2.0"
