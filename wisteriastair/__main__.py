"""Run the command line with ``python -m wisteriastair``.

Without flags, ``relay`` and ``keeper`` start without the libraries of the command line.
This saves a third of their startup time and memory.
"""

import signal
import sys

# SIGHUP (reload) may arrive as soon as the process runs.  Its default action ends the
# process, and a replica would be missing until the platform has restarted it.  Ignoring
# the signal until its handler is installed loses nothing: settings are read later.
if sys.argv[1:2] in (["relay"], ["keeper"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .nodes import keeper, relay  # noqa: E402

if sys.argv[1:] == ["relay"]:
    sys.exit(relay())
if sys.argv[1:] == ["keeper"]:
    sys.exit(keeper())

from .main import main  # noqa: E402

sys.exit(main())
