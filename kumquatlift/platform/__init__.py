"""Adapter to the users' platform, on which the product runs.

Converts the platform's messages and settings to the product's types.
"""

from kumquatlift.platform._settings import PlatformSettings
from kumquatlift.platform._upstream_client import UpstreamClient

__all__ = ["PlatformSettings", "UpstreamClient"]
