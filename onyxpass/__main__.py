"""Entry point of ``python -m onyxpass``."""

import sys

from onyxpass.start import main

if __name__ == "__main__":
    sys.exit(main())
