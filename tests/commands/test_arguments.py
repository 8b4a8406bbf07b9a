"""Invalid arguments print one line and exit with code 2."""

import socket
import tempfile
import unittest
from pathlib import Path

from cleo.commands.command import Command
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from bamboojunction.management.application import SingleCommandApplication
from bamboojunction.management.commands.call import CallCommand
from bamboojunction.management.commands.node import NodeCommand
from tests.conf.test_loader import VALID


class CommandCase(unittest.TestCase):
    def run_command(self, command: Command, *arguments: str) -> int:
        application = SingleCommandApplication(command)
        application.auto_exits(False)
        self.output, self.error = BufferedOutput(), BufferedOutput()
        tokens = ["program", command.name, *arguments]
        return application.run(ArgvInput(tokens), self.output, self.error)

    def write(self, text: str) -> str:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = directory / "file"
        path.write_text(text)
        return str(path)


class CallArgumentTests(CommandCase):
    def test_invalid_arguments_print_one_line(self):
        table = self.write("kind,rank\n")
        cases = {
            (): "Not enough arguments",
            ("localhost:1", "read"): "address: 'localhost:1' is not an IPv4 address",
            ("127.0.0.1:1", "a b"): "kind: 'a b' is not 1 to 64 letters",
            ("127.0.0.1:1", "read=0"): "share: '0' is not a whole number",
            ("127.0.0.1:1", "read", "--count=0"): "--count: '0' is not a whole number",
            ("127.0.0.1:1", "read", "--rate=nan"): "--rate: 'nan' is not a number",
            ("127.0.0.1:1", "read", "--method=GRAB"): "--method: 'GRAB' is not one of",
            ("127.0.0.1:1", "read", "--path=x"): "--path: expected a path",
            ("127.0.0.1:1", "read", "--none"): 'The option "--none" does not exist',
            ("127.0.0.1:1", "read", f"--table={table}"): f"--table: {table}: ",
        }
        for arguments, start in cases.items():
            with self.subTest(arguments=arguments):
                self.assertEqual(self.run_command(CallCommand(), *arguments), 2)
                text = self.error.fetch()
                self.assertTrue(text.startswith(f"bamboo-call: {start}"), text)
                self.assertEqual(text.count("\n"), 1)

    def test_call_to_unreachable_node_is_lost(self):
        self.assertEqual(self.run_command(CallCommand(), "127.0.0.1:1", "read"), 5)
        self.assertIn("outcome=lost", self.error.fetch())

    def test_load_reports_every_call(self):
        code = self.run_command(CallCommand(), "127.0.0.1:1", "read", "--count=20")
        self.assertEqual(code, 5)
        self.assertIn("rank -  read: 0 of 20 good", self.output.fetch())


class NodeCheckTests(CommandCase):
    def test_valid_settings_pass(self):
        code = self.run_command(NodeCommand(), self.write(VALID), "--check")
        self.assertEqual((code, self.output.fetch()), (0, "settings are valid\n"))

    def test_invalid_settings_report_file_and_line(self):
        path = self.write(VALID.replace("slots = 60", "slot = 60"))
        self.assertEqual(self.run_command(NodeCommand(), path, "--check"), 2)
        self.assertIn(f"{path}:11: unknown setting 'slot'", self.error.fetch())

    def test_failed_check_prints_its_id(self):
        path = self.write(VALID.replace(":7101", ":7102"))
        self.assertEqual(self.run_command(NodeCommand(), path, "--check"), 2)
        self.assertIn("error addresses.E002", self.error.fetch())

    def test_address_in_use_prints_one_line(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            path = self.write(VALID.replace("127.0.0.1:7102", address))
            self.assertEqual(self.run_command(NodeCommand(), path), 3)
        last_line = self.error.fetch().splitlines()[-1]
        self.assertTrue(last_line.startswith(f"{path}: cannot listen: "), last_line)
