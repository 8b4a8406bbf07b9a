"""The settings file and the command of a node's process, as the users' platform gives them."""

import os
import sys
import tomllib
from itertools import filterfalse
from pathlib import Path

import aiohttp

import bamboojunction
from bamboo_standins.process_fleet import free_port

GRACE_SECONDS = 6
# The limits of the settings on a node's process.
MEMORY_MB = 300
DESCRIPTORS_MAX = 4_100
LINK_PORTS = 16
REGION = "nord"
METRICS_PORT_VARIABLE = "BAMBOO_METRICS_PORT"
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
ROOT = Path(bamboojunction.__file__).parents[1]


def settings(
    name: str, service: str, data_centre: str, app_address: str, store_address: str
) -> dict:
    """Return the settings of a node on free ports, with all tables and fields of the platform."""
    host = app_address.partition(":")[0]
    first_port = free_port(host)
    link_ports = range(first_port, first_port + LINK_PORTS)
    purposes = ("inbound", "outbound", "ready", "control")
    # The other ports lie outside of the range of the links.
    ports = filterfalse(link_ports.__contains__, iter(lambda: free_port(host), None))
    return {
        "self": {
            "node": name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": host,
            "zone": data_centre,
            "region": REGION,
            "in_tolerance": False,
            "bootstrap": True,
            "data_dir": None,
            "limits": {
                "cpu_share": 0.86,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": DESCRIPTORS_MAX,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "app_addr": app_address,
            "service": service,
        },
        "network": {
            "listen": {purpose: f"{host}:{next(ports)}" for purpose in purposes},
            "port_range": [link_ports[0], link_ports[-1]],
            "seeds": [],
            "zones": {data_centre: REGION},
        },
        "provider": {
            "discovery": "static",
            "entry": "static",
            "beat_ms": 1500,
            "provider": {
                "address": store_address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1_048_576,
                "ttl_min_ms": 1000,
            },
        },
        "terms": {
            "contracts": [
                *("base", "drain", "config", "cost"),
                *("retry", "recover", "pressure", "platform"),
            ],
            "tolerate": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {
                "seed_lag_s": 3,
                "reuse_after_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "catch_up_s": 4,
                "drain_ms": 2000,
                "grace_s": GRACE_SECONDS,
                "loss_slack_ms": 200,
                "config_ms": 2000,
                "back_slack_ms": 250,
                "max_skew_ms": 5000,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 48,
                "recover_s": 15,
            },
        },
    }


def command(root: Path) -> list[str]:
    """Return the command of the deploy file of a checkout, run by this interpreter."""
    program, *arguments = _role(root)["run"].split()
    return [sys.executable if program == "python3" else program, *arguments]


def environment(root: Path, settings_path: Path, metrics_port: int) -> dict[str, str]:
    """Return the environment that the deploy file gives to a node, and little of the caller's.

    The metrics have a port of their own, as all nodes share one machine.
    """
    kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
    # The platform puts the libraries that the build installed on the path of modules.
    libraries = str(Path(aiohttp.__file__).parents[1])
    given = {METRICS_PORT_VARIABLE: str(metrics_port)}
    return {
        **kept,
        **_role(root)["env"],
        **given,
        "PYTHONPATH": libraries,
        "BAMBOOJUNCTION_NODE_FILE": str(settings_path),
    }


def _role(root: Path) -> dict:
    return tomllib.loads((root / "deploy" / "system.toml").read_text())["roles"]["node"]
