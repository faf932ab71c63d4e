"""Soak tests: real dispatchers on the loopback interface under overlapping faults."""
