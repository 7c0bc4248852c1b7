#!/usr/bin/env python3
"""Fails if files of a folder call each other in a circle, by the symbols of their objects.

Usage: check_call_cycles.py BUILD FOLDER...
"""
import pathlib
import subprocess
import sys


def read_symbols(path):
    """Symbols that an object defines, and those that it uses."""
    rows = [line.split() for line in
            subprocess.run(["nm", str(path)], capture_output=True, text=True,
                           check=True).stdout.splitlines()]
    defined = {row[2] for row in rows if len(row) == 3 and row[1] in "TDBR"}
    used = {row[1] for row in rows if len(row) == 2 and row[0] == "U"}
    return defined, used


def read_calls(objects):
    """Names of the files that each file calls."""
    symbols = {path.stem: read_symbols(path) for path in objects}
    owner = {name: stem for stem, (defined, _) in symbols.items() for name in defined}
    return {stem: {owner[name] for name in used if name in owner} - {stem}
            for stem, (_, used) in symbols.items()}


def find_cycle(calls):
    """Files that remain when those that call no other remaining file are taken away."""
    left = dict(calls)
    while True:
        leaves = [stem for stem, called in left.items() if not called & left.keys()]
        if not leaves:
            return sorted(left)
        for stem in leaves:
            del left[stem]


def main():
    build, folders = pathlib.Path(sys.argv[1]), sys.argv[2:]
    failed = False
    for folder in folders:
        # main.c holds the table of settings that the program reads.
        sources = [path for path in pathlib.Path(folder).glob("*.c") if path.name != "main.c"]
        cycle = find_cycle(read_calls([build / path.with_suffix(".o") for path in sources]))
        if cycle:
            failed = True
            print("%s: files that call each other in a circle, or call those that do: %s"
                  % (folder, ", ".join(cycle)), file=sys.stderr)
    sys.exit(failed)


if __name__ == "__main__":
    main()
