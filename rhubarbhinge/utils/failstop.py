"""Stopping the process when an invariant is violated."""

import traceback
from typing import NoReturn

EXIT_SOFTWARE = 70
"""Exit code after a violated invariant (``EX_SOFTWARE`` of ``sysexits.h``)."""


def fail_stop(error: BaseException) -> NoReturn:
    """Log an unexpected exception with its traceback and stop the process.

    circuits suppresses exceptions of event handlers, but ``SystemExit`` ends its main loop.

    :param error: the exception.
    :raises SystemExit: always, with :data:`EXIT_SOFTWARE`.
    """
    # Imported lazily, since importing absl would add 25 ms to the startup of an entry.
    from absl import logging

    logging.error("event=fail_stop error=%r\n%s", error, "".join(traceback.format_exception(error)))
    raise SystemExit(EXIT_SOFTWARE) from error
