"""Errors of the operator's configuration: each class has a stable code and the HTTP status of its response.

`where` is the path of the invalid value in the document, such as ``routes[3].timeout_ms``.
"""

from __future__ import annotations

from typing import ClassVar

from mallowbeam.errors import MallowbeamError


class ConfigurationError(MallowbeamError):
    """A configuration that is rejected as a whole."""

    error_name = "ConfigurationError"
    code = "CONFIG"
    status: ClassVar[int] = 400
    step = "parse_configuration"
    remedy = "mend the document at the path given and send it again"


class UnreadableConfigurationError(ConfigurationError):
    """The body is not JSON, or cannot be represented exactly (an infinite number)."""

    error_name = "UnreadableConfiguration"
    code = "CONFIG_UNREADABLE"
    remedy = "send the whole document as JSON in UTF-8"


class InvalidFieldError(ConfigurationError):
    """A field is missing, of the wrong type, or out of range."""

    error_name = "InvalidField"
    code = "CONFIG_FIELD"


class ConfigurationTooLargeError(ConfigurationError):
    """The body is longer than a member accepts."""

    error_name = "ConfigurationTooLarge"
    code = "CONFIG_TOO_LARGE"
    status = 413
    remedy = "remove routes that are no longer used"


class UnknownBackendError(ConfigurationError):
    """A route names a service that the document does not define."""

    error_name = "UnknownBackend"
    code = "CONFIG_UNKNOWN_BACKEND"
    status = 422


class DuplicateBackendError(ConfigurationError):
    """Two services share a name."""

    error_name = "DuplicateBackend"
    code = "CONFIG_DUPLICATE_BACKEND"
    status = 422


class DuplicateNameError(ConfigurationError):
    """A patch names an entry twice, or a name that two entries of the configuration share."""

    error_name = "DuplicateName"
    code = "CONFIG_DUPLICATE_NAME"
    status = 422
    remedy = "name each entry once; send the whole configuration where two entries share a name"


class NameNotFoundError(ConfigurationError):
    """A patch removes an entry that the configuration does not contain."""

    error_name = "NameNotFound"
    code = "CONFIG_NAME_NOT_FOUND"
    status = 422
    remedy = "read the current configuration and name what is in it"


class DuplicateRouteError(ConfigurationError):
    """Two routes share host and path prefix."""

    error_name = "SamePlace"
    code = "CONFIG_SAME_PLACE"
    status = 422


class NoWeightError(ConfigurationError):
    """The weights of a route sum to 0."""

    error_name = "NoWeight"
    code = "CONFIG_NO_WEIGHT"
    status = 422


class NoTimeoutError(ConfigurationError):
    """A route has no time-out, or a time-out of 0."""

    error_name = "NoTimeout"
    code = "CONFIG_NO_TIMEOUT"
    status = 422


class DuplicateTenantKeyError(ConfigurationError):
    """Two tenants share a key."""

    error_name = "SharedKey"
    code = "CONFIG_SHARED_KEY"
    status = 422


class UpdateMismatchError(MallowbeamError):
    """An incremental update builds on another revision than the current one; a full update is needed."""

    error_name = "UpdateMismatch"
    code = "CONFIG_UPDATE_BASE"
    step = "apply_update"
    remedy = "none needed: the gateway asks for the whole configuration"
