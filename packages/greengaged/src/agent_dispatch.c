#include "agent_dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "agent_metrics.h"
#include "agent_peer.h"
#include "agent_server.h"
#include "event.h"

enum {
	RESULTS_PER_MESSAGE = 500,
	RESULT_BYTES_PER_MESSAGE = 4 << 20, /* far below CHANNEL_MAX_MESSAGE_BYTES */
	CREDIT_CHANGES_PER_CALL = 64,
	CONFIG_REQUEST_RETRY_US = US_PER_SECOND, /* a lost request is repeated after this time */
};

static struct caller_task *create_task(const struct agent_peer *peer, Gg__Start *start)
{
	struct caller_task *task = calloc(1, sizeof(*task));

	if (!task)
		abort();
	task->channel = peer->gate_channel;
	task->seq = start->seq;
	channel_get_ident(&start->job, &task->job);
	task->task_index = start->task;
	task->timeout_ms = MAX(start->limit_ms, 1);
	/* Moves the body's memory from the message to the task. */
	task->body = (char *)start->body.data;
	task->body_bytes = start->body.len;
	start->body = (ProtobufCBinaryData){0};
	return task;
}

static void admit_start(struct agent_board *board, struct agent_peer *peer,
			const Gg__Envelope *envelope, Gg__Start *start)
{
	const struct gate_start request = {
		.seq = start->seq,
		.sent_us = envelope->sent_us,
		.config_version = envelope->config_version,
	};
	enum status status = gate_admit(board->gate, peer->gate_channel, &request, board->now_us);
	struct gate_result refusal = {.seq = start->seq, .status = status, .not_started = true};

	if (status == STATUS_OK) {
		agent_metric_add(AGENT_METRIC_STARTS, 1);
		caller_submit(board->caller, create_task(peer, start));
		return;
	}
	agent_metric_add(AGENT_METRIC_STARTS_REFUSED, 1);
	event_log(EVENT_START_REFUSED, EV_S("status", status_name(status)),
		  EV_I("seq", (int64_t)start->seq));
	if (status != STATUS_DUPLICATE_START)
		gate_store_refusal(board->gate, peer->gate_channel, &refusal);
}

static void add_discovered_entries(struct agent_board *board, const Gg__Welcome *welcome)
{
	for (size_t i = 0; i < welcome->n_entries; i++) {
		const Gg__PeerInfo *info = welcome->entries[i];
		struct ident incarnation;
		bool known = false;

		if (!channel_get_ident(&info->incarnation, &incarnation) || !*info->address)
			continue;
		for (guint k = 0; k < board->peers->len && !known; k++) {
			const struct agent_peer *peer = g_ptr_array_index(board->peers, k);

			known = peer->incarnation_known &&
				ident_equal(&peer->incarnation, &incarnation);
		}
		if (!known)
			agent_peer_add(board, info->address, &incarnation);
	}
}

static void handle_reconcile(struct agent_board *board, struct agent_peer *peer,
			     const Gg__Reconcile *request)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Reconciled reply = GG__RECONCILED__INIT;
	uint64_t *running = g_new(uint64_t, request->n_outstanding);
	uint64_t *not_admitted = g_new(uint64_t, request->n_outstanding);

	for (size_t i = 0; i < request->n_outstanding; i++) {
		uint64_t seq = request->outstanding[i];

		switch (gate_reconcile(board->gate, peer->gate_channel, request->next_seq, seq)) {
		case GATE_START_RUNNING:
			running[reply.n_running++] = seq;
			break;
		case GATE_START_NOT_ADMITTED:
			not_admitted[reply.n_sealed++] = seq;
			break;
		case GATE_START_FINISHED: /* the stored result is sent again below */
			break;
		}
	}
	/*
	 * Sends all stored results again, including those already sent on this connection, because
	 * the entry may not have received them. The results must arrive before the reply, which
	 * tells the entry which starts have no result.
	 */
	peer->last_result_sent = 0;
	agent_dispatch_send_results(board, peer);
	reply.running = running;
	reply.sealed = not_admitted;
	envelope.body_case = GG__ENVELOPE__BODY_RECONCILED;
	envelope.reconciled = &reply;
	agent_peer_send(board, peer, &envelope);
	event_log(EVENT_CHANNEL_RECONCILED, EV_S("address", peer->address),
		  EV_I("running", (int64_t)reply.n_running),
		  EV_I("sealed", (int64_t)reply.n_sealed));
	g_free(running);
	g_free(not_admitted);
}

static void send_config(struct agent_board *board, struct agent_peer *peer)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__ConfigState state = GG__CONFIG_STATE__INIT;
	char *document = json_dumps(config_document(board->config), JSON_COMPACT);

	if (!document)
		return;
	state.version = config_version(board->config);
	state.document = document;
	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_STATE;
	envelope.config_state = &state;
	agent_peer_send(board, peer, &envelope);
	free(document);
}

static void apply_config(struct agent_board *board, const Gg__ConfigState *state)
{
	struct error err = {.status = STATUS_OK};

	if (!config_replica_adopt(board->config, state->version, state->document, &err)) {
		if (state->version > config_version(board->config))
			event_log_error(EVENT_CONFIG_REJECTED, &err);
		return;
	}
	gate_set_config_version(board->gate, state->version);
	agent_metric_set(AGENT_METRIC_CONFIG_VERSION, (int64_t)state->version);
	event_log(EVENT_CONFIG_APPLIED, EV_I("version", (int64_t)state->version));
	agent_server_refresh(board);
}

void agent_dispatch_check_config_version(struct agent_board *board, struct agent_peer *peer,
					 uint64_t version)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__ConfigRequest request = GG__CONFIG_REQUEST__INIT;

	if (version <= config_version(board->config))
		return;
	if (version == peer->requested_config_version &&
	    board->now_us - peer->last_config_request_us < CONFIG_REQUEST_RETRY_US)
		return;
	request.have_version = config_version(board->config);
	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_REQUEST;
	envelope.config_request = &request;
	if (!agent_peer_send(board, peer, &envelope))
		return;
	peer->requested_config_version = version;
	peer->last_config_request_us = board->now_us;
}

void agent_dispatch_handle_message(struct agent_board *board, struct agent_peer *peer,
				   Gg__Envelope *envelope)
{
	switch (envelope->body_case) {
	case GG__ENVELOPE__BODY_START_BATCH:
		for (size_t i = 0; i < envelope->start_batch->n_starts; i++)
			admit_start(board, peer, envelope, envelope->start_batch->starts[i]);
		break;
	case GG__ENVELOPE__BODY_WELCOME:
		add_discovered_entries(board, envelope->welcome);
		break;
	case GG__ENVELOPE__BODY_RECONCILE:
		handle_reconcile(board, peer, envelope->reconcile);
		break;
	case GG__ENVELOPE__BODY_CONFIG_REQUEST:
		send_config(board, peer);
		break;
	case GG__ENVELOPE__BODY_CONFIG_STATE:
		apply_config(board, envelope->config_state);
		break;
	case GG__ENVELOPE__BODY_GOODBYE:
		/* The entry has answered all its clients and needs no further results. */
		gate_close_channel(board->gate, peer->gate_channel);
		event_log(EVENT_MEMBER_LEFT, EV_S("address", peer->address));
		break;
	default: /* a heartbeat: the header holds all its information */
		break;
	}
}

static void record_task_outcome(const struct caller_task *task)
{
	if (task->status == STATUS_OK) {
		agent_metric_add(AGENT_METRIC_DONE, 1);
		histogram_record(&agent_metric_run_us, (uint64_t)task->run_us);
		return;
	}
	agent_metric_add(task->not_started ? AGENT_METRIC_NOT_STARTED : AGENT_METRIC_FAILED, 1);
	event_log(EVENT_TASK_FAILED, EV_S("status", status_name(task->status)),
		  EV_S("reason", task->reason), EV_I("not_started", task->not_started));
}

static void finish_task(struct agent_board *board, struct caller_task *task)
{
	struct gate_result result = {
		.seq = task->seq,
		.status = task->status,
		.not_started = task->not_started,
		.body = (uint8_t *)task->result,
		.body_bytes = (uint32_t)task->result_bytes,
		.run_us = (uint64_t)task->run_us,
	};

	if (task->status != STATUS_OK)
		result.reason = strdup(task->reason);
	task->result = NULL;
	record_task_outcome(task);
	gate_finish(board->gate, task->channel, &result);
	/* Tasks that were not started count as failures of the server too. Otherwise a server that
	 * is unreachable or refuses everything would get the same task again at once, without
	 * end. */
	agent_server_record_result(board, task->status == STATUS_OK);
	caller_task_free(task);
}

void agent_dispatch_process_results(struct agent_board *board)
{
	struct mailbox_node *node;

	while ((node = mailbox_take(&board->results)))
		finish_task(board, (struct caller_task *)node);
}

static struct agent_peer *find_peer_by_gate_channel(const struct agent_board *board,
						    struct handle channel)
{
	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *peer = g_ptr_array_index(board->peers, i);

		if (peer->incarnation_known && handle_equal(peer->gate_channel, channel))
			return peer;
	}
	return NULL;
}

void agent_dispatch_distribute_credits(struct agent_board *board)
{
	struct gate_credit_change changes[CREDIT_CHANGES_PER_CALL];
	uint32_t count;

	do {
		count = gate_distribute_credits(board->gate, changes, CREDIT_CHANGES_PER_CALL);
		for (uint32_t i = 0; i < count; i++) {
			struct agent_peer *peer =
				find_peer_by_gate_channel(board, changes[i].channel);

			if (!peer)
				continue;
			peer->credits_changed = true;
			peer->credits_to_reclaim += changes[i].reclaim;
		}
	} while (count == CREDIT_CHANGES_PER_CALL);
	agent_metric_set(AGENT_METRIC_RUNNING, gate_admitted_count(board->gate));
	agent_metric_set(AGENT_METRIC_UNACKNOWLEDGED, gate_unacknowledged_count(board->gate));
}

static void fill_result(Gg__Result *out, const struct gate_result *result)
{
	gg__result__init(out);
	out->number = result->number;
	out->seq = result->seq;
	out->status = (char *)status_name(result->status);
	out->not_started = result->not_started;
	out->body = (ProtobufCBinaryData){.data = result->body, .len = result->body_bytes};
	out->run_us = result->run_us;
	out->reason = result->reason ? result->reason : (char *)"";
}

/* Sends the next batch of results. Returns false when there is none or it could not be sent. */
static bool send_result_batch(struct agent_board *board, struct agent_peer *peer)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__ResultBatch batch = GG__RESULT_BATCH__INIT;
	Gg__Result results[RESULTS_PER_MESSAGE];
	Gg__Result *list[RESULTS_PER_MESSAGE];
	uint64_t last = peer->last_result_sent;
	size_t bytes = 0;

	while (batch.n_results < RESULTS_PER_MESSAGE && bytes < RESULT_BYTES_PER_MESSAGE) {
		const struct gate_result *next =
			gate_next_result(board->gate, peer->gate_channel, last);

		if (!next)
			break;
		fill_result(&results[batch.n_results], next);
		list[batch.n_results] = &results[batch.n_results];
		batch.n_results++;
		last = next->number;
		bytes += next->body_bytes;
	}
	if (batch.n_results == 0)
		return false;
	batch.results = list;
	envelope.body_case = GG__ENVELOPE__BODY_RESULT_BATCH;
	envelope.result_batch = &batch;
	if (!agent_peer_send(board, peer, &envelope))
		return false;
	peer->last_result_sent = last;
	return true;
}

void agent_dispatch_send_results(struct agent_board *board, struct agent_peer *peer)
{
	while (send_result_batch(board, peer))
		;
}
