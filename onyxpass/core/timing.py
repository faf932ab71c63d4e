"""Where the time of a completed answer went, and whether it was in time."""

from dataclasses import dataclass

from onyxpass.core.answer_value import Assessment, assess, mean_token_us
from onyxpass.core.requests import Attempt
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """Times of one completed attempt, in microseconds."""

    attempt: Attempt
    wait_us: int  # all that the client waited for the first event
    token_us: int
    prefill: Attempt | None  # the attempt that processed the prompt
    assessment: Assessment | None

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log line of a completed answer."""
        fields: dict[str, object] = {
            "wait_us": self.wait_us,
            "first_us": self.attempt.first_event_us,
            "gap_us": self.attempt.longest_gap_us,
            "us": self.attempt.duration_us,
            "parts": self.attempt.event_count,
            "token_us": self.token_us,
        }
        if self.prefill is not None:
            fields |= {
                "reader": self.prefill.server,
                "read_us": self.prefill.duration_us,
                "kept": self.prefill.cached_tokens,
            }
        if self.assessment is not None and self.assessment.cause:
            fields |= {"worth": self.assessment.timeliness.value, "for": self.assessment.cause}
        return fields


def measure_answer(attempt: Attempt, traffic_class: contract.TrafficClass | None) -> AnswerTiming:
    """Measure a completed attempt; without a class, there is no objective to assess it by."""
    request = attempt.request
    wait_us = attempt.sent_us + attempt.first_event_us - request.arrived_us
    token_us = mean_token_us(attempt.duration_us - attempt.first_event_us, attempt.output_tokens)
    prefill = next(
        (past for past in reversed(request.attempts) if past.status is AttemptStatus.PREFILLED),
        None,
    )
    assessment = None
    if traffic_class is not None:
        assessment = assess(traffic_class, request.arrival.prompt_tokens, wait_us, token_us)
    return AnswerTiming(attempt, wait_us, token_us, prefill, assessment)
