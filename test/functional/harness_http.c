#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

static size_t append_text(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

static CURL *create_request(const char *method, const char *url, const char *body, int64_t limit_ms,
			    GString *text)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)limit_ms);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_text);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	return easy;
}

struct harness_reply harness_http(const char *method, const char *url, const char *body,
				  int64_t limit_ms)
{
	struct harness_reply reply = {0};
	GString *text = g_string_new(NULL);
	struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
	CURL *easy = create_request(method, url, body, limit_ms, text);
	struct curl_header *session;
	int64_t started_us = g_get_monotonic_time();

	headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	if (curl_easy_perform(easy) == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply.status);
		if (curl_easy_header(easy, "Greengage-Session", 0, CURLH_HEADER, -1, &session) ==
		    CURLHE_OK)
			reply.session = g_strdup(session->value);
	}
	reply.elapsed_us = g_get_monotonic_time() - started_us;
	reply.body = json_loadb(text->str, text->len, JSON_DECODE_ANY, NULL);
	reply.text = g_string_free(text, FALSE);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return reply;
}

void harness_reply_clear(struct harness_reply *reply)
{
	json_decref(reply->body);
	g_free(reply->text);
	g_free(reply->session);
	*reply = (struct harness_reply){0};
}

char *harness_open_session(const char *entry_url)
{
	char *url = g_strconcat(entry_url, "/v1/sessions", NULL);
	struct harness_reply reply = harness_http("POST", url, "", HARNESS_CALL_TIMEOUT_MS);
	char *session;

	if (reply.status != 201)
		g_error("POST %s returned status %ld: %s", url, reply.status, reply.text);
	session = g_strdup(json_string_value(json_object_get(reply.body, "session")));
	g_assert_nonnull(session);
	harness_reply_clear(&reply);
	g_free(url);
	return session;
}

struct harness_reply harness_submit(const char *entry_url, const char *session, const char *key,
				    const char *job, int64_t wait_ms)
{
	char *url = g_strdup_printf("%s/v1/sessions/%s/jobs/%s?wait_ms=%" G_GINT64_FORMAT,
				    entry_url, session, key, wait_ms);
	struct harness_reply reply =
		harness_http("PUT", url, job, wait_ms + HARNESS_CALL_TIMEOUT_MS);

	g_free(url);
	return reply;
}

char *harness_job(unsigned count, int min_ms, int max_ms, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	json_t *tasks = json_array();
	json_t *job;
	char *text;

	for (unsigned i = 0; i < count; i++) {
		int sleep_ms =
			max_ms > min_ms ? g_rand_int_range(random, min_ms, max_ms + 1) : min_ms;

		json_array_append_new(tasks,
				      json_pack("{s:i, s:i}", "sleep_ms", sleep_ms, "echo", i));
	}
	job = json_pack("{s:s, s:s, s:i, s:o}", "class", "renewal", "team", "passes", "run_ms",
			MAX((min_ms + max_ms) / 2, 1), "tasks", tasks);
	text = json_dumps(job, JSON_COMPACT);
	json_decref(job);
	g_rand_free(random);
	return text;
}

void harness_check_results(const struct harness_reply *reply, unsigned count)
{
	json_t *results = json_object_get(reply->body, "results");

	if (reply->status != 200 ||
	    g_strcmp0(json_string_value(json_object_get(reply->body, "state")), "done") != 0)
		g_error("job is not done: status %ld: %s", reply->status, reply->text);
	g_assert_cmpuint(json_array_size(results), ==, count);
	for (unsigned i = 0; i < count; i++) {
		json_t *echo = json_object_get(json_array_get(results, i), "echo");

		g_assert_cmpint(json_integer_value(echo), ==, i);
	}
}

int64_t harness_metric(const char *url, const char *name)
{
	char *full = g_strconcat(url, "/metrics", NULL);
	char *line_start = g_strdup_printf("\ngreengage_%s ", name);
	struct harness_reply reply = harness_http("GET", full, NULL, HARNESS_CALL_TIMEOUT_MS);
	const char *found = reply.text ? strstr(reply.text, line_start) : NULL;
	int64_t value = found ? g_ascii_strtoll(found + strlen(line_start), NULL, 10) : -1;

	harness_reply_clear(&reply);
	g_free(line_start);
	g_free(full);
	return value;
}

static void post_control(const char *url, const char *faults)
{
	char *full = g_strconcat(url, "/control", NULL);
	struct harness_reply reply = harness_http("POST", full, faults, HARNESS_CALL_TIMEOUT_MS);

	if (reply.status != 200)
		g_error("POST %s returned status %ld for %s", full, reply.status, faults);
	harness_reply_clear(&reply);
	g_free(full);
}

void harness_set_server_faults(struct harness *harness, unsigned index, const char *faults)
{
	post_control(harness->agents[index].server_url, faults);
}

void harness_set_log_faults(struct harness *harness, const char *faults)
{
	char *url = g_strdup_printf("http://127.0.0.1:%d", harness->log_port);

	post_control(url, faults);
	g_free(url);
}

/* Adds the counts in the response of one server. */
static void add_server_starts(const json_t *body, struct harness_start_counts *starts)
{
	const char *job;
	const char *index;
	json_t *tasks;
	json_t *count;
	uint64_t max_running = (uint64_t)json_integer_value(json_object_get(body, "max_running"));

	starts->total += (uint64_t)json_integer_value(json_object_get(body, "total"));
	starts->max_running = MAX(starts->max_running, max_running);
	json_object_foreach (json_object_get(body, "jobs"), job, tasks) {
		json_object_foreach (tasks, index, count)
			starts->repeated += (uint64_t)json_integer_value(count) - 1;
	}
}

struct harness_start_counts harness_count_starts(struct harness *harness)
{
	struct harness_start_counts starts = {0};
	GHashTable *started_tasks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (unsigned i = 0; i < harness->options.agents; i++) {
		char *url = g_strconcat(harness->agents[i].server_url, "/starts", NULL);
		struct harness_reply reply =
			harness_http("GET", url, NULL, HARNESS_CALL_TIMEOUT_MS);
		const char *job;
		const char *index;
		json_t *tasks;
		json_t *count;

		add_server_starts(reply.body, &starts);
		/* A task that started on two servers counts as repeated as well. */
		json_object_foreach (json_object_get(reply.body, "jobs"), job, tasks) {
			json_object_foreach (tasks, index, count) {
				if (!g_hash_table_add(started_tasks,
						      g_strdup_printf("%s/%s", job, index)))
					starts.repeated++;
			}
		}
		harness_reply_clear(&reply);
		g_free(url);
	}
	g_hash_table_destroy(started_tasks);
	return starts;
}

struct harness_reply harness_call(const char *method, const char *base, const char *path,
				  const char *body)
{
	char *url = g_strconcat(base, path, NULL);
	struct harness_reply reply = harness_http(method, url, body, HARNESS_SHORT_CALL_TIMEOUT_MS);

	g_free(url);
	return reply;
}

long harness_status(const char *method, const char *base, const char *path, const char *body)
{
	struct harness_reply reply = harness_call(method, base, path, body);
	long status = reply.status;

	harness_reply_clear(&reply);
	return status;
}
