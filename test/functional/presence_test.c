/* Posts heartbeats to an agent that its server has not sent, and tests that jobs go on. */
#include "harness_platform.h"

enum {
	CONDITION_TIMEOUT_MS = 4000,
	MANY_TASKS = 20,     /* more than fit on one server */
	HEARTBEATS_MS = 500, /* time in which each server sends two heartbeats */
	US_PER_MS = 1000
};

/* Posts a heartbeat to the agent of server 0 that differs from the server's next one by CHANGES, a
 * JSON object. Returns the HTTP status. */
static long post_heartbeat(struct platform_cluster *cluster, const char *changes)
{
	struct harness_reply reply =
		harness_call("GET", cluster->platform_url, "/control/servers", NULL);
	json_t *heartbeat =
		json_pack("{s:s, s:s, s:s, s:i, s:s, s:{s:i, s:i, s:i}, s:[s,s]}", "service", "svc",
			  "zone", "a", "version", "v1", "slots", 8, "state", "ready", "capacity",
			  "cpu", 16000, "memMb", 65536, "gpu", 0, "labels", "a", "r1");
	json_t *change = json_loads(changes, 0, NULL);
	char *url = g_strdup_printf("http://127.0.0.1:%d", cluster->control_ports[0]);
	char *path, *body;
	long status;

	json_object_update(heartbeat, json_array_get(json_object_get(reply.body, "servers"), 0));
	json_object_update(heartbeat, change);
	path = g_strdup_printf("/greengagefront/instances/%s/heartbeat",
			       json_string_value(json_object_get(heartbeat, "id")));
	body = json_dumps(heartbeat, JSON_COMPACT);
	status = harness_status("POST", url, path, body);
	free(body);
	g_free(path);
	g_free(url);
	json_decref(change);
	json_decref(heartbeat);
	harness_reply_clear(&reply);
	return status;
}

/* Another writer posts one heartbeat under the id of a server that has runs, wrong in one field.
 * Guards against runs that are declared lost and run again elsewhere while they go on, against a
 * sound server that is not used any more, and against resources that it does not have. */
static void test_heartbeat_of_another_writer(void)
{
	static const char *const changes[] = {
		"{\"born\":9223372036854775807}",
		"{\"born\":4102444800000}", /* in the year 2100 */
		"{\"born\":1}",
		"{\"born\":0}",
		"{\"born\":-1}",
		"{\"born\":\"now\"}",
		"{\"born\":null}",
		"{\"born\":1e300}",
		"{\"seq\":9223372036854775807}",
		"{\"seq\":-1}",
		"{\"clockMs\":9223372036854775807}",
		"{\"clockMs\":1}",
		"{\"clockMs\":-5}",
		"{\"clockMs\":\"soon\"}",
		"{\"clockMs\":9223372036854775807,\"seq\":9223372036854775807}",
		"{\"capacity\":{\"cpu\":4294967295,\"memMb\":4294967295,\"gpu\":0}}",
		"{\"capacity\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}}",
		"{\"service\":\"other\"}",
		"{\"zone\":\"b\",\"labels\":[]}",
		"{\"id\":\"i-99999999\"}",
		"{\"state\":\"draining\"}",
	};
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		struct platform_submission submission = {
			.cluster = &cluster, .number = (unsigned)i + 1, .tasks = MANY_TASKS};
		GThread *thread;

		g_test_message("heartbeat with %s", changes[i]);
		platform_control(&cluster, "{\"run_ms\":400}");
		thread = g_thread_new("client", platform_run_submission, &submission);
		/* More tasks than one server can run: both servers must be in use. */
		HARNESS_WAIT(CONDITION_TIMEOUT_MS,
			     platform_counter(&cluster, "running") == MANY_TASKS);
		post_heartbeat(&cluster, changes[i]);
		g_thread_join(thread);
		g_assert_cmpint(submission.reply.status, ==, 200);
		harness_reply_clear(&submission.reply);
		g_assert_cmpint(platform_counter(&cluster, "starts"), ==,
				(int64_t)(i + 1) * MANY_TASKS);
		g_assert_cmpint(platform_counter(&cluster, "overlaps"), ==, 0);
		g_assert_cmpint(platform_counter(&cluster, "starts_over_capacity"), ==, 0);
		g_usleep(HEARTBEATS_MS * US_PER_MS);
	}
	/* The server is in use again after the last one, too. */
	g_assert_true(platform_job_completes(&cluster, 0, G_N_ELEMENTS(changes) + 1, MANY_TASKS));
	platform_stop(&cluster);
}

/* A server that leaves, beside heartbeats of another writer that hide it: with numbers far ahead
 * before the true heartbeat, or in the state "ready" after it. Guards against starts there. */
static void test_hidden_drain(void)
{
	static const char *const changes[] = {
		"{\"seq\":9223372036854775807}",
		"{\"clockMs\":9223372036854775807}",
		"{\"seq\":9223372036854775807,\"clockMs\":9223372036854775807}",
	};
	struct platform_cluster cluster;

	platform_start(&cluster);
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++)
		post_heartbeat(&cluster, changes[i]);
	platform_control(&cluster, "{\"drain\":0}");
	g_usleep(HEARTBEATS_MS * US_PER_MS);
	for (unsigned i = 0; i < 10; i++) {
		post_heartbeat(&cluster, changes[i % G_N_ELEMENTS(changes)]);
		g_assert_true(platform_job_completes(&cluster, i % PLATFORM_ENTRIES, i + 1, 3));
	}
	g_assert_cmpint(platform_counter(&cluster, "starts_after_drain"), ==, 0);
	platform_stop(&cluster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/presence/heartbeat_of_another_writer", test_heartbeat_of_another_writer);
	g_test_add_func("/presence/hidden_drain", test_hidden_drain);
	return g_test_run();
}
