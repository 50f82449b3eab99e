"""Run the command line as ``python -m wisteriastair``."""

import sys

from .main import main

sys.exit(main())
