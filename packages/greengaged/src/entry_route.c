#include "entry_route.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum path_kind {
	PATH_SESSIONS,
	PATH_SESSION,
	PATH_JOB,
	PATH_CONFIG,
	PATH_CONFIG_HISTORY,
	PATH_MEMBERS,
	PATH_REPORT,
	PATH_HEALTHZ,
	PATH_READYZ,
	PATH_METRICS,
};

static const struct {
	const char *text;
	enum path_kind kind;
} fixed_paths[] = {
	{"/v1/sessions", PATH_SESSIONS},
	{"/v1/config", PATH_CONFIG},
	{"/v1/config/history", PATH_CONFIG_HISTORY},
	{"/v1/members", PATH_MEMBERS},
	{"/v1/report", PATH_REPORT},
	{"/healthz", PATH_HEALTHZ},
	{"/readyz", PATH_READYZ},
	{"/metrics", PATH_METRICS},
};

static const struct {
	enum path_kind path;
	const char *method;
	enum route_kind route;
} methods[] = {
	{PATH_SESSIONS, "POST", ROUTE_SESSION_OPEN},
	{PATH_SESSION, "DELETE", ROUTE_SESSION_CLOSE},
	{PATH_JOB, "PUT", ROUTE_JOB_SUBMIT},
	{PATH_JOB, "GET", ROUTE_JOB_GET},
	{PATH_JOB, "DELETE", ROUTE_JOB_CANCEL},
	{PATH_CONFIG, "GET", ROUTE_CONFIG_GET},
	{PATH_CONFIG, "PATCH", ROUTE_CONFIG_PATCH},
	{PATH_CONFIG_HISTORY, "GET", ROUTE_CONFIG_HISTORY},
	{PATH_MEMBERS, "GET", ROUTE_MEMBERS},
	{PATH_REPORT, "GET", ROUTE_REPORT},
	{PATH_HEALTHZ, "GET", ROUTE_HEALTHZ},
	{PATH_READYZ, "GET", ROUTE_READYZ},
	{PATH_METRICS, "GET", ROUTE_METRICS},
};

static bool is_key_character(char c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.' || c == '~' || c == ':';
}

static enum status parse_key(const char *text, struct route *route, struct error *err)
{
	size_t length = strlen(text);

	if (length == 0 || length >= sizeof(route->key))
		return error_set(err, STATUS_INVALID_KEY, "key: accepted: 1 to %d characters",
				 KEY_MAX_BYTES - 1);
	for (size_t i = 0; i < length; i++) {
		if (!is_key_character(text[i]))
			return error_set(err, STATUS_INVALID_KEY,
					 "key: accepted: letters, digits and - _ . ~ :");
	}
	memcpy(route->key, text, length + 1);
	return STATUS_OK;
}

/* Parses the path after "/v1/sessions/": a token, optionally followed by "/jobs/{key}". */
static enum status parse_session_path(const char *session_path, struct route *route,
				      enum path_kind *kind, struct error *err)
{
	const char *slash = strchr(session_path, '/');
	char token[SESSION_TOKEN_BYTES];
	size_t length = slash ? (size_t)(slash - session_path) : strlen(session_path);

	if (length >= sizeof(token))
		return error_set(err, STATUS_INVALID_SESSION,
				 "session token too long: %zu characters", length);
	memcpy(token, session_path, length);
	token[length] = '\0';
	if (session_parse_token(token, &route->session, err) != STATUS_OK)
		return STATUS_INVALID_SESSION;
	route->has_session = true;
	*kind = PATH_SESSION;
	if (!slash)
		return STATUS_OK;
	if (!g_str_has_prefix(slash, "/jobs/"))
		return error_set(err, STATUS_NOT_FOUND, "no such path");
	*kind = PATH_JOB;
	return parse_key(slash + strlen("/jobs/"), route, err);
}

static enum status parse_path(const char *path, struct route *route, enum path_kind *kind,
			      struct error *err)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fixed_paths); i++) {
		if (strcmp(path, fixed_paths[i].text) == 0) {
			*kind = fixed_paths[i].kind;
			return STATUS_OK;
		}
	}
	if (g_str_has_prefix(path, "/v1/sessions/"))
		return parse_session_path(path + strlen("/v1/sessions/"), route, kind, err);
	if (g_str_has_prefix(path, "/v1/jobs/")) {
		*kind = PATH_JOB;
		return parse_key(path + strlen("/v1/jobs/"), route, err);
	}
	return error_set(err, STATUS_NOT_FOUND, "no such path");
}

static enum status parse_query(const char *query, int64_t wait_max_ms, struct route *route,
			       struct error *err)
{
	char *end;
	long long value;

	if (!query || query[0] == '\0')
		return STATUS_OK;
	if (!g_str_has_prefix(query, "wait_ms=") || !g_ascii_isdigit(query[strlen("wait_ms=")]))
		return error_set(err, STATUS_INVALID_REQUEST, "query: accepted: wait_ms=NUMBER");
	errno = 0;
	value = strtoll(query + strlen("wait_ms="), &end, 10);
	if (*end != '\0')
		return error_set(err, STATUS_INVALID_REQUEST, "query: accepted: wait_ms=NUMBER");
	route->wait_ms = errno == ERANGE || value > wait_max_ms ? wait_max_ms : value;
	return STATUS_OK;
}

enum status entry_route_parse(const char *method, const char *path, const char *query,
			      int64_t wait_max_ms, struct route *route, struct error *err)
{
	enum path_kind kind = PATH_HEALTHZ;
	enum status status;

	memset(route, 0, sizeof(*route));
	status = parse_path(path, route, &kind, err);
	if (status != STATUS_OK)
		return status;
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (methods[i].path == kind && strcmp(methods[i].method, method) == 0) {
			route->kind = methods[i].route;
			return parse_query(query, wait_max_ms, route, err);
		}
	}
	return error_set(err, STATUS_METHOD_NOT_ALLOWED, "method not allowed on this path");
}

bool entry_route_has_body(enum route_kind kind)
{
	return kind == ROUTE_JOB_SUBMIT || kind == ROUTE_CONFIG_PATCH;
}

bool entry_route_names_job(enum route_kind kind)
{
	return kind == ROUTE_JOB_SUBMIT || kind == ROUTE_JOB_GET || kind == ROUTE_JOB_CANCEL;
}
