"""Decoding of the platform's settings file."""

import math
import tomllib
from pathlib import Path
from typing import Any

from briardock.exceptions import SettingsError
from briardock.mesh.descriptors import DEFAULT_MAX_DESCRIPTORS
from briardock.mesh.model import MeshSettings
from briardock.platform._dialect import parse_duration_s

SETTINGS_VARIABLE = "BRIARDOCK_NODE_FILE"
# Port of the metrics endpoint, declared to the platform in deploy/system.toml.
METRICS_PORT = 9464


def load_settings(path: Path) -> MeshSettings:
    """Load and validate a settings file.

    :param path: file that the platform wrote
    :raises SettingsError: if it cannot be read, or a value is missing or invalid
    """
    try:
        return _decode(tomllib.loads(path.read_text()))
    except OSError as error:
        raise SettingsError(
            f"cannot read {path}: {error.strerror}",
            f"set {SETTINGS_VARIABLE} to the file that the platform wrote",
        ) from error
    except KeyError as error:
        raise SettingsError(
            f"{path}: {error} is missing",
            "add it; the platform's documentation describes the file",
        ) from error
    except (ValueError, TypeError) as error:
        raise SettingsError(f"{path}: {error}", "correct the value") from error


def _boolean(table: dict[str, Any], key: str) -> bool:
    value = table.get(key, False)
    if not isinstance(value, bool):
        raise ValueError(f"{key} is not a boolean")
    return value


def _decode(tables: dict[str, Any]) -> MeshSettings:
    self_table = tables["self"]
    listen = tables["network"]["listen-addresses"]
    limits = self_table["limits"]
    bounds = tables["terms"]["bounds"]
    return MeshSettings(
        node_id=self_table["node"],
        domain=self_table["zone"],
        service=self_table["service"],
        target_address=self_table["app-address"],
        # Outbound proxy for requests of callers and of the target beside the node.
        caller_address=listen["outbound"],
        peer_address=listen["inbound"],
        ready_address=listen["ready"],
        # Receives the announcements of the target beside the node. Despite the name of
        # the key, it is not a control plane.
        announce_address=listen["control-plane"],
        metrics_port=METRICS_PORT,
        store_address=tables["platform"]["platform"]["address"],
        memory_bytes=int(limits["memory-mb"]) * 1024 * 1024,
        grace_s=parse_duration_s(bounds["grace"]),
        retry_ratio=float(bounds["budget-ratio"]),
        retry_slack=float(bounds["budget-slack"]),
        retry_window_s=parse_duration_s(bounds["budget-window"]),
        max_descriptors=int(limits.get("max-fds", DEFAULT_MAX_DESCRIPTORS)),
        config_apply_s=parse_duration_s(bounds.get("config-apply", "2s")),
        strict_revocation=_boolean(bounds, "strict-revocation"),
        revoke_s=parse_duration_s(bounds.get("revoke", "5s")),
        quota_window_s=_positive(
            "quota-window", parse_duration_s(bounds.get("quota-window", "5s"))
        ),
        quota_over_ratio=_not_negative(bounds, "quota-over", 0.1),
        quota_slack=_not_negative(bounds, "quota-slack", 20.0),
    )


def _positive(key: str, value: float) -> float:
    if not 0.0 < value < math.inf:
        raise ValueError(f"{key} must be above 0")
    return value


def _not_negative(table: dict[str, Any], key: str, default: float) -> float:
    value = float(table.get(key, default))
    if not 0.0 <= value < math.inf:
        raise ValueError(f"{key} must not be negative")
    return value
