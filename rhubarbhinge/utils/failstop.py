"""Stopping the process on a broken invariant."""

import traceback
from typing import NoReturn

EXIT_SOFTWARE = 70
"""Exit code of a process that found a broken invariant (``EX_SOFTWARE`` of ``sysexits.h``)."""


def fail_stop(error: BaseException) -> NoReturn:
    """Log a broken invariant with its traceback and stop the process.

    circuits swallows exceptions of event handlers, but lets ``SystemExit`` end its main loop.

    :param error: what was raised.
    :raises SystemExit: always, with :data:`EXIT_SOFTWARE`.
    """
    # Imported here: the library takes 25 ms, which a starting entry spends better.
    from absl import logging

    logging.error("event=fail_stop error=%r\n%s", error, "".join(traceback.format_exception(error)))
    raise SystemExit(EXIT_SOFTWARE) from error
