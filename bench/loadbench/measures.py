"""Figures of one scenario."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from hdrh.histogram import HdrHistogram

from loadbench.engines import EngineWork
from loadbench.results import CallOutcome, Result
from loadbench.schedule import ScheduledCall
from loadbench.shapes import TIERS, ModelCallKind, Shape

US_PER_S = 1_000_000
MAX_LATENCY_US = 120 * US_PER_S
SIGNIFICANT_DIGITS = 3
BUSIEST_COUNT = 6
"""Number of processes in the list of highest CPU usage."""

PERCENTILES = (50.0, 95.0, 99.0)


class TierFigures(msgspec.Struct):
    """Figures of one tier.

    Parameters
    ----------
    offered, good, late, not_run, unknown, given_up, wrong : int
        Calls sent, and calls by outcome. Good is complete within the deadline.
    goodput : float
        Share of the offered calls that were good.
    first_token_ms : list of float
        p50, p95 and p99 of complete responses.
    not_run_ms : list of float
        p50, p95 and p99 of the time until a "not run" response.
    """

    offered: int = 0
    good: int = 0
    late: int = 0
    not_run: int = 0
    unknown: int = 0
    given_up: int = 0
    wrong: int = 0
    goodput: float = 1.0
    first_token_ms: list[float] = []
    not_run_ms: list[float] = []


class ScenarioFigures(msgspec.Struct):
    """Figures of one scenario, one treatment and one shape.

    Parameters
    ----------
    good_tokens : int
        Prompt and output tokens of good responses of engines.
    wasted_tokens : int
        Prefill of cancelled or late calls, or cached by another engine.
    wasted_share : float
        Wasted tokens as a share of all prefill.
    idle_share : float
        Share of the engines' slot time without work while calls arrived.
    goodput_by_account : dict of str to float
        Share of the account's calls that were good.
    jain : float
        Jain's fairness index of the accounts' goodput; 1 is equal.
    not_run_reasons : dict of str to int
        Calls by refusal code.
    lag_ms_p99 : float
        p99 of the send delay of the load generator, in milliseconds.
    load_average, cpu_cores : float
        Load average at the end, and cores used by the fleet and senders.
    busiest : dict of str to float
        Processes with the highest CPU usage, in cores.
    """

    shape: str
    treatment: str
    scenario: str
    seconds: float
    seed: int
    offered: int
    good: int
    good_tokens: int
    tiers: dict[str, TierFigures]
    prefill_tokens: int
    cached_tokens: int
    given_up_tokens: int
    late_tokens: int
    repeated_tokens: int
    wasted_tokens: int
    wasted_share: float
    idle_share: float
    goodput_by_account: dict[str, float]
    good_by_account: dict[str, int]
    jain: float
    not_run_reasons: dict[str, int]
    unknown_reasons: dict[str, int]
    lag_ms_p99: float
    load_average: float
    cpu_cores: float
    busiest: dict[str, float]


@dataclass(frozen=True, slots=True)
class RunInfo:
    """Parameters and resource usage of a run."""

    treatment: str
    scenario: str
    seconds: float
    seed: int
    slot_s: float
    busy_slot_s: float
    load_average: float
    cpu_by_process: dict[str, float]


def compute_figures(
    shape: Shape,
    calls: list[ScheduledCall],
    results: list[Result],
    work: EngineWork,
    run_info: RunInfo,
) -> ScenarioFigures:
    """Compute the figures of a scenario."""
    result_by_number = {result.number: result for result in results}
    pairs = [(call, result_by_number[call.number]) for call in calls]
    late_tokens = sum(
        result.uncached_tokens
        for call, result in pairs
        if result.outcome is CallOutcome.COMPLETE and not _is_good(shape, call, result)
    )
    good = [call for call, result in pairs if _is_good(shape, call, result)]
    good_by_account = dict.fromkeys(shape.share_by_account, 0)
    for call in good:
        good_by_account[call.account] += 1
    by_account = {
        account: _account_goodput(shape, pairs, account)
        for account in shape.share_by_account
    }
    wasted = work.given_up_tokens + late_tokens + work.repeated_tokens
    return ScenarioFigures(
        shape=shape.name,
        treatment=run_info.treatment,
        scenario=run_info.scenario,
        seconds=run_info.seconds,
        seed=run_info.seed,
        offered=len(calls),
        good=len(good),
        good_tokens=sum(_tokens(shape, call) for call in good),
        tiers={tier.name: _tier_figures(shape, pairs, tier.rank) for tier in TIERS},
        prefill_tokens=work.prefill_tokens,
        cached_tokens=work.cached_tokens,
        given_up_tokens=work.given_up_tokens,
        late_tokens=late_tokens,
        repeated_tokens=work.repeated_tokens,
        wasted_tokens=wasted,
        wasted_share=round(wasted / max(work.prefill_tokens, 1), 4),
        idle_share=round(1 - run_info.busy_slot_s / run_info.slot_s, 4),
        goodput_by_account=by_account,
        good_by_account=good_by_account,
        jain=_jain_index(by_account.values()),
        not_run_reasons=_count_reasons(pairs, CallOutcome.NOT_RUN),
        unknown_reasons=_count_reasons(pairs, CallOutcome.UNKNOWN),
        lag_ms_p99=_percentiles_ms(result.send_lag_s for result in results)[-1],
        load_average=run_info.load_average,
        cpu_cores=round(sum(run_info.cpu_by_process.values()), 2),
        busiest=_busiest(run_info.cpu_by_process),
    )


def _busiest(cpu_by_process: dict[str, float]) -> dict[str, float]:
    ordered = sorted(cpu_by_process.items(), key=lambda item: -item[1])
    return {name: round(cores, 2) for name, cores in ordered[:BUSIEST_COUNT]}


def _is_good(shape: Shape, call: ScheduledCall, result: Result) -> bool:
    deadline_s = TIERS[shape.kinds[call.kind].tier].deadline_s
    return result.outcome is CallOutcome.COMPLETE and result.total_s <= deadline_s


def _tokens(shape: Shape, call: ScheduledCall) -> int:
    kind = shape.kinds[call.kind]
    if not isinstance(kind, ModelCallKind):
        return 0
    return kind.prompt_tokens + kind.output_tokens


def _tier_figures(
    shape: Shape, pairs: list[tuple[ScheduledCall, Result]], rank: int
) -> TierFigures:
    tier_pairs = [
        (call, result) for call, result in pairs if shape.kinds[call.kind].tier == rank
    ]
    figures = TierFigures(offered=len(tier_pairs))
    first_token_times_s = []
    not_run_times_s = []
    for call, result in tier_pairs:
        match result.outcome:
            case CallOutcome.COMPLETE:
                first_token_times_s.append(result.first_token_s)
                if _is_good(shape, call, result):
                    figures.good += 1
                else:
                    figures.late += 1
            case CallOutcome.NOT_RUN:
                figures.not_run += 1
                not_run_times_s.append(result.total_s)
            case CallOutcome.WRONG:
                figures.wrong += 1
            case CallOutcome.GIVEN_UP:
                figures.given_up += 1
            case _:
                figures.unknown += 1
    figures.goodput = round(figures.good / max(figures.offered, 1), 4)
    figures.first_token_ms = _percentiles_ms(first_token_times_s)
    figures.not_run_ms = _percentiles_ms(not_run_times_s)
    return figures


def _account_goodput(
    shape: Shape, pairs: list[tuple[ScheduledCall, Result]], account: str
) -> float:
    good_flags = [
        _is_good(shape, call, result)
        for call, result in pairs
        if call.account == account
    ]
    return round(sum(good_flags) / max(len(good_flags), 1), 4)


def _jain_index(values: Iterable[float]) -> float:
    values = list(values)
    squares = sum(value * value for value in values)
    if not squares:
        return 0.0
    return round(sum(values) ** 2 / (len(values) * squares), 4)


def _count_reasons(
    pairs: list[tuple[ScheduledCall, Result]], outcome: CallOutcome
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for _, result in pairs:
        if result.outcome is outcome:
            counts[result.reason] = counts.get(result.reason, 0) + 1
    return counts


def _percentiles_ms(seconds: Iterable[float]) -> list[float]:
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for each in seconds:
        histogram.record_value(max(1, int(each * US_PER_S)))
    return [
        round(histogram.get_value_at_percentile(percentile) / 1000, 1)
        for percentile in PERCENTILES
    ]
