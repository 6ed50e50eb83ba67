/* Stand-in for a backend server: runs each task by sleeping, counts every start and injects the
 * faults that POST /control sets. */
#include <civetweb.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ident.h"
#include "timer.h"

enum {
	DEFAULT_SLOTS = 8,
	DEFAULT_CONNECTIONS = 60,
	CONTROL_THREADS = 8, /* in addition to one thread for each task connection */
	KEEP_ALIVE_MS = 10000,
	TTL_MS = 3000,
	RENEW_MS = 1000,
	RENEW_TIMEOUT_MS = 1000,
	POLL_MS = 20,
	LEAVE_TIMEOUT_MS = 60000,
	HANG_POLL_MS = 10,
	URL_BYTES = 64,
	INDEX_TEXT_BYTES = 32,
};

struct options {
	int port;
	int announced_port; /* port of a proxy in front of this server, or 0 */
	int slots;
	int connections;
	int seed;
	double speed;
	double jitter;
	char *id;
	char *agent;
	char *labels;
};

/* Faults that POST /control sets. An integer is the number of further requests that the fault
 * affects; each affected request decrements it. */
struct faults {
	bool fail_all;
	bool hang;
	bool stop_renewing;
	bool leave; /* withdraws the server from the agent */
	double slow_factor;
	int64_t half_answer;	     /* sends half of the body, then closes the connection */
	int64_t close_before_answer; /* closes the connection without a response */
	int64_t refuse_not_run;	     /* responds with status 503 and Greengage-Not-Run */
};

enum fault {
	FAULT_NONE,
	FAULT_FAIL,
	FAULT_HALF_ANSWER,
	FAULT_CLOSE,
	FAULT_REFUSE,
};

static struct options options = {
	.slots = DEFAULT_SLOTS, .connections = DEFAULT_CONNECTIONS, .speed = 1, .seed = 1};
/* Guards faults, starts, the counters and random_source. announce_periodically() also reads
 * faults.stop_renewing without holding the lock. */
static GMutex lock;
static struct faults faults = {.slow_factor = 1};
static GHashTable *starts; /* job -> GArray of uint16_t: the number of starts of each task index */
static uint64_t total_starts;
static int64_t running;
static int64_t max_running;
static GRand *random_source;
static atomic_bool stopping;
static char task_url[URL_BYTES];

static void free_counts(void *counts)
{
	g_array_free(counts, TRUE);
}

/* Counts a start of task INDEX of JOB. The caller holds the lock. */
static void count_start(const char *job, size_t index)
{
	GArray *counts = g_hash_table_lookup(starts, job);

	if (!counts) {
		counts = g_array_new(FALSE, TRUE, sizeof(uint16_t));
		g_hash_table_insert(starts, g_strdup(job), counts);
	}
	if (counts->len <= index)
		g_array_set_size(counts, (guint)index + 1);
	g_array_index(counts, uint16_t, index)++;
	total_starts++;
	running++;
	max_running = MAX(max_running, running);
}

static bool consume_fault(int64_t *number)
{
	if (*number <= 0)
		return false;
	(*number)--;
	return true;
}

/* Selects the fault to inject into a request and counts the start of its task unless the request is
 * refused. Sets FACTOR to the multiplier of the sleep time. */
static enum fault begin_task(const char *job, size_t index, double *factor)
{
	enum fault fault = FAULT_NONE;

	g_mutex_lock(&lock);
	*factor = options.speed * faults.slow_factor *
		  (1 + options.jitter * g_rand_double(random_source));
	if (consume_fault(&faults.refuse_not_run))
		fault = FAULT_REFUSE;
	else if (faults.fail_all)
		fault = FAULT_FAIL;
	else if (consume_fault(&faults.close_before_answer))
		fault = FAULT_CLOSE;
	else if (consume_fault(&faults.half_answer))
		fault = FAULT_HALF_ANSWER;
	if (fault != FAULT_REFUSE)
		count_start(job, index);
	g_mutex_unlock(&lock);
	return fault;
}

static void end_task(void)
{
	g_mutex_lock(&lock);
	running--;
	g_mutex_unlock(&lock);
}

static bool is_hanging(void)
{
	bool hanging;

	g_mutex_lock(&lock);
	hanging = faults.hang;
	g_mutex_unlock(&lock);
	return hanging && !stopping;
}

static void respond(struct mg_connection *conn, int status, const char *headers, const char *body,
		    size_t length)
{
	char *text = g_strdup_printf("HTTP/1.1 %d -\r\nContent-Type: application/json\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
				     status, headers, length, body);

	mg_write(conn, text, strlen(text));
	g_free(text);
}

static json_t *read_json(struct mg_connection *conn)
{
	GString *body = g_string_new(NULL);
	char chunk[4096];
	json_t *value;
	int count;

	while ((count = mg_read(conn, chunk, sizeof(chunk))) > 0)
		g_string_append_len(body, chunk, count);
	value = json_loadb(body->str, body->len, JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
	g_string_free(body, TRUE);
	return value;
}

static void respond_task(struct mg_connection *conn, const json_t *task, enum fault fault)
{
	json_t *echo = json_object_get(task, "echo");
	json_t *answer =
		json_pack("{s:s, s:O}", "server", options.id, "echo", echo ? echo : json_null());
	char *text = json_dumps(answer, JSON_COMPACT);
	size_t length = strlen(text);

	if (fault == FAULT_FAIL) {
		respond(conn, 500, "", "{}", 2);
	} else if (fault == FAULT_CLOSE) {
		mg_disable_connection_keep_alive(conn);
	} else if (fault == FAULT_HALF_ANSWER) {
		mg_disable_connection_keep_alive(conn);
		text[length / 2] = '\0';
		respond(conn, 200, "", text, length);
	} else {
		respond(conn, 200, "", text, length);
	}
	free(text);
	json_decref(answer);
}

static int handle_task(struct mg_connection *conn, void *context)
{
	const char *job = mg_get_header(conn, "Greengage-Job");
	const char *index = mg_get_header(conn, "Greengage-Task");
	json_t *task = read_json(conn);
	double sleep_ms;
	double factor;
	enum fault fault;

	fault = begin_task(job ? job : "", index ? strtoul(index, NULL, 10) : 0, &factor);
	if (fault == FAULT_REFUSE) {
		respond(conn, 503, "Greengage-Not-Run: 1\r\n", "{}", 2);
		json_decref(task);
		return 503;
	}
	sleep_ms = json_number_value(json_object_get(task, "sleep_ms")) * factor;
	if (sleep_ms > 0)
		g_usleep((gulong)(sleep_ms * 1000));
	while (is_hanging())
		g_usleep(HANG_POLL_MS * 1000);
	/* Before the answer: its receiver may ask at once for the number of running tasks. */
	end_task();
	respond_task(conn, task, fault);
	json_decref(task);
	return 200;
}

static json_t *counts_to_json(const GArray *counts)
{
	json_t *tasks = json_object();
	char index[INDEX_TEXT_BYTES];

	for (guint i = 0; i < counts->len; i++) {
		uint16_t count = g_array_index(counts, uint16_t, i);

		snprintf(index, sizeof(index), "%u", i);
		if (count > 0)
			json_object_set_new(tasks, index, json_integer(count));
	}
	return tasks;
}

static int handle_starts(struct mg_connection *conn, void *context)
{
	const char *query = mg_get_request_info(conn)->query_string;
	json_t *answer = json_object();
	json_t *jobs = json_object();
	GHashTableIter iter;
	void *job;
	void *counts;
	char *text;

	g_mutex_lock(&lock);
	json_object_set_new(answer, "total", json_integer((json_int_t)total_starts));
	json_object_set_new(answer, "running", json_integer(running));
	json_object_set_new(answer, "max_running", json_integer(max_running));
	g_hash_table_iter_init(&iter, starts);
	while (!(query && strcmp(query, "total") == 0) &&
	       g_hash_table_iter_next(&iter, &job, &counts))
		json_object_set_new(jobs, job, counts_to_json(counts));
	g_mutex_unlock(&lock);
	json_object_set_new(answer, "jobs", jobs);
	text = json_dumps(answer, JSON_COMPACT);
	respond(conn, 200, "", text, strlen(text));
	free(text);
	json_decref(answer);
	return 200;
}

static int handle_control(struct mg_connection *conn, void *context)
{
	json_t *body = read_json(conn);
	json_error_t error;
	int status = 200;
	int fail_all;
	int hang;
	int stop_renewing;
	int leave;

	g_mutex_lock(&lock);
	fail_all = faults.fail_all;
	hang = faults.hang;
	stop_renewing = faults.stop_renewing;
	leave = faults.leave;
	if (json_unpack_ex(body, &error, JSON_STRICT, "{s?b, s?b, s?F, s?I, s?I, s?I, s?b, s?b}",
			   "fail_all", &fail_all, "hang", &hang, "slow_factor", &faults.slow_factor,
			   "half_answer", &faults.half_answer, "close_before_answer",
			   &faults.close_before_answer, "refuse_not_run", &faults.refuse_not_run,
			   "stop_renewing", &stop_renewing, "leave", &leave) != 0) {
		fprintf(stderr, "control: %s\n", error.text);
		status = 400;
	}
	faults.fail_all = fail_all != 0;
	faults.hang = hang != 0;
	faults.stop_renewing = stop_renewing != 0;
	faults.leave = leave != 0;
	g_mutex_unlock(&lock);
	json_decref(body);
	respond(conn, status, "", "{}", 2);
	return status;
}

static json_t *labels_to_json(void)
{
	json_t *labels = json_object();
	char **pairs = g_strsplit(options.labels ? options.labels : "", ",", -1);

	for (int i = 0; pairs[i]; i++) {
		char *equals = strchr(pairs[i], '=');

		if (!equals)
			continue;
		*equals = '\0';
		json_object_set_new(labels, pairs[i], json_string(equals + 1));
	}
	g_strfreev(pairs);
	return labels;
}

static size_t append_body(char *data, size_t size, size_t count, void *context)
{
	g_string_append_len(context, data, (gssize)(size * count));
	return size * count;
}

/* Sends METHOD /v1/server with BODY to the agent and stores the response body in ANSWER. Returns
 * the HTTP status, or 0 if there was no response. */
static long call_agent(CURL *curl, const char *method, const char *body, GString *answer)
{
	char *url = g_strconcat(options.agent, "/v1/server", NULL);
	struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
	long status = 0;

	g_string_truncate(answer, 0);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)RENEW_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	g_free(url);
	return status;
}

static void *announce_periodically(void *context)
{
	CURL *curl = curl_easy_init();
	GString *answer = g_string_new(NULL);
	json_t *body =
		json_pack("{s:s, s:s, s:i, s:i, s:o, s:i, s:i}", "id", options.id, "url", task_url,
			  "slots", options.slots, "connections", options.connections, "labels",
			  labels_to_json(), "keep_alive_ms", KEEP_ALIVE_MS, "ttl_ms", TTL_MS);
	char *text = json_dumps(body, JSON_COMPACT);
	bool withdrawn = false;

	while (!stopping) {
		bool renewal_stopped;
		bool leave;
		long status;

		g_mutex_lock(&lock);
		renewal_stopped = faults.stop_renewing;
		leave = faults.leave;
		g_mutex_unlock(&lock);
		if (leave && !withdrawn)
			withdrawn = call_agent(curl, "DELETE", "", answer) == 200;
		if (!leave && !renewal_stopped) {
			withdrawn = false;
			status = call_agent(curl, "PUT", text, answer);
			if (status >= 400)
				fprintf(stderr, "announcement refused: %s\n", answer->str);
		}
		/* Sleeps in short steps so that control requests and SIGTERM take effect soon. */
		for (int i = 0; i < RENEW_MS / POLL_MS && !stopping; i++) {
			g_usleep(POLL_MS * 1000);
			g_mutex_lock(&lock);
			leave = faults.leave;
			g_mutex_unlock(&lock);
			if (leave != withdrawn || renewal_stopped != faults.stop_renewing)
				break;
		}
	}
	free(text);
	json_decref(body);
	g_string_free(answer, TRUE);
	curl_easy_cleanup(curl);
	return NULL;
}

/* Withdraws this server from the agent. Returns the number of its tasks that the agent still has
 * running, or 0 if there is no agent or it does not respond with status 200. */
static int64_t withdraw_from_agent(CURL *curl, GString *answer)
{
	json_t *body;
	int64_t count;

	if (!options.agent || call_agent(curl, "DELETE", "", answer) != 200)
		return 0;
	body = json_loads(answer->str, 0, NULL);
	count = json_integer_value(json_object_get(body, "running"));
	json_decref(body);
	return count;
}

/* Withdraws from the agent and waits until neither side has a running task or
 * LEAVE_TIMEOUT_MS have passed. */
static void drain_tasks(void)
{
	CURL *curl = curl_easy_init();
	GString *answer = g_string_new(NULL);
	int64_t deadline_us = timer_clock_us() + (int64_t)LEAVE_TIMEOUT_MS * 1000;
	int64_t remaining;

	do {
		remaining = withdraw_from_agent(curl, answer);
		g_mutex_lock(&lock);
		remaining += running;
		g_mutex_unlock(&lock);
		if (remaining > 0)
			g_usleep(POLL_MS * 1000);
	} while (remaining > 0 && timer_clock_us() < deadline_us);
	g_string_free(answer, TRUE);
	curl_easy_cleanup(curl);
}

static bool parse_options(int argc, char **argv)
{
	const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &options.port,
		 "Port to listen on; 0 chooses a free port", "N"},
		{"announce-port", 0, 0, G_OPTION_ARG_INT, &options.announced_port,
		 "Port to announce instead, if a proxy forwards to this server", "N"},
		{"id", 0, 0, G_OPTION_ARG_STRING, &options.id, "Name of the server", "ID"},
		{"agent", 0, 0, G_OPTION_ARG_STRING, &options.agent, "Agent to announce to", "URL"},
		{"slots", 0, 0, G_OPTION_ARG_INT, &options.slots,
		 "Maximum number of concurrent tasks", "N"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &options.connections,
		 "Maximum number of task connections", "N"},
		{"labels", 0, 0, G_OPTION_ARG_STRING, &options.labels, "Labels", "K=V,..."},
		{"speed", 0, 0, G_OPTION_ARG_DOUBLE, &options.speed,
		 "Multiplier of the sleep time of tasks", "FACTOR"},
		{"jitter", 0, 0, G_OPTION_ARG_DOUBLE, &options.jitter,
		 "Maximum random addition to the sleep time, as a fraction of it", "FRACTION"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Seed of the jitter", "N"},
		{0},
	};
	GOptionContext *context = g_option_context_new("- stand-in for a backend server");
	GError *error = NULL;
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	if (!parsed)
		fprintf(stderr, "%s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	if (!options.id)
		options.id = g_strdup("server");
	return parsed;
}

static struct mg_context *listen_http(void)
{
	struct mg_callbacks callbacks = {0};
	struct mg_server_port port = {0};
	char ports[URL_BYTES];
	char threads[16];
	char keep_alive[16];
	const char *settings[] = {"listening_ports",
				  ports,
				  "num_threads",
				  threads,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  keep_alive,
				  "tcp_nodelay",
				  "1",
				  NULL};
	struct mg_context *http;

	snprintf(ports, sizeof(ports), "127.0.0.1:%d", options.port);
	snprintf(threads, sizeof(threads), "%d", options.connections + CONTROL_THREADS);
	snprintf(keep_alive, sizeof(keep_alive), "%d", KEEP_ALIVE_MS);
	http = mg_start(&callbacks, NULL, settings);
	if (!http || mg_get_server_ports(http, 1, &port) < 1) {
		fprintf(stderr, "cannot listen on %s\n", ports);
		return NULL;
	}
	options.port = port.port;
	snprintf(task_url, sizeof(task_url), "http://127.0.0.1:%d/task",
		 options.announced_port ? options.announced_port : options.port);
	mg_set_request_handler(http, "/task$", handle_task, NULL);
	mg_set_request_handler(http, "/starts$", handle_starts, NULL);
	mg_set_request_handler(http, "/control$", handle_control, NULL);
	return http;
}

int main(int argc, char **argv)
{
	struct mg_context *http;
	pthread_t announcer;
	sigset_t signals;
	int signal_number;

	if (!parse_options(argc, argv))
		return 2;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	mg_init_library(0);
	starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_counts);
	random_source = g_rand_new_with_seed((guint32)options.seed);
	http = listen_http();
	if (!http)
		return 1;
	printf("seed %d\nlistening %d\n", options.seed, options.port);
	fflush(stdout);
	if (options.agent)
		pthread_create(&announcer, NULL, announce_periodically, NULL);
	sigwait(&signals, &signal_number);
	stopping = true;
	if (options.agent)
		pthread_join(announcer, NULL);
	drain_tasks();
	mg_stop(http);
	g_rand_free(random_source);
	g_hash_table_destroy(starts);
	return 0;
}
