"""Failures of system calls, disks and the wall clock as Linux documents them, for tests.

A process is affected only if it is started with the fault library preloaded.
"""
