"""stepstream: a dispatcher that pushes jobs to workers.

The public face for programs that embed its policy is `LoadBalancer`; everything else is imported
from its own module. Importing this package loads the policy and the model, and nothing else.
"""

from stepstream.policy.load_balancer import LoadBalancer

__all__ = ["LoadBalancer"]
__version__ = "0.2.0"
