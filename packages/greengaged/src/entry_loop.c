#include "entry_loop.h"

#include <sodium.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "entry_admission.h"
#include "entry_claims.h"
#include "entry_config.h"
#include "entry_dispatch.h"
#include "entry_drain.h"
#include "entry_forward.h"
#include "entry_key_query.h"
#include "entry_members.h"
#include "entry_peers.h"
#include "entry_progress.h"
#include "entry_report.h"
#include "event.h"

enum {
	/* Limits for one iteration of the loop, so that no source of work starves the others. */
	MAX_COMMANDS_PER_ITERATION = 1024,
	MAX_MESSAGES_PER_SOCKET = 1024,
	JOB_EXPIRY_PERIOD_MS = 20,
	HOUSEKEEPING_PERIOD_MS = 1000,
	CLAIM_PERIOD_MS = 10000,
	HEARTBEAT_CHECKS_PER_PERIOD = 4,
	MAX_SLEEP_MS = 1000,
	/* Time without a new agent after which all agents are considered connected. Agents
	 * reconnect within tens of ms of each other. */
	AGENT_SETTLE_MS = 250,
	/* An iteration that begins at least this long after the scheduled wakeup shows that this
	 * process was suspended. Agents and peers must not be considered silent for that time. */
	MIN_PAUSE_MS = 200,
};

static void tick_members(void *context, int64_t now_us)
{
	entry_members_tick(context);
	entry_peers_tick(context);
}

static void tick_jobs(void *context, int64_t now_us)
{
	struct board *board = context;

	if (board->jobs.active_jobs > 0)
		entry_progress_fail_overdue(board);
}

static void tick_housekeeping(void *context, int64_t now_us)
{
	entry_admission_expire(context);
	entry_report_update_gauges(context);
	entry_config_tick(context);
}

static void tick_claims(void *context, int64_t now_us)
{
	entry_claims_expire(context);
}

static void subscribe_periodic(struct board *board, int64_t period_ms, timer_callback callback)
{
	timer_subscribe(&board->timers, board->now_us + period_ms * US_PER_MS,
			period_ms * US_PER_MS, callback, board);
}

static void subscribe_timers(struct board *board)
{
	subscribe_periodic(board,
			   MAX(board->settings->heartbeat_ms / HEARTBEAT_CHECKS_PER_PERIOD, 1),
			   tick_members);
	subscribe_periodic(board, JOB_EXPIRY_PERIOD_MS, tick_jobs);
	subscribe_periodic(board, HOUSEKEEPING_PERIOD_MS, tick_housekeeping);
	subscribe_periodic(board, CLAIM_PERIOD_MS, tick_claims);
}

static void init_sched(struct board *board)
{
	const struct daemon_settings *settings = board->settings;
	const struct sched_limits limits = {
		.max_queued_tasks = (uint64_t)settings->max_queued_tasks,
		.max_queued_bytes = (uint64_t)settings->max_queued_bytes,
		.ageing_divisor = settings->ageing_divisor,
		.zone_penalty_us = settings->zone_penalty_us,
	};
	uint64_t seed = (uint64_t)settings->seed;

	if (seed == 0)
		randombytes_buf(&seed, sizeof(seed));
	board->sched = sched_new(&limits, settings->zone, seed);
}

static void init_stores(struct board *board)
{
	const struct daemon_settings *settings = board->settings;
	const struct session_limits session_limits = {
		.lifetime_us = settings->session_lifetime_s * US_PER_SECOND,
		.retention_us = settings->session_retain_s * US_PER_SECOND,
		.max_sessions = (uint32_t)settings->max_sessions,
		.max_keys = (uint32_t)settings->max_keys,
	};
	const struct job_limits job_limits = {
		.max_jobs = (uint32_t)settings->max_jobs,
		.max_answer_bytes = (uint64_t)settings->max_answer_bytes,
		.retention_us = settings->answer_retain_s * US_PER_SECOND,
	};
	/* These objectives are in force until a configuration is applied. */
	const struct burn_objectives objectives = {
		.ratio_target = 2, .objective = 0.99, .waste_target = 0.1};

	board->sessions = session_store_new(&session_limits, &board->incarnation);
	board->session_renewals =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	entry_jobs_init(&board->jobs, &job_limits);
	table_init(&board->agents, sizeof(struct agent));
	board->agents_by_incarnation = g_hash_table_new(ident_hash, ident_equal_func);
	board->agents_with_starts = g_ptr_array_new();
	board->burn = burn_new(&objectives);
}

enum status entry_loop_init(struct board *board, const struct daemon_settings *settings,
			    struct error *err)
{
	memset(board, 0, sizeof(*board));
	board->settings = settings;
	board->incarnation = ident_random();
	board->now_us = timer_clock_us();
	board->started_us = board->now_us;
	board->last_job_ended_us = board->now_us;
	if (mailbox_init(&board->mailbox, err) != STATUS_OK)
		return STATUS_RESOURCE;
	board->finished_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (board->finished_fd < 0)
		return error_set(err, STATUS_RESOURCE, "cannot create an eventfd");
	board->zmq_context = zmq_ctx_new();
	timer_init(&board->timers);
	if (channel_bind(board->zmq_context, settings->channel_address, &board->router, err) !=
	    STATUS_OK) {
		zmq_ctx_term(board->zmq_context);
		return STATUS_NETWORK;
	}
	init_sched(board);
	init_stores(board);
	entry_config_init(board);
	entry_claims_init(board);
	entry_forward_init(board);
	entry_key_query_init(board);
	entry_peers_init(board);
	subscribe_timers(board);
	return STATUS_OK;
}

void entry_loop_free(struct board *board)
{
	entry_members_free(board);
	entry_peers_free(board);
	entry_key_query_free(board);
	entry_forward_free(board);
	entry_claims_free(board);
	entry_config_free(board);
	entry_jobs_free(&board->jobs);
	session_store_free(board->sessions);
	g_hash_table_destroy(board->session_renewals);
	g_hash_table_destroy(board->agents_by_incarnation);
	table_free(&board->agents);
	g_ptr_array_free(board->agents_with_starts, TRUE);
	burn_free(board->burn);
	sched_free(board->sched);
	timer_free(&board->timers);
	channel_close(&board->router);
	zmq_ctx_term(board->zmq_context);
	mailbox_free(&board->mailbox);
	close(board->finished_fd);
}

static void handle_exit_request(struct board *board, struct command *command)
{
	g_free(command);
	board->exit_requested = true;
}

void entry_loop_request_exit(struct board *board)
{
	struct command *command = g_new0(struct command, 1);

	command->run = handle_exit_request;
	mailbox_send(&board->mailbox, &command->node);
}

static void run_commands(struct board *board)
{
	for (int i = 0; i < MAX_COMMANDS_PER_ITERATION; i++) {
		struct command *command = (struct command *)mailbox_take(&board->mailbox);

		if (!command)
			return;
		command->run(board, command);
	}
}

static void report_invalid_message(const struct error *err)
{
	metric_add(METRIC_MESSAGES_INVALID, 1);
	event_log_error(EVENT_MESSAGE_INVALID, err);
}

static void receive_from_router(struct board *board)
{
	for (int i = 0; i < MAX_MESSAGES_PER_SOCKET; i++) {
		struct channel_route route;
		Gg__Envelope *envelope;
		struct error err;
		enum status status = channel_receive(&board->router, &route, &envelope, &err);

		if (status == STATUS_NOT_FOUND)
			return;
		if (status != STATUS_OK) {
			report_invalid_message(&err);
			continue;
		}
		entry_members_receive(board, &route, envelope);
		channel_free_envelope(envelope);
	}
}

static void receive_from_peer(struct board *board, struct peer *peer)
{
	for (int i = 0; i < MAX_MESSAGES_PER_SOCKET && peer->channel.socket; i++) {
		Gg__Envelope *envelope;
		struct error err;
		enum status status = channel_receive(&peer->channel, NULL, &envelope, &err);

		if (status == STATUS_NOT_FOUND)
			return;
		if (status != STATUS_OK) {
			report_invalid_message(&err);
			continue;
		}
		entry_peers_receive(board, peer, envelope);
		channel_free_envelope(envelope);
	}
}

/* Returns whether agents are known and none has joined during the last AGENT_SETTLE_MS. */
static bool agents_settled(const struct board *board)
{
	return table_count(&board->agents) > 0 &&
	       board->now_us - board->last_agent_joined_us >= AGENT_SETTLE_MS * US_PER_MS;
}

static void update_ready(struct board *board)
{
	int64_t age_ms = (board->now_us - board->started_us) / US_PER_MS;

	if (board->ready)
		return;
	/*
	 * A job submitted before the agents are known would be refused for lack of a server. After
	 * heartbeat_limit_ms this entry serves even if some peers or agents have not connected.
	 */
	if (!(entry_peers_all_known(board) && agents_settled(board)) &&
	    age_ms < board->settings->heartbeat_limit_ms)
		return;
	board->ready = true;
	entry_config_publish(board);
}

/* Updates the board's time. If this process was suspended, does not count that time as silence of
 * agents and peers. */
static void update_clock(struct board *board)
{
	int64_t now_us = timer_clock_us();
	int64_t pause_us = now_us - MAX(board->now_us, board->latest_wake_us);

	board->now_us = now_us;
	if (pause_us < MIN_PAUSE_MS * US_PER_MS)
		return;
	entry_members_exclude_pause(board, pause_us);
	entry_peers_exclude_pause(board, pause_us);
}

static void run_iteration(struct board *board)
{
	update_clock(board);
	run_commands(board);
	if (board->shutdown_finished)
		return;
	receive_from_router(board);
	for (guint i = 0; i < board->peers->len; i++)
		receive_from_peer(board, g_ptr_array_index(board->peers, i));
	timer_run(&board->timers, board->now_us);
	entry_claims_flush(board);
	entry_dispatch_run(board);
	if (board->entries_changed) {
		board->entries_changed = false;
		entry_members_send_welcomes(board);
	}
	update_ready(board);
	entry_drain_finish_if_idle(board);
}

static int poll_timeout_ms(const struct board *board)
{
	int64_t next_us = MIN(timer_next_us(&board->timers), sched_wakeup_us(board->sched));
	int64_t due_us = next_us - timer_clock_us();

	if (board->shutdown_finished)
		return MAX_SLEEP_MS;
	if (due_us <= 0)
		return 0;
	/* Rounds up, so that the loop does not busy-poll during the last fraction of a millisecond.
	 */
	return (int)MIN((due_us + US_PER_MS - 1) / US_PER_MS, MAX_SLEEP_MS);
}

static void wait_for_work(struct board *board, GArray *items)
{
	zmq_pollitem_t mailbox = {.fd = mailbox_fd(&board->mailbox), .events = ZMQ_POLLIN};
	zmq_pollitem_t router = {.socket = board->router.socket, .events = ZMQ_POLLIN};

	int timeout_ms = poll_timeout_ms(board);

	board->latest_wake_us = board->now_us + timeout_ms * US_PER_MS;
	g_array_set_size(items, 0);
	g_array_append_val(items, mailbox);
	g_array_append_val(items, router);
	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(board->peers, i);
		zmq_pollitem_t item = {.socket = peer->channel.socket, .events = ZMQ_POLLIN};

		if (item.socket)
			g_array_append_val(items, item);
	}
	if (mailbox_arm(&board->mailbox)) {
		zmq_poll((zmq_pollitem_t *)items->data, (int)items->len, timeout_ms);
		mailbox_disarm(&board->mailbox);
	}
}

void *entry_loop_run(void *context)
{
	struct board *board = context;
	GArray *items = g_array_new(FALSE, FALSE, sizeof(zmq_pollitem_t));

	rcu_register_thread();
	while (!board->exit_requested) {
		run_iteration(board);
		if (!board->exit_requested)
			wait_for_work(board, items);
	}
	rcu_unregister_thread();
	g_array_free(items, TRUE);
	return NULL;
}
