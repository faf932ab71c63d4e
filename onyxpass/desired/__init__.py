"""Desired configuration: versioned, replicated by control machines, pulled down a tree by hosts."""
