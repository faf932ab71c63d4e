"""Scheduling decisions of the dispatcher: which server gets a request, when, and what is rejected.

The package does no I/O, reads no clock and knows no wire format: timestamped events go in, actions
come out.
"""
