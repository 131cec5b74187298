"""Commands that run the lab and report: tables, JSON and charts."""
