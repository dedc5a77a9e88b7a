"""Settings that take effect without a restart of the node."""

import asyncio
from collections.abc import Callable
from dataclasses import fields, replace

from briardock.exceptions import SettingsError
from briardock.mesh.decisions import DecisionLog
from briardock.mesh.model import MeshSettings

SETTINGS_CHECK_PERIOD_S = 3.0
# Settings that take effect without a restart.
RELOADABLE_SETTINGS = frozenset(
    {
        "service",
        "target_address",
        "grace_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "config_apply_s",
        "strict_revocation",
        "revoke_s",
    }
)


class SettingsReload:
    """Reloads the settings of one node.

    :param settings: settings in force
    :param load: reads the settings file again
    :param log: decision log
    :param apply: puts settings into force; called with them and the names of those
        that changed
    """

    def __init__(
        self,
        settings: MeshSettings,
        load: Callable[[], MeshSettings],
        log: DecisionLog,
        apply: Callable[[MeshSettings, list[str]], None],
    ) -> None:
        self._in_force = settings
        self._last_loaded = settings
        self._load = load
        self._log = log
        self._apply = apply

    def reload(self) -> None:
        """Apply changed settings that need no restart; log the others."""
        try:
            loaded = self._load()
        except SettingsError as error:
            self._log.event("reload-refused", reason=str(error))
            return
        self._last_loaded = loaded
        changed = [
            item.name
            for item in fields(MeshSettings)
            if getattr(loaded, item.name) != getattr(self._in_force, item.name)
        ]
        applied = [name for name in changed if name in RELOADABLE_SETTINGS]
        self._in_force = replace(
            self._in_force, **{name: getattr(loaded, name) for name in applied}
        )
        needs_restart = sorted(set(changed) - set(applied))
        self._log.event("reloaded", applied=applied, needs_restart=needs_restart)
        self._apply(self._in_force, applied)

    async def watch_settings(self) -> None:
        """Reload settings when the file changes without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_PERIOD_S)
            try:
                unchanged = self._load() == self._last_loaded
            except SettingsError as error:
                self._log.event("reload-refused", reason=str(error))
                continue
            if not unchanged:
                self.reload()
