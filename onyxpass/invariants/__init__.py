"""Run-time checks of the invariants of a dispatcher and of an agent, without I/O.

The checks make no decisions of their own. Code that is about to send, answer, close or start asks
first; a step that would violate an invariant is counted and, except a close, refused. Each
violation shows a defect in the code that led to the check.
"""

from onyxpass.invariants.rules import InvariantChecker
from onyxpass.invariants.starts import ProcessStartChecker
from onyxpass.invariants.verdict import ALLOWED, Rule, Verdict

__all__ = ["ALLOWED", "InvariantChecker", "ProcessStartChecker", "Rule", "Verdict"]
