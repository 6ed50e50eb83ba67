#include <civetweb.h>
#include <gio/gio.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <string.h>

/* HTTP server that simulates an entry and records the requests of greengagectl. */
static struct {
	pthread_mutex_t lock;
	struct mg_context *server;
	char *url;
	GString *requests; /* a line "METHOD path body" for each request */
	int version;	   /* configuration version */
	int conflicts;	   /* number of patches left to refuse with a version conflict */
	bool drop_submit;  /* read a submitted job, then close the connection without a response */
} entry = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int respond(struct mg_connection *conn, int code, const char *body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d x\r\nContent-Type: application/json\r\nConnection: close\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  code, strlen(body), body);
	return code;
}

static int respond_config(struct mg_connection *conn, const char *method)
{
	char body[200];

	if (strcmp(method, "PATCH") == 0) {
		entry.version++;
		if (entry.conflicts-- > 0)
			return respond(conn, 409,
				       "{\"error\":{\"type\":\"version_conflict\",\"outcome\":"
				       "\"not_run\",\"message\":\"m\"}}");
	}
	g_snprintf(body, sizeof(body),
		   "{\"version\":%d,\"id\":\"i\",\"document\":{\"drain\":{\"hosts\":[\"h%d\"]}}}",
		   entry.version, entry.version);
	return respond(conn, 200, body);
}

static int respond_job(struct mg_connection *conn, const char *method, const char *path)
{
	if (strstr(path, "/gone"))
		return respond(conn, 410,
			       "{\"error\":{\"type\":\"owner_lost\",\"outcome\":\"unknown\","
			       "\"message\":\"m\"}}");
	if (strstr(path, "/bad"))
		return respond(conn, 200,
			       "{\"job\":\"bad\",\"state\":\"failed\",\"error\":{\"type\":"
			       "\"task_failed\",\"outcome\":\"unknown\",\"message\":\"m\"}}");
	if (strcmp(method, "PUT") == 0)
		return entry.drop_submit ? 200 : respond(conn, 202, "{\"state\":\"queued\"}");
	return respond(conn, 200, "{\"job\":\"k\",\"state\":\"done\",\"results\":[7]}");
}

static int handle_request(struct mg_connection *conn, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char body[1000];
	int length = mg_read(conn, body, sizeof(body));
	int code;

	pthread_mutex_lock(&entry.lock);
	g_string_append_printf(entry.requests, "%s %s %.*s\n", info->request_method,
			       info->local_uri, MAX(length, 0), body);
	if (strcmp(info->local_uri, "/v1/sessions") == 0)
		code = respond(conn, 201, "{\"session\":\"s1\",\"expires_ms\":1}");
	else if (strcmp(info->local_uri, "/v1/config") == 0)
		code = respond_config(conn, info->request_method);
	else
		code = respond_job(conn, info->request_method, info->local_uri);
	pthread_mutex_unlock(&entry.lock);
	return code;
}

/* Runs greengagectl with ARGS, separated by spaces, and INPUT as standard input. Clears the
 * recorded requests. Returns the exit code. */
static int run_greengagectl(const char *args, const char *input, char **output, char **errors)
{
	char *line =
		g_strdup_printf("%s/packages/greengagectl/greengagectl %s", GG_BUILD_DIR, args);
	char **argv = g_strsplit(line, " ", -1);
	GSubprocessLauncher *launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDIN_PIPE |
								  G_SUBPROCESS_FLAGS_STDOUT_PIPE |
								  G_SUBPROCESS_FLAGS_STDERR_PIPE);
	GSubprocess *process;
	int code;

	pthread_mutex_lock(&entry.lock);
	g_string_truncate(entry.requests, 0);
	pthread_mutex_unlock(&entry.lock);
	g_subprocess_launcher_setenv(launcher, "GREENGAGE_ENTRY", entry.url, TRUE);
	g_subprocess_launcher_setenv(launcher, "http_proxy", "http://127.0.0.1:1", TRUE);
	process = g_subprocess_launcher_spawnv(launcher, (const char *const *)argv, NULL);
	g_assert_nonnull(process);
	g_assert_true(g_subprocess_communicate_utf8(process, input, NULL, output, errors, NULL));
	code = g_subprocess_get_exit_status(process);
	g_object_unref(process);
	g_object_unref(launcher);
	g_strfreev(argv);
	g_free(line);
	return code;
}

static void assert_exit_code(int code, const char *args, const char *input)
{
	char *output;
	char *errors;
	int actual = run_greengagectl(args, input, &output, &errors);

	if (actual != code)
		g_error("%s: exit code %d, expected %d: %s%s", args, actual, code, output, errors);
	g_free(output);
	g_free(errors);
}

static char *copy_requests(void)
{
	char *requests;

	pthread_mutex_lock(&entry.lock);
	requests = g_strdup(entry.requests->str);
	pthread_mutex_unlock(&entry.lock);
	return requests;
}

static void assert_requests(const char *expected)
{
	char *requests = copy_requests();

	g_assert_cmpstr(requests, ==, expected);
	g_free(requests);
}

static void set_drop_submit(bool drop)
{
	pthread_mutex_lock(&entry.lock);
	entry.drop_submit = drop;
	pthread_mutex_unlock(&entry.lock);
}

static void set_conflicts(int conflicts)
{
	pthread_mutex_lock(&entry.lock);
	entry.conflicts = conflicts;
	pthread_mutex_unlock(&entry.lock);
}

static int get_conflicts(void)
{
	int conflicts;

	pthread_mutex_lock(&entry.lock);
	conflicts = entry.conflicts;
	pthread_mutex_unlock(&entry.lock);
	return conflicts;
}

/* Guards against a client that cannot resubmit a job because its session token and key were not
 * printed, and against output that a program cannot parse because it contains other text. */
static void test_submit(void)
{
	char *output;
	char *errors;

	g_assert_cmpint(
		run_greengagectl("submit --key k --json", "{\"class\":\"c\"}", &output, &errors),
		==, 0);
	g_assert_cmpstr(errors, ==, "session: s1\nkey: k\n");
	g_assert_cmpstr(output, ==, "{\"job\":\"k\",\"state\":\"done\",\"results\":[7]}\n");
	assert_requests("POST /v1/sessions \n"
			"PUT /v1/sessions/s1/jobs/k {\"class\":\"c\"}\n"
			"GET /v1/sessions/s1/jobs/k \n");
	g_free(output);
	g_free(errors);
}

/* Guards against wrong exit codes. Scripts decide by the exit code whether to resubmit a job. */
static void test_exit_codes(void)
{
	assert_exit_code(4, "submit --session s1 --key bad", "{}");
	assert_exit_code(1, "submit --session s1 --key gone", "{}");
	assert_exit_code(1, "submit --session s1 --key k --wait-ms 0", "{}");
	assert_exit_code(2, "submit --session s1 --key k", "{");
	assert_exit_code(2, "submit --session s1 --claim", "{}");
	assert_exit_code(0, "result k --session s1", "");
	assert_exit_code(0, "config get", "");
}

/* Guards against a job that runs twice because a request is sent to another entry although the
 * first entry may have accepted it. A request that was not sent must reach the next entry. */
static void test_failover(void)
{
	char *args = g_strdup_printf("--entry http://127.0.0.1:1 --entry %s result k", entry.url);

	assert_exit_code(0, args, "");
	g_free(args);
	set_drop_submit(true);
	args = g_strdup_printf("--entry %s --entry %s submit --session s1 --key k", entry.url,
			       entry.url);
	assert_exit_code(1, args, "{}");
	assert_requests("PUT /v1/sessions/s1/jobs/k {}\n");
	set_drop_submit(false);
	g_free(args);
}

/* Guards against a drain that undoes another operator's drains: after a version conflict, the patch
 * must be built again from the newer version. The attempts are limited, and no patch is sent if it
 * would change nothing. */
static void test_drain_retries(void)
{
	char *expected = g_strdup_printf(
		"GET /v1/config \nPATCH /v1/config "
		"{\"base\":1,\"patch\":{\"drain\":{\"hosts\":[\"h1\",\"x\"]}},\"author\":\"a\"}\n"
		"GET /v1/config \nPATCH /v1/config "
		"{\"base\":2,\"patch\":{\"drain\":{\"hosts\":[\"h2\",\"x\"]}},\"author\":\"a\"}"
		"\n");
	char *requests;

	pthread_mutex_lock(&entry.lock);
	entry.version = 1;
	pthread_mutex_unlock(&entry.lock);
	set_conflicts(1);
	assert_exit_code(0, "drain --host x --author a", "");
	assert_requests(expected);
	set_conflicts(100);
	assert_exit_code(
		1,
		"undrain --host h1 --host h2 --host h3 --host h4 --host h5 --host h6 --host "
		"h7 --host h8",
		"");
	g_assert_cmpint(get_conflicts(), ==, 95);
	set_conflicts(0);
	assert_exit_code(0, "undrain --host x", "");
	requests = copy_requests();
	g_assert_null(strstr(requests, "PATCH"));
	g_free(requests);
	g_free(expected);
}

int main(int argc, char **argv)
{
	const char *options[] = {"listening_ports", "127.0.0.1:0", "num_threads", "4", NULL};
	struct mg_server_port port;
	int code;

	g_test_init(&argc, &argv, NULL);
	entry.requests = g_string_new(NULL);
	entry.server = mg_start(NULL, NULL, options);
	g_assert_nonnull(entry.server);
	g_assert_cmpint(mg_get_server_ports(entry.server, 1, &port), ==, 1);
	mg_set_request_handler(entry.server, "/v1", handle_request, NULL);
	entry.url = g_strdup_printf("http://127.0.0.1:%d", port.port);
	g_test_add_func("/greengagectl/submit", test_submit);
	g_test_add_func("/greengagectl/exit-codes", test_exit_codes);
	g_test_add_func("/greengagectl/failover", test_failover);
	g_test_add_func("/greengagectl/drain-retries", test_drain_retries);
	code = g_test_run();
	mg_stop(entry.server);
	g_string_free(entry.requests, TRUE);
	g_free(entry.url);
	return code;
}
