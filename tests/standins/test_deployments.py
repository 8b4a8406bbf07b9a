"""Tests that the example settings and tables are valid and match their deployments."""

import unittest

from bamboo_standins.deployments import CYCLE_BAYS, DEPLOYMENT_BY_NAME, KHMIRA
from bamboo_standins.example import EXAMPLES_DIRECTORY, read_example_table
from bamboojunction.checks.builtin import check_settings
from bamboojunction.conf.loader import load_settings
from bamboojunction.core.table.csvfile import parse_table


class DeploymentTests(unittest.TestCase):
    def test_files_equal_the_deployments(self):
        for deployment in DEPLOYMENT_BY_NAME.values():
            directory = EXAMPLES_DIRECTORY / deployment.name / "nodes"
            files = {path.name: path.read_text() for path in directory.iterdir()}
            self.assertEqual(files, dict(deployment.settings_files()))

    def test_settings_pass_every_check(self):
        for path in EXAMPLES_DIRECTORY.glob("*/nodes/*.ini"):
            with self.subTest(path=path.name):
                self.assertEqual(check_settings(load_settings(path).unwrap()), [])

    def test_tables_name_only_services_of_the_deployment(self):
        for deployment in DEPLOYMENT_BY_NAME.values():
            table = parse_table(read_example_table(deployment), 1, "").unwrap()
            referenced = {name for row in table.by_kind.values() for name in row.services}
            self.assertLessEqual(referenced, {service.name for service in deployment.services})

    def test_deployments_have_four_services_in_three_data_centres(self):
        for deployment in (CYCLE_BAYS, KHMIRA):
            plans = deployment.plans()
            self.assertEqual(len(plans), 13)
            self.assertEqual(len({plan.data_centre for plan in plans}), 3)
