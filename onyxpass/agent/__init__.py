"""The agent: starts, watches, restarts and stops many instances on one machine."""
