"""What the author of a subsystem needs: its base class, its view of the node, admin routes.

The package may import `http`, and the subsystems import the package. It is loaded only if a
subsystem is switched on.
"""
