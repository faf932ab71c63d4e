"""The desired configuration: versioned, replicated among control nodes, pulled by hosts."""
