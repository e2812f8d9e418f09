"""Readiness check of the router."""

from berylwalk.model import Finding
from berylwalk.router._membership import MemberTable
from berylwalk.router._settings_sync import SettingsSync


class Readiness:
    """Determines whether requests should be sent to this router.

    Parameters
    ----------
    sync : SettingsSync
        Knows whether the settings are current.
    members : MemberTable
        Source of the agents.

    Attributes
    ----------
    is_draining : bool
        Whether the router is draining before it stops.
    """

    def __init__(self, sync: SettingsSync, members: MemberTable) -> None:
        self._sync = sync
        self._members = members
        self.is_draining = False

    def has_settings(self) -> bool:
        """Return whether requests can be served with the settings in force."""
        return self._sync.is_ready

    def findings(self) -> list[Finding]:
        """Return the reasons; empty when the router is ready."""
        findings = []
        if self.is_draining:
            findings.append(Finding("router", "the router is draining"))
        if not self.has_settings():
            findings.append(Finding("settings", "the latest version is not known"))
        if not self._members.agent_ids:
            findings.append(Finding("members", "no agent is known"))
        return findings
