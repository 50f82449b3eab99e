"""Run the command line with ``python -m wisteriastair``.

The two commands of the users' platform start without the command line's libraries
when no flag is given: that saves a third of their start and of their memory.
"""

import signal
import sys

# A reload may be asked for as soon as the process runs, and the default is to end it:
# a replica would be missing until the platform has started it again.  Nothing is lost
# by ignoring the signal until its handler is there, since settings are read after this.
if sys.argv[1:2] in (["relay"], ["keeper"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .nodes import keeper, relay  # noqa: E402

if sys.argv[1:] == ["relay"]:
    sys.exit(relay())
if sys.argv[1:] == ["keeper"]:
    sys.exit(keeper())

from .main import main  # noqa: E402

sys.exit(main())
