"""The lab: everything round a dispatcher that tests and measures it. docs/lab.md.

- `emulator`: workers, discovery, and the network between dispatchers
- `load`: the site file, the scenario generated from it, and the clients
- `faults`: fault schedules of dispatchers and links
- `simulation`: clusters of membership and leases in simulated time
- `search`: every order of events of small clusters
- `verification`: the rules of delivery, the score, and the ledger behind a lease
- `processes`: real dispatchers, alone and in clusters
- `reports`: the commands that run the lab
"""
