# Operators' settings that switch interactive sessions on (docs/sessions.md):
#
#   harewalk serve --config settings.json --operator deploy/sessions.hcl

sessions {
  warn_s    = 120 # from the warning to the save
  save_s    = 60  # that a save may take
  silent_s  = 30  # an agent that isn't heard for so long is in doubt, not idle
  per_user  = 3
  per_team  = 40
  keep_days = 30 # that a reclaimed session is kept

  policy "default" {
    idle     = "input_s > 900 && attached_s > 300 && cpu < 0.1 && gpu < 0.1"
    limit_s  = 7200 # reclaimed after so long in any case
    wanted_s = 300  # and after so long if somebody waits for what it holds

    # Rehearsal models wait on Friday evenings.
    during "rehearsals" {
      days     = "Fri"
      from     = "18:00"
      to       = "23:00"
      zone     = "Asia/Tokyo"
      limit_s  = 1800
      wanted_s = 0
    }
  }
}
