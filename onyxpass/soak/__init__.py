"""A soak of real dispatchers on the loopback under overlapping faults, checked after it."""
