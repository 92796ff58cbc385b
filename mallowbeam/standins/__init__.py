"""Outside systems as this project plays them: scripted, with faults, from their published specifications."""
