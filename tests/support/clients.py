"""Third-party S3 clients, configured for the tests."""

from __future__ import annotations

import boto3
from botocore.config import Config


def s3_client(port: int, key: str = "key", secret: str = "12345678"):
    """Return a boto3 client with default settings except its address, path style and at most one retry."""
    config = Config(s3={"addressing_style": "path"}, retries={"max_attempts": 1}, signature_version="s3v4")
    return boto3.client(
        "s3",
        endpoint_url=f"http://127.0.0.1:{port}",
        aws_access_key_id=key,
        aws_secret_access_key=secret,
        region_name="eu-south-1",
        config=config,
    )
