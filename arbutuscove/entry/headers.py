"""Names and values of the documented HTTP headers."""

RANK = "Arbutuscove-Rank"
DEADLINE = "Arbutuscove-Deadline"
REPEAT = "Arbutuscove-Repeat"
IDEMPOTENCY_KEY = "Idempotency-Key"
RESUME = "Arbutuscove-Resume"
LAST_EVENT_ID = "Last-Event-ID"
REQUEST_ID = "Arbutuscove-Request-Id"
RUN = "Arbutuscove-Run"
REPLAYED = "Arbutuscove-Replayed"
RETRY_AFTER = "Retry-After"
NEVER = "never"  # value of REPEAT for non-repeatable requests
