"""``python -m onyxpass``: the command line."""

from onyxpass.cli import main

if __name__ == "__main__":
    main()
