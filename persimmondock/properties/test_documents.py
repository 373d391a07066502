"""Property tests: any published body parses to a configuration or to a list of mistakes."""

from __future__ import annotations

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmondock._domain.configuration import (
    ConfigurationError,
    FleetConfiguration,
    ServiceConfiguration,
    parse_subject,
    render_subject,
)
from persimmondock.configuration import parse_configuration
from persimmondock.settings import SettingsError, parse_settings

NAMES = st.sampled_from(
    [
        "name",
        "path",
        "keyed",
        "slices",
        "urgency",
        "routes",
        "suffix",
        "fleet",
        "services",
        "draining",
    ]
)
AMBIGUOUS_TEXTS = ["/a", "may_wait", "1e400", "2026-99-99", "0x", "~", "<<", "=", "!a", "&a", "*a"]
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.dates(),
    st.text(max_size=8),
    st.sampled_from(AMBIGUOUS_TEXTS),
)
DOCUMENTS = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(NAMES | st.text(max_size=3), inner, max_size=4)
    ),
    max_leaves=12,
)
TEXTS = st.one_of(
    st.text(max_size=200),
    DOCUMENTS.map(lambda document: yaml.safe_dump(document, allow_unicode=True)),
    st.lists(st.sampled_from(list("abc:-[]{}&*!|>'\"#%@`\n\t ,?0<~")), max_size=40).map("".join),
)


@given(TEXTS)
@settings(max_examples=400)
def test_any_text_is_read_or_refused(text):
    """No text raises anything but the typed error, and each mistake is one line."""
    for read in (
        lambda: parse_subject(text, ServiceConfiguration),
        lambda: parse_subject(text, FleetConfiguration),
        lambda: parse_configuration(text),
    ):
        try:
            read()
        except ConfigurationError as error:
            assert error.mistakes
            assert all(len(str(mistake).splitlines()) == 1 for mistake in error.mistakes)
    with pytest.raises(SettingsError):
        parse_settings(text, "vm.yaml", {})


@given(
    st.builds(
        FleetConfiguration,
        st.lists(st.text(max_size=10), unique=True).map(tuple),
        st.lists(st.text(max_size=10), unique=True).map(tuple),
    )
)
def test_what_is_rendered_reads_back(fleet):
    """Rendering and reading is the identity, and renders the same text again."""
    text = render_subject(fleet)
    again = parse_subject(text, FleetConfiguration)
    assert again == fleet
    assert render_subject(again) == text
