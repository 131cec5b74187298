"""Discrete-event simulation of clusters: membership and leases without sockets or threads."""
