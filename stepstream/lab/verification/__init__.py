"""Verification of runs: the delivery invariants and their score, and the ledger behind a lease."""
