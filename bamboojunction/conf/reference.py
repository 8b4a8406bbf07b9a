"""The reference page of all settings, rendered from the schema.

Regenerate the page with ``python -m bamboojunction.conf.reference > docs/ref/settings.md``.
"""

from collections.abc import Iterator
from dataclasses import MISSING, Field, fields
from typing import get_type_hints

from bamboojunction.conf.settings import Settings
from bamboojunction.conf.value_formats import SETTING_KEY, Setting, describe_format

INTRODUCTION = """# Settings

A node reads one INI file. Every setting is checked at start: an unknown section or name is refused
with the nearest known one, and every address is an IP literal, because nodes look up no names.
`bamboo-node --check FILE` checks a file and exits.

This page is rendered from the schema by `python -m bamboojunction.conf.reference`; a test keeps the
two equal."""


def render_reference() -> str:
    """Return the reference page as Markdown."""
    sections = get_type_hints(Settings).items()
    parts = [
        INTRODUCTION,
        *(_render_section(name, section_type) for name, section_type in sections),
    ]
    return "\n\n".join(parts) + "\n"


def _render_section(name: str, section_type: type) -> str:
    summary = section_type.__doc__.strip().splitlines()[0]
    entries = (line for field in fields(section_type) for line in _render_entry(field))
    return "\n".join([f"## [{name}]", "", summary, *entries])


def _render_entry(field: Field) -> Iterator[str]:
    setting: Setting = field.metadata[SETTING_KEY]
    yield ""
    yield f"### `{field.name}`"
    yield ""
    yield setting.help
    yield ""
    yield f"- Value: {describe_format(setting.value_format)}"
    if setting.unit:
        yield f"- Unit: {setting.unit}"
    yield f"- Default: {_render_default(field)}"


def _render_default(field: Field) -> str:
    if field.default is MISSING:
        return "none; required"
    return f"`{field.default}`" if field.default != "" else "empty"


if __name__ == "__main__":
    print(render_reference(), end="")
