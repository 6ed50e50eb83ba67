#include "entry_dispatch.h"

#include <string.h>

#include "entry_members.h"
#include "entry_progress.h"
#include "event.h"

enum {
	MAX_BATCH_STARTS = 512,
	MAX_BATCH_BYTES = 8 << 20, /* well below CHANNEL_MAX_MESSAGE_BYTES */
	FIRST_PAUSE_MS = 10,
	MAX_PAUSE_DOUBLINGS = 7, /* the longest pause is 1.28 s */
};

void entry_dispatch_update_credits(struct board *board, struct agent *agent)
{
	bool usable = agent->connected && !agent->reconciling && !agent->paused;

	if (!handle_is_none(agent->server))
		sched_server_set_credits(board->sched, agent->server,
					 usable ? link_credits(&agent->link) : 0);
}

/* Ends the start SEQ, which certainly did not run, and queues its task again. */
static void requeue_start(struct board *board, struct agent *agent, uint64_t seq)
{
	struct link_start start;

	if (link_end_start(&agent->link, seq, &start))
		entry_progress_task_refused(board, start.job, start.task, agent->server);
}

static void send_starts(struct board *board, struct agent *agent, Gg__Start **starts, size_t count)
{
	Gg__StartBatch batch = GG__START_BATCH__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	batch.starts = starts;
	batch.n_starts = count;
	envelope.body_case = GG__ENVELOPE__BODY_START_BATCH;
	envelope.start_batch = &batch;
	if (entry_members_send(board, agent, &envelope) == STATUS_OK) {
		metric_add(METRIC_TASKS_STARTED, (int64_t)count);
		return;
	}
	/* Nothing was sent, so these starts certainly did not run. */
	for (size_t i = 0; i < count; i++)
		requeue_start(board, agent, starts[i]->seq);
	agent->connected = false;
	entry_dispatch_update_credits(board, agent);
}

static void send_batches(struct board *board, struct agent *agent)
{
	Gg__Start **starts = (Gg__Start **)agent->pending_starts->pdata;
	size_t first = 0;
	size_t bytes = 0;

	for (size_t i = 0; i < agent->pending_starts->len; i++) {
		bytes += starts[i]->body.len;
		if (i > first && (i - first >= MAX_BATCH_STARTS || bytes > MAX_BATCH_BYTES)) {
			send_starts(board, agent, starts + first, i - first);
			first = i;
			bytes = starts[i]->body.len;
		}
	}
	send_starts(board, agent, starts + first, agent->pending_starts->len - first);
	g_ptr_array_set_size(agent->pending_starts, 0);
}

static Gg__Start *new_start(struct board *board, struct job *job, uint32_t task, uint64_t seq)
{
	Gg__Start *start = g_new(Gg__Start, 1);
	uint32_t length;

	gg__start__init(start);
	start->seq = seq;
	start->job = channel_ident_field(&job->digest);
	start->task = task;
	start->body.data = (uint8_t *)entry_jobs_task_value(job, task, &length);
	start->body.len = length;
	start->limit_ms = (uint32_t)board->settings->task_limit_ms;
	start->class_name = job->body->class_name;
	return start;
}

static void mark_started(struct board *board, struct job *job)
{
	if (job->started)
		return;
	job->started = true;
	histogram_record(&metric_queue_wait_us, (uint64_t)(board->now_us - job->admitted_us));
}

static void add_start(struct board *board, const struct sched_assignment *next)
{
	struct agent *agent = next->server_context;
	struct job *job = entry_jobs_find_by_sched_job(&board->jobs, next->job);
	uint64_t seq = link_record_start(&agent->link, next->job, next->task, board->now_us);

	/* The credits of the scheduler come from the link, so this case only occurs through a bug.
	 */
	if (seq == 0 || !job) {
		sched_task_refused(board->sched, next->job, next->task, next->server,
				   board->now_us);
		sched_server_set_credits(board->sched, next->server, 0);
		return;
	}
	mark_started(board, job);
	if (agent->pending_starts->len == 0)
		g_ptr_array_add(board->agents_with_starts, agent);
	g_ptr_array_add(agent->pending_starts, new_start(board, job, next->task, seq));
}

/*
 * Sends a separate heartbeat with the current demand to each open, connected agent that has no
 * credits and to which the last message sent stated no demand. In all other cases starts and
 * regular heartbeats carry the demand.
 */
static void send_demand(struct board *board)
{
	uint32_t cursor = 0;
	struct agent *agent;

	if (sched_queued_tasks(board->sched) == 0)
		return;
	while ((agent = table_next(&board->agents, &cursor, NULL))) {
		if (!agent->connected || agent->last_sent_demand > 0 || !agent->open ||
		    handle_is_none(agent->server) || link_credits(&agent->link) > 0 ||
		    sched_server_demand(board->sched, agent->server) == 0)
			continue;
		entry_members_send_heartbeat(board, agent);
	}
}

void entry_dispatch_run(struct board *board)
{
	struct sched_assignment next;

	while (sched_next_assignment(board->sched, board->now_us, &next))
		add_start(board, &next);
	for (guint i = 0; i < board->agents_with_starts->len; i++)
		send_batches(board, g_ptr_array_index(board->agents_with_starts, i));
	g_ptr_array_set_size(board->agents_with_starts, 0);
	send_demand(board);
}

static void end_pause(void *context, int64_t now_us)
{
	struct agent *agent = context;

	agent->paused = false;
	agent->pause_timer = (struct handle){0};
	entry_dispatch_update_credits(agent->board, agent);
}

/* Pauses the agent. Otherwise tasks would be sent in a tight loop to a backend server that refuses
 * all of them. Each refusal since the last accepted start doubles the next pause; a pause in
 * progress is not extended. */
static void pause_agent(struct board *board, struct agent *agent)
{
	int64_t pause_ms = (int64_t)FIRST_PAUSE_MS
			   << MIN(agent->refusal_streak, MAX_PAUSE_DOUBLINGS);

	agent->refusal_streak++;
	if (agent->paused)
		return;
	agent->paused = true;
	agent->pause_timer = timer_subscribe(&board->timers, board->now_us + pause_ms * US_PER_MS,
					     0, end_pause, agent);
}

static void handle_refusal(struct board *board, struct agent *agent, const struct link_start *start,
			   enum status status)
{
	event_log(EVENT_START_REFUSED, EV_S("agent", agent->id),
		  EV_S("status", status_name(status)));
	if (status != STATUS_STALE_CONFIG && status != STATUS_SERVER_LEAVING)
		pause_agent(board, agent);
	entry_progress_task_refused(board, start->job, start->task, agent->server);
}

static void handle_result(struct board *board, struct agent *agent, Gg__Result *result)
{
	enum status status = status_from_name(result->status);
	struct link_start start;
	uint8_t *data;

	if (!link_accept_result(&agent->link, result->number) ||
	    !link_end_start(&agent->link, result->seq, &start)) {
		metric_add(METRIC_RESULTS_REPEATED, 1);
		metric_add(METRIC_MESSAGES_WASTED, 1);
		return;
	}
	if (result->not_started) {
		handle_refusal(board, agent, &start, status);
		return;
	}
	agent->refusal_streak = 0;
	if (status == STATUS_OK && result->body.len > (size_t)board->settings->max_result_bytes) {
		entry_progress_task_failed(board, start.job, start.task, agent->server,
					   STATUS_RESULT_TOO_LARGE,
					   "the result exceeds limits.result_bytes");
	} else if (status == STATUS_OK && result->body.len > 0) {
		data = result->body.data;
		result->body.data = NULL;
		entry_progress_task_done(board, start.job, start.task, agent->server,
					 (int64_t)result->run_us, data, (uint32_t)result->body.len);
		result->body.len = 0;
	} else {
		entry_progress_task_failed(board, start.job, start.task, agent->server,
					   status == STATUS_OK ? STATUS_INVALID_RESULT : status,
					   result->reason);
	}
}

void entry_dispatch_receive_results(struct board *board, struct agent *agent,
				    Gg__ResultBatch *batch)
{
	for (size_t i = 0; i < batch->n_results; i++)
		handle_result(board, agent, batch->results[i]);
	entry_dispatch_update_credits(board, agent);
}

void entry_dispatch_receive_reconciled(struct board *board, struct agent *agent,
				       const Gg__Reconciled *answer)
{
	if (!agent->reconciling)
		return;
	for (size_t i = 0; i < answer->n_sealed; i++)
		requeue_start(board, agent, answer->sealed[i]);
	agent->reconciling = false;
	entry_dispatch_update_credits(board, agent);
	event_log(EVENT_CHANNEL_RECONCILED, EV_S("agent", agent->id),
		  EV_I("running", answer->n_running), EV_I("sealed", answer->n_sealed));
}

void entry_dispatch_fail_outstanding(struct board *board, struct agent *agent, const char *reason)
{
	struct link_start start;

	while (link_abandon_start(&agent->link, &start))
		entry_progress_task_failed(board, start.job, start.task, agent->server,
					   STATUS_AGENT_LOST, reason);
}

bool entry_dispatch_has_start_before(const struct agent *agent, int64_t before_us)
{
	uint32_t count = link_outstanding(&agent->link, NULL, 0);
	struct link_start *starts = g_new(struct link_start, count);
	bool found = false;

	link_outstanding(&agent->link, starts, count);
	for (uint32_t i = 0; i < count && !found; i++)
		found = starts[i].sent_us < before_us;
	g_free(starts);
	return found;
}
