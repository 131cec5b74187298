"""Protocols between the core, fronts, carriers and subsystems, one module for each concern.

Each protocol names who implements it, who calls it, on which thread, and what must not wait. The
records that pass through a protocol stand in its module.
"""
