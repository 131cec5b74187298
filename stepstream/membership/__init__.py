"""The dispatchers' own view of each other: who is there, since when and in which state.

Loaded only where the operator's file has `[fleet]`; docs/fleet.md says what the view promises and what not.
"""
