-- Helpline: a householder waits on the phone. Latency first: answer as soon as nearly everything is
-- there, and spend up to 5% extra sub-requests on stragglers.
function plan(request)
  return {
    deadline_ms = 400,
    coverage = 0.95,
    wait_ms = 120,
    extra_load = 0.05,
    hedge = true,
    hedge_quantile = 0.95,
    priority = 9,
  }
end
