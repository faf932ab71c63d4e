"""Shutdown of a dispatcher: rejects new requests and fails or aborts open ones."""

from onyxpass.core.final_answers import FinalAnswers
from onyxpass.core.request_registry import RequestRegistry
from onyxpass.scheduling.contract import AttemptStatus


class Shutdown:
    """Rejects new requests while ``begun`` is set, and ends open ones."""

    def __init__(self, registry: RequestRegistry, answers: FinalAnswers) -> None:
        self.begun = False
        self._registry = registry
        self._answers = answers

    def begin(self) -> None:
        """Reject new requests, which could not be finished before the process ends."""
        self.begun = True

    def cancel(self) -> None:
        """Accept new requests again."""
        self.begun = False

    def fail_unanswered(self) -> None:
        """Fail each request whose stream has not begun.

        Prevents requests from staying unanswered when the process is killed.
        """
        for request in self._registry.unfinished():
            if not request.finished and request.committed is None:
                self._answers.fail_and_stop(request, "the dispatcher ends", AttemptStatus.CANCELLED)

    def abort_all(self, reason: str) -> int:
        """Abort all open requests, including streams, and return their number.

        To be called only on an operator's explicit order.
        """
        unfinished = self._registry.unfinished()
        for request in unfinished:
            self._answers.abort(request, reason)
        return len(unfinished)
