#include "node_clients.h"

#include <string.h>

#include "client_api.h"
#include "event.h"
#include "node_metrics.h"
#include "node_peers.h"

enum {
	/* HTTP limits until a configuration is in force. */
	DEFAULT_HEADER_MAX_BYTES = 16384,
	DEFAULT_BODY_MAX_BYTES = 262144,
	DEFAULT_HEADER_LIMIT_MS = 3000,
	DEFAULT_IDLE_LIMIT_MS = 15000,
	MIN_ESTIMATE_MS = 1,
	/* Subtracted from the wait time that a client states in its request, so that the answer
	 * reaches the client before its deadline. */
	ANSWER_MARGIN_MS = 15,
	/* How long a request that arrives before the first configuration waits for it. */
	MAX_CONFIG_WAIT_MS = 400
};

/* A submission whose job has not ended. */
struct submission {
	struct node_entry *entry;
	struct http_request *request; /* NULL once the client has disconnected */
	char id[CLIENT_JOB_ID_BYTES];
	bool over; /* not used */
};

static void answer_error(struct http_request *request, const struct error *err, const char *id)
{
	event_log(EVENT_REQUEST_REFUSED, EV_S("job", id), EV_S("status", status_name(err->status)),
		  EV_S("reason", err->message));
	counter_add(&node_metrics[NODE_METRIC_REFUSED_REQUESTS], 1);
	client_answer_error(request, err);
}

static void submit_job(struct node_entry *entry, const struct route *route,
		       struct http_request *request, const struct client_request *parsed,
		       int64_t arrived_us)
{
	struct submission *submission;
	struct client_job job;
	struct error err;
	size_t length;
	const char *body = http_request_body(request, &length);
	int64_t now_us = entry->loop.now_us;
	int64_t wait_us = parsed->wait_ms > 0 ? (parsed->wait_ms - ANSWER_MARGIN_MS) * US_PER_MS
					      : route->timeout_us;

	if (client_job_parse(body, length, &job, &err) != STATUS_OK) {
		answer_error(request, &err, parsed->id);
		return;
	}
	submission = g_new0(struct submission, 1);
	submission->entry = entry;
	submission->request = request;
	g_strlcpy(submission->id, parsed->id, sizeof(submission->id));
	http_request_set_context(request, submission);
	entry->unfinished_submissions++;
	counter_add(&node_metrics[NODE_METRIC_JOBS], 1);
	dispatch_submit(
		&entry->dispatch,
		&(struct job_request){
			.id = parsed->id,
			.queue = route->name,
			.service = route->service,
			.spec = job.spec,
			.tasks = job.task_count,
			.need = job.task_resources,
			.estimate_us = MAX(job.estimated_run_ms, MIN_ESTIMATE_MS) * US_PER_MS,
			.priority = route->priority,
			.max_attempts = route->max_attempts,
			.stretch = route->stretch,
			.slack_us = route->slack_us,
			.arrived_us = arrived_us,
			.deadline_us = arrived_us + wait_us,
			.context = submission,
		},
		now_us);
	client_job_clear(&job);
}

void node_clients_job_finished(void *context, const char *id, void *job_context,
			       const struct job_end *end)
{
	struct submission *submission = job_context;
	struct node_entry *entry = submission->entry;

	event_log(EVENT_JOB_ENDED, EV_S("job", id), EV_S("status", status_name(end->status)),
		  EV_S("outcome", end->status == STATUS_OK ? "" : outcome_name(end->outcome)),
		  EV_S("reason", end->reason), EV_I("tasks", end->tasks), EV_I("runs", end->runs),
		  EV_I("objective_ms", end->objective_us / US_PER_MS),
		  EV_I("first_order_ms", end->first_order_us / US_PER_MS),
		  EV_I("last_order_ms", end->last_order_us / US_PER_MS),
		  EV_I("expected_wait_ms", end->expected_wait_us / US_PER_MS),
		  EV_I("elapsed_ms", end->elapsed_us / US_PER_MS));
	node_metrics_job_ended(end);
	if (end->crashed_task) {
		char *servers = crash_record_server_names(end->crashed_task);

		event_log(EVENT_TASK_GIVEN_UP, EV_S("task", end->crashed_task->task),
			  EV_I("crashes", end->crashed_task->servers->len),
			  EV_S("servers", servers));
		g_free(servers);
	}
	if (end->status == STATUS_OK || end->status == STATUS_TASK_FAILED)
		ended_jobs_record(&entry->ended_jobs, client_job_number(id),
				  end->status == STATUS_OK, true, entry->loop.now_us);
	if (submission->request)
		client_answer_job_end(submission->request, end);
	entry->unfinished_submissions--;
	g_free(submission);
}

static void answer_job_state(struct node_entry *entry, struct http_request *request, const char *id)
{
	bool started;

	const struct ended_job *ended =
		ended_jobs_find(&entry->ended_jobs, client_job_number(id), entry->loop.now_us);

	if (ended)
		client_answer_result(request, ended->completed);
	else if (dispatch_job_unfinished(&entry->dispatch, id, &started))
		client_answer_state(request, started);
	else
		client_answer_gone(request);
}

static void cancel_job(struct node_entry *entry, struct http_request *request, const char *id)
{
	if (dispatch_end_job(&entry->dispatch, id, STATUS_CANCELLED, "cancelled by its client",
			     entry->loop.now_us))
		client_answer_empty(request);
	else
		client_answer_gone(request);
}

/* A request that waits for the first configuration. */
struct pending_request {
	struct node_entry *entry;
	struct http_request *request;
	int64_t arrived_us;
};

static void refuse_without_config(struct http_request *request)
{
	struct error err;

	error_set(&err, STATUS_LOG_UNAVAILABLE, "no configuration is known yet");
	answer_error(request, &err, "");
}

static void refuse_expired_requests(void *context, int64_t now_us)
{
	struct node_entry *entry = context;

	while (entry->pending_requests->len > 0) {
		struct pending_request *pending =
			&g_array_index(entry->pending_requests, struct pending_request, 0);
		struct http_request *request = pending->request;

		if (now_us - pending->arrived_us < MAX_CONFIG_WAIT_MS * US_PER_MS)
			return;
		g_array_remove_index(entry->pending_requests, 0);
		refuse_without_config(request);
	}
}

void node_clients_refuse_pending(struct node_entry *entry)
{
	while (entry->pending_requests->len > 0) {
		struct http_request *request =
			g_array_index(entry->pending_requests, struct pending_request, 0).request;

		g_array_remove_index(entry->pending_requests, 0);
		refuse_without_config(request);
	}
}

static void add_pending_request(struct node_entry *entry, struct http_request *request)
{
	const struct pending_request pending = {
		.entry = entry, .request = request, .arrived_us = entry->loop.now_us};

	g_array_append_val(entry->pending_requests, pending);
	timer_subscribe(&entry->loop.timers, entry->loop.now_us + MAX_CONFIG_WAIT_MS * US_PER_MS, 0,
			refuse_expired_requests, entry);
}

/* Answers a submission whose job has already ended, here or at another entry. Returns false if no
 * such job is known. */
static bool answer_ended_job(struct node_entry *entry, struct http_request *request,
			     const struct client_request *parsed)
{
	const struct ended_job *ended =
		ended_jobs_find(&entry->ended_jobs, parsed->job_number, entry->loop.now_us);

	if (!ended)
		return false;
	event_log(EVENT_JOB_REPEATED, EV_S("job", parsed->id),
		  EV_S("outcome", ended->completed ? "completed" : "failed"),
		  EV_S("source", ended->ended_here ? "here" : "another entry"),
		  EV_I("age_ms", (entry->loop.now_us - ended->ended_us) / US_PER_MS));
	client_answer_result(request, ended->completed);
	return true;
}

static void route_request(struct node_entry *entry, struct http_request *request,
			  int64_t arrived_us)
{
	const char *host = http_request_header(request, "Host");
	const struct route *route;
	struct client_request parsed;
	struct error err;

	route = route_find(entry->config.table, host ? host : "", http_request_path(request));
	if (!route) {
		error_set(&err, STATUS_NOT_FOUND,
			  "no route for %s%s in version %llu, unconfirmed for %lld ms",
			  host ? host : "", http_request_path(request),
			  (unsigned long long)entry->config.table->version,
			  (long long)node_config_unconfirmed_ms(&entry->config));
		answer_error(request, &err, "");
		return;
	}
	if (client_request_parse(request, strlen(route->path_prefix), &parsed, &err) != STATUS_OK) {
		answer_error(request, &err, parsed.id);
		return;
	}
	switch (parsed.action) {
	case CLIENT_SUBMIT:
		if (!answer_ended_job(entry, request, &parsed))
			submit_job(entry, route, request, &parsed, arrived_us);
		break;
	case CLIENT_STATE:
		answer_job_state(entry, request, parsed.id);
		break;
	case CLIENT_CANCEL:
		cancel_job(entry, request, parsed.id);
		break;
	case CLIENT_PENDING:
		client_answer_pending(request,
				      dispatch_pending_jobs(&entry->dispatch, route->name) +
					      node_peers_count_pending(entry, route->name));
		break;
	}
}

static void on_request(void *context, struct http_request *request)
{
	struct node_entry *entry = context;

	if (entry->config.table)
		route_request(entry, request, entry->loop.now_us);
	else if (entry->loop.stopping)
		refuse_without_config(request);
	else
		add_pending_request(entry, request);
}

static void remove_pending_request(struct node_entry *entry, const struct http_request *request)
{
	for (guint i = 0; i < entry->pending_requests->len; i++) {
		if (g_array_index(entry->pending_requests, struct pending_request, i).request ==
		    request) {
			g_array_remove_index(entry->pending_requests, i);
			return;
		}
	}
}

static void on_disconnected(void *context, struct http_request *request)
{
	struct node_entry *entry = context;
	struct submission *submission = http_request_context(request);

	if (!submission) {
		remove_pending_request(entry, request);
		return;
	}
	submission->request = NULL;
	dispatch_end_job(&entry->dispatch, submission->id, STATUS_CANCELLED,
			 "the client disconnected", entry->loop.now_us);
}

static const struct http_server_callbacks callbacks = {
	.on_request = on_request,
	.on_disconnected = on_disconnected,
};

void node_clients_apply_config(struct node_entry *entry, const struct route_table *table)
{
	http_server_set_options(entry->client_server,
				&(struct http_server_options){
					.header_max_bytes = table->header_max_bytes,
					.body_max_bytes = table->body_max_bytes,
					.request_limit_ms = table->header_limit_ms,
					.idle_limit_ms = table->idle_limit_ms,
				});
	while (entry->pending_requests->len > 0) {
		const struct pending_request pending =
			g_array_index(entry->pending_requests, struct pending_request, 0);

		g_array_remove_index(entry->pending_requests, 0);
		route_request(entry, pending.request, pending.arrived_us);
	}
}

enum status node_clients_start(struct node_entry *entry, struct error *err)
{
	const struct http_server_options options = {
		.header_max_bytes = DEFAULT_HEADER_MAX_BYTES,
		.body_max_bytes = DEFAULT_BODY_MAX_BYTES,
		.request_limit_ms = DEFAULT_HEADER_LIMIT_MS,
		.idle_limit_ms = DEFAULT_IDLE_LIMIT_MS,
	};

	entry->pending_requests = g_array_new(FALSE, FALSE, sizeof(struct pending_request));
	return http_server_listen(&entry->loop, entry->settings->client_address, &options,
				  &callbacks, entry, &entry->client_server, err);
}
