"""Verification of runs: the delivery rules, the score, and the ledger that leases guard."""
