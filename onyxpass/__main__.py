"""``python -m onyxpass``: the command line."""

from onyxpass.cli import app

if __name__ == "__main__":
    app(prog_name="onyxpass")
