"""History of the values that a test has written to the store."""

from virtual_store import configuration_value, target_value


class ValueHistory:
    """Writes targets and configurations and keeps their history.

    A target is ``ready``, ``draining`` or ``gone``; a configuration is its version.

    Parameters
    ----------
    store : RevisionStore
        The store.
    clock : callable
        Time, in seconds.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._version = 0
        self._history_by_name = {}

    def write(self, name, state):
        """Write a state of a target, or the next version of the configuration."""
        if name == "configuration":
            self._version += 1
            state = self._version
            self._store.put(b"op/config", configuration_value(state))
        elif state == "gone":
            self._store.delete(b"servers/" + name.encode())
        else:
            value = target_value(state=state)
            self._store.put(b"servers/" + name.encode(), value)
        self._history_by_name.setdefault(name, []).append((self._clock(), state))

    def since(self, name, time):
        """Return the values that were current at any time since a time."""
        history = self._history_by_name.get(name, [])
        before = [state for at, state in history if at <= time][-1:]
        return before + [state for at, state in history if at > time]

    def has_value_before(self, name, time):
        """Return whether the first value was written before a time."""
        return self._history_by_name[name][0][0] <= time
