"""Settings of a daemon."""

from __future__ import annotations

import pytest

from persimmondock.settings import SettingsError, load_settings, parse_settings

MINIMAL_SETTINGS = (
    "daemon: recife-1\nfailure_domain: recife\naddress: 10.0.0.1\nlog: 10.0.9.1:7000\n"
    "peer_key: secret\n"
)


def test_the_five_required_fields_suffice():
    """All fields but the five required ones have defaults."""
    settings = parse_settings(MINIMAL_SETTINGS, "vm.yaml", {})
    assert (settings.daemon, settings.caller_port, settings.statsd) == ("recife-1", 8100, "")


def test_environment_overrides_fields():
    """Environment variables replace fields of the file, and fill in missing ones."""
    environment = {"PERSIMMONDOCK_CALLER_PORT": "9000", "PERSIMMONDOCK_DAEMON": "007"}
    settings = parse_settings(MINIMAL_SETTINGS, "vm.yaml", environment)
    assert (settings.caller_port, settings.daemon) == (9000, "007")
    without_log = MINIMAL_SETTINGS.replace("log: 10.0.9.1:7000\n", "")
    assert parse_settings(without_log, "vm.yaml", {"PERSIMMONDOCK_LOG": "a:1"}).log == "a:1"


@pytest.mark.parametrize(
    ("text", "peers"),
    [("", ()), ("10.0.0.2:8102", ("10.0.0.2:8102",)), ("a:1,b:2", ("a:1", "b:2"))],
)
def test_environment_variables_hold_lists(text, peers):
    """Commas separate the items of a list."""
    assert parse_settings(MINIMAL_SETTINGS, "vm.yaml", {"PERSIMMONDOCK_PEERS": text}).peers == peers


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "vm.yaml: the document is empty"),
        ("daemon\n", "vm.yaml: line 1: expected a mapping, not 'daemon'"),
        ("daemon:\t- a\n\tb: 1\n", "vm.yaml: line 1: not YAML"),
        (MINIMAL_SETTINGS + "x: &x 1\n", "vm.yaml: line 6: anchors and aliases are not allowed"),
        (MINIMAL_SETTINGS + "statsd: !!python/name:os.system\n", "line 6: tag"),
        (MINIMAL_SETTINGS + "daemon: b\n", "vm.yaml: line 6: daemon: given twice"),
        (MINIMAL_SETTINGS + "port: 1\n", "vm.yaml: line 6: port: unknown field; known: address"),
        (
            MINIMAL_SETTINGS + "caller_port: 0\n",
            "line 6: caller_port: must be a port from 1 to 65535",
        ),
        (
            MINIMAL_SETTINGS + "caller_port: http\n",
            "caller_port: expected a whole number, not 'http'",
        ),
        (MINIMAL_SETTINGS + "caller_port: 8101\n", "the four ports must differ"),
        (
            MINIMAL_SETTINGS + "lease_term_s: .nan\n",
            "lease_term_s: must be greater than 0, not nan",
        ),
        (MINIMAL_SETTINGS + "lease_term_s: 0.1\n", "renew_every_s must be at most half"),
        (MINIMAL_SETTINGS + "log_level: LOUD\n", "log_level: must be one of DEBUG"),
        (MINIMAL_SETTINGS + "statsd: here\n", "statsd: must be host:port, not 'here'"),
        (MINIMAL_SETTINGS + "peers: [a:1, b]\n", "line 6: peers: must be host:port, not 'b'"),
        (MINIMAL_SETTINGS + "peers: a:1\n", "line 6: peers: expected a list, not 'a:1'"),
        (
            MINIMAL_SETTINGS.replace("10.0.0.1", "vm"),
            "line 3: address: must be an IP address, not 'vm'",
        ),
        (MINIMAL_SETTINGS.replace(":7000", ""), "line 4: log: must be host:port, not '10.0.9.1'"),
        (MINIMAL_SETTINGS.replace("recife-1", "''"), "line 1: daemon: must not be empty"),
        (MINIMAL_SETTINGS.replace("recife-1", "1"), "line 1: daemon: expected text, not 1"),
        (MINIMAL_SETTINGS.replace("peer_key: secret\n", ""), "line 1: peer_key: missing"),
    ],
)
def test_each_mistake_is_one_line(text, message):
    """Each mistake is one line that names the file, the line, the field and the value."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "vm.yaml", {})
    assert message in str(caught.value)
    assert len(str(caught.value).splitlines()) == 1


def test_an_invalid_environment_variable_is_named():
    """A mistake in an environment variable names the variable, not a line of the file."""
    with pytest.raises(SettingsError) as caught:
        parse_settings(MINIMAL_SETTINGS, "vm.yaml", {"PERSIMMONDOCK_PEER_PORT": "x"})
    assert "environment variable PERSIMMONDOCK_PEER_PORT: expected a whole number, not 'x'" in str(
        caught.value
    )


def test_unreadable_files_are_rejected(tmp_path):
    """Each unreadable file is reported in one line that names it and the reason."""
    huge, binary = tmp_path / "huge.yaml", tmp_path / "binary.yaml"
    huge.write_bytes(b"#" * 10_000_000)
    binary.write_bytes(b"\xff\xfe\x00")
    for path, message in [
        (tmp_path / "none.yaml", "No such file or directory"),
        (huge, "larger than 65536 bytes"),
        (binary, "not UTF-8 text"),
        (tmp_path, "Is a directory"),
    ]:
        with pytest.raises(SettingsError) as caught:
            load_settings(path, {})
        assert str(caught.value).startswith(f"{path}: ")
        assert message in str(caught.value)
