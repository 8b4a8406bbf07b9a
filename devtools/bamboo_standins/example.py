"""Command that runs an example deployment with stand-ins on loopback until it is signalled.

Run it as ``python -m bamboo_standins.example cycle-bays``; it listens on unused ports.
"""

import argparse
import asyncio
import contextlib
import signal
import sys
import tempfile
from pathlib import Path

from bamboo_standins.deployments import DEPLOYMENT_BY_NAME, Deployment
from bamboo_standins.process_fleet import ProcessFleet

EXAMPLES_DIRECTORY = Path(__file__).parents[2] / "examples"


def read_example_table(deployment: Deployment) -> str:
    """Return the text of the deployment's ``table.csv``."""
    return (EXAMPLES_DIRECTORY / deployment.name / "table.csv").read_text()


async def start_example(fleet: ProcessFleet) -> bool:
    """Start a fleet and return whether it became ready; on timeout, print each node's state."""
    try:
        await fleet.start()
    except TimeoutError:
        print("the example deployment did not become ready in time", flush=True)
        for name, running in fleet.running_by_instance.items():
            exit_code = None if running.node is None else running.node.returncode
            log_path = fleet.directory / f"{name}-node.log"
            lines = log_path.read_text().splitlines() if log_path.exists() else []
            print(
                f"  {name}: exit code {exit_code}; last log line: {lines[-1] if lines else ''}",
                flush=True,
            )
        return False
    return True


async def run_until_stopped(deployment: Deployment, directory: Path) -> int:
    """Start the example, print its addresses, and stop it on SIGINT or SIGTERM.

    Return the exit code.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    fleet = ProcessFleet(directory, deployment.plans(), read_example_table(deployment))
    try:
        if not await start_example(fleet):
            return 1
        print(f"platform  127.0.0.1:{fleet.platform_port}")
        for name, running in fleet.running_by_instance.items():
            print(f"{name}  callers {running.caller_address}  upstream {running.upstream_address}")
        print(f"effects  {fleet.ledger_path}", flush=True)
        await stop_requested.wait()
    finally:
        await fleet.stop()
    return 0


def main() -> None:
    """Parse the command line and run the example deployment."""
    parser = argparse.ArgumentParser(prog="bamboo_standins.example", description=__doc__)
    parser.add_argument("deployment", choices=sorted(DEPLOYMENT_BY_NAME))
    deployment = DEPLOYMENT_BY_NAME[parser.parse_args().deployment]
    with tempfile.TemporaryDirectory() as directory, contextlib.suppress(KeyboardInterrupt):
        sys.exit(asyncio.run(run_until_stopped(deployment, Path(directory))))


if __name__ == "__main__":
    main()
