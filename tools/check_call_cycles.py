#!/usr/bin/env python3
"""Fails if source files of a folder depend on each other cyclically, by their objects' symbols.

Usage: check_call_cycles.py BUILD FOLDER...
"""
import pathlib
import subprocess
import sys


def read_symbols(path):
    """Returns the symbols that an object defines and those that it uses."""
    rows = [line.split() for line in
            subprocess.run(["nm", str(path)], capture_output=True, text=True,
                           check=True).stdout.splitlines()]
    defined = {row[2] for row in rows if len(row) == 3 and row[1] in "TDBR"}
    used = {row[1] for row in rows if len(row) == 2 and row[0] == "U"}
    return defined, used


def read_dependencies(objects):
    """Returns for each file the names of the files whose symbols it uses."""
    symbols = {path.stem: read_symbols(path) for path in objects}
    owner = {name: stem for stem, (defined, _) in symbols.items() for name in defined}
    return {stem: {owner[name] for name in used if name in owner} - {stem}
            for stem, (_, used) in symbols.items()}


def find_cyclic_files(dependencies):
    """Returns the files left after repeatedly removing those that use no other file that is left.

    These are the files of cycles and those that depend on them.
    """
    remaining = dict(dependencies)
    while True:
        leaves = [stem for stem, used_files in remaining.items()
                  if not used_files & remaining.keys()]
        if not leaves:
            return sorted(remaining)
        for stem in leaves:
            del remaining[stem]


def main():
    build, folders = pathlib.Path(sys.argv[1]), sys.argv[2:]
    failed = False
    for folder in folders:
        # main.c is excluded: it holds the settings table that the other files read.
        sources = [path for path in pathlib.Path(folder).glob("*.c") if path.name != "main.c"]
        cyclic_files = find_cyclic_files(
            read_dependencies([build / path.with_suffix(".o") for path in sources]))
        if cyclic_files:
            failed = True
            print("%s: files that depend on each other cyclically, or on such files: %s"
                  % (folder, ", ".join(cyclic_files)), file=sys.stderr)
    sys.exit(failed)


if __name__ == "__main__":
    main()
