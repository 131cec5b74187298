"""The composition root: wiring, the decision thread, and a node's life from start to shutdown."""
