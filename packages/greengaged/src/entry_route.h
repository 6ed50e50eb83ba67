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
	bool has_session; /* the path contains a session token */
	struct session_token session;
	char key[KEY_MAX_BYTES]; /* key of the job, empty unless entry_route_names_job(kind) */
	int64_t wait_ms;	 /* longest time to wait for the result, 0 if not in the query */
};

/*
 * Parses METHOD, PATH and QUERY of a request into ROUTE. QUERY may be NULL. wait_ms is limited to
 * WAIT_MAX_MS. Returns STATUS_NOT_FOUND, STATUS_METHOD_NOT_ALLOWED, STATUS_INVALID_SESSION,
 * STATUS_INVALID_KEY, or STATUS_INVALID_REQUEST if the query is invalid.
 */
enum status entry_route_parse(const char *method, const char *path, const char *query,
			      int64_t wait_max_ms, struct route *route, struct error *err);

/* Returns whether requests of this kind have a body. */
bool entry_route_has_body(enum route_kind kind);

/* Returns whether the path of a request of this kind contains the key of a job. */
bool entry_route_names_job(enum route_kind kind);

#endif
