"""The platform: a small configuration service that can be down, slow or stale on demand."""

from standins.platform._knobs import PlatformKnobs
from standins.platform._model import Answer, Platform

__all__ = ["Answer", "Platform", "PlatformKnobs"]
