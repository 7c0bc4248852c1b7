"""Fills in the deploy templates of the project as the users' page on deployment describes them."""
import json
import re

TAG = re.compile(r"\{\{([^{}]+)\}\}")
SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.S)


def look_up(fields, name):
    """Returns the value of a dotted name, or None."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render_value(fields, tag):
    name, _, form = tag.strip().partition("|")
    value = fields if name == "." else look_up(fields, name)
    if form == "json":
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, fields):
    """Sections are rendered for a present value; the templates have no loops over lists."""
    def section(found):
        value = look_up(fields, found.group(2))
        is_shown = (value is not None and value is not False) == (found.group(1) == "#")
        return render(found.group(3), fields) if is_shown else ""

    return TAG.sub(lambda found: render_value(fields, found.group(1)), SECTION.sub(section, text))
