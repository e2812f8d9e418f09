"""Fleet of the benchmark, and settings of its two treatments."""

from hashlib import sha256

from berylwalk.localfleet import EngineSpec, FleetSpec, RouterSpec, ServiceSpec
from loadbench.shapes import TIERS, ModelCallKind, Shape

MODEL = "m1"
MAX_BATCH = 8
BATCH_SLOPE = 0.05
STEP_MS = (8.0, 16.0, 32.0)
PREFILL_TOKENS_PER_S = (40_000.0, 20_000.0, 10_000.0)
CACHE_BLOCKS = 600
SERVICE_DELAY_MS = 3.0

Overrides = dict[str, dict[str, str]]

POLICY = "policy"
BASELINE = "baseline"

BASELINE_OVERRIDES: Overrides = {
    "routing": {"policy": "round-robin"},
    # No admission control: engines accept every call at once.
    "admission": {"policy": "fifo", "initial_limit": "256"},
}
POLICY_OVERRIDES: Overrides = {
    "admission": {"initial_limit": str(MAX_BATCH)},
}
OVERRIDES_BY_TREATMENT = {
    BASELINE: BASELINE_OVERRIDES,
    POLICY: POLICY_OVERRIDES,
}


def engines(shape: Shape) -> tuple[EngineSpec, ...]:
    """Return nine engines: one of each speed in each failure domain."""
    return tuple(
        EngineSpec(
            f"engine-{domain_number}{speed_number}",
            domain,
            models=(MODEL,),
            step_ms=STEP_MS[speed_number],
            batch_slope=BATCH_SLOPE,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S[speed_number],
            max_batch=MAX_BATCH,
            cache_blocks=CACHE_BLOCKS,
        )
        for domain_number, domain in enumerate(shape.failure_domains)
        for speed_number in range(len(STEP_MS))
    )


def fleet_spec(shape: Shape, overrides: Overrides) -> FleetSpec:
    """Return the fleet for a shape, with overridden node settings."""
    routers = tuple(
        RouterSpec(f"entry-{number}", domain)
        for number, domain in enumerate(shape.failure_domains)
    )
    services = tuple(
        ServiceSpec(
            f"service-{number}",
            domain,
            services=(shape.plain_service,),
            delay_ms=SERVICE_DELAY_MS,
        )
        for number, domain in enumerate(shape.failure_domains)
    )
    return FleetSpec(
        routers=routers,
        targets=(*engines(shape), *services),
        settings_tree=settings_tree(shape),
        overrides=overrides,
    )


def bearer_token(account: str) -> str:
    """Return the bearer token of a client account."""
    return f"{account}-bench-token"


def settings_tree(shape: Shape) -> str:
    """Return the operators' settings as INI text."""
    lines = []
    for tier in TIERS:
        lines += [f"[tier {tier.name}]", f"rank = {tier.rank}"]
        lines += [f"deadline_s = {tier.deadline_s}", f"headroom = {tier.headroom}"]
    for account, share in shape.share_by_account.items():
        digest = sha256(bearer_token(account).encode()).hexdigest()
        lines += [f"[/{account}]", f"credential_sha256 = {digest}"]
        lines += [f"weight = {share * 20:g}", "max_running = 100000"]
        lines += ["max_waiting = 100000"]
        for kind in shape.kinds:
            lines += [f"[/{account}/{kind.service}]"]
            lines += [f"tier = {TIERS[kind.tier].name}"]
            if isinstance(kind, ModelCallKind):
                continue
            lines += [f"target_service = {kind.target_service}"]
            if kind.has_idempotency_key:
                lines += ["idempotent = false"]
    return "\n".join(lines) + "\n"
