"""Errors of the operator's configuration: each class has a stable code and the HTTP status of its answer.

`where` is the path inside the document at which the error lies, such as ``routes[3].timeout_ms``.
"""

from __future__ import annotations

from typing import ClassVar

from mallowbeam.errors import MallowbeamError


class ConfigurationError(MallowbeamError):
    """A configuration that cannot be taken; nothing of it comes into force."""

    error_name = "ConfigurationError"
    code = "CONFIG"
    status: ClassVar[int] = 400
    step = "parse_configuration"
    remedy = "mend the document at the path given and send it again"


class UnreadableConfiguration(ConfigurationError):
    """The body is no JSON document, or one that cannot be kept exactly (an infinite number)."""

    error_name = "UnreadableConfiguration"
    code = "CONFIG_UNREADABLE"
    remedy = "send the whole document as JSON in UTF-8"


class InvalidField(ConfigurationError):
    """A field is missing, of another type, or out of its range."""

    error_name = "InvalidField"
    code = "CONFIG_FIELD"


class ConfigurationTooLarge(ConfigurationError):
    """The body is longer than a member takes."""

    error_name = "ConfigurationTooLarge"
    code = "CONFIG_TOO_LARGE"
    status = 413
    remedy = "remove routes that are no longer used"


class UnknownBackend(ConfigurationError):
    """A route names a service that the document does not hold."""

    error_name = "UnknownBackend"
    code = "CONFIG_UNKNOWN_BACKEND"
    status = 422


class DuplicateBackend(ConfigurationError):
    """Two services have the same name."""

    error_name = "DuplicateBackend"
    code = "CONFIG_DUPLICATE_BACKEND"
    status = 422


class DuplicateName(ConfigurationError):
    """A patch names an entry twice, or one of which the configuration holds two."""

    error_name = "DuplicateName"
    code = "CONFIG_DUPLICATE_NAME"
    status = 422
    remedy = "name each entry once; send the whole configuration where two entries share a name"


class NameNotFound(ConfigurationError):
    """A patch removes an entry that the configuration does not hold."""

    error_name = "NameNotFound"
    code = "CONFIG_NAME_NOT_FOUND"
    status = 422
    remedy = "read the current configuration and name what is in it"


class SamePlace(ConfigurationError):
    """Two routes have the same host and path prefix."""

    error_name = "SamePlace"
    code = "CONFIG_SAME_PLACE"
    status = 422


class NoWeight(ConfigurationError):
    """The weights of a route sum to 0."""

    error_name = "NoWeight"
    code = "CONFIG_NO_WEIGHT"
    status = 422


class NoTimeout(ConfigurationError):
    """A route has no time-out, or one of 0."""

    error_name = "NoTimeout"
    code = "CONFIG_NO_TIMEOUT"
    status = 422


class SharedKey(ConfigurationError):
    """Two tenants have the same key."""

    error_name = "SharedKey"
    code = "CONFIG_SHARED_KEY"
    status = 422


class UpdateMismatch(MallowbeamError):
    """A change builds on another revision than the one held; the whole configuration has to be asked for."""

    error_name = "UpdateMismatch"
    code = "CONFIG_UPDATE_BASE"
    step = "apply_update"
    remedy = "none needed: the gateway asks for the whole configuration"
