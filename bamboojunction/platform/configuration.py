"""Decoding of the operator's configuration in the store into routes."""

import msgspec
from result import Err, Ok, Result

from bamboojunction.core.routes import Route, Routes, WeightedService
from bamboojunction.core.table.rows import Effect, Row, default_weight

COLLECTION = "config"
OBJECT_NAME = "main"
EFFECT_BY_KIND = {"idempotent": Effect.IDEMPOTENT, "non_idempotent": Effect.ONCE}


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Path(msgspec.Struct):
    name: str
    path_prefix: str
    kind: str
    timeout_ms: int
    goal_ms: int
    # The number of upstream instances that one client request may be sent to, the first included.
    attempts: int = 1
    priority: int = 0
    service: str = ""
    split: list[_WeightedService] = msgspec.field(default_factory=list)


class _Host(msgspec.Struct):
    host: str
    paths: list[_Path]


class _Limits(msgspec.Struct):
    max_body_bytes: int = 1_000_000


class _Configuration(msgspec.Struct):
    version: int
    vhosts: list[_Host]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_routes(value: dict) -> Result[Routes, str]:
    """Decode a configuration, or return a description of what is wrong with it."""
    try:
        decoded = msgspec.convert(value, _Configuration)
        routes = {
            host.host: tuple(_route(host.host, path) for path in host.paths)
            for host in decoded.vhosts
        }
    except (msgspec.ValidationError, KeyError) as error:
        return Err(f"configuration cannot be read: {error}")
    return Ok(Routes.build(decoded.version, routes, decoded.limits.max_body_bytes))


def _route(host: str, path: _Path) -> Route:
    weights = [(part.service, part.weight) for part in path.split] or [(path.service, 1.0)]
    row = Row(
        kind=path.name,
        rank=path.priority,
        weight=default_weight(path.priority),
        effect=EFFECT_BY_KIND[path.kind],
        deadline_ms=path.timeout_ms,
        retries=max(0, path.attempts - 1),
    )
    return Route(
        host=host,
        prefix=path.path_prefix,
        row=row,
        timeout=path.timeout_ms / 1000,
        goal_seconds=path.goal_ms / 1000,
        weighted_services=tuple(WeightedService(service, weight) for service, weight in weights),
    )
