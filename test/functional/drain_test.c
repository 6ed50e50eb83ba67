/* Backend servers, hosts and zones that are drained or switched off by the configuration. */
#include <stdatomic.h>
#include <stdlib.h>

#include "harness.h"

enum {
	SEED = 31,
	WAIT_MS = 25000,
	LEAVING_MS = 3000, /* no new work on a leaving server after this */
	AGENTS = 3,
	LOAD_TASKS = 20,
	LONG_TASKS = 4,
	LONG_MS = 4500,	    /* still running when new starts have stopped */
	OTHER_STARTS = 100, /* starts elsewhere while the server must get none */
	US_PER_MS = 1000,
};

/* Submits jobs one after another until told to stop; each must get a whole answer. */
struct load {
	const char *url;
	atomic_bool stop;
	atomic_bool pause;
	atomic_bool idle; /* paused, with no job under way */
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

		harness_check_answer(&reply, LOAD_TASKS);
		harness_reply_clear(&reply);
		g_free(key);
		while (load->pause && !load->stop) {
			load->idle = true;
			g_usleep(HARNESS_POLL_US);
		}
		load->idle = false;
	}
	free(job);
	g_free(session);
	return NULL;
}

/* Long tasks that only the zone of one server may run. */
struct long_job {
	const char *url;
	unsigned zone;
	struct harness_reply reply;
	GThread *thread;
};

static void *run_long(void *context)
{
	struct long_job *job = context;
	char *session = harness_open_session(job->url);
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"class\": \"long%u\", \"team\": \"passes\", \"tasks\": [",
			job->zone);
	for (int i = 0; i < LONG_TASKS; i++)
		g_string_append_printf(text, "%s{\"sleep_ms\": %d, \"echo\": %d}", i ? ", " : "",
				       LONG_MS, i);
	g_string_append(text, "]}");
	job->reply = harness_submit(job->url, session, "long", text->str, WAIT_MS);
	g_string_free(text, TRUE);
	g_free(session);
	return NULL;
}

struct run {
	struct harness *harness;
	struct load loads[2];
	int64_t version;
};

static void patch(struct run *run, const char *patch)
{
	char *url = g_strconcat(run->harness->entries[run->version % 2].url, "/v1/config", NULL);
	char *body = g_strdup_printf("{\"base\": %d, \"patch\": %s}", (int)run->version, patch);
	struct harness_reply reply = harness_http("PATCH", url, body, HARNESS_CALL_MS);

	if (reply.status != 200)
		g_error("patch refused: status %ld: %s", reply.status, reply.text);
	run->version++;
	/* The next patch goes through the other entry. */
	for (int i = 0; i < 2; i++)
		HARNESS_WAIT(WAIT_MS, harness_metric(run->harness->entries[i].url,
						     "config_version") == run->version);
	harness_reply_clear(&reply);
	g_free(body);
	g_free(url);
}

static int64_t server_count(const struct run *run, unsigned index, const char *name)
{
	char *url = g_strconcat(run->harness->agents[index].server_url, "/starts?total", NULL);
	struct harness_reply reply = harness_http("GET", url, NULL, HARNESS_CALL_MS);
	int64_t count = json_integer_value(json_object_get(reply.body, name));

	g_assert_cmpint(reply.status, ==, 200);
	harness_reply_clear(&reply);
	g_free(url);
	return count;
}

static int64_t starts_of(const struct run *run, unsigned index)
{
	return server_count(run, index, "total");
}

static void set_up(struct run *run, const void *unused)
{
	run->harness = harness_start(&(struct harness_options){.entries = 2, .agents = AGENTS});
	patch(run, "{\"classes\": {\"renewal\": {}, \"long0\": {\"zones\": [\"zone0\"]}, "
		   "\"long1\": {\"zones\": "
		   "[\"zone1\"]}, \"long2\": {\"zones\": [\"zone2\"]}}}");
	for (int i = 0; i < 2; i++) {
		run->loads[i].url = run->harness->entries[i].url;
		run->loads[i].thread = g_thread_new("load", run_load, &run->loads[i]);
	}
}

static void tear_down(struct run *run, const void *unused)
{
	for (int i = 0; i < 2; i++)
		run->loads[i].stop = true;
	for (int i = 0; i < 2; i++)
		g_thread_join(run->loads[i].thread);
	g_assert_cmpuint(harness_starts(run->harness).repeated, ==, 0);
	harness_stop(run->harness);
	harness_free(run->harness);
}

static void expect_starts(const struct run *run, unsigned index)
{
	int64_t before = starts_of(run, index);

	HARNESS_WAIT(WAIT_MS, starts_of(run, index) > before);
}

/* Pausing returns when no job of the loads is under way. */
static void set_pause(struct run *run, bool pause)
{
	for (int i = 0; i < 2; i++)
		run->loads[i].pause = pause;
	for (int i = 0; i < 2 && pause; i++)
		HARNESS_WAIT(WAIT_MS, run->loads[i].idle);
}

/* Switches server INDEX off by OFF while it runs long tasks, and on again by ON. */
static void switch_off(struct run *run, unsigned index, const char *off, const char *on)
{
	struct long_job job = {.url = run->harness->entries[0].url, .zone = index};
	unsigned other = (index + 1) % AGENTS;
	int64_t before;
	int64_t other_before;

	expect_starts(run, index);
	set_pause(run, true);
	job.thread = g_thread_new("long", run_long, &job);
	HARNESS_WAIT(WAIT_MS, server_count(run, index, "running") == LONG_TASKS);
	set_pause(run, false);
	patch(run, off);
	g_usleep(LEAVING_MS * US_PER_MS);
	before = starts_of(run, index);
	other_before = starts_of(run, other);
	HARNESS_WAIT(WAIT_MS, starts_of(run, other) >= other_before + OTHER_STARTS);
	g_thread_join(job.thread);
	harness_check_answer(&job.reply, LONG_TASKS);
	g_assert_cmpint(starts_of(run, index), ==, before);
	g_assert_cmpint(server_count(run, index, "running"), ==, 0);
	patch(run, on);
	expect_starts(run, index);
	harness_reply_clear(&job.reply);
}

/* New work on a drained server after 3 s, or a running task cut off by the drain. */
static void test_drain_server(struct run *run, const void *unused)
{
	switch_off(run, 0, "{\"drain\": {\"servers\": [\"server0\"]}}", "{\"drain\": null}");
}

static void test_drain_host(struct run *run, const void *unused)
{
	switch_off(run, 1, "{\"drain\": {\"hosts\": [\"agent1\"]}}", "{\"drain\": null}");
}

static void test_drain_zone(struct run *run, const void *unused)
{
	switch_off(run, 2, "{\"drain\": {\"zones\": [\"zone2\"]}}", "{\"drain\": null}");
}

/* A calendar that is off must leave no slots, and must not interrupt what runs. */
static void test_calendar_off(struct run *run, const void *unused)
{
	switch_off(run, 0,
		   "{\"capacity\": [{\"match\": {\"server\": \"server0\"}, \"calendar\": "
		   "{\"time_zone\": \"UTC\", \"weekly\": []}}]}",
		   "{\"capacity\": null}");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_message("seed %d", SEED);
#define CASE(name, function)                                                                       \
	g_test_add("/drain/" name, struct run, NULL, set_up, function, tear_down)
	CASE("server", test_drain_server);
	CASE("host", test_drain_host);
	CASE("zone", test_drain_zone);
	CASE("calendar_off", test_calendar_off);
	return g_test_run();
}
