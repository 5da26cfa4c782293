#!/usr/bin/env bash
# Tests a rollout from an earlier revision of this repository to the checked-out one. Real controllers on loopback are
# rolled forward, back and forward again under load, with kills, until the level of the stored state rises. Afterwards
# one controller is started with the earlier revision again; it must not become leader.
# Usage, from the root of the repository: deploy/roll-revision.sh REVISION
set -euo pipefail
rev="${1:?usage: deploy/roll-revision.sh REVISION}"
dir="$(mktemp -d)"
trap 'git worktree remove --force "$dir/tree" 2>/dev/null || true; rm -rf "$dir"' EXIT
git worktree add --detach "$dir/tree" "$rev" >/dev/null
(cd "$dir/tree" && go build -ldflags=-linkmode=external -o "$dir/harewalk" ./cmd/harewalk)
HAREWALK_EARLIER="$dir/harewalk" go test -count=1 -v -timeout 15m -run 'TestRollFromRevision$' ./cmd/harewalk
