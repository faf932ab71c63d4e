"""Leases for fleet-wide tasks: one holder at a time, told apart by tokens that only grow."""
