"""The composition root: wiring, the decision thread, and a node's start, reload and shutdown."""
