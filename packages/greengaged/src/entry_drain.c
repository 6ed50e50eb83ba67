#include "entry_drain.h"

#include <sys/eventfd.h>

#include "entry_claims.h"
#include "entry_config.h"
#include "entry_forward.h"
#include "entry_key_query.h"
#include "entry_members.h"
#include "entry_peers.h"
#include "entry_progress.h"
#include "event.h"

struct drain_command {
	struct command command;
	bool forced;
};

/* Returns credits, sends goodbyes and wakes the main thread. */
static void finish_shutdown(struct board *board)
{
	entry_members_return_credits(board);
	entry_members_send_goodbyes(board);
	entry_peers_send_goodbyes(board);
	board->shutdown_finished = true;
	event_log(EVENT_DRAIN_FINISHED, EV_I("forced", board->shutdown_forced));
	eventfd_write(board->finished_fd, 1);
}

/* Shuts down at once: refuses every waiting request and fails every active job. */
static void force_shutdown(struct board *board)
{
	event_log(EVENT_DRAIN_FORCED, EV_I("jobs", board->jobs.active_jobs));
	board->shutdown_forced = true;
	entry_claims_refuse_waiting(board);
	entry_config_fail_all(board);
	entry_key_query_refuse_all(board);
	entry_forward_fail_all(board);
	entry_progress_fail_all(board, STATUS_DRAINING,
				"this entry was stopped before the job ended");
	finish_shutdown(board);
}

static void run_drain_command(struct board *board, struct command *command)
{
	struct drain_command *drain = (struct drain_command *)command;
	bool forced = drain->forced;

	g_free(drain);
	if (board->shutdown_finished)
		return;
	if (!board->draining) {
		board->draining = true;
		board->drain_started_us = board->now_us;
		entry_config_publish(board);
		event_log(EVENT_DRAIN_STARTED, EV_I("jobs", board->jobs.active_jobs));
	}
	if (forced)
		force_shutdown(board);
}

void entry_drain_request(struct board *board, bool forced)
{
	struct drain_command *drain = g_new0(struct drain_command, 1);

	drain->command.run = run_drain_command;
	drain->forced = forced;
	mailbox_send(&board->mailbox, &drain->command.node);
}

/*
 * Answers that no client has fetched are kept for the grace period (drain.grace_ms) after the last
 * job has ended, so that clients can still fetch them. Without its answer, a client could not know
 * how its job ended.
 */
void entry_drain_finish_if_idle(struct board *board)
{
	int64_t grace_us = board->settings->drain_grace_ms * US_PER_MS;

	if (!board->draining || board->shutdown_finished)
		return;
	if (board->now_us - board->drain_started_us < grace_us || board->jobs.active_jobs > 0 ||
	    g_hash_table_size(board->forwards) > 0 || g_hash_table_size(board->config_patches) > 0)
		return;
	if (counter_get(&entry_metrics[METRIC_HTTP_OPEN]) > 0)
		return;
	if (board->jobs.unfetched_answers > 0 &&
	    board->now_us - board->last_job_ended_us < grace_us)
		return;
	finish_shutdown(board);
}
