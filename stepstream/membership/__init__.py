"""SWIM membership of the dispatchers: who is present, since when and in which state.

Loaded only where the operator's file has `[fleet]`. The subsystem plugs into the node, the driver
owns the thread and the socket, and the protocol is a state machine without I/O. docs/fleet.md says
what the membership list guarantees and what it does not.
"""
