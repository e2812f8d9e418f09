"""Node settings files and the operators' settings tree.

A router or an agent reads its own settings from an INI file
(:class:`RouterSettings`, :class:`AgentSettings`). Operators define how requests are
scheduled in a tree with inheritance (:class:`SettingsTree`). The tree is stored as a
versioned document (:class:`SettingsDocument`) in the key-value service, changed by
patches (:func:`submit_patch`) and replicated to every node
(:class:`SettingsReplica`).
"""

from berylwalk.settings._agent import (
    AdmissionPolicy,
    AdmissionSection,
    AgentSettings,
    TargetSection,
)
from berylwalk.settings._checks import Sections, Value
from berylwalk.settings._document import (
    MAX_DOCUMENT_BYTES,
    MAX_RECENT_CHANGES,
    Change,
    SettingsDocument,
    Touch,
)
from berylwalk.settings._explanation import Explanation
from berylwalk.settings._files import NodeSettings
from berylwalk.settings._keys import NodeKeys, TierKeys
from berylwalk.settings._lost_changes import (
    MergedDocument,
    is_outdated_by,
    merge_missing_changes,
    missing_changes,
)
from berylwalk.settings._merge import (
    AlreadyAccepted,
    ConflictingEdit,
    PatchConflict,
    PatchResult,
    Rejected,
    Stale,
    apply_patch,
)
from berylwalk.settings._node import (
    FleetSection,
    LogLevel,
    NodeSection,
    PlatformSection,
    PortsSection,
    TelemetrySection,
    TraceExporter,
)
from berylwalk.settings._patches import Edit, Patch, edits_between
from berylwalk.settings._paths import tier_section
from berylwalk.settings._reference import settings_reference
from berylwalk.settings._replica import SettingsReplica
from berylwalk.settings._router import (
    AdminSection,
    CallerSection,
    RouterSettings,
    RoutingPolicy,
    RoutingSection,
)
from berylwalk.settings._store import (
    ABSENT_REVISION,
    SETTINGS_KEY,
    Accepted,
    ReadFailed,
    SettingsStore,
    StoredValue,
    SubmitResult,
    SwapResult,
    Undecided,
    read_document,
    submit_patch,
)
from berylwalk.settings._tree import SettingsTree
from berylwalk.settings._tree_ini import export_ini, parse_ini
from berylwalk.settings._write_back import write_back

__all__ = [
    "ABSENT_REVISION",
    "MAX_DOCUMENT_BYTES",
    "MAX_RECENT_CHANGES",
    "SETTINGS_KEY",
    "Accepted",
    "AdminSection",
    "AdmissionPolicy",
    "AdmissionSection",
    "AgentSettings",
    "AlreadyAccepted",
    "CallerSection",
    "Change",
    "ConflictingEdit",
    "Edit",
    "Explanation",
    "FleetSection",
    "LogLevel",
    "MergedDocument",
    "NodeKeys",
    "NodeSection",
    "NodeSettings",
    "Patch",
    "PatchConflict",
    "PatchResult",
    "PlatformSection",
    "PortsSection",
    "ReadFailed",
    "Rejected",
    "RouterSettings",
    "RoutingPolicy",
    "RoutingSection",
    "Sections",
    "SettingsDocument",
    "SettingsReplica",
    "SettingsStore",
    "SettingsTree",
    "Stale",
    "StoredValue",
    "SubmitResult",
    "SwapResult",
    "TargetSection",
    "TelemetrySection",
    "TierKeys",
    "Touch",
    "TraceExporter",
    "Undecided",
    "Value",
    "apply_patch",
    "edits_between",
    "export_ini",
    "is_outdated_by",
    "merge_missing_changes",
    "missing_changes",
    "parse_ini",
    "read_document",
    "settings_reference",
    "submit_patch",
    "tier_section",
    "write_back",
]
