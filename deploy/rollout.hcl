# How new releases take effect (docs/rollout.md). Use the same file on all controllers, once all run v0.21.0 or later.
rollout {
  # "auto": the level of the stored state rises once all controllers have announced the new level and have been
  # healthy for the soak time. "operator": the level rises only on `harewalk rollout finish`.
  finish = "operator"
  soak_s = 600
}
