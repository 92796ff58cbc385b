"""The S3-compatible object API, one module per concern; `front` combines them."""
