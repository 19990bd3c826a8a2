-- Street batches: field officers plan a door-knock route from the full list. Coverage first: wait
-- for everything; the continuation token fetches what is missing at the deadline.
function plan(request)
  return { deadline_ms = 5000, coverage = 1.0, extra_load = 0.05, hedge = true, priority = 4 }
end
