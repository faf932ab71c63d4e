"""Where a router sends long prompts, prompts that share little, and states for a slow kind."""

from helpers import MS, SETTINGS, RouterDriver, S, make_endpoints

from onyxpass.scheduling import attempt_timeouts, contract, prefix_affinity
from onyxpass.scheduling.contract import AttemptStatus

MANY_ROUTERS = 40  # enough that the sends of one router show no queue


def owners(prompt_tokens: int, prefix_tokens: int) -> set[str | None]:
    """Return the prefill servers of sessions that share a prefix, at routers without history."""
    chosen = set()
    for n in range(60):
        driver = RouterDriver(make_endpoints(30, 4), routers=MANY_ROUTERS, ordinal=n % MANY_ROUTERS)
        chosen.add(
            driver.submit(
                n,
                f"s{n}",
                "p",
                prompt_tokens=prompt_tokens,
                prefix_tokens=prefix_tokens,
                max_tokens=9,
            )
        )
    return chosen


def test_prompts_that_share_little_are_spread_and_prompts_that_share_much_are_kept_together() -> (
    None
):
    """A third of all requests shared a few short prefixes and overloaded the owners of those."""
    assert len(owners(5_500, 5_000)) == prefix_affinity.MIN_OWNERS
    assert len(owners(8_000, 500)) > 20


def driver_with_baseline(**settings: object) -> RouterDriver:
    """Return a router that has seen fast prefills of short prompts at all its servers."""
    driver = RouterDriver(make_endpoints(3, 2), **settings)
    for n in range(12):
        driver.complete_request(n, f"s{n}", f"p{n}", prompt_tokens=2_500)
    assert driver.router.baselines.unloaded_us_per_token["r"] > 0
    return driver


def test_a_prompt_whose_prefill_exceeds_its_objective_is_sent_while_there_is_capacity() -> None:
    driver = driver_with_baseline()
    us_per_token = driver.router.baselines.unloaded_us_per_token["r"]
    tokens = round(2 * SETTINGS.classes[0].latency_objective_us / us_per_token)
    assert (
        driver.submit(50, "long", "other", prompt_tokens=tokens, deadline_us=driver.now + 60 * S)
        is not None
    )
    # The request waits if every prefill server is known to have a queue.
    for server in driver.router.servers.values():
        server.us_per_token, server.sample_count, server.last_answer_us = (
            5 * us_per_token,
            9,
            driver.now,
        )
    assert (
        driver.submit(51, "late", "else", prompt_tokens=tokens, deadline_us=driver.now + 60 * S)
        is None
    )


def test_a_long_prefill_is_not_cancelled_for_its_own_length_and_a_queued_one_is() -> None:
    """A fifth of the cancelled prefills had not had the time that their prompts need."""
    for tokens, kept in ((200_000, True), (2_500, False)):
        driver = driver_with_baseline(routers=MANY_ROUTERS)
        driver.router.timeouts.credit = 2.0
        own_us = driver.router.baselines.unloaded_us_per_token["r"] * tokens
        assert driver.submit(
            50, "long", "other", prompt_tokens=tokens, deadline_us=driver.now + 60 * S
        )
        silence_us = (
            attempt_timeouts.SILENCE_OBJECTIVE_SHARE
            * driver.router.requests[50].latency_objective_us
        )
        driver.now += round(silence_us + 60 * MS)
        assert own_us > 2 * silence_us or not kept, (
            "the long prompt alone takes longer than the silence limit"
        )
        driver.tick()
        cancelled = any(isinstance(a, contract.CancelAttempt) for a in driver.last_actions)
        assert cancelled is not kept


def test_a_server_without_answers_does_not_attract_all_long_prompts() -> None:
    """With 32 routers, most knew no answer of a new server, and long prompts overloaded it."""
    driver = driver_with_baseline()
    measured = driver.router.servers["r0"]
    driver.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, (contract.Endpoint("r9", "r", "z0", 0, driver.now),)
        )
    )
    cold, us_per_token = (
        driver.router.servers["r9"],
        driver.router.baselines.unloaded_us_per_token["r"],
    )
    measured.last_answer_us = driver.now - 30 * S
    assert (
        cold.expected_prefill_us(9_000, driver.now, us_per_token)
        > measured.expected_prefill_us(9_000, driver.now, us_per_token)
        > 0
    )


def test_states_go_to_the_kind_that_answers_sooner_where_no_router_sees_the_load() -> None:
    """Mixed servers with free memory were busy with prefills and took thirty times as long."""
    driver = RouterDriver(make_endpoints(4, 2, 4), routers=MANY_ROUTERS)
    latency_objective_us = SETTINGS.classes[0].latency_objective_us
    for _ in range(6):
        driver.router.baselines.record_state_fetch(
            "m", latency_objective_us // 2, latency_objective_us
        )
        driver.router.baselines.record_state_fetch("w", 30 * MS, latency_objective_us)
    chosen = []
    for n in range(30):
        prefill_server = driver.submit(n, f"s{n}", f"p{n}")
        if prefill_server is not None and prefill_server.startswith("r"):
            driver.deliver_outcome(n, AttemptStatus.PREFILLED)
            chosen.append(driver.sent[n][-1])
            driver.deliver(contract.StreamStarted(n, 1, chosen[-1], 30 * MS), 30 * MS)
            driver.deliver_outcome(n, AttemptStatus.COMPLETED, final=True)
    assert len(chosen) > 10 and all(name.startswith("w") for name in chosen)


def test_a_cancelled_or_timed_out_attempt_counts_as_a_slow_fetch_of_its_kind() -> None:
    for status in (AttemptStatus.CANCELLED, AttemptStatus.TIMED_OUT):
        driver = RouterDriver(make_endpoints(2, 2), routers=MANY_ROUTERS)
        driver.submit(1)
        driver.deliver_outcome(1, AttemptStatus.PREFILLED)
        driver.deliver_outcome(1, status, 900 * MS)
        assert driver.router.baselines.state_fetch_share["w"] > 0
