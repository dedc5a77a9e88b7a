"""Tests of the settings of a node process."""

from dataclasses import fields
from pathlib import Path

import pytest

from briardock.exceptions import SettingsError
from briardock.settings import SECTIONS, Address, load_settings, settings_page

ROOT = Path(__file__).resolve().parent.parent
REQUIRED_KEYS = "[node]\nnode_id = n1\nregion = r\nfailure_domain = d\n"


def write_settings(folder: Path, text: str) -> Path:
    path = folder / "node.ini"
    path.write_text(text)
    return path


def test_missing_keys_take_their_defaults(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, REQUIRED_KEYS))
    assert (settings.node.node_id, settings.node.service) == ("n1", "")
    assert settings.quarantine.deaths == 2
    assert settings.routing.retry_ratio == 0.05


def test_values_are_converted_and_overridden(tmp_path: Path) -> None:
    text = REQUIRED_KEYS + "seeds = 127.0.0.1:1, [::1]:2\n  10.0.0.1:3\nseed = 7\n"
    settings = load_settings(
        write_settings(tmp_path, text),
        {"node.http_port": "9", "routing.eject_s": "0.5"},
    )
    addresses = (Address("127.0.0.1", 1), Address("::1", 2), Address("10.0.0.1", 3))
    assert settings.node.seeds == addresses
    assert (settings.node.seed, settings.node.http_port) == (7, 9)
    assert settings.routing.eject_s == 0.5


@pytest.mark.parametrize(
    "text, line, key, remedy",
    [
        (REQUIRED_KEYS + "hots = 1\n", 5, "hots", "did you mean 'host'?"),
        (REQUIRED_KEYS + "[gosip]\n", 5, "gosip", "did you mean 'gossip'?"),
        (REQUIRED_KEYS + "http_port = x\n", 5, "http_port", "got 'x'"),
        (REQUIRED_KEYS + "http_port = 65536\n", 5, "http_port", "65535"),
        (REQUIRED_KEYS + "http_port =\n", 5, "http_port", "got ''"),
        (REQUIRED_KEYS + "host = example.org\n", 5, "host", "numeric IP"),
        (REQUIRED_KEYS + "seeds = 127.0.0.1\n", 5, "seeds", "host:port"),
        (REQUIRED_KEYS + "seeds = 127.0.0.1:0\n", 5, "seeds", "host:port"),
        (REQUIRED_KEYS + "node_id = n2\n", 5, "node_id", "repeated"),
        (REQUIRED_KEYS + "rubbish\n", 5, "rubbish", "key = value"),
        (REQUIRED_KEYS + "[routing]\neject_s = nan\n", 6, "eject_s", "got 'nan'"),
        (REQUIRED_KEYS + "[routing]\nretry_ratio = 1.5\n", 6, "retry_ratio", "1.0"),
        (REQUIRED_KEYS + "[logging]\nlevel = LOUD\n", 6, "level", "got 'LOUD'"),
        (REQUIRED_KEYS + "[admin]\nhost = 10.0.0.1\n", 0, "token", "add it"),
        (
            REQUIRED_KEYS + "[admission]\nmin_limit = 2000\n",
            6,
            "min_limit",
            "max_limit",
        ),
        (
            REQUIRED_KEYS + "[admission]\ninitial_limit = 1\n",
            6,
            "initial_limit",
            "min_limit",
        ),
        (
            REQUIRED_KEYS + "[gossip]\nperiod_ms = 100\n",
            0,
            "ack_timeout_ms",
            "period_ms",
        ),
        (REQUIRED_KEYS.replace("n1", "a.b"), 2, "node_id", "got 'a.b'"),
        ("[node]\nregion = r\nfailure_domain = d\n", 1, "node_id", "missing"),
        ("node_id = n1\n", 1, "[section]", "[section]"),
        ("", 0, "node_id", "missing"),
    ],
)
def test_bad_settings_name_line_key_and_remedy(
    tmp_path: Path, text: str, line: int, key: str, remedy: str
) -> None:
    path = write_settings(tmp_path, text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    message = str(caught.value)
    assert f"{path}:{line}" in message if line else str(path) in message
    assert key in message and remedy in message
    assert "\n" not in message


@pytest.mark.parametrize(
    "overrides", [{"node.bogus": "1"}, {"bogus.host": "1"}, {"node": "1"}]
)
def test_unknown_override_is_an_error(
    tmp_path: Path, overrides: dict[str, str]
) -> None:
    with pytest.raises(SettingsError):
        load_settings(write_settings(tmp_path, REQUIRED_KEYS), overrides)


@pytest.mark.parametrize("content", [None, b"\xff\xfe\x00", b"#" * 300_000])
def test_unreadable_file_is_an_error(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "node.ini"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError, match="node.ini"):
        load_settings(path)


def test_page_lists_every_key() -> None:
    # Guards against a key that is missing from the page for operators.
    page = (ROOT / "docs" / "settings.md").read_text()
    assert page == settings_page()
    for section, section_type in SECTIONS.items():
        section_text = page.partition(f"## [{section}]")[2].partition("\n## ")[0]
        assert all(
            f"| `{item.name}` |" in section_text for item in fields(section_type)
        )


def test_example_settings_load() -> None:
    settings = load_settings(ROOT / "examples" / "node.ini")
    assert settings.node.service == "jobs"
