"""The platform: a small configuration service that can be down, slow or stale on demand."""

from standins.platform._answer import Answer
from standins.platform._knobs import PlatformKnobs
from standins.platform._model import Platform
from standins.platform._publication import Publication
from standins.platform._watch import Watch

__all__ = ["Answer", "Platform", "PlatformKnobs", "Publication", "Watch"]
