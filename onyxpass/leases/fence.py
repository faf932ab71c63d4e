"""The resource's side of a lease, without I/O: rejection of requests under an outdated token.

The lease only makes such requests rare; the fence excludes them. Each resource owns one fence and
stores an admission durably before what it admits takes effect. An effect lasts from
``effect_started`` to ``effect_finished``; while one is in progress, no other token of its lease is
admitted.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class AdmittedToken:
    """The highest token that a resource has admitted for a lease, and its holder."""

    token: int
    holder: str


@dataclass(slots=True)
class Fence:
    """The admissions of one resource, by the lease's name.

    ``admitted`` is what has to survive a restart; ``running`` counts the effects in progress under
    the token admitted last.
    """

    admitted: dict[str, AdmittedToken] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=dict)

    def rejection_reason(self, lease: str, token: int, holder: str) -> str:
        """Return why this holder may not act on the resource; empty if it may."""
        last = self.admitted.get(lease)
        if token <= 0 or not holder:
            return "an order without a token of its lease"
        if last is None:
            return ""
        if token < last.token:
            return f"token {token} of {lease} is old: {last.token} has been seen here"
        if token == last.token and holder != last.holder:
            # Prevents two holders of one token, which a store that lost its data may have granted.
            return f"token {token} of {lease} is {last.holder}'s"
        if token > last.token and self.running.get(lease):
            return f"what token {last.token} of {lease} began is still under way"
        return ""

    def supersedes_admitted(self, lease: str, token: int) -> bool:
        """Return whether a token is newer than the admitted one.

        Such a token is rejected only until the effects of the admitted one have finished.
        """
        last = self.admitted.get(lease)
        return last is not None and token > last.token

    def admit(self, lease: str, token: int, holder: str) -> bool:
        """Admit a token that was not rejected.

        Returns whether the admission is new, and so has to be stored before it takes effect.
        """
        admission = AdmittedToken(token, holder)
        is_new = self.admitted.get(lease) != admission
        self.admitted[lease] = admission
        return is_new

    def restore(self, lease: str, previous: AdmittedToken | None) -> None:
        """Undo an admission that could not be stored."""
        if previous is None:
            self.admitted.pop(lease, None)
        else:
            self.admitted[lease] = previous

    def effect_started(self, lease: str) -> None:
        """Count an effect in progress under the token admitted last."""
        self.running[lease] = self.running.get(lease, 0) + 1

    def effect_finished(self, lease: str) -> None:
        """Remove an effect from the count of those in progress."""
        remaining = self.running.get(lease, 0) - 1
        if remaining > 0:
            self.running[lease] = remaining
        else:
            self.running.pop(lease, None)

    def to_dict(self) -> Mapping[str, object]:
        """Return the admissions as the agent's API shows them."""
        return {
            name: {"token": admission.token, "holder": admission.holder}
            for name, admission in sorted(self.admitted.items())
        }
