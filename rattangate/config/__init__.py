"""Settings: the model, the merge of base and overlay, and the checks."""
