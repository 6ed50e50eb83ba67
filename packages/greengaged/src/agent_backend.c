#include "agent_backend.h"

#include <string.h>

#include "event.h"

enum {
	TICK_MS = 50,
	/* With a longer time between two ticks, this process has not run meanwhile. */
	MAX_TICK_GAP_MS = TICK_MS + 10,
	ORDER_CONNECTIONS = 8, /* an unanswered order occupies a connection until its timeout */
	HOLD_CONNECTIONS = 4,
	CLIENT_IDLE_LIMIT_MS = 10000,
	ANSWER_MAX_BYTES = 4 << 20,
	/* An order is considered unanswered after this many times the mean answer time. */
	ORDER_TIMEOUT_FACTOR = 8,
	ORDER_TIMEOUT_MIN_MS = 20,
	ORDER_TIMEOUT_MAX_MS = 150,
	MAX_POLL_TIMEOUT_DOUBLINGS = 3,
	/* Added to the server's wait time to get the timeout of a long poll. While answers are
	 * being lost, the order timeout is added instead. */
	LONG_POLL_MARGIN_MS = 60,
	/* Longest time that the server may hold a long poll open before it answers without a run
	 * having ended: */
	IDLE_WAIT_MS = 1000, /* while there are no runs */
	BUSY_WAIT_MS = 150,  /* while there are runs */
	LOSSY_WAIT_MS = 30,  /* while there are runs, and calls have timed out recently */
	/* Number of concurrent long polls while there are runs. With a single one, a lost answer
	 * would hide the ends of all runs until the timeout. */
	BUSY_LONG_POLLS = 2,
	/* Number of concurrent long polls while answers are being lost. With three long polls of
	 * LOSSY_WAIT_MS, there is nearly always one whose answer is not lost. */
	LOSSY_LONG_POLLS = 3,
	LOSSY_PERIOD_MS = 1000, /* how long after a timeout answers are assumed to be lost */
	/* The server counts as unreachable when a hold fails and the last lists are older than
	 * this time. */
	UNREACHABLE_TIMEOUT_MS = 400,
	/* While there are runs, the lease is renewed this long after its last renewal. */
	LEASE_RENEWAL_MS = 200,
	ANSWER_TIME_DIVISOR = 16, /* EWMA: one answer has a weight of 1/16 */
	LONG_POLL_RETRY_MS = 100,
	/* Added to an epoch that the server has rejected. An agent uses the wall clock in ms as its
	 * first epoch. */
	EPOCH_STEP = 60000,
	/* Waiting runs may need at most this share of the server's total cpu. At this limit, a run
	 * waits about 15 ms. */
	WAITING_PERMILLE = 100,
	CLOCK_DRIFT_PERMILLE = NODE_CLOCK_DRIFT_PERCENT * 10,
	TRIAL_INTERVAL_MS = 1500,
	QUARANTINE_FAILURES = 4,
	QUARANTINE_FIRST_MS = 500,
	QUARANTINE_MAX_MS = 4000,
	HEADER_MAX_BYTES = 16384,
	BODY_MAX_BYTES = 4 << 20, /* heartbeats may be this large */
	HEADER_LIMIT_MS = 3000,
	CONTROL_IDLE_LIMIT_MS = 60000,
	IGNORED_LOG_INTERVAL_MS = 1000
};

static void notify_state_changed(struct backend *backend)
{
	backend->callbacks.state_changed(backend->callbacks.context);
}

/* Returns how long a start remains valid: 80 % of the lease, so that the server refuses a start
 * that is delayed until shortly before the end of the lease. */
static int64_t start_validity_ms(const struct backend *backend)
{
	return backend->lease_ms * 8 / 10;
}

/* Returns the time on the server's clock from which leases are counted. */
static int64_t lease_clock_ms(const struct backend *backend)
{
	return presence_slow_clock_ms(&backend->presence, CLOCK_DRIFT_PERMILLE,
				      backend->loop->now_us);
}

/* Counts an ignored message. Returns the number of messages to log, which is 0 until
 * IGNORED_LOG_INTERVAL_MS have passed since the last line. */
static uint32_t count_ignored_message(struct backend *backend)
{
	int64_t now_us = backend->loop->now_us;
	uint32_t count = ++backend->ignored_unlogged;

	if (backend->ignored_logged_us > 0 &&
	    now_us - backend->ignored_logged_us < IGNORED_LOG_INTERVAL_MS * US_PER_MS)
		return 0;
	backend->ignored_logged_us = now_us;
	backend->ignored_unlogged = 0;
	return count;
}

static void log_ignored_message(struct backend *backend, const char *source, const char *id,
				int64_t start_time_ms, const char *reason)
{
	uint32_t count = count_ignored_message(backend);

	if (count > 0)
		event_log(EVENT_SERVER_MESSAGE_IGNORED, EV_S("server", id), EV_S("source", source),
			  EV_S("reason", reason), EV_I("started_ms", start_time_ms),
			  EV_I("current_ms", backend->presence.start_time_ms),
			  EV_I("count", count));
}

static void log_invalid_heartbeat(struct backend *backend, const char *id, const char *reason)
{
	uint32_t count = count_ignored_message(backend);

	if (count > 0)
		event_log(EVENT_HEARTBEAT_INVALID, EV_S("server", id), EV_S("reason", reason),
			  EV_I("count", count));
}

/* Applies what ANSWER tells of the server's process. If another process than before has answered,
 * resets the state that depends on the incarnation, and the runs of the previous one are lost.
 * Returns false if the answer is from a process that has been replaced. */
static bool accept_answer(struct backend *backend, const struct server_answer *answer)
{
	struct presence *presence = &backend->presence;
	int64_t previous_ms = presence->start_time_ms;

	switch (presence_on_answer(presence, answer)) {
	case ANSWER_CURRENT:
		return true;
	case ANSWER_OLD:
		log_ignored_message(backend, "answer", presence->identity.id, answer->start_time_ms,
				    "process that has been replaced");
		return false;
	case ANSWER_CONTRADICTS:
		/* Only new connections can tell which process there is. */
		log_ignored_message(backend, "answer", presence->identity.id, answer->start_time_ms,
				    "two start times on one connection");
		backend->reconnect_requested = true;
		return false;
	case ANSWER_NEW_INCARNATION:
		break;
	}
	if (previous_ms != 0)
		event_log(EVENT_SERVER_RESTARTED, EV_S("server", presence->identity.id),
			  EV_I("started_ms", answer->start_time_ms), EV_I("before_ms", previous_ms),
			  EV_I("runs_lost", table_count(&backend->runs.table)));
	backend->replacements++;
	backend->lists_applied = false;
	runs_server_replaced(&backend->runs, backend->loop->now_us);
	return true;
}

/* Returns the time after which an order is considered unanswered. */
static int64_t order_timeout_ms(const struct backend *backend)
{
	return CLAMP(ORDER_TIMEOUT_FACTOR * backend->order_answer_us / US_PER_MS,
		     ORDER_TIMEOUT_MIN_MS, ORDER_TIMEOUT_MAX_MS);
}

/* Returns the timeout of an immediate poll. It doubles with each consecutive failure, at most
 * MAX_POLL_TIMEOUT_DOUBLINGS times, because each poll of a server that hangs occupies a connection
 * until the timeout. */
static int64_t immediate_poll_timeout_ms(const struct backend *backend)
{
	return order_timeout_ms(backend)
	       << MIN(backend->failed_immediate_polls, MAX_POLL_TIMEOUT_DOUBLINGS);
}

static void update_order_answer_time(struct backend *backend, const struct http_response *reply)
{
	if (reply->status == STATUS_OK)
		backend->order_answer_us +=
			(reply->elapsed_us - backend->order_answer_us) / ANSWER_TIME_DIVISOR;
}

static void record_timeout(struct backend *backend, const struct http_response *reply)
{
	if (reply->status == STATUS_TIMEOUT && reply->connection_assigned)
		backend->last_timeout_us = backend->loop->now_us;
}

static void set_reachable(struct backend *backend, bool reachable, const char *reason)
{
	if (backend->reachable == reachable)
		return;
	backend->reachable = reachable;
	if (reachable)
		event_log(EVENT_SERVER_REACHABLE, EV_S("server", backend->presence.identity.id));
	else
		event_log(EVENT_SERVER_UNREACHABLE, EV_S("server", backend->presence.identity.id),
			  EV_S("reason", reason), EV_I("runs", table_count(&backend->runs.table)));
	notify_state_changed(backend);
}

static void settle_heartbeats(struct backend *backend, int64_t asked_us);

/* Applies the fields that every answer contains. ASKED_US and EPOCH are the time of the call and
 * the epoch sent with it. Returns false if the answer is from an earlier incarnation of the
 * server. */
static bool apply_common_fields(struct backend *backend, const struct http_response *reply,
				const struct server_reply *parsed, int64_t asked_us, int64_t epoch)
{
	const struct server_answer answer = {
		.start_time_ms = parsed->start_time_ms,
		.clock_ms = parsed->clock_ms,
		.connection = reply->connection,
		.received_us = backend->loop->now_us,
	};

	if (!parsed->answered)
		return true;
	if (!accept_answer(backend, &answer))
		return false;
	/* A call whose epoch has been raised since may only have been overtaken. */
	if (parsed->stale_epoch && epoch == backend->runs.epoch) {
		backend->runs.epoch += EPOCH_STEP;
		event_log(EVENT_EPOCH_RAISED, EV_I("epoch", backend->runs.epoch));
	}
	settle_heartbeats(backend, asked_us);
	return true;
}

/* An order that has not been answered. */
struct pending_order {
	struct backend *backend;
	struct handle run;
	char id[NAME_BYTES];   /* of the server that it was meant for */
	uint32_t replacements; /* backend.replacements when it was sent */
	int64_t sent_us;
	int64_t epoch;
};

static struct pending_order *pending_order_new(struct backend *backend, struct handle run)
{
	struct pending_order *order = g_new(struct pending_order, 1);

	*order = (struct pending_order){
		.backend = backend,
		.run = run,
		.replacements = backend->replacements,
		.sent_us = backend->loop->now_us,
		.epoch = backend->runs.epoch,
	};
	g_strlcpy(order->id, backend->presence.identity.id, sizeof(order->id));
	return order;
}

/* Applies what the answer to an order tells of the server. Returns false if the answer may be from
 * a process of the server that has been replaced since. */
static bool apply_order_answer(struct backend *backend, const struct pending_order *order,
			       const struct http_response *reply, const struct server_reply *parsed)
{
	if (!apply_common_fields(backend, reply, parsed, order->sent_us, order->epoch))
		return false;
	if (parsed->wrong_instance && presence_on_id_rejected(&backend->presence, order->id))
		notify_state_changed(backend);
	return order->replacements == backend->replacements || parsed->start_time_ms != 0;
}

/* Sends a POST request and frees EXTRA, which contains additional header lines or is NULL. */
static void send_call(struct http_client *client, const char *path, const char *body,
		      int64_t timeout_ms, http_response_callback callback, void *context,
		      char *extra)
{
	http_client_call(client, &(struct http_call){
					 .method = "POST",
					 .path = path,
					 .extra_headers = extra,
					 .body = body,
					 .length = strlen(body),
					 .timeout_ms = timeout_ms,
					 .callback = callback,
					 .context = context,
				 });
	g_free(extra);
}

/* Returns how a call with a lease has ended. One that was sent may be carried out although the
 * server has not said so. */
static enum lease_end lease_end(const struct http_response *reply,
				const struct server_reply *parsed)
{
	if (parsed->answered || !reply->connection_assigned || reply->connection_refused)
		return LEASE_ANSWERED;
	return reply->status == STATUS_NETWORK ? LEASE_CONNECTION_LOST : LEASE_UNANSWERED;
}

static void on_start_answered(void *context, const struct http_response *reply)
{
	struct pending_order *order = context;
	struct backend *backend = order->backend;
	struct server_reply parsed;

	update_order_answer_time(backend, reply);
	record_timeout(backend, reply);
	server_reply_parse(reply, &parsed);
	if (!parsed.answered && reply->connection_refused)
		parsed.start_answer = START_NOT_SENT;
	if (!apply_order_answer(backend, order, reply, &parsed) && parsed.answered)
		parsed = (struct server_reply){.start_answer = START_UNANSWERED};
	runs_lease_ended(&backend->runs, order->epoch, order->sent_us,
			 parsed.start_answer == START_UNANSWERED ? LEASE_UNANSWERED
								 : LEASE_ANSWERED,
			 backend->loop->now_us);
	runs_start_answered(&backend->runs, order->run, parsed.start_answer, backend->loop->now_us);
	notify_state_changed(backend);
	g_free(order);
}

static void order_start(void *context, struct handle run_handle)
{
	struct backend *backend = context;
	struct run *run = table_get(&backend->runs.table, run_handle);
	struct server_start start = {
		.task = run->task,
		.attempt = run->attempt,
		.expires_clock_ms = lease_clock_ms(backend) + start_validity_ms(backend),
		.epoch = run->epoch,
	};
	char *body;

	start.spec = g_bytes_get_data(run->spec, &start.spec_length);
	body = server_start_body(&start);
	runs_lease_sent(&backend->runs, backend->loop->now_us);
	backend->lease_sent_us = backend->loop->now_us;
	send_call(backend->order_client, SERVER_START_PATH, body, order_timeout_ms(backend),
		  on_start_answered, pending_order_new(backend, run_handle),
		  server_id_header(backend->presence.identity.id));
	g_free(body);
}

static void on_stop_answered(void *context, const struct http_response *reply)
{
	struct pending_order *order = context;
	struct backend *backend = order->backend;
	struct server_reply parsed;
	bool current;

	server_reply_parse(reply, &parsed);
	current = apply_order_answer(backend, order, reply, &parsed);
	runs_stop_answered(&backend->runs, order->run,
			   current && parsed.answered && parsed.start_answer == START_STARTED,
			   backend->loop->now_us);
	g_free(order);
}

static void order_stop(void *context, const char *task, uint32_t attempt, struct handle run_handle)
{
	struct backend *backend = context;
	char *body = server_stop_body(task, attempt, backend->runs.epoch);

	send_call(backend->order_client, SERVER_STOP_PATH, body, order_timeout_ms(backend),
		  on_stop_answered, pending_order_new(backend, run_handle),
		  server_id_header(backend->presence.identity.id));
	g_free(body);
}

/* A hold that has not been answered. */
struct pending_hold {
	struct backend *backend;
	int64_t sent_us;
	int64_t epoch;
	bool long_poll;
	bool contains_lease;
};

static void send_hold(struct backend *backend, bool long_poll);

/* Returns whether answers have been lost recently. If no run lists have arrived within twice
 * LOSSY_WAIT_MS, returns false, so that a server that answers nothing is not polled more often. */
static bool is_lossy(const struct backend *backend)
{
	int64_t now_us = backend->loop->now_us;

	return backend->last_timeout_us > 0 &&
	       now_us - backend->last_timeout_us < LOSSY_PERIOD_MS * US_PER_MS &&
	       now_us - backend->lists_received_us < 2 * LOSSY_WAIT_MS * US_PER_MS;
}

/* Sends long polls until there are as many as the state of the server requires. */
static void start_long_polls(struct backend *backend)
{
	uint32_t target = 1;

	if (table_count(&backend->runs.table) > 0)
		target = is_lossy(backend) ? LOSSY_LONG_POLLS : BUSY_LONG_POLLS;

	while (backend->long_polls < target)
		send_hold(backend, true);
}

static void on_long_poll_retry(void *context, int64_t now_us)
{
	start_long_polls(context);
}

static void handle_hold_failure(struct backend *backend, const struct http_response *reply,
				bool long_poll, const struct error *err)
{
	int64_t now_us = backend->loop->now_us;
	/* After a crash connections are refused and existing ones are closed. A network can do the
	 * same to a server that runs on. */
	bool suspected = reply->connection_refused &&
			 !http_client_connected(backend->hold_client) &&
			 !http_client_connected(backend->order_client);

	/* A closed connection tells of the end of the server at once; the next call shows whether
	 * it is refused. Failed immediate polls are not repeated, or a server that closes each
	 * connection would be called without a pause. */
	if (long_poll && reply->status == STATUS_NETWORK && !reply->connection_refused)
		backend->immediate_poll_requested = true;
	if (suspected)
		runs_server_suspected(&backend->runs, now_us);
	if (suspected || now_us - backend->lists_received_us > UNREACHABLE_TIMEOUT_MS * US_PER_MS)
		set_reachable(backend, false, err->message);
}

static void on_hold_answered(void *context, const struct http_response *reply)
{
	struct pending_hold *hold = context;
	struct backend *backend = hold->backend;
	struct server_run_lists lists;
	struct server_reply parsed;
	struct error err;
	bool valid;

	record_timeout(backend, reply);
	if (hold->long_poll) {
		backend->long_polls--;
	} else {
		backend->immediate_poll_active = false;
		/* A poll that timed out is repeated, because a run may be held up until the result
		 * of the poll is known. */
		backend->immediate_poll_requested =
			backend->immediate_poll_requested || reply->status == STATUS_TIMEOUT;
		backend->failed_immediate_polls =
			reply->status == STATUS_OK ? 0 : backend->failed_immediate_polls + 1;
	}
	valid = server_run_lists_parse(reply, &parsed, &lists, &err) == STATUS_OK;
	if (!apply_common_fields(backend, reply, &parsed, hold->sent_us, hold->epoch))
		valid = false;
	if (hold->contains_lease)
		runs_lease_ended(&backend->runs, hold->epoch, hold->sent_us,
				 lease_end(reply, &parsed), backend->loop->now_us);
	backend->hold_failed = !valid;
	if (valid) {
		backend->lists_received_us = backend->loop->now_us;
		set_reachable(backend, true, NULL);
		runs_apply_lists(&backend->runs, &lists.runs, hold->epoch, hold->sent_us,
				 backend->loop->now_us);
		backend->lists_applied = true;
		notify_state_changed(backend);
	} else if (!parsed.answered) {
		handle_hold_failure(backend, reply, hold->long_poll, &err);
	}
	server_run_lists_clear(&lists);
	/* A timeout has already delayed the next long poll. Other failures may return at once, so a
	 * failed long poll is repeated after LONG_POLL_RETRY_MS. */
	if (valid || parsed.stale_epoch || reply->status == STATUS_TIMEOUT)
		start_long_polls(backend);
	else if (hold->long_poll)
		timer_subscribe(&backend->loop->timers,
				backend->loop->now_us + LONG_POLL_RETRY_MS * US_PER_MS, 0,
				on_long_poll_retry, backend);
	g_free(hold);
}

/* Returns how long the server is to wait for a run to end before it answers a long poll. */
static int64_t long_poll_wait_ms(const struct backend *backend, bool lossy)
{
	if (table_count(&backend->runs.table) == 0)
		return IDLE_WAIT_MS;
	return lossy ? LOSSY_WAIT_MS : BUSY_WAIT_MS;
}

/* Sends a long poll or an immediate poll. */
static void send_hold(struct backend *backend, bool long_poll)
{
	struct pending_hold *hold = g_new(struct pending_hold, 1);
	/* While the server is unreachable, or its clock or its runs are unknown, even a long poll
	 * asks for an immediate answer, because the answer contains the clock and the runs. */
	bool known = backend->lists_applied && backend->reachable && backend->presence.clock_ms > 0;
	/* After a failure the next answer may be that of a new process, which numbers its ends
	 * from 1 again and would forget as many as the old one had listed. */
	uint64_t acknowledged_end = backend->hold_failed ? 0 : backend->runs.last_processed_end;
	bool lossy = is_lossy(backend);
	int64_t wait_ms = long_poll && known ? long_poll_wait_ms(backend, lossy) : 0;
	int64_t margin_ms = lossy ? order_timeout_ms(backend) : LONG_POLL_MARGIN_MS;
	int64_t expires_ms = 0;
	char *body;

	*hold = (struct pending_hold){
		.backend = backend,
		.sent_us = backend->loop->now_us,
		.epoch = backend->runs.epoch,
		.long_poll = long_poll,
	};
	/* A start brings its own lease. Before the first lists, the server may have runs that
	 * should have ended. */
	if (table_count(&backend->runs.table) > 0 && backend->lists_applied &&
	    backend->presence.clock_ms > 0 &&
	    runs_may_lease(&backend->runs, backend->loop->now_us)) {
		expires_ms = lease_clock_ms(backend) + backend->lease_ms;
		runs_lease_sent(&backend->runs, backend->loop->now_us);
		backend->lease_sent_us = backend->loop->now_us;
		hold->contains_lease = true;
	}
	if (long_poll)
		backend->long_polls++;
	else
		backend->immediate_poll_active = true;
	body = server_hold_body(expires_ms, backend->runs.epoch, acknowledged_end, wait_ms);
	send_call(backend->hold_client, SERVER_HOLD_PATH, body,
		  long_poll ? wait_ms + margin_ms : immediate_poll_timeout_ms(backend),
		  on_hold_answered, hold, NULL);
	g_free(body);
}

static void request_immediate_poll(void *context)
{
	struct backend *backend = context;

	backend->immediate_poll_requested = true;
}

void backend_send_requested_poll(struct backend *backend)
{
	if (backend->reconnect_requested) {
		backend->reconnect_requested = false;
		backend_close_connections(backend);
	}
	if (!backend->immediate_poll_requested || backend->immediate_poll_active)
		return;
	backend->immediate_poll_requested = false;
	send_hold(backend, false);
}

/* Logs the start or end of a quarantine since the last call. */
static void log_health_change(struct backend *backend)
{
	bool quarantined = backend->runs.health.state == HEALTH_QUARANTINED;

	if (quarantined == backend->logged_quarantined)
		return;
	backend->logged_quarantined = quarantined;
	event_log(quarantined ? EVENT_SERVER_QUARANTINED : EVENT_SERVER_RECOVERED,
		  EV_S("server", backend->presence.identity.id),
		  EV_I("streak", backend->runs.health.failure_streak),
		  EV_I("backoff_ms", backend->runs.health.backoff_us / US_PER_MS));
	notify_state_changed(backend);
}

static void tick(void *context, int64_t now_us)
{
	struct backend *backend = context;
	bool busy = table_count(&backend->runs.table) > 0;

	if (now_us - backend->ticked_us > MAX_TICK_GAP_MS * US_PER_MS)
		runs_paused(&backend->runs, now_us - backend->ticked_us - TICK_MS * US_PER_MS);
	backend->ticked_us = now_us;
	runs_tick(&backend->runs, now_us);
	log_health_change(backend);
	if (busy && backend->long_polls < BUSY_LONG_POLLS && backend->reachable)
		start_long_polls(backend);
	if (busy && !backend->runs.suspected &&
	    now_us - backend->lease_sent_us > LEASE_RENEWAL_MS * US_PER_MS)
		backend->immediate_poll_requested = true;
}

/* Applies a heartbeat that the presence has accepted. KNOWN tells whether the server's identity was
 * known before. */
static void apply_heartbeat(struct backend *backend, const struct heartbeat *heartbeat, bool known)
{
	const struct presence *presence = &backend->presence;
	const struct server_identity *identity = &presence->identity;

	if (!known)
		event_log(EVENT_SERVER_ANNOUNCED, EV_S("server", identity->id),
			  EV_S("service", identity->service), EV_I("cpu", presence->resources.cpu),
			  EV_I("started_ms", presence->start_time_ms));
	if (!resources_equal(&backend->runs.total_resources, &presence->resources))
		event_log(EVENT_SERVER_CAPACITY, EV_S("server", identity->id),
			  EV_I("cpu", presence->resources.cpu),
			  EV_I("memory_mb", presence->resources.memory_mb),
			  EV_I("gpus", presence->resources.gpus),
			  EV_I("runs", table_count(&backend->runs.table)));
	if (presence->leaving && !backend->runs.server_leaving)
		event_log(EVENT_SERVER_LEAVING, EV_S("server", identity->id),
			  EV_I("remaining_ms", heartbeat->remaining_ms),
			  EV_I("runs", table_count(&backend->runs.table)));
	runs_server_present(&backend->runs, &presence->resources, presence->leaving);
	notify_state_changed(backend);
}

static void handle_verdict(struct backend *backend, const struct heartbeat *heartbeat,
			   enum heartbeat_verdict verdict, bool known)
{
	switch (verdict) {
	case HEARTBEAT_ACCEPTED:
		apply_heartbeat(backend, heartbeat, known);
		break;
	case HEARTBEAT_UNCONFIRMED:
		backend->immediate_poll_requested = true;
		break;
	case HEARTBEAT_SUPERSEDED:
		break; /* a later heartbeat arrived first */
	case HEARTBEAT_OTHER_INCARNATION:
	case HEARTBEAT_CLOCK_AHEAD:
	case HEARTBEAT_OTHER_IDENTITY:
		log_ignored_message(backend, "heartbeat", heartbeat->identity.id,
				    heartbeat->start_time_ms, heartbeat_verdict_name(verdict));
		notify_state_changed(backend);
		break;
	}
}

/* Judges the heartbeats that waited for an answer to a call made at ASKED_US or later. */
static void settle_heartbeats(struct backend *backend, int64_t asked_us)
{
	bool known = backend->presence.heartbeat_seen;
	enum heartbeat_verdict verdict;
	struct heartbeat heartbeat;

	while (presence_next_confirmed(&backend->presence, asked_us, backend->loop->now_us,
				       &heartbeat, &verdict)) {
		handle_verdict(backend, &heartbeat, verdict, known);
		known = backend->presence.heartbeat_seen;
	}
}

static void handle_heartbeat(struct backend *backend, struct heartbeat *heartbeat)
{
	bool known = backend->presence.heartbeat_seen;
	enum heartbeat_verdict verdict;

	heartbeat->received_us = backend->loop->now_us;
	verdict = presence_on_heartbeat(&backend->presence, heartbeat, backend->loop->now_us);
	handle_verdict(backend, heartbeat, verdict, known);
}

static void on_control_request(void *context, struct http_request *request)
{
	struct backend *backend = context;
	struct heartbeat heartbeat;
	char id[NAME_BYTES];
	struct error err;
	const char *body;
	size_t length;

	body = http_request_body(request, &length);
	switch (server_message_parse(request, id)) {
	case SERVER_HEARTBEAT:
		if (server_heartbeat_parse(id, body, length, &heartbeat, &err) != STATUS_OK) {
			log_invalid_heartbeat(backend, id, err.message);
			server_answer_error(request, &err);
			return;
		}
		handle_heartbeat(backend, &heartbeat);
		server_answer_empty(request);
		return;
	case SERVER_DEREGISTER:
		if (presence_on_deregistration(&backend->presence, id,
					       server_deregistration_start_time(body, length))) {
			backend->runs.server_leaving = true;
			notify_state_changed(backend);
		}
		server_answer_empty(request);
		return;
	case SERVER_UNKNOWN:
		break;
	}
	error_set(&err, STATUS_NOT_FOUND, "unknown method or path");
	server_answer_error(request, &err);
}

/* Requests are answered at once, so there is nothing to clean up. */
static void on_control_disconnected(void *context, struct http_request *request)
{
}

static const struct http_server_callbacks control_callbacks = {
	.on_request = on_control_request,
	.on_disconnected = on_control_disconnected,
};

static void on_run_ended(void *context, const struct run *run, enum run_outcome outcome,
			 int64_t elapsed_us)
{
	struct backend *backend = context;

	backend->callbacks.run_ended(backend->callbacks.context, run, outcome, elapsed_us);
}

static void on_stop_overdue(void *context, const struct run *run, int64_t waited_us)
{
	struct backend *backend = context;
	int64_t lease_us = backend->runs.latest_lease_expiry_us - backend->loop->now_us;

	event_log(EVENT_RUN_STOP_OVERDUE, EV_S("server", backend->presence.identity.id),
		  EV_S("task", run->task), EV_I("attempt", run->attempt),
		  EV_I("waited_ms", waited_us / US_PER_MS), EV_I("retries", run->stop_retries),
		  EV_I("lease_ms", lease_us / US_PER_MS));
}

static void on_run_held(void *context, const struct run *run, int64_t waited_us)
{
	struct backend *backend = context;

	event_log(EVENT_TASK_HELD, EV_S("server", backend->presence.identity.id),
		  EV_S("task", run->task), EV_I("attempt", run->attempt),
		  EV_I("waited_ms", waited_us / US_PER_MS),
		  EV_S("start", runs_start_in_transit(run) ? "in_transit" : "arrived"));
	notify_state_changed(backend);
}

static void on_run_behind(void *context, const struct run *run, int64_t elapsed_us)
{
	struct backend *backend = context;

	backend->callbacks.run_behind(backend->callbacks.context, run, elapsed_us);
}

static void init_runs(struct backend *backend)
{
	const struct runs_limits limits = {
		.stop_retry_us = ORDER_TIMEOUT_MIN_MS * US_PER_MS,
		.stop_wait_us = node_settings_silence_timeout_ms(backend->settings) * US_PER_MS,
		.lease_us = backend->lease_ms * US_PER_MS,
		.clock_drift_permille = CLOCK_DRIFT_PERMILLE,
		.health = {.fail_streak = QUARANTINE_FAILURES,
			   .first_backoff_us = QUARANTINE_FIRST_MS * US_PER_MS,
			   .longest_backoff_us = QUARANTINE_MAX_MS * US_PER_MS},
		.waiting_permille = WAITING_PERMILLE,
		.trial_us = TRIAL_INTERVAL_MS * US_PER_MS,
	};
	const struct runs_callbacks callbacks = {
		.context = backend,
		.order_start = order_start,
		.order_stop = order_stop,
		.request_lists = request_immediate_poll,
		.run_ended = on_run_ended,
		.stop_overdue = on_stop_overdue,
		.run_held = on_run_held,
		.run_behind = on_run_behind,
	};

	runs_init(&backend->runs, &limits, &callbacks);
}

enum status backend_start(struct backend *backend, struct error *err)
{
	const struct http_server_options control = {
		.header_max_bytes = HEADER_MAX_BYTES,
		.body_max_bytes = BODY_MAX_BYTES,
		.request_limit_ms = HEADER_LIMIT_MS,
		.idle_limit_ms = CONTROL_IDLE_LIMIT_MS,
	};
	struct http_client_options client = {
		.address = backend->settings->server_address,
		.max_connections = ORDER_CONNECTIONS,
		.idle_limit_ms = CLIENT_IDLE_LIMIT_MS,
		.response_max_bytes = ANSWER_MAX_BYTES,
	};
	enum status status;

	backend->lease_ms = node_settings_run_lease_ms(backend->settings);
	backend->ticked_us = backend->loop->now_us;
	init_runs(backend);
	/* The epoch must increase from one incarnation of the agent to the next. The wall clock
	 * does so unless it is set back. In that case the server rejects the epoch, and
	 * apply_common_fields raises it. */
	backend->runs.epoch = timer_wall_ms();
	backend->order_client = http_client_new(backend->loop, &client);
	client.max_connections = HOLD_CONNECTIONS;
	backend->hold_client = http_client_new(backend->loop, &client);
	status = http_server_listen(backend->loop, backend->settings->control_address, &control,
				    &control_callbacks, backend, &backend->control_server, err);
	if (status != STATUS_OK)
		return status;
	backend->order_answer_us = ORDER_TIMEOUT_MIN_MS * US_PER_MS / ORDER_TIMEOUT_FACTOR;
	timer_subscribe(&backend->loop->timers, backend->loop->now_us, TICK_MS * US_PER_MS, tick,
			backend);
	send_hold(backend, true);
	return STATUS_OK;
}

bool backend_ready(const struct backend *backend)
{
	return presence_is_known(&backend->presence) && !presence_is_late(&backend->presence) &&
	       backend->reachable && backend->lists_applied && backend->presence.clock_ms > 0 &&
	       !backend->agent_shutting_down && runs_ready(&backend->runs);
}

uint32_t backend_count_ownerless_runs(const struct backend *backend)
{
	return backend->runs.ownerless_runs + (backend->lists_applied ? 0 : 1);
}

void backend_close_connections(struct backend *backend)
{
	http_client_reset(backend->order_client);
	http_client_reset(backend->hold_client);
}
