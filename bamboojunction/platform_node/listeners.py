"""The listening sockets of a platform node, opened before anything else is started."""

import socket
from dataclasses import dataclass

from result import Err, Ok, Result

from bamboojunction.callers.sockets import find_holder, listen
from bamboojunction.conf.addresses import PORT_MAX, split_address
from bamboojunction.platform.node_settings import PlatformNodeSettings


@dataclass(slots=True, frozen=True)
class PortConflict:
    """An address on which the node cannot listen.

    ``holder`` describes the process that has the port, and is empty if that cannot be seen.
    """

    purpose: str
    address: str
    problem: str
    holder: str

    def __str__(self) -> str:
        holder = self.holder or "a process that cannot be seen from here"
        return (
            f"the address of {self.purpose} {self.address} cannot be used: {self.problem}; "
            f"it is held by {holder}; end it, or set another port"
        )


@dataclass(slots=True, frozen=True)
class Listeners:
    """The sockets without which a node cannot serve, and the address of its metrics.

    ``link_address`` is the address that peers connect to.
    """

    callers: socket.socket
    ready: socket.socket
    reports: socket.socket
    links: socket.socket
    metrics_address: str

    @classmethod
    def open(
        cls, settings: PlatformNodeSettings, metrics_port: int
    ) -> Result["Listeners", PortConflict]:
        """Listen on all addresses of the settings, or on none; the metrics are left for later.

        Links take the first port of their range that is free, as any process of the machine may
        have got one of them for an outgoing connection. They take the port of the metrics only if
        no other is left. The other ports are fixed.
        """
        host, _ = split_address(settings.link_address)
        metrics_address = f"{host}:{metrics_port}"
        address_by_purpose = {
            "callers": settings.caller_address,
            "readiness": settings.ready_address,
            "reports": settings.report_address,
        }
        opened: list[socket.socket] = []
        for purpose, address in address_by_purpose.items():
            found = _listen(purpose, [address])
            if isinstance(found, Err):
                _close(opened)
                return found
            opened.append(found.ok())
        # Sorting is stable: the port of the metrics goes last.
        addresses = sorted(link_addresses(settings), key=metrics_address.__eq__)
        found = _listen("links", addresses)
        if isinstance(found, Err):
            _close(opened)
            return found
        return Ok(cls(*opened, found.ok(), metrics_address))

    def close(self) -> None:
        """Close all sockets."""
        _close([self.callers, self.ready, self.reports, self.links])

    @property
    def link_address(self) -> str:
        """Return the address that the node announces to its peers."""
        host, port = self.links.getsockname()
        return f"{host}:{port}"


def link_addresses(settings: PlatformNodeSettings) -> list[str]:
    """Return the addresses of the links' range, without those that the settings give to others."""
    host, first = split_address(settings.link_address)
    taken = {
        settings.caller_address,
        settings.ready_address,
        settings.report_address,
        settings.upstream_address,
        settings.store_address,
    }
    last = max(first, min(settings.link_port_max, PORT_MAX))
    addresses = (f"{host}:{port}" for port in range(first, last + 1))
    return [address for address in addresses if address not in taken]


def _listen(purpose: str, addresses: list[str]) -> Result[socket.socket, PortConflict]:
    """Listen on the first address that is free; return the conflict at the last one if none is."""
    conflict = PortConflict(purpose, "", "no address is left", "")
    for address in addresses:
        try:
            return Ok(listen(*split_address(address)))
        except OSError as error:
            conflict = PortConflict(purpose, address, str(error), "")
    if conflict.address:
        holder = find_holder(*split_address(conflict.address))
        conflict = PortConflict(purpose, conflict.address, conflict.problem, holder)
    return Err(conflict)


def _close(sockets: list[socket.socket]) -> None:
    for opened in sockets:
        opened.close()
