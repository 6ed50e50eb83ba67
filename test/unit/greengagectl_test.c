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
	GString *requests;    /* a line "METHOD path body" for each request */
	int version;	      /* configuration version */
	int conflicts;	      /* number of further patches to refuse; each raises the version */
	bool close_on_submit; /* send no response after reading a submitted job */
} fake_entry = {.lock = PTHREAD_MUTEX_INITIALIZER};

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
		fake_entry.version++;
		if (fake_entry.conflicts-- > 0)
			return respond(conn, 409,
				       "{\"error\":{\"type\":\"version_conflict\",\"outcome\":"
				       "\"not_run\",\"message\":\"m\"}}");
	}
	g_snprintf(body, sizeof(body),
		   "{\"version\":%d,\"id\":\"i\",\"document\":{\"drain\":{\"hosts\":[\"h%d\"]}}}",
		   fake_entry.version, fake_entry.version);
	return respond(conn, 200, body);
}

/* Responds by the job key: "gone" has lost its owner, "bad" has failed, any other job is queued on
 * PUT and done on GET. */
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
		return fake_entry.close_on_submit ? 200
						  : respond(conn, 202, "{\"state\":\"queued\"}");
	return respond(conn, 200, "{\"job\":\"k\",\"state\":\"done\",\"results\":[7]}");
}

static int handle_request(struct mg_connection *conn, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char body[1000];
	int length = mg_read(conn, body, sizeof(body));
	int code;

	pthread_mutex_lock(&fake_entry.lock);
	g_string_append_printf(fake_entry.requests, "%s %s %.*s\n", info->request_method,
			       info->local_uri, MAX(length, 0), body);
	if (strcmp(info->local_uri, "/v1/sessions") == 0)
		code = respond(conn, 201, "{\"session\":\"s1\",\"expires_ms\":1}");
	else if (strcmp(info->local_uri, "/evacuations") == 0)
		code = respond(conn, 200, "{\"version\":7,\"zones\":[\"a\",\"b\"]}");
	else if (strcmp(info->local_uri, "/v1/config") == 0)
		code = respond_config(conn, info->request_method);
	else
		code = respond_job(conn, info->request_method, info->local_uri);
	pthread_mutex_unlock(&fake_entry.lock);
	return code;
}

static const char *entry_urls; /* value of GREENGAGE_ENTRY; NULL: the fake entry */

/* Runs greengagectl with ARGS, separated by spaces, and INPUT as standard input. Clears the
 * recorded requests. Returns the exit code. */
static int run_greengagectl(const char *args, const char *input, char **output, char **error_output)
{
	char *line =
		g_strdup_printf("%s/packages/greengagectl/greengagectl %s", GG_BUILD_DIR, args);
	char **argv = g_strsplit(line, " ", -1);
	GSubprocessLauncher *launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDIN_PIPE |
								  G_SUBPROCESS_FLAGS_STDOUT_PIPE |
								  G_SUBPROCESS_FLAGS_STDERR_PIPE);
	GSubprocess *process;
	int code;

	pthread_mutex_lock(&fake_entry.lock);
	g_string_truncate(fake_entry.requests, 0);
	pthread_mutex_unlock(&fake_entry.lock);
	g_subprocess_launcher_setenv(launcher, "GREENGAGE_ENTRY",
				     entry_urls ? entry_urls : fake_entry.url, TRUE);
	/* greengagectl must not use a proxy. */
	g_subprocess_launcher_setenv(launcher, "http_proxy", "http://127.0.0.1:1", TRUE);
	process = g_subprocess_launcher_spawnv(launcher, (const char *const *)argv, NULL);
	g_assert_nonnull(process);
	g_assert_true(
		g_subprocess_communicate_utf8(process, input, NULL, output, error_output, NULL));
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
	char *error_output;
	int actual = run_greengagectl(args, input, &output, &error_output);

	if (actual != code)
		g_error("%s: exit code %d, expected %d: %s%s", args, actual, code, output,
			error_output);
	g_free(output);
	g_free(error_output);
}

static char *copy_requests(void)
{
	char *requests;

	pthread_mutex_lock(&fake_entry.lock);
	requests = g_strdup(fake_entry.requests->str);
	pthread_mutex_unlock(&fake_entry.lock);
	return requests;
}

static void assert_requests(const char *expected)
{
	char *requests = copy_requests();

	g_assert_cmpstr(requests, ==, expected);
	g_free(requests);
}

static void set_close_on_submit(bool close_connection)
{
	pthread_mutex_lock(&fake_entry.lock);
	fake_entry.close_on_submit = close_connection;
	pthread_mutex_unlock(&fake_entry.lock);
}

static void set_conflicts(int conflicts)
{
	pthread_mutex_lock(&fake_entry.lock);
	fake_entry.conflicts = conflicts;
	pthread_mutex_unlock(&fake_entry.lock);
}

static int get_conflicts(void)
{
	int conflicts;

	pthread_mutex_lock(&fake_entry.lock);
	conflicts = fake_entry.conflicts;
	pthread_mutex_unlock(&fake_entry.lock);
	return conflicts;
}

/* The session token and the key must be printed to standard error, otherwise a client cannot
 * resubmit the job. Standard output must contain only the JSON result, otherwise a program cannot
 * parse it. */
static void test_submit(void)
{
	char *output;
	char *error_output;

	g_assert_cmpint(run_greengagectl("submit --key k --json", "{\"class\":\"c\"}", &output,
					 &error_output),
			==, 0);
	g_assert_cmpstr(error_output, ==, "session: s1\nkey: k\n");
	g_assert_cmpstr(output, ==, "{\"job\":\"k\",\"state\":\"done\",\"results\":[7]}\n");
	assert_requests("POST /v1/sessions \n"
			"PUT /v1/sessions/s1/jobs/k {\"class\":\"c\"}\n"
			"GET /v1/sessions/s1/jobs/k \n");
	g_free(output);
	g_free(error_output);
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
	/* Nothing listens on port 1. */
	char *args =
		g_strdup_printf("--entry http://127.0.0.1:1 --entry %s result k", fake_entry.url);

	assert_exit_code(0, args, "");
	g_free(args);
	set_close_on_submit(true);
	args = g_strdup_printf("--entry %s --entry %s submit --session s1 --key k", fake_entry.url,
			       fake_entry.url);
	assert_exit_code(1, args, "{}");
	assert_requests("PUT /v1/sessions/s1/jobs/k {}\n");
	set_close_on_submit(false);
	g_free(args);
}

/* Guards against a crash when the variable is empty or has spaces at its ends, and against entries
 * that are not tried because many others stand before them. */
static void test_entries_from_environment(void)
{
	GString *many = g_string_new(NULL);
	char *padded = g_strdup_printf("  %s ", fake_entry.url);

	for (int i = 0; i < 25; i++)
		g_string_append(many, "http://127.0.0.1:1 ");
	g_string_append(many, fake_entry.url);
	entry_urls = "";
	assert_exit_code(2, "config get", "");
	assert_exit_code(2, "submit", "{}");
	entry_urls = " ";
	assert_exit_code(2, "config get", "");
	entry_urls = padded;
	assert_exit_code(0, "config get", "");
	entry_urls = many->str;
	assert_exit_code(0, "config get", "");
	entry_urls = NULL;
	g_string_free(many, TRUE);
	g_free(padded);
}

/* After a version conflict, the drain patch must be built again from the newer version, otherwise
 * it would undo the drains of another operator. The attempts are limited, and no patch is sent if
 * it would change nothing. */
static void test_drain_retries(void)
{
	char *expected = g_strdup_printf(
		"GET /v1/config \nPATCH /v1/config "
		"{\"base\":1,\"patch\":{\"drain\":{\"hosts\":[\"h1\",\"x\"]}},\"author\":\"a\"}\n"
		"GET /v1/config \nPATCH /v1/config "
		"{\"base\":2,\"patch\":{\"drain\":{\"hosts\":[\"h2\",\"x\"]}},\"author\":\"a\"}"
		"\n");
	char *requests;

	pthread_mutex_lock(&fake_entry.lock);
	fake_entry.version = 1;
	pthread_mutex_unlock(&fake_entry.lock);
	set_conflicts(1);
	assert_exit_code(0, "drain --host x --author a", "");
	assert_requests(expected);
	set_conflicts(100);
	assert_exit_code(
		1,
		"undrain --host h1 --host h2 --host h3 --host h4 --host h5 --host h6 --host "
		"h7 --host h8",
		"");
	g_assert_cmpint(get_conflicts(), ==, 95); /* 5 attempts, see MAX_DRAIN_ATTEMPTS */
	set_conflicts(0);
	assert_exit_code(0, "undrain --host x", "");
	requests = copy_requests();
	g_assert_null(strstr(requests, "PATCH"));
	g_free(requests);
	g_free(expected);
}

/* Guards against zones that are left out, and against output that a program cannot parse. */
static void test_evacuations(void)
{
	char *output;
	char *error_output;

	g_assert_cmpint(run_greengagectl("evacuations", "", &output, &error_output), ==, 0);
	g_assert_cmpstr(output, ==, "version 7\nEVACUATED ZONE\na\nb\n");
	assert_requests("GET /evacuations \n");
	g_free(output);
	g_free(error_output);
	g_assert_cmpint(run_greengagectl("evacuations --json", "", &output, &error_output), ==, 0);
	g_assert_cmpstr(output, ==, "{\"version\":7,\"zones\":[\"a\",\"b\"]}\n");
	g_free(output);
	g_free(error_output);
	assert_exit_code(1, "--entry http://127.0.0.1:1 evacuations", "");
}

int main(int argc, char **argv)
{
	const char *options[] = {"listening_ports", "127.0.0.1:0", "num_threads", "4", NULL};
	struct mg_server_port port;
	int code;

	g_test_init(&argc, &argv, NULL);
	fake_entry.requests = g_string_new(NULL);
	fake_entry.server = mg_start(NULL, NULL, options);
	g_assert_nonnull(fake_entry.server);
	g_assert_cmpint(mg_get_server_ports(fake_entry.server, 1, &port), ==, 1);
	mg_set_request_handler(fake_entry.server, "/v1", handle_request, NULL);
	mg_set_request_handler(fake_entry.server, "/evacuations", handle_request, NULL);
	fake_entry.url = g_strdup_printf("http://127.0.0.1:%d", port.port);
	g_test_add_func("/greengagectl/submit", test_submit);
	g_test_add_func("/greengagectl/exit-codes", test_exit_codes);
	g_test_add_func("/greengagectl/failover", test_failover);
	g_test_add_func("/greengagectl/entries-from-environment", test_entries_from_environment);
	g_test_add_func("/greengagectl/drain-retries", test_drain_retries);
	g_test_add_func("/greengagectl/evacuations", test_evacuations);
	code = g_test_run();
	mg_stop(fake_entry.server);
	g_string_free(fake_entry.requests, TRUE);
	g_free(fake_entry.url);
	return code;
}
