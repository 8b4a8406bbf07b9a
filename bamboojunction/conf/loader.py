"""Loading of settings from an INI file."""

import configparser
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from bamboojunction.conf.settings import Settings


def load_settings(path: Path) -> Result[Settings, str]:
    """Read and check a settings file, or return one line that says what is wrong."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
    except (OSError, configparser.Error) as error:
        return Err(f"{path}: {error}")
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Ok(msgspec.convert(sections, Settings, strict=False))
    except msgspec.ValidationError as error:
        return Err(f"{path}: {error}")
