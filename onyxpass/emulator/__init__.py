"""An emulator of servers, network and clients in simulated time, for comparing dispatch policies.

The dispatcher never imports this package.
"""
