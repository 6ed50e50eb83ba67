#include <glib.h>
#include <string.h>

#include "entry_route.h"

#define TOKEN "0123456789abcdef0123456789abcdef-00000000000000ff"

enum {
	WAIT_MAX_MS = 5000
};

static enum status parse(const char *method, const char *path, const char *query,
			 struct route *route, struct error *err)
{
	return entry_route_parse(method, path, query, WAIT_MAX_MS, route, err);
}

static const struct {
	const char *method;
	const char *path;
	enum route_kind kind;
} routes[] = {
	{"POST", "/v1/sessions", ROUTE_SESSION_OPEN},
	{"DELETE", "/v1/sessions/" TOKEN, ROUTE_SESSION_CLOSE},
	{"PUT", "/v1/sessions/" TOKEN "/jobs/k", ROUTE_JOB_SUBMIT},
	{"GET", "/v1/sessions/" TOKEN "/jobs/k", ROUTE_JOB_GET},
	{"DELETE", "/v1/sessions/" TOKEN "/jobs/k", ROUTE_JOB_CANCEL},
	{"PUT", "/v1/jobs/k", ROUTE_JOB_SUBMIT},
	{"GET", "/v1/jobs/k", ROUTE_JOB_GET},
	{"DELETE", "/v1/jobs/k", ROUTE_JOB_CANCEL},
	{"GET", "/v1/config", ROUTE_CONFIG_GET},
	{"PATCH", "/v1/config", ROUTE_CONFIG_PATCH},
	{"GET", "/v1/config/history", ROUTE_CONFIG_HISTORY},
	{"GET", "/v1/members", ROUTE_MEMBERS},
	{"GET", "/v1/report", ROUTE_REPORT},
	{"GET", "/healthz", ROUTE_HEALTHZ},
	{"GET", "/readyz", ROUTE_READYZ},
	{"GET", "/metrics", ROUTE_METRICS},
};

/* Every method and path of the API must be parsed as its route, or the request gets the wrong
 * handler. */
static void test_every_route(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		struct route route;
		struct error err;

		g_assert_cmpint(parse(routes[i].method, routes[i].path, NULL, &route, &err), ==,
				STATUS_OK);
		g_assert_cmpint(route.kind, ==, routes[i].kind);
		g_assert_cmpint(route.has_session, ==, strstr(routes[i].path, TOKEN) != NULL);
	}
}

/* The session token identifies the owner, so an error in the incarnation or serial would send the
 * request to the wrong entry. */
static void test_session_and_key(void)
{
	struct route route;
	char text[SESSION_TOKEN_BYTES];

	g_assert_cmpint(parse("PUT", "/v1/sessions/" TOKEN "/jobs/a-b_c.d~e:1", "wait_ms=120",
			      &route, NULL),
			==, STATUS_OK);
	g_assert_cmpstr(session_format_token(&route.session, text), ==, TOKEN);
	g_assert_cmpstr(route.key, ==, "a-b_c.d~e:1");
	g_assert_cmpint(route.wait_ms, ==, 120);
}

/* wait_ms must be limited to the maximum in the settings, or a client could occupy an HTTP thread
 * for longer than the settings allow. */
static void test_wait_is_capped(void)
{
	struct route route;

	g_assert_cmpint(parse("GET", "/v1/jobs/k", "wait_ms=5001", &route, NULL), ==, STATUS_OK);
	g_assert_cmpint(route.wait_ms, ==, WAIT_MAX_MS);
	g_assert_cmpint(parse("GET", "/v1/jobs/k", "wait_ms=99999999999999999999", &route, NULL),
			==, STATUS_OK);
	g_assert_cmpint(route.wait_ms, ==, WAIT_MAX_MS);
}

static const struct {
	const char *method;
	const char *path;
	const char *query;
	enum status status;
} refusals[] = {
	{"GET", "/", NULL, STATUS_NOT_FOUND},
	{"GET", "/v1/sessions/" TOKEN "/other/k", NULL, STATUS_NOT_FOUND},
	{"POST", "/v1/config", NULL, STATUS_METHOD_NOT_ALLOWED},
	{"PUT", "/v1/sessions/" TOKEN, NULL, STATUS_METHOD_NOT_ALLOWED},
	{"PUT", "/v1/sessions/abc/jobs/k", NULL, STATUS_INVALID_SESSION},
	{"PUT", "/v1/sessions/" TOKEN "0/jobs/k", NULL, STATUS_INVALID_SESSION},
	{"PUT", "/v1/sessions/" TOKEN "/jobs/", NULL, STATUS_INVALID_KEY},
	{"PUT", "/v1/jobs/a/b", NULL, STATUS_INVALID_KEY},
	{"PUT", "/v1/jobs/a\"b", NULL, STATUS_INVALID_KEY},
	{"PUT", "/v1/jobs/a%20b", NULL, STATUS_INVALID_KEY},
	{"GET", "/v1/jobs/k", "wait_ms=", STATUS_INVALID_REQUEST},
	{"GET", "/v1/jobs/k", "wait_ms=-1", STATUS_INVALID_REQUEST},
	{"GET", "/v1/jobs/k", "wait_ms=1&x=2", STATUS_INVALID_REQUEST},
	{"GET", "/v1/jobs/k", "wait=1", STATUS_INVALID_REQUEST},
};

/* An invalid request must be refused with the matching status, not interpreted as another one. */
static void test_refusals(void)
{
	char path[300] = "/v1/jobs/";
	struct route route;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++)
		g_assert_cmpint(parse(refusals[i].method, refusals[i].path, refusals[i].query,
				      &route, &err),
				==, refusals[i].status);
	memset(path + strlen(path), 'k', KEY_MAX_BYTES);
	g_assert_cmpint(parse("GET", path, NULL, &route, &err), ==, STATUS_INVALID_KEY);
	path[strlen(path) - 1] = '\0';
	g_assert_cmpint(parse("GET", path, NULL, &route, &err), ==, STATUS_OK);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry_route/all", test_every_route);
	g_test_add_func("/entry_route/session_and_key", test_session_and_key);
	g_test_add_func("/entry_route/wait", test_wait_is_capped);
	g_test_add_func("/entry_route/refusals", test_refusals);
	return g_test_run();
}
