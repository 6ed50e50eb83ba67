/* Tests backend servers that must get no starts because they, their host or their zone are drained,
 * or because their calendar is closed. */
#include <stdatomic.h>
#include <stdlib.h>

#include "harness.h"

enum {
	SEED = 31,
	WAIT_MS = 25000,
	DISABLE_TIMEOUT_MS = 3000, /* from a patch to the last new start */
	AGENTS = 3,
	LOAD_TASKS = 20,
	LONG_TASKS = 4,
	LONG_TASK_MS = 4500,	   /* longer than DISABLE_TIMEOUT_MS */
	OTHER_SERVER_STARTS = 100, /* on another server while the closed server must get none */
	US_PER_MS = 1000,
};

/* A client thread that submits jobs one after another until STOP is set. Each job must get a
 * complete answer. */
struct load {
	const char *url;
	atomic_bool stop;
	atomic_bool paused;
	atomic_bool idle; /* paused, and no job is in progress */
	GThread *thread;
};

static void *run_load(void *context)
{
	struct load *load = context;
	char *session = harness_open_session(load->url);
	char *job = harness_job(LOAD_TASKS, 20, 60, SEED);

	for (int i = 0; !load->stop; i++) {
		char *key = g_strdup_printf("k%d", i);
		struct harness_reply reply = harness_submit(load->url, session, key, job, WAIT_MS);

		harness_check_results(&reply, LOAD_TASKS);
		harness_reply_clear(&reply);
		g_free(key);
		while (load->paused && !load->stop) {
			load->idle = true;
			g_usleep(HARNESS_POLL_US);
		}
		load->idle = false;
	}
	free(job);
	g_free(session);
	return NULL;
}

/* A job of long tasks that may run only in the zone of one server. */
struct long_job {
	const char *url;
	unsigned zone;
	struct harness_reply reply;
	GThread *thread;
};

static void *run_long_job(void *context)
{
	struct long_job *job = context;
	char *session = harness_open_session(job->url);
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"class\": \"long%u\", \"team\": \"passes\", \"tasks\": [",
			job->zone);
	for (int i = 0; i < LONG_TASKS; i++)
		g_string_append_printf(text, "%s{\"sleep_ms\": %d, \"echo\": %d}", i ? ", " : "",
				       LONG_TASK_MS, i);
	g_string_append(text, "]}");
	job->reply = harness_submit(job->url, session, "long", text->str, WAIT_MS);
	g_string_free(text, TRUE);
	g_free(session);
	return NULL;
}

struct fixture {
	struct harness *harness;
	struct load loads[2];
	int64_t version;
};

static void patch_config(struct fixture *fixture, const char *patch)
{
	char *url = g_strconcat(fixture->harness->entries[fixture->version % 2].url, "/v1/config",
				NULL);
	char *body = g_strdup_printf("{\"base\": %d, \"patch\": %s}", (int)fixture->version, patch);
	struct harness_reply reply = harness_http("PATCH", url, body, HARNESS_CALL_TIMEOUT_MS);

	if (reply.status != 200)
		g_error("patch refused: status %ld: %s", reply.status, reply.text);
	fixture->version++;
	/* The next patch is sent to the other entry, which must have this version by then. */
	for (int i = 0; i < 2; i++)
		HARNESS_WAIT(WAIT_MS, harness_metric(fixture->harness->entries[i].url,
						     "config_version") == fixture->version);
	harness_reply_clear(&reply);
	g_free(body);
	g_free(url);
}

static int64_t server_count(const struct fixture *fixture, unsigned index, const char *name)
{
	char *url = g_strconcat(fixture->harness->agents[index].server_url, "/starts?total", NULL);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
	int64_t count = json_integer_value(json_object_get(reply.body, name));

	g_assert_cmpint(reply.status, ==, 200);
	harness_reply_clear(&reply);
	g_free(url);
	return count;
}

static int64_t total_starts(const struct fixture *fixture, unsigned index)
{
	return server_count(fixture, index, "total");
}

static void set_up(struct fixture *fixture, const void *unused)
{
	fixture->harness = harness_start(&(struct harness_options){.entries = 2, .agents = AGENTS});
	patch_config(fixture,
		     "{\"classes\": {\"renewal\": {}, \"long0\": {\"zones\": [\"zone0\"]}, "
		     "\"long1\": {\"zones\": "
		     "[\"zone1\"]}, \"long2\": {\"zones\": [\"zone2\"]}}}");
	for (int i = 0; i < 2; i++) {
		fixture->loads[i].url = fixture->harness->entries[i].url;
		fixture->loads[i].thread = g_thread_new("load", run_load, &fixture->loads[i]);
	}
}

static void tear_down(struct fixture *fixture, const void *unused)
{
	for (int i = 0; i < 2; i++)
		fixture->loads[i].stop = true;
	for (int i = 0; i < 2; i++)
		g_thread_join(fixture->loads[i].thread);
	g_assert_cmpuint(harness_count_starts(fixture->harness).repeated, ==, 0);
	harness_stop(fixture->harness);
	harness_free(fixture->harness);
}

static void wait_for_start(const struct fixture *fixture, unsigned index)
{
	int64_t starts_before = total_starts(fixture, index);

	HARNESS_WAIT(WAIT_MS, total_starts(fixture, index) > starts_before);
}

/* Pauses or resumes the loads. When pausing, waits until none of their jobs is in progress. */
static void set_paused(struct fixture *fixture, bool paused)
{
	for (int i = 0; i < 2; i++)
		fixture->loads[i].paused = paused;
	for (int i = 0; i < 2 && paused; i++)
		HARNESS_WAIT(WAIT_MS, fixture->loads[i].idle);
}

/* Applies CLOSE_PATCH while server INDEX runs long tasks, which must complete. The server must get
 * no new starts from DISABLE_TIMEOUT_MS after the patch until REOPEN_PATCH is applied, and must get
 * starts again after that. */
static void check_unavailable_server(struct fixture *fixture, unsigned index,
				     const char *close_patch, const char *reopen_patch)
{
	struct long_job job = {.url = fixture->harness->entries[0].url, .zone = index};
	unsigned other = (index + 1) % AGENTS;
	int64_t starts_before;
	int64_t other_starts_before;

	wait_for_start(fixture, index);
	set_paused(fixture, true);
	job.thread = g_thread_new("long", run_long_job, &job);
	HARNESS_WAIT(WAIT_MS, server_count(fixture, index, "running") == LONG_TASKS);
	set_paused(fixture, false);
	patch_config(fixture, close_patch);
	g_usleep(DISABLE_TIMEOUT_MS * US_PER_MS);
	starts_before = total_starts(fixture, index);
	other_starts_before = total_starts(fixture, other);
	HARNESS_WAIT(WAIT_MS,
		     total_starts(fixture, other) >= other_starts_before + OTHER_SERVER_STARTS);
	g_thread_join(job.thread);
	harness_check_results(&job.reply, LONG_TASKS);
	g_assert_cmpint(total_starts(fixture, index), ==, starts_before);
	g_assert_cmpint(server_count(fixture, index, "running"), ==, 0);
	patch_config(fixture, reopen_patch);
	wait_for_start(fixture, index);
	harness_reply_clear(&job.reply);
}

/* Guards against new starts on a server more than 3 s after it was drained, and against a drain
 * that aborts running tasks. */
static void test_drain_server(struct fixture *fixture, const void *unused)
{
	check_unavailable_server(fixture, 0, "{\"drain\": {\"servers\": [\"server0\"]}}",
				 "{\"drain\": null}");
}

static void test_drain_host(struct fixture *fixture, const void *unused)
{
	check_unavailable_server(fixture, 1, "{\"drain\": {\"hosts\": [\"agent1\"]}}",
				 "{\"drain\": null}");
}

static void test_drain_zone(struct fixture *fixture, const void *unused)
{
	check_unavailable_server(fixture, 2, "{\"drain\": {\"zones\": [\"zone2\"]}}",
				 "{\"drain\": null}");
}

/* Guards against new starts on a server whose calendar has no open hours, and against interrupting
 * the tasks that run on that server. */
static void test_calendar_closed(struct fixture *fixture, const void *unused)
{
	check_unavailable_server(
		fixture, 0,
		"{\"capacity\": [{\"match\": {\"server\": \"server0\"}, \"calendar\": "
		"{\"time_zone\": \"UTC\", \"weekly\": []}}]}",
		"{\"capacity\": null}");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
#define CASE(name, function)                                                                       \
	g_test_add("/drain/" name, struct fixture, NULL, set_up, function, tear_down)
	CASE("server", test_drain_server);
	CASE("host", test_drain_host);
	CASE("zone", test_drain_zone);
	CASE("calendar_off", test_calendar_closed);
	return g_test_run();
}
