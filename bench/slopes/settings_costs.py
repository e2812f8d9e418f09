"""CPU time and memory of settings documents by size."""

from functools import cache, partial
from hashlib import sha256

from berylwalk.settings import SettingsDocument, SettingsReplica, SettingsTree
from slopes.costs import BYTES_PER_KIB, cpu_time_us, memory_kib
from slopes.fitting import Slope, fit
from slopes.scale import Scale

ACCOUNT_COUNTS = (50, 170, 345, 690)
SERVICES_PER_ACCOUNT = 4
CHANGES = 50


@cache
def encoded_document(accounts: int) -> bytes:
    """Return an encoded document with the given number of client accounts."""
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
    """Measure CPU time and memory of a document over its size in KiB."""
    return [
        _fit_over_kib(
            _decode, "settings: decode and check a version", "us", scale.repeats
        ),
        _fit_over_kib(
            _apply, "settings: apply a version, all accounts used", "us", scale.repeats
        ),
        _fit_over_kib(_encode, "settings: encode a version", "us", scale.repeats),
        _fit_over_kib(_memory, "settings: memory of a version", "KiB", 2),
    ]


def _fit_over_kib(measure_one: object, name: str, unit: str, repeats: int) -> Slope:
    sizes = {
        accounts: round(len(encoded_document(accounts)) / BYTES_PER_KIB)
        for accounts in ACCOUNT_COUNTS
    }
    costs_by_kib: dict[int, list[float]] = {kib: [] for kib in sizes.values()}
    for _ in range(repeats):
        for accounts, kib in sizes.items():
            costs_by_kib[kib].append(measure_one(accounts))
    return fit(costs_by_kib, name=name, per="KiB", unit=unit)


def _decode(accounts: int) -> float:
    data = encoded_document(accounts)
    return cpu_time_us(partial(SettingsDocument.decode, data))


def _apply(accounts: int) -> float:
    document = SettingsDocument.decode(encoded_document(accounts))
    replica = SettingsReplica(0.0)

    def work() -> None:
        replica.on_store_document(document, 1.0)
        tree = replica.document.tree
        for account in tree.accounts:
            tree.service_policy_for(account, "service-1")

    return cpu_time_us(work)


def _encode(accounts: int) -> float:
    document = SettingsDocument.decode(encoded_document(accounts))
    return cpu_time_us(document.encode)


def _memory(accounts: int) -> float:
    data = encoded_document(accounts)
    return memory_kib(partial(SettingsDocument.decode, data))
