"""Authentication on the operators' port: bearer tokens, and the console's cookie and forms."""

import hmac
from base64 import b64decode, b64encode
from collections.abc import Iterable
from hashlib import sha256
from http.cookies import CookieError, SimpleCookie
from typing import NamedTuple
from urllib.parse import urlsplit

from kumquatlift.settings import OperatorToken
from kumquatlift.transport.wsgi import ApiRequest

COOKIE = "kumquatlift-token"
_FORM_PURPOSE = b"kumquatlift console form"


class Operator(NamedTuple):
    """An authenticated operator.

    Args:
        name: Name from the settings.
        form_key: Key that the console puts into its forms, derived from the token. It protects
            against cross-site request forgery.
    """

    name: str
    form_key: str


class OperatorAccess:
    """Checks tokens against their SHA-256 checksums, in constant time.

    Args:
        tokens: Names of operators and checksums of their tokens, from the settings.
    """

    def __init__(self, *, tokens: Iterable[OperatorToken]) -> None:
        self._tokens = tuple(tokens)

    def by_token(self, token: str) -> Operator | None:
        """Return the operator of a token, or None when it is not valid."""
        given = sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
        found: Operator | None = None
        # Every token is compared, so that the duration does not reveal which one matches.
        for known in self._tokens:
            if hmac.compare_digest(given, known.sha256):
                found = Operator(known.name, _form_key(token))
        return found

    def by_bearer(self, req: ApiRequest) -> Operator | None:
        """Return the operator of the bearer token in a request, or None without a valid one."""
        scheme, _, token = req.headers.get("authorization", "").partition(" ")
        return self.by_token(token.strip()) if scheme.lower() == "bearer" else None

    def by_cookie(self, req: ApiRequest) -> Operator | None:
        """Return the operator of the token in a request's cookie, or None without a valid one."""
        try:
            morsel = SimpleCookie(req.headers.get("cookie", "")).get(COOKIE)
        except CookieError:
            return None
        if morsel is None:
            return None
        try:
            token = b64decode(morsel.value.encode(), altchars=b"-_", validate=True)
        except ValueError:
            return None
        return self.by_token(token.decode("utf-8", "surrogateescape"))


def is_own_form(operator: Operator, form_key: str, req: ApiRequest) -> bool:
    """Return whether a POST request was sent by a form of this console for this operator."""
    is_valid_key = hmac.compare_digest(form_key.encode(), operator.form_key.encode())
    return is_valid_key and is_same_origin(req)


def is_same_origin(req: ApiRequest) -> bool:
    """Return whether the ``Origin`` header of a request, if there is one, names this site."""
    origin = req.headers.get("origin")
    return origin is None or urlsplit(origin).netloc == req.headers.get("host", "")


def cookie_header(token: str) -> tuple[str, str]:
    """Return the header that stores a token in the browser; an empty token deletes the cookie."""
    age = "; Max-Age=0" if not token else ""
    # Base64 keeps special characters of a token from terminating the cookie or the header.
    value = b64encode(token.encode("utf-8", "surrogateescape"), altchars=b"-_").decode()
    return ("Set-Cookie", f"{COOKIE}={value}; Path=/console; HttpOnly; SameSite=Strict{age}")


def _form_key(token: str) -> str:
    return hmac.new(token.encode("utf-8", "surrogateescape"), _FORM_PURPOSE, sha256).hexdigest()
