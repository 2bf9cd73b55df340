"""How configurations are read from what operators send."""

import abc

from hemlockkeel._internal.routes import table


class ConfigurationCodec(abc.ABC):
    """Reads a deployment's form of a configuration."""

    @abc.abstractmethod
    def decode(self, body: bytes) -> table.Configuration:
        """Return a checked configuration.

        :raises BadDeclarationError: when it is invalid; the message names
            the first fault.
        """
