#include <curl/curl.h>
#include <math.h>
#include <string.h>

#include "policy_defs.h"

enum {
	REQUEST_TIMEOUT_MS = 60000,
	JOB_WAIT_MS = 30000,
	URL_BYTES = 256,
	MAX_CONNECTIONS = 2000,
	MAX_POLL_MS = 100,
};

/* One HTTP request: a task sent to a server, a job sent to an entry, or the cancellation of a job,
 * for which JOB is not used. */
struct call {
	CURL *easy;
	GString *response;
	char *body;
	uint32_t job;
	unsigned server;
	bool is_cancellation;
};

struct queued_task {
	uint32_t job;
	uint32_t task;
};

/* Client-side queue of a server, used by the baseline policies. */
struct server_queue {
	GQueue *tasks;
	unsigned running;
};

/* State of one run of the jobs under one policy. */
struct run {
	struct harness *harness;
	enum policy policy;
	const struct policy_jobs *jobs;
	struct policy_result *results;
	uint32_t *unanswered_tasks; /* number of each job's tasks without a response */
	bool *cancel_requested;	    /* whether each job's cancellation was handled */
	uint32_t ended_count;
	CURLM *multi;
	GPtrArray *free_calls; /* finished calls, kept for reuse with their easy handles */
	GHashTable *active_calls;
	struct curl_slist *headers;
	struct server_queue queues[POLICY_SERVERS];
	char *sessions[HARNESS_MAX_ENTRIES];
	GRand *random;
	unsigned next_server; /* next choice of POLICY_ROUND_ROBIN */
	int64_t started_us;
};

static double elapsed_ms(const struct run *run)
{
	return (double)(g_get_monotonic_time() - run->started_us) / 1000;
}

static size_t append_response(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

static void start_call(struct run *run, const char *method, const char *url, char *body,
		       const struct call *params)
{
	struct call *call =
		run->free_calls->len > 0
			? g_ptr_array_steal_index_fast(run->free_calls, run->free_calls->len - 1)
			: g_new0(struct call, 1);

	if (!call->easy) {
		call->easy = curl_easy_init();
		call->response = g_string_new(NULL);
	}
	g_string_truncate(call->response, 0);
	call->body = body;
	call->job = params->job;
	call->server = params->server;
	call->is_cancellation = params->is_cancellation;
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, body ? body : "");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, run->headers);
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, append_response);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call->response);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	g_hash_table_add(run->active_calls, call);
	curl_multi_add_handle(run->multi, call->easy);
}

static void end_job(struct run *run, uint32_t job, bool done, const char *type, bool not_run)
{
	struct policy_result *result = &run->results[job];

	if (result->ended)
		return;
	result->ended = true;
	result->done = done;
	result->not_run = not_run;
	result->response_ms = elapsed_ms(run) - run->jobs->jobs[job].arrival_ms;
	g_strlcpy(result->type, type, sizeof(result->type));
	run->ended_count++;
}

/* ---- baseline policies ---- */

static size_t outstanding_tasks(const struct run *run, unsigned server)
{
	return g_queue_get_length(run->queues[server].tasks) + run->queues[server].running;
}

static unsigned choose_server(struct run *run)
{
	unsigned first = (unsigned)g_rand_int_range(run->random, 0, POLICY_SERVERS);
	unsigned second;

	if (run->policy == POLICY_ROUND_ROBIN)
		return run->next_server++ % POLICY_SERVERS;
	if (run->policy == POLICY_RANDOM)
		return first;
	/* Skips server FIRST, so that the two servers differ. */
	second = (unsigned)g_rand_int_range(run->random, 0, POLICY_SERVERS - 1);
	second += second >= first;
	return outstanding_tasks(run, second) < outstanding_tasks(run, first) ? second : first;
}

/* Starts queued tasks while the server has free slots. Drops tasks of ended jobs. */
static void start_queued_tasks(struct run *run, unsigned server)
{
	struct server_queue *queue = &run->queues[server];
	char url[URL_BYTES];
	struct queued_task *next;

	g_snprintf(url, sizeof(url), "%s/task", run->harness->agents[server].server_url);
	while (queue->running < POLICY_SLOTS && (next = g_queue_pop_head(queue->tasks))) {
		const struct policy_job *job = &run->jobs->jobs[next->job];

		if (!run->results[next->job].ended) {
			char *body = g_strdup_printf("{\"sleep_ms\":%g}", job->run_ms[next->task]);

			queue->running++;
			start_call(run, "POST", url, body,
				   &(struct call){.job = next->job, .server = server});
		}
		g_free(next);
	}
}

static void enqueue_job(struct run *run, uint32_t index)
{
	for (uint32_t i = 0; i < run->jobs->jobs[index].tasks; i++) {
		struct queued_task *task = g_new(struct queued_task, 1);

		*task = (struct queued_task){.job = index, .task = i};
		g_queue_push_tail(run->queues[choose_server(run)].tasks, task);
	}
	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		start_queued_tasks(run, i);
}

static void handle_task_response(struct run *run, const struct call *call, bool succeeded)
{
	run->queues[call->server].running--;
	if (!succeeded)
		end_job(run, call->job, false, "task_failed", false);
	else if (--run->unanswered_tasks[call->job] == 0)
		end_job(run, call->job, true, "", false);
	start_queued_tasks(run, call->server);
}

/* ---- policy of greengagefront ---- */

static void format_job_url(const struct run *run, uint32_t index, char *url)
{
	unsigned entry = index % run->harness->options.entries;

	g_snprintf(url, URL_BYTES, "%s/v1/sessions/%s/jobs/job-%u?wait_ms=%d",
		   run->harness->entries[entry].url, run->sessions[entry], index, JOB_WAIT_MS);
}

static void submit_job(struct run *run, uint32_t index)
{
	char url[URL_BYTES];

	format_job_url(run, index, url);
	start_call(run, "PUT", url, g_strdup(run->jobs->jobs[index].body),
		   &(struct call){.job = index});
}

static void handle_job_response(struct run *run, const struct call *call, CURLcode code)
{
	json_t *body = json_loads(call->response->str, 0, NULL);
	const char *state = json_string_value(json_object_get(body, "state"));
	json_t *error = json_object_get(body, "error");
	const char *type = json_string_value(json_object_get(error, "type"));
	const char *outcome = json_string_value(json_object_get(error, "outcome"));

	if (g_strcmp0(state, "cancelled") == 0)
		type = "cancelled";
	else if (!type)
		type = code == CURLE_OK ? "no_answer" : "no_connection";
	end_job(run, call->job, g_strcmp0(state, "done") == 0, type,
		g_strcmp0(outcome, "not_run") == 0);
	json_decref(body);
}

/* ---- all policies ---- */

static void cancel_job(struct run *run, uint32_t index)
{
	char url[URL_BYTES];

	run->cancel_requested[index] = true;
	if (run->results[index].ended)
		return;
	if (run->policy != POLICY_GREENGAGEFRONT) {
		end_job(run, index, false, "cancelled", false);
		return;
	}
	format_job_url(run, index, url);
	start_call(run, "DELETE", url, NULL, &(struct call){.is_cancellation = true});
}

static void end_call(struct run *run, CURL *easy, CURLcode code)
{
	struct call *call = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(run->multi, easy);
	g_hash_table_remove(run->active_calls, call);
	if (run->policy != POLICY_GREENGAGEFRONT)
		handle_task_response(run, call, code == CURLE_OK && status == 200);
	else if (!call->is_cancellation)
		handle_job_response(run, call, code);
	g_clear_pointer(&call->body, g_free);
	g_ptr_array_add(run->free_calls, call);
}

/* Submits and cancels the jobs that are due. Returns when the next job is due, in milliseconds
 * since the start of the run, or INFINITY if none is left. */
static double submit_and_cancel_due_jobs(struct run *run, uint32_t *arrived)
{
	double next_ms = INFINITY;

	while (*arrived < run->jobs->count &&
	       run->jobs->jobs[*arrived].arrival_ms <= elapsed_ms(run)) {
		if (run->policy == POLICY_GREENGAGEFRONT)
			submit_job(run, *arrived);
		else
			enqueue_job(run, *arrived);
		(*arrived)++;
	}
	if (*arrived < run->jobs->count)
		next_ms = run->jobs->jobs[*arrived].arrival_ms;
	for (uint32_t i = 0; i < *arrived; i++) {
		const struct policy_job *job = &run->jobs->jobs[i];

		if (job->cancel_after_ms <= 0 || run->cancel_requested[i])
			continue;
		if (job->arrival_ms + job->cancel_after_ms <= elapsed_ms(run))
			cancel_job(run, i);
		else
			next_ms = MIN(next_ms, job->arrival_ms + job->cancel_after_ms);
	}
	return next_ms;
}

static void run_event_loop(struct run *run, double end_ms)
{
	uint32_t arrived = 0;

	run->started_us = g_get_monotonic_time();
	while (run->ended_count < run->jobs->count && elapsed_ms(run) < end_ms) {
		double next_ms = MIN(submit_and_cancel_due_jobs(run, &arrived),
				     elapsed_ms(run) + MAX_POLL_MS);
		CURLMsg *message;
		int remaining;

		curl_multi_perform(run->multi, &remaining);
		while ((message = curl_multi_info_read(run->multi, &remaining))) {
			if (message->msg == CURLMSG_DONE)
				end_call(run, message->easy_handle, message->data.result);
		}
		curl_multi_perform(run->multi, &remaining);
		curl_multi_poll(run->multi, NULL, 0, MAX((int)(next_ms - elapsed_ms(run)), 0),
				NULL);
	}
	for (uint32_t i = 0; i < run->jobs->count; i++) {
		if (!run->results[i].ended)
			run->results[i].response_ms =
				elapsed_ms(run) - run->jobs->jobs[i].arrival_ms;
	}
}

static void free_call(void *data)
{
	struct call *call = data;

	curl_easy_cleanup(call->easy);
	g_string_free(call->response, TRUE);
	g_free(call->body);
	g_free(call);
}

static void run_init(struct run *run, uint32_t seed)
{
	run->multi = curl_multi_init();
	curl_multi_setopt(run->multi, CURLMOPT_MAXCONNECTS, (long)MAX_CONNECTIONS);
	run->free_calls = g_ptr_array_new_with_free_func(free_call);
	run->active_calls = g_hash_table_new(NULL, NULL);
	run->headers = curl_slist_append(NULL, "Content-Type: application/json");
	run->headers = curl_slist_append(run->headers, "Expect:");
	run->random = g_rand_new_with_seed(seed);
	run->unanswered_tasks = g_new0(uint32_t, run->jobs->count);
	run->cancel_requested = g_new0(bool, run->jobs->count);
	for (uint32_t i = 0; i < run->jobs->count; i++)
		run->unanswered_tasks[i] = run->jobs->jobs[i].tasks;
	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		run->queues[i].tasks = g_queue_new();
	for (unsigned i = 0;
	     run->policy == POLICY_GREENGAGEFRONT && i < run->harness->options.entries; i++)
		run->sessions[i] = harness_open_session(run->harness->entries[i].url);
}

static void run_clear(struct run *run)
{
	GHashTableIter iter;
	void *call;

	g_hash_table_iter_init(&iter, run->active_calls);
	while (g_hash_table_iter_next(&iter, &call, NULL)) {
		curl_multi_remove_handle(run->multi, ((struct call *)call)->easy);
		free_call(call);
	}
	g_hash_table_destroy(run->active_calls);
	g_ptr_array_free(run->free_calls, TRUE);
	curl_multi_cleanup(run->multi);
	curl_slist_free_all(run->headers);
	g_rand_free(run->random);
	g_free(run->unanswered_tasks);
	g_free(run->cancel_requested);
	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		g_queue_free_full(run->queues[i].tasks, g_free);
	for (unsigned i = 0; i < HARNESS_MAX_ENTRIES; i++)
		g_free(run->sessions[i]);
}

void policy_run(struct harness *harness, enum policy policy, const struct policy_jobs *jobs,
		struct policy_result *results, double drain_seconds, uint32_t seed)
{
	struct run run = {.harness = harness, .policy = policy, .jobs = jobs, .results = results};

	run_init(&run, seed);
	run_event_loop(&run, jobs->jobs[jobs->count - 1].arrival_ms + drain_seconds * 1000);
	run_clear(&run);
}
