/* Receipt of a request's body within its limits of size and time. */
#ifndef GG_ENTRY_RECEIVE_H
#define GG_ENTRY_RECEIVE_H

#include <civetweb.h>
#include <stddef.h>
#include <stdint.h>

#include "status.h"

struct receive_limits {
	size_t max_bytes;
	int64_t timeout_ms;
};

/*
 * Reads the body of the request on CONN and stores it at BODY, allocated with malloc, and its size
 * at LENGTH. STATUS_BODY_TOO_LARGE; STATUS_REQUEST_TIMEOUT; STATUS_INVALID_REQUEST when the body
 * ends early. All "not run".
 */
enum status entry_receive_body(struct mg_connection *conn, const struct receive_limits *limits,
			       char **body, size_t *length, struct error *err);

#endif
