"""Emulate what surrounds a dispatcher: workers, discovery, and the network between dispatchers."""
