-- Reprints and reservations: the work must not run twice. Such a request needs an Idempotency-Key;
-- it is claimed in the ledger first, never hedged, and retried only after a leaf refused it.
function plan(request)
  return { deadline_ms = 10000, coverage = 1.0, repeatable = false, hedge = false, priority = 7 }
end
