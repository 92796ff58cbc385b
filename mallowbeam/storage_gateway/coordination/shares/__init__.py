"""Tenants' demand, weighted max-min over several bottlenecks, what each gateway gets."""
