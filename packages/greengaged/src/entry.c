/* The entry role for settings without "mode". It communicates with agents and other entries over
 * ZeroMQ. node_entry.c implements the entry role for mode "platform". */
#include "entry.h"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "entry_drain.h"
#include "entry_http.h"
#include "entry_log.h"
#include "entry_loop.h"
#include "event.h"

/* Blocks SIGTERM and SIGINT in this thread and in all threads it creates later, and ignores
 * SIGPIPE. Returns a signalfd for the blocked signals. */
static int open_signal_fd(void)
{
	sigset_t signals;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	return signalfd(-1, &signals, SFD_CLOEXEC);
}

static void read_signal(int signal_fd)
{
	struct signalfd_siginfo info;

	if (read(signal_fd, &info, sizeof(info)) < 0)
		return;
}

/* Returns the poll timeout until DEADLINE_US, or 0 when less than a millisecond is left. */
static int remaining_ms(int64_t deadline_us)
{
	int64_t left_ms = (deadline_us - timer_clock_us()) / US_PER_MS;

	return left_ms > 0 ? (int)left_ms + 1 : 0;
}

/* Waits until the shutdown has finished. The first signal starts a graceful shutdown; a second
 * signal or the expiry of drain.limit_ms forces it. */
static void wait_for_shutdown(struct board *board, int signal_fd)
{
	int64_t limit_us = board->settings->drain_limit_ms * US_PER_MS;
	int64_t deadline_us = 0; /* 0 until the first signal is received */
	bool forced = false;

	for (;;) {
		struct pollfd fds[] = {
			{.fd = signal_fd, .events = POLLIN},
			{.fd = board->finished_fd, .events = POLLIN},
		};
		int timeout = deadline_us == 0 || forced ? -1 : remaining_ms(deadline_us);
		int ready = poll(fds, 2, timeout);

		if (fds[1].revents & POLLIN)
			return;
		if (ready > 0 && (fds[0].revents & POLLIN)) {
			read_signal(signal_fd);
			forced = deadline_us != 0;
			deadline_us = timer_clock_us() + limit_us;
			entry_drain_request(board, forced);
		} else if (ready == 0) {
			forced = true;
			entry_drain_request(board, true);
		}
	}
}

static enum exit_code serve(struct board *board, int signal_fd)
{
	struct http_listener *http = NULL;
	pthread_t dispatcher;
	struct error err;

	if (entry_http_start(board, &http, &err) != STATUS_OK) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
		return EXIT_CODE_RUNTIME;
	}
	if (entry_log_start(board, &err) != STATUS_OK ||
	    pthread_create(&dispatcher, NULL, entry_loop_run, board) != 0) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
		entry_log_stop(board);
		entry_http_stop(http);
		return EXIT_CODE_RUNTIME;
	}
	wait_for_shutdown(board, signal_fd);
	entry_http_stop(http);
	entry_loop_request_exit(board);
	pthread_join(dispatcher, NULL);
	entry_log_stop(board);
	return board->shutdown_forced ? EXIT_CODE_FORCED : EXIT_CODE_OK;
}

enum exit_code entry_run(const struct daemon_settings *settings)
{
	int signal_fd = open_signal_fd();
	enum exit_code code;
	struct board board;
	struct error err;

	entry_metrics_register();
	rcu_register_thread();
	if (entry_loop_init(&board, settings, &err) != STATUS_OK) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
		return EXIT_CODE_RUNTIME;
	}
	code = serve(&board, signal_fd);
	entry_loop_free(&board);
	rcu_unregister_thread();
	close(signal_fd);
	return code;
}
