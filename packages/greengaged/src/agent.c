/* The agent role of settings without "mode"; talks to entries over ZeroMQ. node_agent.c is the
 * agent role of mode "platform". */
#include "agent.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <zmq.h>

#include "agent_board.h"
#include "agent_dispatch.h"
#include "agent_http.h"
#include "agent_metrics.h"
#include "agent_peer.h"
#include "agent_server.h"
#include "event.h"

enum {
	CAPACITY_CHECK_INTERVAL_US = US_PER_SECOND, /* capacity calendars change at full minutes */
	/* Indexes of the poll items, in the order in which rebuild_poll_items adds them. From
	 * POLL_PEERS on there are up to two poll items for each entry. */
	POLL_RESULTS = 0,
	POLL_COMMANDS = 1,
	POLL_SIGNALS = 2,
	POLL_PEERS = 3,
};

/* The event loop of the dispatcher thread. */
struct loop {
	struct agent_board board;
	struct agent_http *http;
	int signal_fd;
	GArray *poll_items; /* of zmq_pollitem_t */
};

static void on_connection_maintenance(void *context, int64_t now_us)
{
	agent_peer_maintain(context);
}

static void on_capacity_check(void *context, int64_t now_us)
{
	agent_server_refresh(context);
}

static void start_drain(struct agent_board *board)
{
	event_log(EVENT_DRAIN_STARTED, EV_I("running", gate_admitted_count(board->gate)));
	board->draining = true;
	board->drain_deadline_us = board->now_us + board->settings->drain_limit_ms * US_PER_MS;
	agent_server_refresh(board);
}

static void handle_signals(struct loop *loop)
{
	struct signalfd_siginfo info;

	while (read(loop->signal_fd, &info, sizeof(info)) == sizeof(info)) {
		if (loop->board.draining)
			loop->board.shutdown_forced = true;
		else
			start_drain(&loop->board);
	}
}

/* Ends the event loop once no admitted task is left and all results are acknowledged, or when a
 * second signal or the time limit cuts the drain short. */
static void stop_if_drained(struct agent_board *board)
{
	if (!board->draining)
		return;
	if (gate_admitted_count(board->gate) == 0 && gate_unacknowledged_count(board->gate) == 0) {
		event_log_fields(EVENT_DRAIN_FINISHED, NULL, 0);
		board->loop_finished = true;
		return;
	}
	if (!board->shutdown_forced && board->now_us < board->drain_deadline_us)
		return;
	event_log(EVENT_DRAIN_FORCED, EV_I("running", gate_admitted_count(board->gate)),
		  EV_I("unacknowledged", gate_unacknowledged_count(board->gate)));
	board->shutdown_forced = true;
	board->loop_finished = true;
}

static void add_poll_item(GArray *poll_items, void *socket, int fd)
{
	const zmq_pollitem_t item = {.socket = socket, .fd = fd, .events = ZMQ_POLLIN};

	g_array_append_val(poll_items, item);
}

static void rebuild_poll_items(struct loop *loop)
{
	struct agent_board *board = &loop->board;

	g_array_set_size(loop->poll_items, 0);
	add_poll_item(loop->poll_items, NULL, mailbox_fd(&board->results));
	add_poll_item(loop->poll_items, NULL, mailbox_fd(&board->commands));
	add_poll_item(loop->poll_items, NULL, loop->signal_fd);
	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *peer = g_ptr_array_index(board->peers, i);

		if (peer->channel.socket)
			add_poll_item(loop->poll_items, peer->channel.socket, -1);
		if (peer->monitor_socket)
			add_poll_item(loop->poll_items, peer->monitor_socket, -1);
	}
	board->poll_items_stale = false;
}

static long poll_timeout_ms(const struct agent_board *board)
{
	int64_t next_us = MIN(timer_next_us(&board->timers), agent_peer_next_reconnect_us(board));
	int64_t wait_us = next_us - timer_clock_us();

	if (wait_us <= 0)
		return 0;
	return (long)MIN((wait_us + US_PER_MS - 1) / US_PER_MS, G_MAXINT);
}

static void wait_for_events(struct loop *loop)
{
	struct agent_board *board = &loop->board;
	bool results_empty = mailbox_arm(&board->results);
	bool commands_empty = mailbox_arm(&board->commands);

	if (board->poll_items_stale)
		rebuild_poll_items(loop);
	zmq_poll((zmq_pollitem_t *)(void *)loop->poll_items->data, (int)loop->poll_items->len,
		 results_empty && commands_empty ? poll_timeout_ms(board) : 0);
	mailbox_disarm(&board->results);
	mailbox_disarm(&board->commands);
}

static void run_iteration(struct loop *loop)
{
	struct agent_board *board = &loop->board;

	wait_for_events(loop);
	board->now_us = timer_clock_us();
	if (g_array_index(loop->poll_items, zmq_pollitem_t, POLL_SIGNALS).revents)
		handle_signals(loop);
	agent_dispatch_process_results(board);
	agent_http_execute_commands(board);
	for (guint i = 0; i < board->peers->len; i++) {
		agent_peer_receive_messages(board, g_ptr_array_index(board->peers, i));
		agent_peer_check_monitor(board, g_ptr_array_index(board->peers, i));
	}
	timer_run(&board->timers, board->now_us);
	if (agent_peer_next_reconnect_us(board) <= board->now_us)
		agent_peer_maintain(board);
	agent_dispatch_distribute_credits(board);
	agent_peer_send_pending(board);
	stop_if_drained(board);
}

static int open_signal_fd(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	/* No other thread exists yet, so all threads inherit the blocked signals. */
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

static enum status start_caller(struct agent_board *board, struct error *err)
{
	const struct caller_limits limits = {
		.connect_ms = board->settings->server_connect_ms,
		.max_result_bytes = board->settings->max_result_bytes,
	};
	enum status status = mailbox_init(&board->results, err);

	if (status == STATUS_OK)
		status = mailbox_init(&board->commands, err);
	if (status == STATUS_OK)
		status = caller_new(&limits, &board->results, &board->caller, err);
	return status;
}

static void init_board(struct agent_board *board, const struct daemon_settings *settings)
{
	const struct gate_limits limits = {
		.max_start_delay_us = settings->start_by_ms * US_PER_MS,
		.prefetch = (uint32_t)settings->prefetch,
		.silence_timeout_us = settings->heartbeat_limit_ms * US_PER_MS,
	};
	int64_t maintenance_interval_us = settings->heartbeat_ms * US_PER_MS / 2;

	board->settings = settings;
	board->agent_incarnation = ident_random();
	board->now_us = timer_clock_us();
	board->peers = g_ptr_array_new();
	board->gate = gate_new(&limits);
	board->config = config_replica_new();
	board->zmq_context = zmq_ctx_new();
	timer_init(&board->timers);
	timer_subscribe(&board->timers, board->now_us + maintenance_interval_us,
			maintenance_interval_us, on_connection_maintenance, board);
	timer_subscribe(&board->timers, board->now_us + CAPACITY_CHECK_INTERVAL_US,
			CAPACITY_CHECK_INTERVAL_US, on_capacity_check, board);
	agent_server_init(board);
	agent_metrics_register();
}

static void free_board(struct agent_board *board)
{
	if (board->caller)
		caller_free(board->caller);
	agent_peer_free_all(board);
	zmq_ctx_term(board->zmq_context);
	agent_server_free(board);
	gate_free(board->gate);
	config_replica_free(board->config);
	timer_free(&board->timers);
}

static enum status start_services(struct loop *loop, struct error *err)
{
	struct agent_board *board = &loop->board;
	enum status status = start_caller(board, err);

	if (status == STATUS_OK)
		status = agent_http_start(board, &loop->http, err);
	if (status != STATUS_OK)
		return status;
	for (int i = 0; board->settings->entries[i]; i++)
		agent_peer_add(board, board->settings->entries[i], NULL);
	return STATUS_OK;
}

enum exit_code agent_run(const struct daemon_settings *settings)
{
	struct loop loop = {.signal_fd = open_signal_fd()};
	struct error err;
	enum exit_code code = EXIT_CODE_RUNTIME;

	loop.poll_items = g_array_new(FALSE, FALSE, sizeof(zmq_pollitem_t));
	init_board(&loop.board, settings);
	if (start_services(&loop, &err) != STATUS_OK) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
	} else {
		while (!loop.board.loop_finished)
			run_iteration(&loop);
		agent_peer_send_goodbyes(&loop.board,
					 loop.board.shutdown_forced ? "forced" : "drained");
		code = loop.board.shutdown_forced ? EXIT_CODE_FORCED : EXIT_CODE_OK;
	}
	if (loop.http)
		agent_http_stop(loop.http);
	free_board(&loop.board);
	g_array_free(loop.poll_items, TRUE);
	close(loop.signal_fd);
	return code;
}
