/* Errors: a function that can fail returns an enum status and may fill in a struct error. */
#ifndef GG_STATUS_H
#define GG_STATUS_H

#include <stdbool.h>
#include <stddef.h>

enum {
	ERROR_MESSAGE_BYTES = 240
};

/*
 * The name of a status appears in responses to clients and never changes. Columns: constant, name,
 * HTTP status code of a response with this status.
 */
#define STATUS_LIST(X)                                                                             \
	X(OK, "ok", 200)                                                                           \
	X(INVALID_REQUEST, "invalid_request", 400)                                                 \
	X(INVALID_JSON, "invalid_json", 400)                                                       \
	X(INVALID_KEY, "invalid_key", 400)                                                         \
	X(INVALID_SESSION, "invalid_session", 400)                                                 \
	X(INVALID_CONFIG, "invalid_config", 400)                                                   \
	X(INVALID_SETTINGS, "invalid_settings", 400)                                               \
	X(INVALID_MESSAGE, "invalid_message", 400)                                                 \
	X(NOT_FOUND, "not_found", 404)                                                             \
	X(METHOD_NOT_ALLOWED, "method_not_allowed", 405)                                           \
	X(KEY_CONFLICT, "key_conflict", 409)                                                       \
	X(VERSION_CONFLICT, "version_conflict", 409)                                               \
	X(SESSION_GONE, "session_gone", 410)                                                       \
	X(OWNER_LOST, "owner_lost", 410)                                                           \
	X(KEY_EXPIRED, "key_expired", 410)                                                         \
	X(ANSWER_EXPIRED, "answer_expired", 410)                                                   \
	X(REQUEST_TIMEOUT, "request_timeout", 408)                                                 \
	X(BODY_TOO_LARGE, "body_too_large", 413)                                                   \
	X(TOO_MANY_TASKS, "too_many_tasks", 413)                                                   \
	X(HEADER_TOO_LARGE, "header_too_large", 431)                                               \
	X(TOO_MANY_REQUESTS, "too_many_requests", 429)                                             \
	X(QUEUE_FULL, "queue_full", 429)                                                           \
	X(QUOTA_EXCEEDED, "quota_exceeded", 429)                                                   \
	X(NO_CAPACITY_MATCH, "no_capacity_match", 422)                                             \
	X(DEADLINE_UNREACHABLE, "deadline_unreachable", 422)                                       \
	X(DEADLINE_PASSED, "deadline_passed", 504)                                                 \
	X(DRAINING, "draining", 503)                                                               \
	X(OWNER_UNREACHABLE, "owner_unreachable", 503)                                             \
	X(LOG_UNAVAILABLE, "log_unavailable", 503)                                                 \
	X(LOG_TRUNCATED, "log_truncated", 503)                                                     \
	X(TASK_FAILED, "task_failed", 502)                                                         \
	X(AGENT_LOST, "agent_lost", 502)                                                           \
	X(SERVER_UNREACHABLE, "server_unreachable", 502)                                           \
	X(SERVER_REFUSED, "server_refused", 503)                                                   \
	X(RESULT_TOO_LARGE, "result_too_large", 502)                                               \
	X(INVALID_RESULT, "invalid_result", 502)                                                   \
	X(START_LATE, "start_late", 503)                                                           \
	X(STALE_CONFIG, "stale_config", 503)                                                       \
	X(NO_SLOT, "no_slot", 503)                                                                 \
	X(DUPLICATE_START, "duplicate_start", 503)                                                 \
	X(SERVER_LEAVING, "server_leaving", 503)                                                   \
	X(CANCELLED, "cancelled", 409)                                                             \
	X(TIMEOUT, "timeout", 504)                                                                 \
	X(NETWORK, "network", 502)                                                                 \
	X(RESOURCE, "resource", 500)                                                               \
	X(INTERNAL, "internal", 500)

enum status {
#define STATUS_ENUM(constant, name, http) STATUS_##constant,
	STATUS_LIST(STATUS_ENUM)
#undef STATUS_ENUM
	STATUS_COUNT
};

/* Whether the work that a refused or failed call asked for may have been done. */
enum outcome {
	OUTCOME_NOT_RUN, /* it certainly did not run */
	OUTCOME_UNKNOWN, /* it may have run */
};

/* Status, outcome and message of a failed call. */
struct error {
	enum status status;
	enum outcome outcome;
	char message[ERROR_MESSAGE_BYTES];
};

/* Returns the name of STATUS, or "internal" if the value is out of range. */
const char *status_name(enum status status);

/* Returns the status called NAME, or STATUS_INTERNAL if there is none. */
enum status status_from_name(const char *name);

/* Returns the HTTP status code of a response with STATUS, or 500 if the value is out of range. */
int status_http_code(enum status status);

/* Returns "not_run" or "unknown". */
const char *outcome_name(enum outcome outcome);

/*
 * Fills ERR, which may be NULL, with STATUS, OUTCOME_NOT_RUN and a message formatted as by printf.
 * A message that does not fit is truncated. Returns STATUS.
 */
enum status error_set(struct error *err, enum status status, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Does the same as error_set, but with OUTCOME_UNKNOWN. */
enum status error_set_unknown(struct error *err, enum status status, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
