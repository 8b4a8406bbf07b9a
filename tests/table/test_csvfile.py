"""All export formats of spreadsheets are parsed alike; problems name the cell and valid values."""

import unittest

from bamboojunction.core.table.csvfile import decode_text, parse_table
from bamboojunction.core.table.render import render_table
from bamboojunction.core.table.rows import DEFAULT_ROW, Effect, row_for

HEADER = "kind,rank,weight,effect,deadline_ms,retries,slots_max,services"
PLAIN = (
    HEADER + "\n"
    "reserve,0,50,once,2000,2,0,reservations payments\n"
    "availability,3,20,idempotent,800,1,30,bayfinder\n"
)


def parse(text: str):
    return parse_table(text, 7, "edit", strict=True)


def problems_of(*lines: str, header: str = HEADER):
    return parse("\n".join((header, *lines))).err()


class ExportTests(unittest.TestCase):
    def test_exports_of_spreadsheets_read_the_same(self):
        plain = parse(PLAIN).ok()
        quoted = PLAIN.replace("reserve,0", '"reserve","0"')
        exports = {
            "byte order mark": PLAIN.encode("utf-8-sig"),
            "utf-16": PLAIN.encode("utf-16"),
            "crlf": PLAIN.replace("\n", "\r\n").encode(),
            "semicolons": PLAIN.replace(",", ";").encode(),
            "tabs": PLAIN.replace(",", "\t").encode(),
            "quotes": quoted.encode(),
            "blank lines and trailing cells": PLAIN.replace("\n", ",,\n,,,\n").encode(),
            "comment lines": ("# the summer table\n" + PLAIN).encode(),
            "capitals and spaces in the header": PLAIN.replace("kind,rank", "Kind , RANK").encode(),
            "no last newline": PLAIN.rstrip("\n").encode(),
            "services in a quoted cell": PLAIN.replace(
                "reservations payments", '"reservations, payments"'
            ).encode(),
        }
        for name, content in exports.items():
            with self.subTest(name):
                self.assertEqual(parse(decode_text(content).ok()).ok(), plain)

    def test_row_holds_every_cell(self):
        row = parse(PLAIN).ok().by_kind["reserve"]
        self.assertEqual((row.rank, row.weight, row.effect), (0, 50, Effect.ONCE))
        self.assertEqual((row.deadline_ms, row.retries, row.slots_max), (2000, 2, 0))
        self.assertEqual(row.services, ("reservations", "payments"))

    def test_optional_columns_have_defaults(self):
        row = parse("kind,rank,weight,effect,deadline_ms\na,1,1,idempotent,100").ok().by_kind["a"]
        self.assertEqual((row.retries, row.slots_max, row.services), (0, 0, ()))

    def test_canonical_text_reads_back_and_ignores_the_order_of_rows(self):
        table = parse(PLAIN).ok()
        text = render_table(table)
        self.assertEqual(parse(text).ok(), table)
        lines = PLAIN.splitlines()
        swapped = parse("\n".join([lines[0], lines[2], lines[1]])).ok()
        self.assertEqual(render_table(swapped), text)

    def test_custom_columns_are_kept(self):
        table = parse("kind,rank,weight,effect,deadline_ms,x-owner\na,1,1,idempotent,100,Ana").ok()
        self.assertEqual(table.by_kind["a"].extra, (("x-owner", "Ana"),))
        self.assertEqual(parse(render_table(table)).ok(), table)

    def test_kind_without_a_row_gets_the_default_row(self):
        self.assertIs(row_for(parse(PLAIN).ok(), "else"), DEFAULT_ROW)
        self.assertIs(DEFAULT_ROW.effect, Effect.ONCE)


class ProblemTests(unittest.TestCase):
    def test_each_bad_cell_is_named_with_what_is_allowed(self):
        cases = {
            "a b,1,1,idempotent,100": ("kind", "a b", "letters"),
            "a,10,1,idempotent,100": ("rank", "10", "0 to 9"),
            "a,-1,1,idempotent,100": ("rank", "-1", "0 to 9"),
            "a,1,0,idempotent,100": ("weight", "0", "1 to 1000"),
            "a,1,1.5,idempotent,100": ("weight", "1.5", "whole number"),
            "a,1,,idempotent,100": ("weight", "", "a value"),
            "a,1,1,maybe,100": ("effect", "maybe", "'idempotent' or 'once'"),
            "a,1,1,idempotent,9": ("deadline_ms", "9", "10 to 120000"),
            "a,1,1,idempotent,999999999999": ("deadline_ms", "999999999999", "10 to 120000"),
            "a,1,1,idempotent,100,11": ("retries", "11", "0 to 10"),
            "a,1,1,idempotent,100,0,10001": ("slots_max", "10001", "0 to 10000"),
            "a,1,1,idempotent,100,0,0,s s": ("services", "s s", "each service once"),
            "a,1,1,idempotent,100,0,0,s/t": ("services", "s/t", "service names"),
            "a,1,1,once,100": ("services", "", "at least one service"),
            "a,1,1,idempotent,10,0,0,b c d e f g": ("deadline_ms", "10", "at least 12"),
        }
        for line, (column, value, allowed) in cases.items():
            with self.subTest(line=line):
                (problem,) = problems_of(line)
                self.assertEqual((problem.line, problem.column, problem.value), (2, column, value))
                self.assertIn(allowed, problem.expected)

    def test_all_problems_of_all_rows_are_reported_together(self):
        problems = problems_of("a,x,y,idempotent,100", "b,1,1,idempotent,1")
        self.assertEqual(
            [(problem.line, problem.column) for problem in problems],
            [(2, "rank"), (2, "weight"), (3, "deadline_ms")],
        )

    def test_line_numbers_include_quoted_line_breaks(self):
        problems = problems_of('a,1,1,idempotent,100,0,0,"s\nt"', "b,z,1,idempotent,100")
        self.assertEqual((problems[0].line, problems[0].kind), (4, "b"))

    def test_duplicate_kind_names_the_first_line(self):
        (problem,) = problems_of("a,1,1,idempotent,100", "a,1,1,idempotent,100")
        self.assertEqual((problem.line, problem.column), (3, "kind"))
        self.assertIn("line 2", problem.expected)

    def test_share_below_one_slot_is_refused_with_row_and_reason(self):
        rows = ("a,0,100,idempotent,100,0,0,s", "b,9,5,idempotent,100,0,0,s")
        (problem,) = problems_of(*rows)
        self.assertEqual((problem.line, problem.column, problem.value), (3, "weight", "5"))
        self.assertIn("1/20 of the total weight 105", problem.expected)
        problems_at_separate_services = problems_of(rows[0], rows[1].replace(",s", ",t"))
        self.assertIsNone(problems_at_separate_services)

    def test_share_counts_all_kinds_of_a_rank(self):
        rows = [f"b{number},9,1,idempotent,100,0,0,s" for number in range(5)]
        self.assertIsNone(problems_of("a,0,95,idempotent,100,0,0,s", *rows))

    def test_header_problems(self):
        cases = {
            "kind,rank,weight,effect": "deadline_ms",
            HEADER + ",rank": "rank",
            HEADER + ",slot_max": "slot_max",
        }
        for header, column in cases.items():
            with self.subTest(header=header):
                problems = problems_of("a,1,1,idempotent,100", header=header)
                self.assertEqual([problem.column for problem in problems], [column])

    def test_malformed_files_are_rejected(self):
        oversized = HEADER + "\n" + "a" * 500_000
        unbalanced = HEADER + '\n"a,1,1,idempotent,100'
        for text in ("", "\n\n", HEADER, oversized, unbalanced, HEADER + "\na\0,1"):
            with self.subTest(text=text[:80]):
                self.assertTrue(parse(text).err())

    def test_decoding_problem_names_the_line(self):
        problem = decode_text(b"kind\n\xff\xffa").err()
        self.assertEqual(problem.line, 2)

    def test_surplus_cells_are_a_problem(self):
        (problem,) = problems_of("a,1,1,idempotent,100,0,0,s,t")
        self.assertEqual((problem.line, problem.value), (2, "t"))

    def test_problem_reads_as_one_line(self):
        (problem,) = problems_of("a,x,1,idempotent,100")
        self.assertEqual(
            str(problem),
            "line 2 (kind a), column rank: 'x' is not allowed; "
            "allowed: a whole number from 0 to 9",
        )
