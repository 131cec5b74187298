"""Emulate a dispatcher's environment: workers, discovery, and the network to other dispatchers."""
