"""Header names on the users' wire."""

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"  # milliseconds that the sender will wait
MODEL = "X-Model"
TOKENS = "X-Token-Counts"  # prompt tokens and most output tokens
LAST_EVENT = "Last-Event-Id"
STAMP = "X-Server-Stamp"  # signature of the upstream over its answer
TENANT = "X-Tenant"  # name of the client account
EXPECT_INSTANCE = "X-Expect-Instance"  # name of the only VM that may run it
EXPECT_VERSION = "X-Expect-Version"
PRIORITY = "X-Request-Priority"  # 0 is the most urgent, 9 the least
LOAD = "X-Server-Load"  # running, waiting and slots
NOT_RUN = "X-Not-Run"  # present if the upstream did not run the request
FAULT_AT = "At-Server"  # name of the VM that made a group stall
RETRY_AFTER = "Retry-After"
INSTANCE = "X-Instance-Id"
KEY_SCHEME = "Token "
