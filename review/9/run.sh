#!/bin/bash
# Runs case 9; TROUBLE=0 leaves the losses out.
cd "$(dirname "$0")" && exec python3 case.py
