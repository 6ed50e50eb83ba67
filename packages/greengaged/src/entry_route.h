/* Routing of HTTP requests by method and path. */
#ifndef GG_ENTRY_ROUTE_H
#define GG_ENTRY_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "session.h"
#include "status.h"

enum route_kind {
	ROUTE_SESSION_OPEN,
	ROUTE_SESSION_CLOSE,
	ROUTE_JOB_SUBMIT,
	ROUTE_JOB_GET,
	ROUTE_JOB_CANCEL,
	ROUTE_CONFIG_GET,
	ROUTE_CONFIG_PATCH,
	ROUTE_CONFIG_HISTORY,
	ROUTE_MEMBERS,
	ROUTE_REPORT,
	ROUTE_HEALTHZ,
	ROUTE_READYZ,
	ROUTE_METRICS,
};

struct route {
	enum route_kind kind;
	bool by_session; /* a job named by session and key; otherwise by key alone */
	struct session_token session;
	char key[KEY_MAX_BYTES];
	int64_t wait_ms;
};

/*
 * Fills ROUTE from the request line. QUERY may be NULL; WAIT_MAX_MS caps wait_ms.
 * STATUS_NOT_FOUND, STATUS_METHOD_NOT_ALLOWED, STATUS_INVALID_SESSION, STATUS_INVALID_KEY,
 * STATUS_INVALID_REQUEST (query).
 */
enum status entry_route_parse(const char *method, const char *path, const char *query,
			      int64_t wait_max_ms, struct route *route, struct error *err);

/* Returns whether a request of this kind carries a body. */
bool entry_route_has_body(enum route_kind kind);

#endif
