"""Tests of configurations: all mistakes are reported at once, and rendering is deterministic."""

from __future__ import annotations

import pytest

from persimmondock._domain.documents import Mistake
from persimmondock.configuration import Configuration, ConfigurationError, parse_configuration
from persimmondock.tests.builders import make_configuration

SERVICE = "services:\n- name: painel\n  path: /painel\n"
ALIAS_BOMB = "a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n"

INVALID = {
    "empty file": ("", (0, "", "the document is empty")),
    "comment only": ("# nothing\n", (0, "", "the document is empty")),
    "text": ("hello\n", (1, "", "expected a mapping, not 'hello'")),
    "list": ("- a\n", (1, "", "expected a mapping, not a list")),
    "not closed": ("fleet: [a\n", (2, "", "not YAML: ")),
    "tab": ("services:\n\t- name: a\n", (2, "", "a tab where only spaces are allowed")),
    "two documents": ("fleet: {}\n---\nfleet: {}\n", (2, "", "not YAML: but found another")),
    "control character": ("fleet: \x07\n", (0, "", "not YAML: ")),
    "alias bomb": (ALIAS_BOMB, (1, "", "anchors and aliases are not allowed")),
    "merge key": ("fleet:\n  <<: {}\n", (2, "fleet.<<", "unknown field; known: draining")),
    "python tag": (
        "fleet: !!python/object/apply:os.getcwd []\n",
        (1, "", "tag 'tag:yaml.org,2002:python/object/apply:os.getcwd' is not allowed"),
    ),
    "own tag": (SERVICE + "  slices: !big 3\n", (4, "", "tag '!big' is not allowed")),
    "deep": ("fleet: " + "[" * 500 + "]" * 500 + "\n", (1, "", "nested deeper than 12 levels")),
    "10 MB": ("# " + "x" * 10_000_000, (0, "", "10000002 characters, at most 4194304")),
    "unknown top field": ("fleets: {}\n", (1, "fleets", "unknown field; known: fleet, services")),
    "unknown field": (
        SERVICE + "  slcies: 4\n",
        (4, "services[0].slcies", "unknown field; known: "),
    ),
    "duplicate key": (SERVICE + "  path: /b\n", (4, "services[0].path", "given twice")),
    "missing path": ("services:\n- name: a\n", (2, "services[0].path", "missing")),
    "wrong type": (
        SERVICE + "  slices: many\n",
        (4, "services[0].slices", "expected a whole number, not 'many'"),
    ),
    "number as name": (
        "services:\n- name: 7\n  path: /a\n",
        (2, "services[0].name", "expected text, not 7"),
    ),
    "text as boolean": (
        SERVICE + "  keyed: 'yes'\n",
        (4, "services[0].keyed", "expected true or false, not 'yes'"),
    ),
    "out of range": (
        SERVICE + "  slices: 0\n",
        (4, "services[0].slices", "must be from 1 to 1048576, not 0"),
    ),
    "wrong choice": (
        SERVICE + "  urgency: soon\n",
        (4, "services[0].urgency", "expected one of must_answer_fast, may_wait, not 'soon'"),
    ),
    "wrong path": (
        "services:\n- name: a\n  path: a\n",
        (3, "services[0].path", "must start with '/' and not end with it, not 'a'"),
    ),
    "wrong name": (
        "services:\n- name: a/b\n  path: /a\n",
        (2, "services[0].name", "must be 1 to 63 letters"),
    ),
    "service twice": (
        SERVICE + "- name: painel\n  path: /b\n",
        (4, "services[1]", "service 'painel' is already defined"),
    ),
    "two services on one path": (
        SERVICE + "- name: b\n  path: /painel\n",
        (4, "services[1]", "path '/painel' belongs to service 'painel'"),
    ),
    "wrong route": (
        SERVICE + "  routes:\n  - suffix: /assign\n    idempotent: 1\n",
        (6, "services[0].routes[0].idempotent", "expected true or false, not 1"),
    ),
    "domain twice": (
        "fleet:\n  failure_domains_out: [recife, recife]\n",
        (2, "fleet.failure_domains_out", "has 'recife' twice"),
    ),
    "line break in a name": (
        '"a\\nb": 1\n',
        (1, "'a\\nb'", "unknown field; known: fleet, services"),
    ),
    "services as mapping": ("services: {}\n", (1, "services", "expected a list, not a mapping")),
}


@pytest.mark.parametrize(("text", "expected"), INVALID.values(), ids=INVALID.keys())
def test_each_mistake_is_one_line(text, expected):
    """A document with one mistake gives one mistake, with its line, field and value."""
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(text)
    (mistake,) = caught.value.mistakes
    line, place, detail = expected
    assert (mistake.line, mistake.place) == (line, place)
    assert detail in mistake.detail
    assert len(str(mistake).splitlines()) == 1


def test_all_mistakes_at_once():
    """Several mistakes are all reported, in the order of their lines."""
    text = "flet: {}\n" + SERVICE + "  slices: x\n  keyed: 3\n  timeout_ms: -1\n- path: /b\n"
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(text)
    assert [mistake.line for mistake in caught.value.mistakes] == [1, 5, 6, 7, 8]
    assert caught.value.render_lines("fleet.yaml").count("fleet.yaml: line ") == 5


def test_same_input_gives_same_bytes():
    """Rendering does not depend on the order of the calls, and parsing it gives the same text."""
    first, second = make_configuration("painel", "auditoria"), make_configuration(
        "auditoria", "painel"
    )
    for domain in ("salvador", "recife"):
        first.take_out(domain)
    for domain in ("recife", "salvador"):
        second.take_out(domain)
    assert first.render() == second.render()
    assert parse_configuration(first.render()).render() == first.render()


def test_taking_out_and_bringing_back_are_inverse():
    """Bringing a failure domain back and undraining restore the configuration."""
    configuration = make_configuration("painel")
    before = configuration.render()
    configuration.take_out("recife")
    configuration.drain("backend-1")
    assert configuration.fleet.failure_domains_out == ("recife",)
    assert configuration.fleet.draining == ("backend-1",)
    configuration.bring_back("recife")
    configuration.undrain("backend-1")
    assert configuration.render() == before


@pytest.mark.parametrize(
    ("build", "message"),
    [
        (lambda c: c.add_service("painel", path="/b"), "service 'painel' is already defined"),
        (lambda c: c.add_service("b", path="/painel"), "belongs to service 'painel'"),
        (lambda c: c.add_service("b", path="/b", slices=-3), "slices: must be from 1 to 1048576"),
        (lambda c: c.add_service("b", path="/b", urgency="now"), "must_answer_fast, may_wait"),
        (lambda c: c.add_service("b", path="/b", slots=3), "slots: unknown field; known: "),
        (lambda c: c.set_limits("b", timeout_ms=1), "no service 'b'; known: painel"),
        (lambda c: c.set_limits("painel", timeout_ms=0), "timeout_ms: must be greater than 0"),
        (lambda c: c.bring_back("recife"), "'recife' is not among the failure domains out: none"),
        (lambda c: c.undrain("b"), "'b' is not among the draining: none"),
        (lambda c: c.take_out(""), "expected a name, not ''"),
    ],
)
def test_configuration_methods_reject_invalid_values(build, message):
    """An invalid value raises an error that names it and changes nothing."""
    configuration = make_configuration("painel")
    before = configuration.render()
    with pytest.raises(ConfigurationError) as caught:
        build(configuration)
    assert message in str(caught.value)
    assert "line" not in str(caught.value)
    assert configuration.render() == before


def test_set_limits_changes_only_what_it_names():
    """Changing one limit leaves the other fields as they were."""
    configuration = Configuration()
    configuration.add_service("painel", path="/painel", keyed=True, slices=16)
    service = configuration.set_limits("painel", timeout_ms=250)
    assert (service.timeout_ms, service.slices, service.keyed) == (250, 16, True)


def test_mistake_text():
    """The text of a mistake has its line and place if they are known."""
    assert str(Mistake(3, "fleet", "wrong")) == "line 3: fleet: wrong"
    assert str(Mistake(0, "", "wrong")) == "wrong"
