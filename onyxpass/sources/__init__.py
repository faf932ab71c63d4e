"""Sources of membership: where the list of servers comes from, and what is let into force of it."""
