"""Loading and validation of settings from an INI file."""

import configparser
import difflib
import re
from collections.abc import Iterable
from dataclasses import MISSING, Field, dataclass, fields
from pathlib import Path
from typing import get_type_hints

from result import Err, Ok, Result

from bamboojunction.conf.problems import SettingsProblem, SettingsProblems
from bamboojunction.conf.settings import Settings
from bamboojunction.conf.value_formats import SETTING_KEY, Secret, Setting, Value, parse_value

SECTION_PATTERN = re.compile(r"\[(?P<name>[^]]+)\]")
KEY_PATTERN = re.compile(r"(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]")


@dataclass(slots=True)
class _IniFile:
    """The parsed values of a file and their line numbers, by section and key."""

    path: str
    parser: configparser.ConfigParser
    line_by_location: dict[tuple[str, str], int]

    def problem(self, message: str, section: str = "", key: str = "") -> SettingsProblem:
        line = self.line_by_location.get((section, key), 0)
        return SettingsProblem(self.path, line, message)


def load_settings(path: Path) -> Result[Settings, SettingsProblems]:
    """Read and validate a settings file, or return every problem found."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return _single_problem(SettingsProblem(str(path), 0, f"cannot be read: {error.strerror}"))
    except UnicodeDecodeError as error:
        line = error.object[: error.start].count(b"\n") + 1
        return _single_problem(SettingsProblem(str(path), line, "expected text in UTF-8"))
    return parse_settings(text, str(path))


def parse_settings(text: str, path: str) -> Result[Settings, SettingsProblems]:
    """Validate the text of a settings file; ``path`` names the file in problems."""
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return _single_problem(_describe_syntax_error(error, path))
    ini_file = _IniFile(path, parser, _locate_lines(text))
    section_types = get_type_hints(Settings)
    problems = _find_unknown_sections(ini_file, section_types)
    sections: dict[str, object] = {}
    for name, section_type in section_types.items():
        match _read_section(ini_file, name, section_type):
            case Ok(section):
                sections[name] = section
            case Err(section_problems):
                problems += section_problems
    if problems:
        ordered = sorted(problems, key=lambda problem: problem.line)
        return Err(SettingsProblems(tuple(ordered)))
    return Ok(Settings(**sections))


def _single_problem(problem: SettingsProblem) -> Err[SettingsProblems]:
    return Err(SettingsProblems((problem,)))


def _describe_syntax_error(error: configparser.Error, path: str) -> SettingsProblem:
    match error:
        case configparser.MissingSectionHeaderError(lineno=line):
            return SettingsProblem(path, line, "expected a [section] before the first setting")
        case configparser.DuplicateSectionError(section=section, lineno=line):
            return SettingsProblem(path, line, f"section [{section}] appears twice")
        case configparser.DuplicateOptionError(section=section, option=key, lineno=line):
            return SettingsProblem(path, line, f"setting '{key}' appears twice in [{section}]")
        case configparser.ParsingError(errors=[(line, _), *_]):
            return SettingsProblem(path, line, "expected 'name = value'")
    return SettingsProblem(path, 0, str(error).replace("\n", " "))


def _locate_lines(text: str) -> dict[tuple[str, str], int]:
    """Return the line number of each setting by section and key.

    The line of a section header has an empty key.
    """
    line_by_location: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if header := SECTION_PATTERN.match(line):
            section = header["name"]
            line_by_location[section, ""] = number
        elif key := KEY_PATTERN.match(line):
            line_by_location[section, key["name"].strip().lower()] = number
    return line_by_location


def _find_unknown_sections(ini_file: _IniFile, known: Iterable[str]) -> list[SettingsProblem]:
    names = list(known)
    return [
        ini_file.problem(f"unknown section [{name}]; {_suggest_name(name, names)}", name)
        for name in ini_file.parser.sections()
        if name not in names
    ]


def _read_section(
    ini_file: _IniFile, name: str, section_type: type
) -> Result[object, list[SettingsProblem]]:
    text_by_key = dict(ini_file.parser[name]) if ini_file.parser.has_section(name) else {}
    field_by_name = {field.name: field for field in fields(section_type)}
    known_names = list(field_by_name)
    problems = [
        ini_file.problem(
            f"unknown setting '{key}' in [{name}]; {_suggest_name(key, known_names)}", name, key
        )
        for key in text_by_key
        if key not in field_by_name
    ]
    values: dict[str, Value] = {}
    for key, field in field_by_name.items():
        match _read_setting(field, text_by_key.get(key)):
            case Ok(value):
                values[key] = value
            case Err(message):
                located_key = key if key in text_by_key else ""
                problems.append(ini_file.problem(f"[{name}] {key}: {message}", name, located_key))
    return Err(problems) if problems else Ok(section_type(**values))


def _read_setting(field: Field, text: str | None) -> Result[Value, str]:
    setting: Setting = field.metadata[SETTING_KEY]
    if text is None:
        if field.default is MISSING:
            return Err("required, but not set")
        return Ok(field.default)
    shown_value = "the value" if isinstance(setting.value_format, Secret) else repr(text)
    return parse_value(setting.value_format, text).map_err(
        lambda expected: f"{shown_value} is not {expected}"
    )


def _suggest_name(name: str, known: list[str]) -> str:
    matches = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    if matches:
        return f"did you mean '{matches[0]}'?"
    return "known names are " + ", ".join(known)
