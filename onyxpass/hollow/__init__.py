"""Hollow dispatchers for scale tests: a dispatcher's code without its traffic, many in one process."""
