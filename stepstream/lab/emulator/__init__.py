"""Emulated surroundings of a dispatcher: workers, discovery, links with faults."""
