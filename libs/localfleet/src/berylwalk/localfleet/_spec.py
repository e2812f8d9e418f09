"""Specification of a local fleet."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RouterSpec:
    """A VM with a router.

    Parameters
    ----------
    vm_id : str
        Name of the VM and of the router.
    failure_domain : str
        Failure domain of the VM.
    """

    vm_id: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """A VM with an engine stand-in and its agent.

    Parameters
    ----------
    vm_id, failure_domain : str
        Name and failure domain of the VM.
    models : tuple of str
        Models that the engine serves.
    step_ms : float
        Duration of an engine step with an empty batch, in milliseconds.
    batch_slope : float
        Increase of the step duration per running request, as a ratio.
    prefill_tokens_per_s : float
        Prefill rate.
    max_batch : int
        Maximum number of running requests; the engine queues further ones.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    """

    vm_id: str
    failure_domain: str
    models: tuple[str, ...] = ("m1",)
    step_ms: float = 8.0
    batch_slope: float = 0.05
    prefill_tokens_per_s: float = 20_000.0
    max_batch: int = 16
    cache_blocks: int = 2_000


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A VM with a service stand-in and its agent.

    Parameters
    ----------
    vm_id, failure_domain : str
        Name and failure domain of the VM.
    services : tuple of str
        Services that the target serves.
    delay_ms : float
        Duration of a call, in milliseconds.
    """

    vm_id: str
    failure_domain: str
    services: tuple[str, ...] = ("signs",)
    delay_ms: float = 2.0


TargetSpec = EngineSpec | ServiceSpec


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """A local fleet.

    Parameters
    ----------
    routers : tuple of RouterSpec
        At least one.
    targets : tuple of EngineSpec or ServiceSpec
        At least one.
    settings_tree : str
        Settings tree as INI text, imported at start.
    overrides : dict of str to dict of str to str
        Keys to set in the settings files of all nodes, by section. Sections that a
        file does not have are ignored.
    """

    routers: tuple[RouterSpec, ...]
    targets: tuple[TargetSpec, ...]
    settings_tree: str
    overrides: dict[str, dict[str, str]] = field(default_factory=dict)
