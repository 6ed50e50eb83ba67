/* Reading of a request body within limits of size and time. */
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
 * Reads the body of the request on CONN. Stores the body, allocated with malloc, at BODY and its
 * size in bytes at LENGTH. Returns STATUS_BODY_TOO_LARGE, STATUS_REQUEST_TIMEOUT, or
 * STATUS_INVALID_REQUEST if the body ends early, all with the outcome "not run".
 */
enum status entry_receive_body(struct mg_connection *conn, const struct receive_limits *limits,
			       char **body, size_t *length, struct error *err);

#endif
