"""Fills in the templates of the deploy file, as DEPLOY.md describes them."""
import json
import re

TAG = re.compile(r"{{([#^/]?)([^}|]+)(\|json)?}}")


def look_up(fields, path):
    """Returns the value at @path, or None."""
    value = fields
    for part in path.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def as_text(value, is_json):
    if is_json:
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


def render(text, fields):
    """Supports values and sections that depend on whether a value is present."""
    output, shown, position = [], [True], 0
    for tag in TAG.finditer(text):
        if shown[-1]:
            output.append(text[position:tag.start()])
        position = tag.end()
        kind, path, is_json = tag.group(1), tag.group(2), tag.group(3) is not None
        value = look_up(fields, path)
        is_present = value is not None and value is not False
        if kind == "/":
            shown.pop()
        elif kind:
            shown.append(shown[-1] and is_present == (kind == "#"))
        elif shown[-1]:
            output.append(as_text(value, is_json))
    output.append(text[position:])
    return "".join(output)
