#include "agent_backend.h"

#include <string.h>

#include "event.h"

enum {
	TICK_MS = 50,
	ORDER_CONNECTIONS = 8, /* one is busy until the time-out for each order without an answer */
	LIST_CONNECTIONS = 4,
	IDLE_LIMIT_MS = 10000,
	ANSWER_MAX_BYTES = 4 << 20,
	ANSWER_FACTOR = 8, /* an order unanswered for this many usual times is taken as lost */
	ORDER_TIMEOUT_MIN_MS = 20,
	ORDER_TIMEOUT_MAX_MS = 150,
	LOOK_DOUBLINGS = 3,
	LIST_MARGIN_MS = 60, /* beyond the time for which a list waits */
	BUSY_WAIT_MS = 150,  /* for an end, while something runs */
	/* The same while answers are lost: a lost one hides the ends of all runs until its
	 * time-out, and with three calls that end soon there is nearly always one that is not lost.
	 */
	LOSSY_WAIT_MS = 30,
	LOSSY_HOLDS = 3,
	LOSSY_MS = 1000, /* after the last loss */
	IDLE_WAIT_MS = 1000,
	UNREACHABLE_MS = 400, /* without any answer, while something is asked */
	/* While something runs, two calls wait for an end, as an answer that is lost would else
	 * hide the ends of all runs until the time-out. */
	BUSY_HOLDS = 2,
	RENEW_MS = 200,	    /* the lease is renewed at least this often while something runs */
	ANSWER_WEIGHT = 16, /* of one answer in the usual time: 1 in 16 */
	RETRY_MS = 100,
	HEARTBEAT_LATE_MS = 1000,  /* the server takes one unanswered for so long for lost */
	EPOCH_STEP = 60000,	   /* by which a refused epoch is raised, at first */
	WAITING_PERMILLE = 100,	   /* of the server's cpu that runs may wait for; some 15 ms */
	CLOCK_DRIFT_PERMILLE = 20, /* a server's steady clock may be 2 % slow */
	TRIAL_MS = 1500,
	FAIL_STREAK = 4,
	QUARANTINE_FIRST_MS = 500,
	QUARANTINE_LONGEST_MS = 4000,
	HEADER_MAX_BYTES = 16384,
	BODY_MAX_BYTES = 4 << 20, /* a heartbeat may be this large */
	REQUEST_LIMIT_MS = 3000,
	KEEP_MS = 60000
};

static void changed(struct backend *backend)
{
	backend->callbacks.state_changed(backend->callbacks.context);
}

/* A start expires well before the lease, so that one carried out late is refused by the server. */
static int64_t start_lease_ms(const struct backend *backend)
{
	return backend->lease_ms * 8 / 10;
}

static int64_t clock_now_ms(const struct backend *backend)
{
	return backend->clock_ms + (backend->loop->now_us - backend->clock_received_us) / US_PER_MS;
}

static void begin_life(struct backend *backend, int64_t started_ms)
{
	if (backend->started_ms != 0)
		event_log(EVENT_SERVER_RESTARTED, EV_S("server", backend->id),
			  EV_I("started_ms", started_ms),
			  EV_I("runs_lost", table_count(&backend->runs.table)));
	backend->started_ms = started_ms;
	backend->heartbeat_sequence = 0;
	backend->announced = false;
	backend->clock_ms = 0;
	backend->lists_applied = false;
	runs_server_lost(&backend->runs, backend->loop->now_us);
}

/* Returns whether what a server says concerns its current life; a later one begins here. */
static bool is_current_life(struct backend *backend, int64_t started_ms)
{
	if (started_ms == 0 || started_ms == backend->started_ms)
		return true;
	if (started_ms < backend->started_ms)
		return false;
	begin_life(backend, started_ms);
	return true;
}

/* The time after which an order counts as unanswered. */
static int64_t order_timeout_ms(const struct backend *backend)
{
	return CLAMP(ANSWER_FACTOR * backend->order_answer_us / US_PER_MS, ORDER_TIMEOUT_MIN_MS,
		     ORDER_TIMEOUT_MAX_MS);
}

/* A server that hangs costs a connection each time, so the time-outs grow. */
static int64_t look_timeout_ms(const struct backend *backend)
{
	return order_timeout_ms(backend) << MIN(backend->failed_immediate_polls, LOOK_DOUBLINGS);
}

static void note_answer_time(struct backend *backend, const struct http_reply *reply)
{
	if (reply->status == STATUS_OK)
		backend->order_answer_us +=
			(reply->elapsed_us - backend->order_answer_us) / ANSWER_WEIGHT;
}

static void note_loss(struct backend *backend, const struct http_reply *reply)
{
	if (reply->status == STATUS_TIMEOUT && reply->sent)
		backend->last_timeout_us = backend->loop->now_us;
}

static void note_reachable(struct backend *backend, bool reachable, const char *reason)
{
	if (backend->reachable == reachable)
		return;
	backend->reachable = reachable;
	if (reachable)
		event_log(EVENT_SERVER_REACHABLE, EV_S("server", backend->id));
	else
		event_log(EVENT_SERVER_UNREACHABLE, EV_S("server", backend->id),
			  EV_S("reason", reason), EV_I("runs", table_count(&backend->runs.table)));
	changed(backend);
}

/* Handles what every answer carries. Returns false when the answer is of an earlier life. */
static bool note_reply(struct backend *backend, const struct server_reply *reply, int64_t epoch)
{
	if (!is_current_life(backend, reply->start_time_ms))
		return false;
	if (reply->clock_ms > 0) {
		backend->clock_ms = reply->clock_ms;
		backend->clock_received_us = backend->loop->now_us;
	}
	if (reply->stale_epoch && epoch == backend->epoch) {
		backend->epoch += EPOCH_STEP + (backend->epoch - epoch);
		event_log(EVENT_EPOCH_RAISED, EV_I("epoch", backend->epoch));
	}
	return true;
}

/* An order in progress. */
struct order {
	struct backend *backend;
	struct handle run;
	int64_t epoch;
};

static void order_start(void *context, struct handle handle);

static struct order *new_order(struct backend *backend, struct handle run)
{
	struct order *order = g_new(struct order, 1);

	*order = (struct order){.backend = backend, .run = run, .epoch = backend->epoch};
	return order;
}

static void call(struct http_client *client, const char *path, const char *body, int64_t timeout_ms,
		 http_reply_callback callback, void *context, char *extra)
{
	http_client_call(client, &(struct http_call){
					 .method = "POST",
					 .path = path,
					 .extra = extra,
					 .body = body,
					 .length = strlen(body),
					 .timeout_ms = timeout_ms,
					 .callback = callback,
					 .context = context,
				 });
	g_free(extra);
}

static void on_started(void *context, const struct http_reply *reply)
{
	struct order *order = context;
	struct backend *backend = order->backend;
	struct server_reply read;

	note_answer_time(backend, reply);
	note_loss(backend, reply);
	server_reply_parse(reply, &read);
	if (!read.answered && reply->refused)
		read.start_answer = START_NOT_SENT;
	if (!note_reply(backend, &read, order->epoch))
		read = (struct server_reply){.start_answer = START_UNANSWERED};
	if (read.stale_epoch && table_get(&backend->runs.table, order->run)) {
		order_start(backend, order->run);
	} else {
		runs_start_answered(&backend->runs, order->run, read.start_answer,
				    backend->loop->now_us);
		changed(backend);
	}
	g_free(order);
}

static void order_start(void *context, struct handle handle)
{
	struct backend *backend = context;
	struct run *run = table_get(&backend->runs.table, handle);
	struct server_start start = {
		.task = run->task,
		.attempt = run->attempt,
		.expires_clock_ms = clock_now_ms(backend) + start_lease_ms(backend),
		.epoch = backend->epoch,
	};
	char *body;

	start.spec = g_bytes_get_data(run->spec, &start.spec_length);
	body = server_start_body(&start);
	runs_lease_sent(&backend->runs, backend->loop->now_us);
	call(backend->order_client, SERVER_START_PATH, body, order_timeout_ms(backend), on_started,
	     new_order(backend, handle), server_id_header(backend->id));
	g_free(body);
}

static void on_stopped(void *context, const struct http_reply *reply)
{
	struct order *order = context;
	struct backend *backend = order->backend;
	struct server_reply read;

	server_reply_parse(reply, &read);
	if (note_reply(backend, &read, order->epoch))
		runs_stop_answered(&backend->runs, order->run,
				   read.answered && read.start_answer == START_STARTED,
				   backend->loop->now_us);
	g_free(order);
}

static void order_stop(void *context, const char *task, uint32_t attempt, struct handle run)
{
	struct backend *backend = context;
	char *body = server_stop_body(task, attempt, backend->epoch);

	call(backend->order_client, SERVER_STOP_PATH, body, order_timeout_ms(backend), on_stopped,
	     new_order(backend, run), server_id_header(backend->id));
	g_free(body);
}

/* A request for the lists in progress. */
struct listing {
	struct backend *backend;
	int64_t asked_us;
	int64_t epoch;
	bool waits;
};

static void hold(struct backend *backend, bool waits);

/* A server that answers nothing at all is not asked more often. */
static bool is_lossy(const struct backend *backend)
{
	int64_t now_us = backend->loop->now_us;

	return backend->last_timeout_us > 0 &&
	       now_us - backend->last_timeout_us < LOSSY_MS * US_PER_MS &&
	       now_us - backend->lists_received_us < 2 * LOSSY_WAIT_MS * US_PER_MS;
}

/* Keeps as many calls waiting for an end as the server's state asks for. */
static void hold_enough(struct backend *backend)
{
	uint32_t wanted = 1;

	if (table_count(&backend->runs.table) > 0)
		wanted = is_lossy(backend) ? LOSSY_HOLDS : BUSY_HOLDS;

	while (backend->long_polls < wanted)
		hold(backend, true);
}

static void hold_again(void *context, int64_t now_us)
{
	hold_enough(context);
}

static void list_failed(struct backend *backend, const struct http_reply *reply,
			const struct error *err)
{
	int64_t now_us = backend->loop->now_us;
	/* After a crash nothing runs, nobody listens and all connections are gone. A server that
	 * does not answer, or only takes no new connection, keeps its runs until their leases have
	 * expired. */
	bool crashed = reply->refused && !http_client_connected(backend->hold_client) &&
		       !http_client_connected(backend->order_client);

	if (crashed)
		runs_server_lost(&backend->runs, now_us);
	if (crashed || now_us - backend->lists_received_us > UNREACHABLE_MS * US_PER_MS)
		note_reachable(backend, false, err->message);
}

static void on_lists(void *context, const struct http_reply *reply)
{
	struct listing *listing = context;
	struct backend *backend = listing->backend;
	struct server_run_lists lists;
	struct server_reply read;
	struct error err;
	bool good;

	note_loss(backend, reply);
	if (listing->waits) {
		backend->long_polls--;
	} else {
		backend->immediate_poll_active = false;
		/* What was to be learned from a lost list holds up a run. */
		backend->immediate_poll_requested =
			backend->immediate_poll_requested || reply->status == STATUS_TIMEOUT;
		backend->failed_immediate_polls =
			reply->status == STATUS_OK ? 0 : backend->failed_immediate_polls + 1;
	}
	good = server_run_lists_parse(reply, &read, &lists, &err) == STATUS_OK;
	if (read.answered && !note_reply(backend, &read, listing->epoch))
		good = false;
	if (good) {
		backend->lists_received_us = backend->loop->now_us;
		note_reachable(backend, true, NULL);
		runs_apply_lists(&backend->runs, &lists.runs, listing->asked_us,
				 backend->loop->now_us);
		backend->lists_applied = true;
		changed(backend);
	} else if (!read.answered) {
		list_failed(backend, reply, &err);
	}
	server_run_lists_clear(&lists);
	/* A time-out has waited long enough; a refusal comes at once. */
	if (good || read.stale_epoch || reply->status == STATUS_TIMEOUT)
		hold_enough(backend);
	else if (listing->waits)
		timer_subscribe(&backend->loop->timers,
				backend->loop->now_us + RETRY_MS * US_PER_MS, 0, hold_again,
				backend);
	g_free(listing);
}

/* Returns how long a list waits for an end. */
static int64_t end_wait_ms(const struct backend *backend, bool lossy)
{
	if (table_count(&backend->runs.table) == 0)
		return IDLE_WAIT_MS;
	return lossy ? LOSSY_WAIT_MS : BUSY_WAIT_MS;
}

static void hold(struct backend *backend, bool waits)
{
	struct listing *listing = g_new(struct listing, 1);
	/* The first call of a life learns the server's clock and what runs there, and does not
	 * wait. */
	bool known = backend->lists_applied && backend->reachable && backend->clock_ms > 0;
	bool lossy = is_lossy(backend);
	int64_t wait_ms = waits && known ? end_wait_ms(backend, lossy) : 0;
	int64_t margin_ms = lossy ? order_timeout_ms(backend) : LIST_MARGIN_MS;
	int64_t expires_ms = 0;
	char *body;

	*listing = (struct listing){
		.backend = backend,
		.asked_us = backend->loop->now_us,
		.epoch = backend->epoch,
		.waits = waits,
	};
	if (backend->clock_ms > 0) {
		expires_ms = clock_now_ms(backend) + backend->lease_ms;
		runs_lease_sent(&backend->runs, backend->loop->now_us);
		backend->lease_sent_us = backend->loop->now_us;
	}
	if (waits)
		backend->long_polls++;
	else
		backend->immediate_poll_active = true;
	body = server_hold_body(expires_ms, backend->epoch, backend->runs.last_processed_end,
				wait_ms);
	call(backend->hold_client, SERVER_HOLD_PATH, body,
	     waits ? wait_ms + margin_ms : look_timeout_ms(backend), on_lists, listing, NULL);
	g_free(body);
}

static void look(void *context)
{
	struct backend *backend = context;

	backend->immediate_poll_requested = true;
}

void backend_send_requested_poll(struct backend *backend)
{
	if (!backend->immediate_poll_requested || backend->immediate_poll_active)
		return;
	backend->immediate_poll_requested = false;
	hold(backend, false);
}

/* Logs when the server's health has changed, by a result or by time. */
static void note_health(struct backend *backend)
{
	bool quarantined = backend->runs.health.state == HEALTH_QUARANTINED;

	if (quarantined == backend->logged_quarantined)
		return;
	backend->logged_quarantined = quarantined;
	event_log(quarantined ? EVENT_SERVER_QUARANTINED : EVENT_SERVER_RECOVERED,
		  EV_S("server", backend->id), EV_I("streak", backend->runs.health.failure_streak),
		  EV_I("backoff_ms", backend->runs.health.backoff_us / US_PER_MS));
	changed(backend);
}

static void tick(void *context, int64_t now_us)
{
	struct backend *backend = context;
	bool busy = table_count(&backend->runs.table) > 0;

	runs_tick(&backend->runs, now_us);
	note_health(backend);
	if (busy && backend->long_polls < BUSY_HOLDS && backend->reachable)
		hold_enough(backend);
	if (busy && now_us - backend->lease_sent_us > RENEW_MS * US_PER_MS)
		backend->immediate_poll_requested = true;
}

static void copy_identity(struct backend *backend, const struct server_heartbeat *heartbeat)
{
	g_strlcpy(backend->id, heartbeat->id, sizeof(backend->id));
	g_strlcpy(backend->service, heartbeat->service, sizeof(backend->service));
	g_strlcpy(backend->zone, heartbeat->zone, sizeof(backend->zone));
	backend->label_count = heartbeat->label_count;
	for (size_t i = 0; i < heartbeat->label_count; i++)
		g_strlcpy(backend->labels[i], heartbeat->labels[i], NAME_BYTES);
	backend->identity_version++;
}

static void take_heartbeat(struct backend *backend, const struct server_heartbeat *heartbeat)
{
	bool was_leaving = backend->runs.server_leaving;

	if (!is_current_life(backend, heartbeat->start_time_ms))
		return;
	if (heartbeat->sequence <= backend->heartbeat_sequence && backend->announced)
		return; /* overtaken by a later one */
	if (!backend->announced || strcmp(backend->id, heartbeat->id) != 0) {
		copy_identity(backend, heartbeat);
		event_log(EVENT_SERVER_ANNOUNCED, EV_S("server", heartbeat->id),
			  EV_S("service", heartbeat->service), EV_I("cpu", heartbeat->capacity.cpu),
			  EV_I("started_ms", heartbeat->start_time_ms));
	}
	backend->announced = true;
	backend->heartbeat_sequence = heartbeat->sequence;
	backend->heartbeat_clock_ms = heartbeat->clock_ms;
	backend->heartbeat_received_us = backend->loop->now_us;
	runs_server_present(&backend->runs, &heartbeat->capacity, heartbeat->draining);
	if (heartbeat->draining && !was_leaving)
		event_log(EVENT_SERVER_LEAVING, EV_S("server", heartbeat->id),
			  EV_I("remaining_ms", heartbeat->remaining_ms),
			  EV_I("runs", table_count(&backend->runs.table)));
	changed(backend);
}

static void on_control(void *context, struct http_request *request)
{
	struct backend *backend = context;
	struct server_heartbeat heartbeat;
	char id[NAME_BYTES];
	struct error err;
	const char *body;
	size_t length;

	body = http_request_body(request, &length);
	switch (server_message_parse(request, id)) {
	case SERVER_HEARTBEAT:
		if (server_heartbeat_parse(id, body, length, &heartbeat, &err) != STATUS_OK) {
			event_log(EVENT_HEARTBEAT_INVALID, EV_S("server", id),
				  EV_S("reason", err.message));
			server_answer_error(request, &err);
			return;
		}
		take_heartbeat(backend, &heartbeat);
		server_heartbeat_clear(&heartbeat);
		server_answer_empty(request);
		return;
	case SERVER_DEREGISTER:
		if (strcmp(id, backend->id) == 0) {
			backend->runs.server_leaving = true;
			changed(backend);
		}
		server_answer_empty(request);
		return;
	case SERVER_UNKNOWN:
		break;
	}
	error_set(&err, STATUS_NOT_FOUND, "no such call");
	server_answer_error(request, &err);
}

static void on_control_gone(void *context, struct http_request *request)
{
}

static const struct http_server_callbacks control_callbacks = {
	.request = on_control,
	.gone = on_control_gone,
};

static void on_ended(void *context, const struct run *run, enum run_outcome outcome,
		     int64_t elapsed_us)
{
	struct backend *backend = context;

	backend->callbacks.run_ended(backend->callbacks.context, run, outcome, elapsed_us);
}

static void on_behind(void *context, const struct run *run, int64_t elapsed_us)
{
	struct backend *backend = context;

	backend->callbacks.run_behind(backend->callbacks.context, run, elapsed_us);
}

static void init_runs(struct backend *backend)
{
	const struct runs_limits limits = {
		.stop_retry_us = ORDER_TIMEOUT_MIN_MS * US_PER_MS,
		.lease_us = backend->lease_ms * US_PER_MS,
		.clock_drift_permille = CLOCK_DRIFT_PERMILLE,
		.health = {.fail_streak = FAIL_STREAK,
			   .first_backoff_us = QUARANTINE_FIRST_MS * US_PER_MS,
			   .longest_backoff_us = QUARANTINE_LONGEST_MS * US_PER_MS},
		.waiting_permille = WAITING_PERMILLE,
		.trial_us = TRIAL_MS * US_PER_MS,
	};
	const struct runs_callbacks callbacks = {
		.context = backend,
		.order_start = order_start,
		.order_stop = order_stop,
		.request_lists = look,
		.run_ended = on_ended,
		.run_behind = on_behind,
	};

	runs_init(&backend->runs, &limits, &callbacks);
}

enum status backend_start(struct backend *backend, struct error *err)
{
	const struct http_server_options control = {
		.header_max_bytes = HEADER_MAX_BYTES,
		.body_max_bytes = BODY_MAX_BYTES,
		.header_limit_ms = REQUEST_LIMIT_MS,
		.idle_limit_ms = KEEP_MS,
	};
	struct http_client_options client = {
		.address = backend->settings->server_address,
		.connections = ORDER_CONNECTIONS,
		.idle_limit_ms = IDLE_LIMIT_MS,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};
	enum status status;

	backend->lease_ms = node_settings_run_lease_ms(backend->settings);
	init_runs(backend);
	/* The epoch must rise from one life of this process to the next. Time does, but for a clock
	 * that is set back; then the server refuses, and the epoch is raised. */
	backend->epoch = timer_wall_ms();
	backend->order_client = http_client_new(backend->loop, &client);
	client.connections = LIST_CONNECTIONS;
	backend->hold_client = http_client_new(backend->loop, &client);
	status = http_server_listen(backend->loop, backend->settings->control_address, &control,
				    &control_callbacks, backend, &backend->control_server, err);
	if (status != STATUS_OK)
		return status;
	backend->order_answer_us = ORDER_TIMEOUT_MIN_MS * US_PER_MS / ANSWER_FACTOR;
	timer_subscribe(&backend->loop->timers, backend->loop->now_us, TICK_MS * US_PER_MS, tick,
			backend);
	hold(backend, true);
	return STATUS_OK;
}

/* A new process of the agent does not know which heartbeats came before, so one that was delayed
 * could bring back a server that has left meanwhile. */
static bool is_heartbeat_late(const struct backend *backend)
{
	int64_t arrived_ms =
		backend->clock_ms +
		(backend->heartbeat_received_us - backend->clock_received_us) / US_PER_MS;

	return backend->heartbeat_clock_ms > 0 &&
	       arrived_ms - backend->heartbeat_clock_ms > HEARTBEAT_LATE_MS;
}

bool backend_ready(const struct backend *backend)
{
	return backend->announced && !is_heartbeat_late(backend) && backend->reachable &&
	       backend->clock_ms > 0 && !backend->shutting_down && runs_ready(&backend->runs);
}

uint32_t backend_count_unsettled(const struct backend *backend)
{
	return backend->runs.ownerless_runs + (backend->lists_applied ? 0 : 1);
}

void backend_close_connections(struct backend *backend)
{
	http_client_reset(backend->order_client);
	http_client_reset(backend->hold_client);
}
