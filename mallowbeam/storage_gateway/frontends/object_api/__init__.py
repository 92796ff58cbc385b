"""The object API by S3's conventions, a module for each concern; `front` joins them."""
