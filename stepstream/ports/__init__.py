"""Protocols between the core, fronts, carriers and subsystems, a module a concern."""
