"""Names of the platform's HTTP headers."""

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"  # milliseconds that the sender waits for the answer
MODEL = "X-Model"
TOKEN_COUNTS = "X-Token-Counts"  # prompt tokens, maximum output tokens
# Parts of the prompt in order, each as its hexadecimal id and its tokens. The
# last part belongs to the request or its session; requests share the others.
PROMPT_PREFIX = "X-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
STAMP = "X-Server-Stamp"  # the upstream's signature over its answer
TENANT = "X-Tenant"  # name of the client account
EXPECT_INSTANCE = "X-Expect-Instance"  # the only VM that may run the request
EXPECT_VERSION = "X-Expect-Version"
PRIORITY = "X-Request-Priority"  # 0 is the most urgent, 9 the least
LOAD = "X-Server-Load"  # counts of running and waiting requests and of slots
NOT_RUN = "X-Not-Run"  # present if the upstream did not run the request
FAULT_AT = "At-Server"  # name of the VM that caused a group to stall
# Seconds: to callers, when to come back; of an upstream that answers 503, how
# long it wants no requests from this daemon.
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"  # "1" if the upstream leaves
INSTANCE = "X-Instance-Id"
COLD = "X-Cold-Ms"  # milliseconds for which the upstream stays cold
KEY_SCHEME = "Token "
