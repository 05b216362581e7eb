"""What a process is told at start: one JSON file, checked by `pydantic`, with a published JSON schema."""

from .check import BadDeployment, read_deployment, read_json
from .model import DeploymentFile, deployment_schema

__all__ = ["BadDeployment", "DeploymentFile", "deployment_schema", "read_deployment", "read_json"]
