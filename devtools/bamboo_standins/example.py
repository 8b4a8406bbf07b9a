"""Starts an example deployment with stand-ins on loopback and keeps it running until a signal.

Run it as ``python -m bamboo_standins.example cycle-bays``; ports are picked free.
"""

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

from bamboo_standins.deployments import DEPLOYMENT_BY_NAME, Deployment
from bamboo_standins.fleet import Fleet

EXAMPLES = Path(__file__).parents[2] / "examples"


def read_example_table(deployment: Deployment) -> str:
    """Return the text of an example's table."""
    return (EXAMPLES / deployment.name / "table.csv").read_text()


async def start_example(fleet: Fleet) -> bool:
    """Start a fleet and return whether it is whole; if it is not, print the state of each node."""
    try:
        await fleet.start()
    except TimeoutError:
        print("the example did not start in time", flush=True)
        for name, running in fleet.by_instance.items():
            code = None if running.node is None else running.node.returncode
            log_path = fleet.directory / f"{name}-node.log"
            lines = log_path.read_text().splitlines() if log_path.exists() else []
            print(
                f"  {name}: exit code {code}; last line: {lines[-1] if lines else ''}", flush=True
            )
        return False
    return True


async def keep_running(deployment: Deployment, directory: Path) -> int:
    """Start the example, print where callers reach it, and stop it on SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    fleet = Fleet(directory, deployment.plans(), read_example_table(deployment))
    try:
        if not await start_example(fleet):
            return 1
        print(f"platform  127.0.0.1:{fleet.platform_port}")
        for name, running in fleet.by_instance.items():
            print(f"{name}  callers {running.caller_address}  upstream {running.upstream_address}")
        print(f"effects  {fleet.ledger_path}", flush=True)
        await stop.wait()
    finally:
        await fleet.stop()
    return 0


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="bamboo_standins.example", description=__doc__)
    parser.add_argument("deployment", choices=sorted(DEPLOYMENT_BY_NAME))
    deployment = DEPLOYMENT_BY_NAME[parser.parse_args().deployment]
    with tempfile.TemporaryDirectory() as directory, contextlib.suppress(KeyboardInterrupt):
        sys.exit(asyncio.run(keep_running(deployment, Path(directory))))


if __name__ == "__main__":
    main()
