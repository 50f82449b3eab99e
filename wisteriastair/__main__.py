"""Run the command line with ``python -m wisteriastair``.

The two commands of the users' platform start without the command line's libraries
when no flag is given: that saves a third of their start and of their memory.
"""

import sys

from .nodes import keeper, relay

if sys.argv[1:] == ["relay"]:
    sys.exit(relay())
if sys.argv[1:] == ["keeper"]:
    sys.exit(keeper())

from .main import main  # noqa: E402

sys.exit(main())
