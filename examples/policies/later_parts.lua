-- Quality notes can come later: answer once most parts are there and a short wait is over. The
-- caller fetches the rest with the continuation token.
function plan(request)
  return { deadline_ms = 1000, coverage = 0.6, wait_ms = 150, extra_load = 0.03, priority = 3 }
end

function decide(progress)
  if progress.coverage >= 0.9 then
    return progress.elapsed_ms >= 30
  end
  return progress.elapsed_ms >= 150
end
