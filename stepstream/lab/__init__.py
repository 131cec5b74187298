"""The lab: emulated and simulated surroundings that test and measure dispatchers; see docs/lab.md.

- `emulator`: workers, discovery, and the network between dispatchers
- `load`: the site file, the scenario generated from it, and the clients that send its jobs
- `faults`: fault schedules of dispatchers and links
- `simulation`: clusters of the membership and lease protocols in simulated time
- `search`: exhaustive search of all orders of events of small clusters
- `verification`: the delivery rules, the score, and the ledger that leases guard
- `processes`: real dispatchers, alone and in clusters
- `reports`: the commands that run the lab
"""
