"""Optional packages, and the extra of this project that installs each of them."""

EXTRAS = {
    "hiredis": "standin",
    "jinja2": "lab",
    "matplotlib": "lab",
    "numpy": "lab",
    "tomlkit": "files",
    "watchfiles": "files",
}


def missing_extra_message(problem: ModuleNotFoundError) -> str | None:
    """Return a line that names the missing extra.

    Returns None if the package belongs to no extra; its absence is a defect of the program.
    """
    package = (problem.name or "").partition(".")[0]
    if (extra := EXTRAS.get(package)) is None:
        return None
    return f"this needs {package}, of the extra {extra!r}: pip install 'onyxpass[{extra}]'"
