#!/usr/bin/env bash
# Model-checks each specification: it must hold, and each mutant listed in its header must fail.
set -euo pipefail
cd "$(dirname "$0")"

install_checker() {
    command -v spin >/dev/null && command -v gcc >/dev/null && return
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends spin gcc libc6-dev
}

# Runs one exhaustive search with spin and prints the verdict: holds, rejected (an assertion was
# violated) or failed (the search did not complete).
search() {
    local spec=$1 options=$2 dir
    dir=$(mktemp -d)
    (
        cd "$dir"
        spin -a $options "$spec" >spin.out 2>&1 &&
            gcc -O2 -w -DSAFETY -DCOLLAPSE -o pan pan.c 2>gcc.out &&
            timeout 100 ./pan -m200000 >pan.out 2>&1
    ) || true
    if grep -q "assertion violated" "$dir/pan.out" 2>/dev/null; then
        echo rejected
    elif grep -q "errors: 0" "$dir/pan.out" 2>/dev/null &&
        ! grep -qE "not completed|max search depth" "$dir/pan.out"; then
        echo "holds ($(awk '/states, stored/ {print $1}' "$dir/pan.out") states)"
    else
        echo failed
        cat "$dir"/*.out >&2
    fi
    rm -rf "$dir"
}

install_checker
status=0
for spec in "$PWD"/*.pml; do
    name=$(basename "$spec")
    verdict=$(search "$spec" "")
    echo "$name: $verdict"
    [[ $verdict == holds* ]] || status=1
    mutants=$(sed -n 's/^ \*   \([A-Z][A-Z_]*\)  *.*/\1/p' "$spec")
    [[ -n $mutants ]] || status=1
    for mutant in $mutants; do
        verdict=$(search "$spec" "-D$mutant")
        echo "$name with $mutant: $verdict"
        [[ $verdict == rejected ]] || status=1
    done
done
exit $status
