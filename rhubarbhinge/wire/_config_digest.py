"""The configuration revisions that a node holds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigDigest:
    """Revision and content hash of each accepted document; zeros where there is none.

    :param register_revision: revision of the asset register.
    :param rules_revision: revision of the rules.
    :param vms_revision: revision of the VM list.
    :param register_hash: 63-bit hash of the asset register's bytes.
    :param rules_hash: 63-bit hash of the rules' bytes.
    :param vms_hash: 63-bit hash of the VM list's bytes.
    :param platform_contact: identifies the newest answers of the platform for all keys that the
        sender knows of; 0 for none.
    :param platform_age_ms: time since the oldest of those answers, at the time of sending.
    """

    register_revision: int
    rules_revision: int
    vms_revision: int
    register_hash: int
    rules_hash: int
    vms_hash: int
    platform_contact: int = 0
    platform_age_ms: int = 0
