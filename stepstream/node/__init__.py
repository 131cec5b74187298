"""The composition root: wiring, decision thread, signals."""
