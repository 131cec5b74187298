"""Commands that run the lab and report the results as tables, JSON and charts."""
