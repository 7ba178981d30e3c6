"""The ``rhubarbhinge`` command."""

from rhubarbhinge.cli._exit_code import ExitCode
from rhubarbhinge.cli._main import main

__all__ = ["ExitCode", "main"]
