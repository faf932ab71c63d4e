"""State in Redis that several processes share: claims on tool calls, instances and leases."""
