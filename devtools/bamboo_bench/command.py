"""The command ``bamboo-bench``, whose subcommands are the benchmarks."""

import importlib

from cleo.application import Application
from cleo.commands.command import Command
from cleo.loaders.factory_command_loader import FactoryCommandLoader

COMMAND_CLASSES = {
    "policy": "bamboo_bench.policy.command:PolicyCommand",
    "state": "bamboo_bench.state.command:StateCommand",
    "path": "bamboo_bench.path.command:PathCommand",
    "capacity": "bamboo_bench.capacity.command:CapacityCommand",
    "replay": "bamboo_bench.replay.command:ReplayCommand",
    "explained": "bamboo_bench.explained:ExplainedCommand",
    "soak": "bamboo_bench.soak.command:SoakCommand",
}


def _command_factory(class_path: str):
    def create() -> Command:
        module_name, class_name = class_path.split(":")
        return getattr(importlib.import_module(module_name), class_name)()

    return create


def main() -> int:
    """Run the subcommand on the command line and return its exit code."""
    application = Application("bamboo-bench")
    factories = {name: _command_factory(class_path) for name, class_path in COMMAND_CLASSES.items()}
    application.set_command_loader(FactoryCommandLoader(factories))
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
