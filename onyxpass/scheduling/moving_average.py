"""The exponentially weighted moving average and the weights of its newest sample."""

LATENCY_WEIGHT = 0.3  # times of one server, latencies of one class
BASELINE_WEIGHT = 0.05  # typical times of the pool, which should hardly follow one sample
STATE_FETCH_WEIGHT = 0.15  # the share of the objective that fetching a state takes
FAILURE_WEIGHT = 0.3  # two failures in a row exceed the limit of outlier detection
RESET_WEIGHT = 0.2  # a reset says less about its server: three in a row exceed the limit


def moving_average(mean: float, sample: float, weight: float) -> float:
    """Return the mean after one more sample that counts ``weight`` (0 to 1)."""
    return mean + weight * (sample - mean)
