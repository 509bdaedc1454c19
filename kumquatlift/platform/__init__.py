"""Adapter to the users' platform: converts its messages and settings to the product's types."""

from kumquatlift.platform._settings import PlatformSettings
from kumquatlift.platform._upstream_client import UpstreamClient

__all__ = ["PlatformSettings", "UpstreamClient"]
