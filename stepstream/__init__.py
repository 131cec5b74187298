"""stepstream: the decisions of a dispatcher that pushes jobs to workers, and the dispatcher round them."""

from stepstream.policy.load_balancer import LoadBalancer

__all__ = ["LoadBalancer"]
__version__ = "0.2.0"
