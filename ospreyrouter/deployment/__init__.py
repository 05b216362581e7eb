"""The deployment file that every process reads at start: JSON, validated by `pydantic`, with a published schema."""

from .check import InvalidDeployment, read_deployment, read_json
from .model import DeploymentFile, deployment_schema

__all__ = ["InvalidDeployment", "DeploymentFile", "deployment_schema", "read_deployment", "read_json"]
