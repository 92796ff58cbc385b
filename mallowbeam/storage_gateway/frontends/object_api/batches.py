"""DeleteObjects: many names in one call, with a result for each.  No I/O.

Source: Amazon S3 API reference, "DeleteObjects".  Object versions are not supported.
"""

from __future__ import annotations

from xml.etree.ElementTree import Element, ParseError, SubElement, tostring

from defusedxml import DefusedXmlException
from defusedxml.ElementTree import fromstring

from mallowbeam.storage_gateway.frontends.object_api.errors import ERRORS, S3Error
from mallowbeam.storage_gateway.frontends.object_api.listings import NAMESPACE, add_element

MAX_NAMES = 1000
MAX_DOCUMENT_BYTES = 2 << 20


def parse_names(body: bytes) -> tuple[list[str], bool]:
    """Parse a request document; raises `S3Error`.

    Returns:
        The names, each once and in order of first mention, and whether only errors are to be reported.
    """
    if len(body) > MAX_DOCUMENT_BYTES:
        raise S3Error("MalformedXML")
    names, quiet = dict[str, None](), False
    try:
        root = fromstring(body)
        if local_name(root) != "Delete":
            raise S3Error("MalformedXML")
        for element in root:
            if local_name(element) == "Quiet":
                quiet = (element.text or "").strip().lower() == "true"
            elif local_name(element) == "Object":
                fields = {local_name(child): child.text or "" for child in element}
                if "VersionId" in fields:
                    raise S3Error("NotImplemented")
                if not fields.get("Key"):
                    raise S3Error("MalformedXML")
                names[fields["Key"]] = None
                if len(names) > MAX_NAMES:
                    raise S3Error("MalformedXML")
    except (ParseError, DefusedXmlException):
        raise S3Error("MalformedXML") from None
    if not names:
        raise S3Error("MalformedXML")
    return list(names), quiet


def local_name(element: Element) -> str:
    """Return an element's name without its namespace."""
    return str(element.tag).rpartition("}")[2]


def result_document(results: dict[str, str | None], quiet: bool) -> bytes:
    """Return the result document.

    Args:
        results: For each name None if it was deleted, else an S3 error code.
        quiet: Whether only errors are reported.
    """
    root = Element("DeleteResult", xmlns=NAMESPACE)
    for name, code in results.items():
        if code is None:
            if not quiet:
                add_element(SubElement(root, "Deleted"), "Key", name)
            continue
        element = SubElement(root, "Error")
        add_element(element, "Key", name)
        add_element(element, "Code", code)
        add_element(element, "Message", ERRORS[code][1])
    return bytes(tostring(root, encoding="UTF-8", xml_declaration=True))
