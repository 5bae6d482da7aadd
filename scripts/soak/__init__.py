"""Stand-ins, clients and checks for runs of real processes."""
