"""The cells of a run, kept and written."""

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import orjson

from tools.bench._cell import Cell
from tools.bench._figures import ClassRule, Figures, figures
from tools.bench._tenant import Tenant

CELLS_FILE = "cells.jsonl"
"""Figures of each cell; the samples are in a file for each cell beside it."""


class Results:
    """Cells by tenant, scenario and variant.

    :param folder: where they are written.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._cells: dict[tuple[str, str, str], list[Cell]] = {}
        self._rules: dict[str, dict[str, ClassRule]] = {}
        self._most: dict[str, str] = {}
        (folder / CELLS_FILE).write_bytes(b"")

    def know(self, tenant: Tenant) -> None:
        """Take the rules of a tenant.

        :param tenant: the tenant.
        """
        self._rules[tenant.name] = rules_of(tenant)
        self._most[tenant.name] = tenant.traffic.most

    def add(self, cell: Cell) -> Figures:
        """Keep a cell and write its figures.

        :param cell: the cell.
        :returns: its figures.
        """
        key = cell.key
        self._cells.setdefault((key.tenant, key.scenario, key.variant), []).append(cell)
        found = self._figures(key.tenant, [cell])
        line = {**asdict(key), **asdict(found), "counts": cell.counts}
        with open(self._folder / CELLS_FILE, "ab") as file:
            file.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE))
        return found

    def variants(self, tenant: str, scenario: str, order: Sequence[str]) -> list[str]:
        """Give the variants measured in a scenario.

        :param tenant: the tenant.
        :param scenario: the scenario.
        :param order: all variants in order.
        :returns: those that were measured.
        """
        return [name for name in order if (tenant, scenario, name) in self._cells]

    def pooled(self, tenant: str, scenario: str, variant: str) -> Figures | None:
        """Give the figures over all repetitions.

        :param tenant: the tenant.
        :param scenario: the scenario.
        :param variant: the variant.
        :returns: the figures, None when nothing was measured.
        """
        cells = self._cells.get((tenant, scenario, variant), [])
        return self._figures(tenant, cells) if cells else None

    def repeat(self, tenant: str, scenario: str, variant: str, repeat: int) -> Figures | None:
        """Give the figures of one repetition.

        :param tenant: the tenant.
        :param scenario: the scenario.
        :param variant: the variant.
        :param repeat: number of the repetition.
        :returns: the figures, None when nothing was measured.
        """
        cells = self._cells.get((tenant, scenario, variant), [])
        chosen = [cell for cell in cells if cell.key.repeat == repeat]
        return self._figures(tenant, chosen) if chosen else None

    def repeats(self, tenant: str, scenario: str, variant: str) -> list[Figures]:
        """Give the figures of each repetition.

        :param tenant: the tenant.
        :param scenario: the scenario.
        :param variant: the variant.
        :returns: the figures.
        """
        cells = self._cells.get((tenant, scenario, variant), [])
        return [self._figures(tenant, [cell]) for cell in cells]

    def _figures(self, tenant: str, cells: Sequence[Cell]) -> Figures:
        return figures(cells, self._rules[tenant], self._most[tenant])


def rules_of(tenant: Tenant) -> dict[str, ClassRule]:
    """Read what the rules promise each class.

    :param tenant: the tenant.
    :returns: the classes by name.
    """
    return {
        each["name"]: ClassRule(each["deadline_ms"], each["least_coverage"])
        for each in tenant.deployment.rules["classes"]
    }
