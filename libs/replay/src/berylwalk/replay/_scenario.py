"""Scenario files: engines, kinds of requests, load, and faults."""

import tomllib
from pathlib import Path

from msgspec import Struct, ValidationError, convert, field

SCENARIOS_DIRECTORY = Path(__file__).parent / "scenarios"


class ScenarioError(Exception):
    """A scenario file is invalid; the message has the path of the invalid field."""


class EngineKind(Struct, forbid_unknown_fields=True, kw_only=True):
    """Capacity and speed of an engine.

    Parameters
    ----------
    slots : int
        Maximum number of concurrently running requests.
    queue : int
        Maximum number of queued requests.
    step_s : float
        Duration of a step without prefill, in seconds.
    token_s, pair_s : float
        Prefill time per token (linear part), and per pair of tokens of one prompt
        (quadratic part, attention), in seconds.
    fixed_s : float
        Latency that is added to each response event, in seconds.
    chunk_tokens : int
        Maximum number of tokens that one step prefills.
    event_tokens : int
        Output tokens per stream event.
    memory_tokens : int
        Capacity of the KV cache, in tokens; 0 for no bound. An engine that exceeds it
        preempts its newest request.
    crash_s : float
        Duration of a crash when the capacity is exceeded, in seconds; 0 if the engine
        preempts instead.
    """

    slots: int = 8
    queue: int = 50
    step_s: float = 0.003
    token_s: float = 1e-5
    pair_s: float = 2e-10
    fixed_s: float = 0.03
    chunk_tokens: int = 4096
    event_tokens: int = 8
    memory_tokens: int = 0
    crash_s: float = 0.0


class RequestKind(Struct, forbid_unknown_fields=True, kw_only=True):
    """A kind of request.

    Parameters
    ----------
    name : str
        Name in the results.
    rank : int
        Priority; the lowest rank is served first.
    per_s : float
        Mean arrival rate outside surges, in requests per second.
    prompt_tokens, output_tokens : float
        Means of the log-normal distributions of sizes, in tokens.
    spread : float
        Standard deviation of the logarithm of the sizes.
    objective_s, longest_pause_s : float
        Objectives for the time to the first event and for the longest pause between
        events, in seconds.
    limit_s : float
        Timeout of the caller, in seconds.
    account : str
        Client account of the callers.
    """

    name: str
    rank: int = 0
    per_s: float
    prompt_tokens: float = 500.0
    output_tokens: float = 100.0
    spread: float = 0.8
    objective_s: float = 0.8
    longest_pause_s: float = 0.3
    limit_s: float = 10.0
    account: str = ""


class Surge(Struct, forbid_unknown_fields=True, kw_only=True):
    """A period with a higher arrival rate.

    Parameters
    ----------
    at_s, for_s : float
        Start and duration, in seconds.
    factor : float
        Multiplier of the arrival rate.
    kind : str
        Affected kind of request; empty for all kinds.
    """

    at_s: float
    for_s: float
    factor: float
    kind: str = ""


class Crash(Struct, forbid_unknown_fields=True, kw_only=True):
    """A crash of engines.

    Parameters
    ----------
    at_s, for_s : float
        Start and duration, in seconds.
    engines : list of int
        Indices of the engines, from 0.
    """

    at_s: float
    for_s: float
    engines: list[int]


class Load(Struct, forbid_unknown_fields=True, kw_only=True):
    """Requests and faults of a scenario.

    Parameters
    ----------
    length_s : float
        Period in which requests arrive, in seconds.
    kinds : list of RequestKind
        Kinds of requests.
    surges : list of Surge
        Periods with a higher arrival rate.
    crashes : list of Crash
        Crashes of engines.
    impatient_share : float
        Share of the callers that retry at once after a refusal, from 0 to 1.
    """

    length_s: float = 20.0
    kinds: list[RequestKind]
    surges: list[Surge] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    impatient_share: float = 0.0


class Scenario(Struct, forbid_unknown_fields=True, kw_only=True):
    """A scenario.

    Parameters
    ----------
    about : str
        Description.
    routers : int
        Number of routers that share the engines; callers choose one at random.
    tell_s : float
        Interval at which a router sends its loads to its peers, in seconds.
    delay_s : float
        One-way network latency, in seconds.
    report_s : float
        Interval at which monitors report the state of the engines, in seconds; 0
        without monitors.
    engine : EngineKind
        Capacity and speed that all engines are derived from.
    slowness : list of float
        One entry per engine: factor by which its step times are multiplied.
    load : Load
        Requests and faults.
    """

    about: str = ""
    routers: int = 4
    tell_s: float = 0.05
    delay_s: float = 0.0015
    report_s: float = 0.0
    engine: EngineKind = field(default_factory=EngineKind)
    slowness: list[float]
    load: Load


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    ScenarioError
        If the file is invalid.
    OSError
        If the file can't be read.
    """
    try:
        scenario = convert(tomllib.loads(path.read_text()), type=Scenario)
    except (tomllib.TOMLDecodeError, ValidationError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    for number, crash in enumerate(scenario.load.crashes):
        if any(not 0 <= each < len(scenario.slowness) for each in crash.engines):
            place = f"$.load.crashes[{number}].engines"
            raise ScenarioError(f"{path}: engine index out of range - at `{place}`")
    return scenario


def standard_scenarios() -> dict[str, Path]:
    """Return the files of the standard scenarios by name."""
    return {path.stem: path for path in sorted(SCENARIOS_DIRECTORY.glob("*.toml"))}
