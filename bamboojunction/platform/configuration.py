"""Decoding of the operator's configuration in the store into routes.

An entry that cannot be read affects only its own route: the other entries stay in force, and so do
later versions of the configuration.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from bamboojunction.core.routes import Route, Routes, WeightedService
from bamboojunction.core.table.rows import DEFAULT_ROW, Effect, Row, default_weight

COLLECTION = "config"
OBJECT_NAME = "main"
# "upload" marks large bodies. A kind that is not listed is handled like "non_idempotent", which is
# safe for any request.
EFFECT_BY_KIND = {
    "idempotent": Effect.IDEMPOTENT,
    "non_idempotent": Effect.ONCE,
    "upload": Effect.ONCE,
}

# Upper bounds keep a mistyped figure from overflowing later arithmetic.
_Milliseconds = Annotated[float, Meta(gt=0, le=86_400_000)]
_Priority = Annotated[int, Meta(ge=0, le=1_000)]
_Attempts = Annotated[int, Meta(ge=1, le=1_000)]
_Weight = Annotated[float, Meta(gt=0, le=1e9)]
_Name = Annotated[str, Meta(min_length=1)]
_Version = Annotated[int, Meta(gt=0)]
_Bytes = Annotated[int, Meta(gt=0)]


class _WeightedService(msgspec.Struct):
    service: _Name
    weight: _Weight


class _Prefix(msgspec.Struct):
    """The part of a path entry that tells which requests it covers."""

    path_prefix: _Name


class _Path(_Prefix):
    name: _Name
    timeout_ms: _Milliseconds
    goal_ms: _Milliseconds
    # Any type: an unknown kind must not make the route unusable.
    kind: object = None
    # The number of upstream instances that one client request may be sent to, the first included.
    attempts: _Attempts = 1
    priority: _Priority = 0
    service: str = ""
    split: list[_WeightedService] = msgspec.field(default_factory=list)


class _Host(msgspec.Struct):
    host: _Name
    paths: list


class _Limits(msgspec.Struct):
    max_body_bytes: _Bytes = 1_000_000


class _Configuration(msgspec.Struct):
    version: _Version
    vhosts: list
    limits: object = msgspec.field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class DecodedConfiguration:
    """A configuration version.

    ``document`` is the configuration as the store holds it, and ``problems`` describes each of its
    entries that could not be read in full.
    """

    routes: Routes
    document: dict
    problems: tuple[str, ...]


def decode_configuration(document: object) -> Result[DecodedConfiguration, str]:
    """Decode a configuration, or return why not even its version and list of hosts can be read.

    The requests of a route that cannot be read are refused as not run. A route whose prefix or host
    cannot be read is left out.
    """
    try:
        decoded = msgspec.convert(document, _Configuration)
    except msgspec.ValidationError as error:
        return Err(f"configuration cannot be read: {error}")
    problems: list[str] = []
    routes_by_host: dict[str, tuple[Route, ...]] = {}
    for entry in decoded.vhosts:
        try:
            host = msgspec.convert(entry, _Host)
        except msgspec.ValidationError as error:
            problems.append(f"host entry cannot be read: {error}")
            continue
        routes = (_read_route(host.host, path, problems) for path in host.paths)
        routes_by_host[host.host] = (
            *routes_by_host.get(host.host, ()),
            *(route for route in routes if route is not None),
        )
    try:
        limits = msgspec.convert(decoded.limits, _Limits)
    except msgspec.ValidationError as error:
        limits = _Limits()
        problems.append(f"limits cannot be read: {error}")
    routes = Routes.build(decoded.version, routes_by_host, limits.max_body_bytes)
    return Ok(DecodedConfiguration(routes, document, tuple(problems)))


def _read_route(host: str, entry: object, problems: list[str]) -> Route | None:
    try:
        path = msgspec.convert(entry, _Path)
        if not path.service and not path.split:
            raise msgspec.ValidationError("neither service nor split is given")
    except msgspec.ValidationError as error:
        problems.append(f"path entry of host {host!r} cannot be read: {error}")
        return _unusable_route(host, entry)
    if not isinstance(path.kind, str) or path.kind not in EFFECT_BY_KIND:
        problems.append(f"route {path.name!r} has unknown kind {path.kind!r}")
    return _route(host, path)


def _unusable_route(host: str, entry: object) -> Route | None:
    """Return a route without services, so that its requests do not match a shorter prefix."""
    try:
        prefix = msgspec.convert(entry, _Prefix).path_prefix
    except msgspec.ValidationError:
        return None
    return Route(host, prefix, DEFAULT_ROW, DEFAULT_ROW.deadline_ms / 1000, 0.0, ())


def _route(host: str, path: _Path) -> Route:
    weights = [(part.service, part.weight) for part in path.split] or [(path.service, 1.0)]
    kind = path.kind if isinstance(path.kind, str) else ""
    row = Row(
        kind=path.name,
        rank=path.priority,
        weight=default_weight(path.priority),
        effect=EFFECT_BY_KIND.get(kind, Effect.ONCE),
        deadline_ms=int(path.timeout_ms),
        retries=path.attempts - 1,
    )
    return Route(
        host=host,
        prefix=path.path_prefix,
        row=row,
        timeout=path.timeout_ms / 1000,
        goal_seconds=path.goal_ms / 1000,
        weighted_services=tuple(WeightedService(service, weight) for service, weight in weights),
    )
