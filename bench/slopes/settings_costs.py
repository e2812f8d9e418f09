"""Processor time and memory of settings documents, by size."""

from functools import cache, partial
from hashlib import sha256

from berylwalk.settings import SettingsDocument, SettingsReplica, SettingsTree
from slopes.costs import KIBIBYTE, memory_kib, processor_us
from slopes.fitting import Slope, fit
from slopes.scale import Scale

ACCOUNTS = (50, 170, 345, 690)
SERVICES_PER_ACCOUNT = 4
CHANGES = 50


@cache
def encoded(accounts: int) -> bytes:
    """Return a stored document with so many client accounts."""
    sections: dict[str, dict[str, object]] = {
        f"tier tier-{rank}": {"rank": rank, "deadline_s": 60.0} for rank in range(5)
    }
    sections["/"] = {"tier": "tier-3", "max_output_tokens": 4096}
    for account in range(accounts):
        digest = sha256(str(account).encode()).hexdigest()
        path = f"/region-{account % 3}/account-{account}"
        sections[path] = {
            "credential_sha256": (digest,),
            "weight": 1.0 + account % 4,
            "tier": f"tier-{account % 5}",
        }
        for service in range(SERVICES_PER_ACCOUNT):
            sections[f"{path}/service-{service}"] = {
                "deadline_s": 5.0 + service,
                "max_waiting": 100,
            }
    tree = SettingsTree.from_sections(sections)
    return SettingsDocument(1, tree).encode()


def measure(scale: Scale) -> list[Slope]:
    """Measure decoding with checks, application and memory over KiB of JSON."""
    return [
        _over_kib(_decode, "settings: decode and check a version", "us", scale.repeats),
        _over_kib(
            _apply, "settings: apply a version, all accounts used", "us", scale.repeats
        ),
        _over_kib(_encode, "settings: encode a version", "us", scale.repeats),
        _over_kib(_memory, "settings: memory of a version", "KiB", 2),
    ]


def _over_kib(measure_one: object, name: str, unit: str, repeats: int) -> Slope:
    sizes = {
        accounts: round(len(encoded(accounts)) / KIBIBYTE) for accounts in ACCOUNTS
    }
    costs_by_kib: dict[int, list[float]] = {kib: [] for kib in sizes.values()}
    for _ in range(repeats):
        for accounts, kib in sizes.items():
            costs_by_kib[kib].append(measure_one(accounts))
    return fit(costs_by_kib, name=name, per="KiB", unit=unit)


def _decode(accounts: int) -> float:
    data = encoded(accounts)
    return processor_us(partial(SettingsDocument.decode, data))


def _apply(accounts: int) -> float:
    document = SettingsDocument.decode(encoded(accounts))
    replica = SettingsReplica(0.0)

    def work() -> None:
        replica.on_store_document(document, 1.0)
        tree = replica.document.tree
        for account in tree.accounts:
            tree.service_policy_for(account, "service-1")

    return processor_us(work)


def _encode(accounts: int) -> float:
    document = SettingsDocument.decode(encoded(accounts))
    return processor_us(document.encode)


def _memory(accounts: int) -> float:
    data = encoded(accounts)
    return memory_kib(partial(SettingsDocument.decode, data))
