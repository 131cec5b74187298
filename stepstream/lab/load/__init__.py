"""Load of a run: the site file, the scenario drawn from it, and the clients that send it."""
