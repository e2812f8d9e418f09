"""Types of the callables that seal and open messages between processes."""

from collections.abc import Callable

# Encrypts a message and adds an authentication tag.
Seal = Callable[[bytes], bytes]

# Decrypts a sealed message; returns None if it was not sealed with the same key.
Open = Callable[[bytes], bytes | None]


def identity(message: bytes) -> bytes:
    """Return the message unchanged, for channels without a key.

    Parameters
    ----------
    message : bytes
        The message.

    Returns
    -------
    bytes
        The same message.
    """
    return message
