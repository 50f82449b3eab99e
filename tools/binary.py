"""Entry point of the single-file binary."""

import sys

from wisteriastair.main import main

if __name__ == "__main__":
    sys.exit(main())
