#include <curl/curl.h>
#include <math.h>
#include <string.h>

#include "policy_defs.h"

enum {
	CALL_LIMIT_MS = 60000,
	JOB_WAIT_MS = 30000,
	URL_BYTES = 256,
	MAX_CONNECTIONS = 2000,
};

/* One HTTP transfer: a task at a server, a job at an entry, or a cancellation (without a job). */
struct call {
	CURL *easy;
	GString *answer;
	char *body;
	uint32_t job;
	unsigned server;
	bool cancels;
};

struct waiting {
	uint32_t job;
	uint32_t task;
};

/* A queue at a server, as a baseline sees it. */
struct queue {
	GQueue *waiting;
	unsigned running;
};

struct run {
	struct harness *harness;
	enum policy policy;
	const struct policy_jobs *jobs;
	struct policy_result *results;
	uint32_t *left; /* tasks of each job without an answer */
	bool *cancelled;
	uint32_t ended;
	CURLM *multi;
	GPtrArray *idle; /* calls that keep no transfer */
	GHashTable *busy;
	struct curl_slist *headers;
	struct queue queues[POLICY_SERVERS];
	char *sessions[HARNESS_MAX_ENTRIES];
	GRand *random;
	unsigned turn;
	int64_t begun_us;
};

static double elapsed(const struct run *run)
{
	return (double)(g_get_monotonic_time() - run->begun_us) / 1000;
}

static size_t keep_text(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

static void start_call(struct run *run, const char *method, const char *url, char *body,
		       const struct call *what)
{
	struct call *call = run->idle->len > 0
				    ? g_ptr_array_steal_index_fast(run->idle, run->idle->len - 1)
				    : g_new0(struct call, 1);

	if (!call->easy) {
		call->easy = curl_easy_init();
		call->answer = g_string_new(NULL);
	}
	g_string_truncate(call->answer, 0);
	call->body = body;
	call->job = what->job;
	call->server = what->server;
	call->cancels = what->cancels;
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, body ? body : "");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, run->headers);
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)CALL_LIMIT_MS);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, keep_text);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call->answer);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	g_hash_table_add(run->busy, call);
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
	result->response = elapsed(run) - run->jobs->jobs[job].arrive;
	g_strlcpy(result->type, type, sizeof(result->type));
	run->ended++;
}

/* Baselines. */

static size_t queue_length(const struct run *run, unsigned server)
{
	return g_queue_get_length(run->queues[server].waiting) + run->queues[server].running;
}

static unsigned choose_server(struct run *run)
{
	unsigned first = (unsigned)g_rand_int_range(run->random, 0, POLICY_SERVERS);
	unsigned second;

	if (run->policy == POLICY_ROUND_ROBIN)
		return run->turn++ % POLICY_SERVERS;
	if (run->policy == POLICY_RANDOM)
		return first;
	/* Two different servers. */
	second = (unsigned)g_rand_int_range(run->random, 0, POLICY_SERVERS - 1);
	second += second >= first;
	return queue_length(run, second) < queue_length(run, first) ? second : first;
}

/* Starts waiting tasks up to the server's slots. Tasks of ended jobs are dropped. */
static void serve(struct run *run, unsigned server)
{
	struct queue *queue = &run->queues[server];
	char url[URL_BYTES];
	struct waiting *next;

	g_snprintf(url, sizeof(url), "%s/task", run->harness->agents[server].server_url);
	while (queue->running < POLICY_SLOTS && (next = g_queue_pop_head(queue->waiting))) {
		const struct policy_job *job = &run->jobs->jobs[next->job];

		if (!run->results[next->job].ended) {
			char *body = g_strdup_printf("{\"sleep_ms\":%g}", job->run[next->task]);

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
		struct waiting *waiting = g_new(struct waiting, 1);

		*waiting = (struct waiting){.job = index, .task = i};
		g_queue_push_tail(run->queues[choose_server(run)].waiting, waiting);
	}
	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		serve(run, i);
}

static void task_ended(struct run *run, const struct call *call, bool succeeded)
{
	run->queues[call->server].running--;
	if (!succeeded)
		end_job(run, call->job, false, "task_failed", false);
	else if (--run->left[call->job] == 0)
		end_job(run, call->job, true, "", false);
	serve(run, call->server);
}

/* greengagefront. */

static void job_url(const struct run *run, uint32_t index, char *url)
{
	unsigned entry = index % run->harness->options.entries;

	g_snprintf(url, URL_BYTES, "%s/v1/sessions/%s/jobs/job-%u?wait_ms=%d",
		   run->harness->entries[entry].url, run->sessions[entry], index, JOB_WAIT_MS);
}

static void submit_job(struct run *run, uint32_t index)
{
	char url[URL_BYTES];

	job_url(run, index, url);
	start_call(run, "PUT", url, g_strdup(run->jobs->jobs[index].body),
		   &(struct call){.job = index});
}

static void job_answered(struct run *run, const struct call *call, CURLcode code)
{
	json_t *body = json_loads(call->answer->str, 0, NULL);
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

/* Both. */

static void cancel_job(struct run *run, uint32_t index)
{
	char url[URL_BYTES];

	run->cancelled[index] = true;
	if (run->results[index].ended)
		return;
	if (run->policy != POLICY_FRONT) {
		end_job(run, index, false, "cancelled", false);
		return;
	}
	job_url(run, index, url);
	start_call(run, "DELETE", url, NULL, &(struct call){.cancels = true});
}

static void end_call(struct run *run, CURL *easy, CURLcode code)
{
	struct call *call = NULL;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(run->multi, easy);
	g_hash_table_remove(run->busy, call);
	if (run->policy != POLICY_FRONT)
		task_ended(run, call, code == CURLE_OK && status == 200);
	else if (!call->cancels)
		job_answered(run, call, code);
	g_clear_pointer(&call->body, g_free);
	g_ptr_array_add(run->idle, call);
}

/* Submits and cancels what is due. Returns the time of the next arrival or cancellation. */
static double do_due(struct run *run, uint32_t *arrived)
{
	double next = INFINITY;

	while (*arrived < run->jobs->count && run->jobs->jobs[*arrived].arrive <= elapsed(run)) {
		if (run->policy == POLICY_FRONT)
			submit_job(run, *arrived);
		else
			enqueue_job(run, *arrived);
		(*arrived)++;
	}
	if (*arrived < run->jobs->count)
		next = run->jobs->jobs[*arrived].arrive;
	for (uint32_t i = 0; i < *arrived; i++) {
		const struct policy_job *job = &run->jobs->jobs[i];

		if (job->cancel <= 0 || run->cancelled[i])
			continue;
		if (job->arrive + job->cancel <= elapsed(run))
			cancel_job(run, i);
		else
			next = MIN(next, job->arrive + job->cancel);
	}
	return next;
}

static void run_loop(struct run *run, double end)
{
	uint32_t arrived = 0;

	run->begun_us = g_get_monotonic_time();
	while (run->ended < run->jobs->count && elapsed(run) < end) {
		double next = MIN(do_due(run, &arrived), elapsed(run) + 100);
		CURLMsg *message;
		int left;

		curl_multi_perform(run->multi, &left);
		while ((message = curl_multi_info_read(run->multi, &left))) {
			if (message->msg == CURLMSG_DONE)
				end_call(run, message->easy_handle, message->data.result);
		}
		curl_multi_perform(run->multi, &left);
		curl_multi_poll(run->multi, NULL, 0, MAX((int)(next - elapsed(run)), 0), NULL);
	}
	for (uint32_t i = 0; i < run->jobs->count; i++) {
		if (!run->results[i].ended)
			run->results[i].response = elapsed(run) - run->jobs->jobs[i].arrive;
	}
}

static void free_call(void *data)
{
	struct call *call = data;

	curl_easy_cleanup(call->easy);
	g_string_free(call->answer, TRUE);
	g_free(call->body);
	g_free(call);
}

static void run_init(struct run *run, uint32_t seed)
{
	run->multi = curl_multi_init();
	curl_multi_setopt(run->multi, CURLMOPT_MAXCONNECTS, (long)MAX_CONNECTIONS);
	run->idle = g_ptr_array_new_with_free_func(free_call);
	run->busy = g_hash_table_new(NULL, NULL);
	run->headers = curl_slist_append(NULL, "Content-Type: application/json");
	run->headers = curl_slist_append(run->headers, "Expect:");
	run->random = g_rand_new_with_seed(seed);
	run->left = g_new0(uint32_t, run->jobs->count);
	run->cancelled = g_new0(bool, run->jobs->count);
	for (uint32_t i = 0; i < run->jobs->count; i++)
		run->left[i] = run->jobs->jobs[i].tasks;
	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		run->queues[i].waiting = g_queue_new();
	for (unsigned i = 0; run->policy == POLICY_FRONT && i < run->harness->options.entries; i++)
		run->sessions[i] = harness_open_session(run->harness->entries[i].url);
}

static void run_clear(struct run *run)
{
	GHashTableIter iter;
	void *call;

	g_hash_table_iter_init(&iter, run->busy);
	while (g_hash_table_iter_next(&iter, &call, NULL)) {
		curl_multi_remove_handle(run->multi, ((struct call *)call)->easy);
		free_call(call);
	}
	g_hash_table_destroy(run->busy);
	g_ptr_array_free(run->idle, TRUE);
	curl_multi_cleanup(run->multi);
	curl_slist_free_all(run->headers);
	g_rand_free(run->random);
	g_free(run->left);
	g_free(run->cancelled);
	for (unsigned i = 0; i < POLICY_SERVERS; i++)
		g_queue_free_full(run->queues[i].waiting, g_free);
	for (unsigned i = 0; i < HARNESS_MAX_ENTRIES; i++)
		g_free(run->sessions[i]);
}

void policy_run(struct harness *harness, enum policy policy, const struct policy_jobs *jobs,
		struct policy_result *results, double limit, uint32_t seed)
{
	struct run run = {.harness = harness, .policy = policy, .jobs = jobs, .results = results};

	run_init(&run, seed);
	run_loop(&run, jobs->jobs[jobs->count - 1].arrive + limit * 1000);
	run_clear(&run);
}
