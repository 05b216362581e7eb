"""Reads and validates JSON files of settings; errors are one line with file, field and reason."""

import json
from pathlib import Path

from pydantic import ValidationError

from .model import DeploymentFile


class InvalidDeployment(Exception):
    """A settings file that cannot be used; the text is one line that names file, field and reason."""


def _reject_duplicates(pairs):
    """Returns the pairs of a JSON object as a dict. Raises ValueError for a duplicate field."""
    fields = {}
    for key, value in pairs:
        if key in fields:
            raise ValueError(f"the field {key!r} is given twice")
        fields[key] = value
    return fields


def read_json(path, model):
    """Returns the JSON file at `path` as an instance of a pydantic model. Raises InvalidDeployment."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidDeployment(f"{path}: {getattr(error, 'strerror', None) or 'is not UTF-8'}") from None
    try:
        # Validated as JSON: in Python mode strict types would refuse 1 for 1.0 in a tuple, and the text of an enum.
        json.loads(text, object_pairs_hook=_reject_duplicates)
        return model.model_validate_json(text)
    except ValidationError as error:
        first_error = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first_error["loc"])
        reason = first_error["msg"].removeprefix("Value error, ")
        raise InvalidDeployment(f"{path}: {field + ': ' if field else ''}{reason}") from None
    except ValueError as error:
        raise InvalidDeployment(f"{path}: {error}") from None


def read_deployment(path):
    """Returns the deployment file at `path`. Raises InvalidDeployment."""
    return read_json(path, DeploymentFile)
