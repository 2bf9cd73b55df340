"""Decodes the configurations that operators send."""

import abc

from hemlockkeel._internal.routes import table


class ConfigurationCodec(abc.ABC):
    """Decodes configurations in the format of a platform."""

    @abc.abstractmethod
    def decode(self, body: bytes) -> table.Configuration:
        """Return a validated configuration.

        :raises BadDeclarationError: when the body is invalid; the message
            names the first error.
        """
