"""What the author of a subsystem needs: its base class, the node as it sees it, admin routes.

It stands above `http` and below the subsystems. It is loaded only where one of them is switched on.
"""
