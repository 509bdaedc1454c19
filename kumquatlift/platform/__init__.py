"""Adapter to the users' platform: decodes its messages and settings into types of the product."""

from kumquatlift.platform._settings import PlatformSettings
from kumquatlift.platform._upstream_client import UpstreamClient

__all__ = ["PlatformSettings", "UpstreamClient"]
