"""DeleteObjects: many names in one call, and a word for each.  No I/O.

Source: Amazon S3 API reference, "DeleteObjects".  Versions of objects are not offered.
"""

from __future__ import annotations

from xml.etree.ElementTree import Element, ParseError, SubElement, tostring

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

from mallowbeam.storage_gateway.frontends.object_api.errors import ERRORS, Error
from mallowbeam.storage_gateway.frontends.object_api.listings import NAMESPACE, put

MOST = 1000  # names in one call
MOST_BYTES = 2 << 20  # of its document


def read(body: bytes) -> tuple[list[str], bool]:
    """The names, each once and in their order, and whether only errors are to be told; raises `Error`."""
    if len(body) > MOST_BYTES:
        raise Error("MalformedXML")
    names, quiet = dict[str, None](), False
    try:
        root = fromstring(body)
        if tag(root) != "Delete":
            raise Error("MalformedXML")
        for element in root:
            if tag(element) == "Quiet":
                quiet = (element.text or "").strip().lower() == "true"
            elif tag(element) == "Object":
                told = {tag(child): child.text or "" for child in element}
                if "VersionId" in told:
                    raise Error("NotImplemented")
                if not told.get("Key"):
                    raise Error("MalformedXML")
                names[told["Key"]] = None
                if len(names) > MOST:
                    raise Error("MalformedXML")
    except (ParseError, DefusedXmlException):
        raise Error("MalformedXML") from None
    if not names:
        raise Error("MalformedXML")
    return list(names), quiet


def tag(element: Element) -> str:
    """An element's name, whatever its namespace."""
    return str(element.tag).rpartition("}")[2]


def write(results: dict[str, str | None], quiet: bool) -> bytes:
    """The document that tells of each name: deleted, or the code of what went wrong."""
    root = Element("DeleteResult", xmlns=NAMESPACE)
    for name, code in results.items():
        if code is None:
            if not quiet:
                put(SubElement(root, "Deleted"), "Key", name)
            continue
        element = SubElement(root, "Error")
        put(element, "Key", name)
        put(element, "Code", code)
        put(element, "Message", ERRORS[code][1])
    return bytes(tostring(root, encoding="UTF-8", xml_declaration=True))
