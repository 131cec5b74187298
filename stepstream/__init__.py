"""stepstream: a policy that assigns jobs to workers, and the dispatcher that carries it out."""

from stepstream.policy.load_balancer import LoadBalancer

__all__ = ["LoadBalancer"]
__version__ = "0.2.0"
