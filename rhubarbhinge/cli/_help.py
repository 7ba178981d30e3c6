"""The help texts, made from the commands' doc comments."""

import inspect
import re
import textwrap
from collections.abc import Callable, Mapping

from rhubarbhinge.cli._tables import table
from rhubarbhinge.settings import KEY_FILE, SETTINGS

_PARAM = re.compile(r"^:param (\w+): ((?:.|\n(?!:))*)", re.MULTILINE)
_WIDTH = 88
_COMMAND_WIDTH = 9


def overview(commands: Mapping[str, Callable]) -> str:
    """Write the help of the program.

    :param commands: The commands by name.
    :returns: The text.
    """
    lines = [
        "rhubarbhinge: a query tier over many shards",
        "",
        "usage: rhubarbhinge COMMAND [ARGUMENT ...] [--FLAG=VALUE ...]",
        "",
        "commands:",
        *(f"  {name:<{_COMMAND_WIDTH}}{_summary(command)}" for name, command in commands.items()),
        "",
        "rhubarbhinge COMMAND --help tells more of one command.",
        "",
        "exit codes: 0 done, or ran; 1 fault; 2 wrong command line; 3 refused, not run;",
        "4 outcome unknown.",
    ]
    return "\n".join(lines)


def command_help(name: str, command: Callable) -> str:
    """Write the help of one command.

    :param name: Its name.
    :param command: Its function.
    :returns: The text.
    """
    text = inspect.getdoc(command) or ""
    prose = text.partition("\n:param")[0].strip()
    lines = [f"usage: {_usage(name, command)}", "", *_wrapped(prose)]
    described = {arg: " ".join(about.split()) for arg, about in _PARAM.findall(text)}
    parameters = inspect.signature(command).parameters.values()
    rows = [(_label(each), described.get(each.name, "")) for each in parameters if not _rest(each)]
    if rows:
        lines += ["", *_indented(rows)]
    if any(_rest(each) for each in parameters):
        lines += ["", "settings:", *_indented(_setting_rows())]
    return "\n".join(lines)


def _summary(command: Callable) -> str:
    return (inspect.getdoc(command) or "").partition("\n")[0]


def _usage(name: str, command: Callable) -> str:
    parameters = inspect.signature(command).parameters.values()
    needed = [each.name.upper() for each in parameters if each.default is each.empty]
    needed = [each for each in needed if each != "FLAGS"]
    flags = [] if len(needed) == len(parameters) else ["[--FLAG=VALUE ...]"]
    return " ".join(["rhubarbhinge", name, *needed, *flags])


def _rest(parameter: inspect.Parameter) -> bool:
    return parameter.kind is parameter.VAR_KEYWORD


def _label(parameter: inspect.Parameter) -> str:
    if parameter.default is parameter.empty:
        return parameter.name.upper()
    flag = "--" + parameter.name.replace("_", "-")
    return f"{flag}={parameter.default}" if parameter.default else flag


def _setting_rows() -> list[tuple[str, str]]:
    shown = [setting for setting in SETTINGS if not setting.secret]
    rows = [(each.flag, each.summary + (", required" if each.required else "")) for each in shown]
    secrets = [(each.variable, f"{each.summary}; no flag") for each in SETTINGS if each.secret]
    return [*rows, (KEY_FILE.flag, KEY_FILE.summary), *secrets]


def _indented(rows: list[tuple[str, str]]) -> list[str]:
    return ["  " + line for line in table(("", ""), rows)[1:]]


def _wrapped(prose: str) -> list[str]:
    paragraphs = prose.split("\n\n")
    filled = [textwrap.fill(" ".join(each.split()), _WIDTH) for each in paragraphs]
    return "\n\n".join(filled).split("\n")
