"""Stand-ins for the cases 6 to 10, and the programs' process control; standard library only."""
