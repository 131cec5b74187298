"""Protocols between the core, fronts, carriers and subsystems, one module for each concern.

Each protocol states who implements it, who calls it, on which thread, and which methods must not
wait. The records that pass through a protocol are defined in its module.
"""
