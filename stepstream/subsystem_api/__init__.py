"""What the author of a subsystem needs: its base class, its view of the node, admin routes.

The package stands above `http` and below the subsystems. It is loaded only where one of them is
switched on.
"""
