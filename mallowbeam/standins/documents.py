"""XML documents of S3, as a stand-in storage node sends them."""

from __future__ import annotations

from xml.etree import ElementTree

from mallowbeam.standins.store import Answer

NAMESPACE = "http://s3.amazonaws.com/doc/2006-03-01/"


def document(tag: str, **fields: object) -> bytes:
    """Build an XML document; a list value becomes several elements."""
    root = ElementTree.Element(f"{{{NAMESPACE}}}{tag}")
    for name, value in fields.items():
        for item in value if isinstance(value, list) else [value]:
            element = ElementTree.SubElement(root, f"{{{NAMESPACE}}}{name}")
            if isinstance(item, dict):
                for inner, text in item.items():
                    ElementTree.SubElement(element, f"{{{NAMESPACE}}}{inner}").text = str(text)
            else:
                element.text = str(item)
    return bytes(ElementTree.tostring(root, encoding="UTF-8", xml_declaration=True))


def error(status: int, code: str, headers: dict[str, str] | None = None) -> Answer:
    """Build an S3 error answer."""
    return status, headers or {}, f"<Error><Code>{code}</Code></Error>".encode()
