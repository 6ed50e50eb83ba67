/* Tests the parsers of the platform's formats, with valid and invalid input from clients, backend
 * servers and the operator. */
#include <glib.h>
#include <string.h>

#include "client_api.h"
#include "config_document.h"
#include "server_api.h"

static enum status parse_job(const char *body, struct client_job *job)
{
	struct error err;

	return client_job_parse(body, strlen(body), job, &err);
}

/* Each field of a job must reach the dispatcher in its own member and in the right unit. */
static void test_job(void)
{
	struct client_job job;

	g_assert_cmpint(parse_job("{\"spec\":\"abc\",\"bestEffort\":true,\"phases\":[{\"count\":4,"
				  "\"cpu\":500,\"memMb\":256,\"gpu\":1,\"estMs\":900}]}",
				  &job),
			==, STATUS_OK);
	g_assert_cmpuint(job.task_count, ==, 4);
	g_assert_cmpuint(job.task_resources.cpu, ==, 500);
	g_assert_cmpuint(job.task_resources.memory_mb, ==, 256);
	g_assert_cmpuint(job.task_resources.gpus, ==, 1);
	g_assert_cmpint(job.estimated_run_ms, ==, 900);
	g_assert_cmpuint(g_bytes_get_size(job.spec), ==, 3);
	client_job_clear(&job);
}

/* A job must not be refused for an unsupported field that is 0, false, null or empty: such a field
 * requests nothing, as if it were missing. */
static void test_job_empty_fields(void)
{
	struct client_job job;

	g_assert_cmpint(parse_job("{\"bestEffort\":true,\"repeats\":0,\"phases\":[{\"count\":1,"
				  "\"gang\":false,\"requires\":\"\",\"dependsOn\":[],"
				  "\"affinity\":null}]}",
				  &job),
			==, STATUS_OK);
	client_job_clear(&job);
}

static const struct {
	const char *body;
	enum status status;
} bad_jobs[] = {
	{"", STATUS_INVALID_JSON},
	{"{\"bestEffort\":true", STATUS_INVALID_JSON},
	{"7", STATUS_INVALID_JSON},
	{"[]", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true}", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true,\"phases\":{}}", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true,\"phases\":[7]}", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true,\"phases\":[{\"count\":0}]}", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true,\"phases\":[{\"count\":1.5}]}", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true,\"phases\":[{\"count\":99999999}]}", STATUS_INVALID_REQUEST},
	{"{\"bestEffort\":true,\"spec\":5,\"phases\":[{\"count\":1}]}", STATUS_INVALID_REQUEST},
	{"{\"phases\":[{\"count\":1}]}", STATUS_SERVER_REFUSED},
	{"{\"bestEffort\":true,\"phases\":[{\"count\":1},{\"count\":1}]}", STATUS_SERVER_REFUSED},
	{"{\"bestEffort\":true,\"repeats\":2,\"phases\":[{\"count\":1}]}", STATUS_SERVER_REFUSED},
	{"{\"bestEffort\":true,\"phases\":[{\"count\":1,\"sameRack\":true}]}",
	 STATUS_SERVER_REFUSED},
	{"{\"bestEffort\":true,\"phases\":[{\"count\":1,\"longRunning\":true}]}",
	 STATUS_SERVER_REFUSED},
};

/* An invalid body must not start anything, and must get the status that states the reason. */
static void test_bad_jobs(void)
{
	struct client_job job;

	for (size_t i = 0; i < G_N_ELEMENTS(bad_jobs); i++) {
		g_test_message("%s", bad_jobs[i].body);
		g_assert_cmpint(parse_job(bad_jobs[i].body, &job), ==, bad_jobs[i].status);
		g_assert_null(job.spec);
	}
}

/* The name of a task must have the form that the platform expects. */
static void test_task_name(void)
{
	char *name = client_task_name("5c0e7a21d94b36f8", 1, 17);

	g_assert_cmpstr(name, ==, "5c0e7a21d94b36f8.0.1.17");
	g_free(name);
}

#define HEARTBEAT                                                                                  \
	"{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"%s\","             \
	"\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":2},\"labels\":[\"a\",\"r1\"],"        \
	"\"clockMs\":482113,\"seq\":4,\"born\":77,\"remainingMs\":900}"

/* Each field of a heartbeat must be parsed into its own member. */
static void test_heartbeat(void)
{
	struct heartbeat heartbeat;
	struct error err;
	char *body = g_strdup_printf(HEARTBEAT, "draining");

	g_assert_cmpint(server_heartbeat_parse("i-1", body, strlen(body), &heartbeat, &err), ==,
			STATUS_OK);
	g_assert_cmpstr(heartbeat.identity.id, ==, "i-1");
	g_assert_cmpstr(heartbeat.identity.service, ==, "s");
	g_assert_cmpuint(heartbeat.capacity.cpu, ==, 16000);
	g_assert_cmpuint(heartbeat.capacity.memory_mb, ==, 32768);
	g_assert_cmpuint(heartbeat.capacity.gpus, ==, 2);
	g_assert_true(heartbeat.draining);
	g_assert_cmpint(heartbeat.start_time_ms, ==, 77);
	g_assert_cmpint(heartbeat.clock_ms, ==, 482113);
	g_assert_cmpint(heartbeat.remaining_ms, ==, 900);
	g_assert_cmpuint(heartbeat.identity.label_count, ==, 2);
	g_free(body);
}

static const char *const bad_heartbeats[] = {
	"",
	"{}",
	"[1]",
	"\xff\xfe",
	"{\"service\":7,\"addr\":\"a:1\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":1,"
	"\"capacity\":{\"cpu\":1,\"memMb\":1}}",
	"{\"service\":\"s\",\"addr\":\"a:1\",\"zone\":\"z\",\"state\":\"asleep\",\"seq\":1,"
	"\"capacity\":{\"cpu\":1,\"memMb\":1}}",
	"{\"service\":\"s\",\"addr\":\"a:1\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":\"1\","
	"\"capacity\":{\"cpu\":1,\"memMb\":1}}",
	"{\"service\":\"s\",\"addr\":\"a:1\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":1,"
	"\"capacity\":{\"cpu\":-1,\"memMb\":1}}",
	"{\"service\":\"s\",\"addr\":\"a:1\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":1,"
	"\"capacity\":\"large\"}",
	"{\"service\":\"s\",\"addr\":\"a:1\",\"zone\":\"z\",\"state\":\"ready\",\"seq\":1,"
	"\"labels\":[1],\"capacity\":{\"cpu\":1,\"memMb\":1}}",
};

/* An invalid heartbeat must be rejected, because its sender is possibly not a backend server. */
static void test_bad_heartbeats(void)
{
	struct heartbeat heartbeat;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(bad_heartbeats); i++)
		g_assert_cmpint(server_heartbeat_parse("i-1", bad_heartbeats[i],
						       strlen(bad_heartbeats[i]), &heartbeat, &err),
				!=, STATUS_OK);
}

static struct server_reply parse_reply(enum status status, bool sent, int code, const char *body)
{
	const struct http_response reply = {
		.status = status,
		.connection_assigned = sent,
		.code = code,
		.body = body,
		.length = strlen(body),
	};
	struct server_reply parsed;

	server_reply_parse(&reply, &parsed);
	return parsed;
}

/* A start that got no answer may have been executed. A start that was refused or never
 * sent was certainly not executed. The two must not be confused. */
static void test_start_answers(void)
{
	static const struct {
		int code;
		const char *body;
		enum start_answer answer;
	} cases[] = {
		{200, "{\"clockMs\":5}", START_STARTED},
		{409, "{\"clockMs\":5,\"reason\":\"room\"}", START_NO_RESOURCES},
		{409, "{\"clockMs\":5,\"reason\":\"old\"}", START_SUPERSEDED},
		{409, "{\"clockMs\":5,\"reason\":\"late\"}", START_LATE},
		{400, "{}", START_INVALID},
		{429, "", START_UNHEALTHY},
		{503, "", START_UNHEALTHY},
		{421, "", START_UNHEALTHY},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
			parse_reply(STATUS_OK, true, cases[i].code, cases[i].body).start_answer, ==,
			cases[i].answer);
	g_assert_cmpint(parse_reply(STATUS_TIMEOUT, true, 0, "").start_answer, ==,
			START_UNANSWERED);
	g_assert_cmpint(parse_reply(STATUS_NETWORK, true, 0, "").start_answer, ==,
			START_UNANSWERED);
	g_assert_cmpint(parse_reply(STATUS_NETWORK, false, 0, "").start_answer, ==, START_NOT_SENT);
	g_assert_true(parse_reply(STATUS_OK, true, 409, "{\"reason\":\"fence\"}").stale_epoch);
	g_assert_cmpint(parse_reply(STATUS_OK, true, 200, "{\"clockMs\":5}").clock_ms, ==, 5);
}

static enum status parse_lists(int code, const char *body, struct server_run_lists *lists)
{
	const struct http_response reply = {.status = STATUS_OK,
					    .connection_assigned = true,
					    .code = code,
					    .body = body,
					    .length = strlen(body)};
	struct server_reply parsed;
	struct error err;

	return server_run_lists_parse(&reply, &parsed, lists, &err);
}

/* Each column of a row must be parsed into its own member. An incomplete row must be skipped, and a
 * run with an unknown outcome counted as lost. */
static void test_lists(void)
{
	struct server_run_lists lists;

	g_assert_cmpint(parse_lists(200,
				    "{\"clockMs\":9,\"running\":[[\"a.0.0.1\",2,\"\",41,500]],"
				    "\"finished\":[[58,\"a.0.0.9\",1,\"done\",\"\"],"
				    "[59,\"a.0.0.8\",1,\"lapsed\",\"\"],[7],"
				    "[60,\"a.0.0.7\",3,\"something\",\"\"]]}",
				    &lists),
			==, STATUS_OK);
	g_assert_cmpuint(lists.runs.running_count, ==, 1);
	g_assert_cmpstr(lists.runs.running[0].task, ==, "a.0.0.1");
	g_assert_cmpuint(lists.runs.running[0].attempt, ==, 2);
	g_assert_cmpuint(lists.runs.running[0].percent, ==, 41);
	g_assert_cmpuint(lists.runs.running[0].cpu, ==, 500);
	g_assert_cmpuint(lists.runs.finished_count, ==, 3);
	g_assert_cmpint(lists.runs.finished[0].outcome, ==, RUN_DONE);
	g_assert_cmpint(lists.runs.finished[1].outcome, ==, RUN_EXPIRED);
	g_assert_cmpint(lists.runs.finished[2].outcome, ==, RUN_LOST);
	server_run_lists_clear(&lists);
}

/* An invalid answer must not be parsed as empty lists, or the runs of the server would be
 * considered lost. */
static void test_bad_lists(void)
{
	struct server_run_lists lists;

	g_assert_cmpint(parse_lists(200, "{\"running\":[]", &lists), !=, STATUS_OK);
	g_assert_cmpint(parse_lists(200, "{\"running\":[]}", &lists), !=, STATUS_OK);
	g_assert_cmpint(parse_lists(503, "{\"running\":[],\"finished\":[]}", &lists), !=,
			STATUS_OK);
	server_run_lists_clear(&lists);
}

#define ROUTE(prefix)                                                                              \
	"{\"name\":\"r\",\"host\":\"h.example\",\"pathPrefix\":\"" prefix "\",\"service\":\"s\","  \
	"\"priority\":2,\"maxAttempts\":4,\"stretchFactor\":1.6,\"targetRuntimeMs\":60,"           \
	"\"timeoutMs\":1500}"

/* Each field of a route must be parsed into its own member, and requests must get the route with
 * the longest matching prefix. */
static void test_config(void)
{
	static const char text[] = "{\"version\":7,\"routes\":[" ROUTE("/a/") "," ROUTE(
		"/a/b/") "],\"limits\":{\"maxBodyBytes\":100}}";
	struct route_table *table;
	struct error err;
	const struct route *route;

	g_assert_cmpint(config_document_parse(text, strlen(text), &table, &err), ==, STATUS_OK);
	g_assert_cmpuint(table->version, ==, 7);
	g_assert_cmpuint(table->body_max_bytes, ==, 100);
	route = route_find(table, "H.example:80", "/a/b/c");
	g_assert_nonnull(route);
	g_assert_cmpstr(route->path_prefix, ==, "/a/b/");
	g_assert_cmpint(route->slack_us, ==, 60000);
	g_assert_cmpint(route->timeout_us, ==, 1500000);
	g_assert_cmpuint(route->max_attempts, ==, 4);
	g_assert_cmpstr(route_find(table, "h.example", "/a/x")->path_prefix, ==, "/a/");
	g_assert_null(route_find(table, "other.example", "/a/x"));
	g_assert_null(route_find(table, "h.example", "/b/"));
	route_table_free(table);
}

#define ROUTE_WITH(field)                                                                          \
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"service\":\"s\","             \
	"\"pathPrefix\":\"/a/\"," field "}]}"

/* An invalid configuration must be rejected. With a negative version it would replace every other
 * one and never be replaced itself. */
static void test_bad_config(void)
{
	static const char *const bad[] = {
		"",
		"{}",
		"{\"version\":\"7\",\"routes\":[]}",
		"{\"version\":-1,\"routes\":[]}",
		"{\"version\":0,\"routes\":[]}",
		"{\"version\":7.5,\"routes\":[]}",
		"{\"version\":7,\"routes\":{}}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\"}]}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"service\":\"s\","
		"\"pathPrefix\":\"\"}]}",
		ROUTE_WITH("\"maxAttempts\":-1"),
		ROUTE_WITH("\"priority\":\"high\""),
		ROUTE_WITH("\"timeoutMs\":-1500"),
		ROUTE_WITH("\"targetRuntimeMs\":-1e30"),
		ROUTE_WITH("\"stretchFactor\":\"1.6\""),
		"{\"version\":7,\"routes\":[],\"limits\":{\"maxBodyBytes\":-1}}",
	};
	struct route_table *table;
	struct error err;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_test_message("%s", bad[i]);
		g_assert_cmpint(config_document_parse(bad[i], strlen(bad[i]), &table, &err), !=,
				STATUS_OK);
	}
}

/* Guards against a confirmed configuration that is never in force because of a number that stands
 * for no limit: a zero, which writers may leave out, or one above the range. */
static void test_config_without_limits(void)
{
	static const char text[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"service\":\"s\","
		"\"pathPrefix\":\"/a/\",\"targetRuntimeMs\":1e30,\"timeoutMs\":0,"
		"\"maxAttempts\":0}],\"limits\":{\"maxBodyBytes\":4294967296,"
		"\"idleTimeoutMs\":0}}";
	struct route_table *table;
	struct error err;

	g_assert_cmpint(config_document_parse(text, strlen(text), &table, &err), ==, STATUS_OK);
	g_assert_cmpuint(table->body_max_bytes, ==, INT32_MAX);
	g_assert_cmpint(table->idle_limit_ms, ==, 15000);
	g_assert_cmpint(table->routes[0].slack_us, ==, INT32_MAX * INT64_C(1000));
	g_assert_cmpint(table->routes[0].timeout_us, ==, 1500000);
	g_assert_cmpuint(table->routes[0].max_attempts, ==, 1);
	route_table_free(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/adapter/job", test_job);
	g_test_add_func("/adapter/job/empty_fields", test_job_empty_fields);
	g_test_add_func("/adapter/job/bad", test_bad_jobs);
	g_test_add_func("/adapter/task_name", test_task_name);
	g_test_add_func("/adapter/heartbeat", test_heartbeat);
	g_test_add_func("/adapter/heartbeat/bad", test_bad_heartbeats);
	g_test_add_func("/adapter/start_answers", test_start_answers);
	g_test_add_func("/adapter/lists", test_lists);
	g_test_add_func("/adapter/lists/bad", test_bad_lists);
	g_test_add_func("/adapter/config", test_config);
	g_test_add_func("/adapter/config/bad", test_bad_config);
	g_test_add_func("/adapter/config/without_limits", test_config_without_limits);
	return g_test_run();
}
