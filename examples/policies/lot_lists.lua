-- Lot lists: dispatchers pull full lists for a job such as a school roof. A lost lot costs a week,
-- so nothing may be missing; a little more extra load is allowed than for street batches.
function plan(request)
  local deadline = 4000
  if request.class == "interactive" then
    deadline = 1500
  end
  return { deadline_ms = deadline, coverage = 1.0, extra_load = 0.08, hedge = true, priority = 5 }
end
