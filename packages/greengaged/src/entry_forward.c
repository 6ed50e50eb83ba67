#include "entry_forward.h"

#include <stdlib.h>
#include <string.h>

#include "entry_admission.h"
#include "entry_key_query.h"
#include "entry_peers.h"
#include "tsan.h"

enum {
	PARSER_THREADS = 2
};

/* A request that was forwarded to its owner and has no reply yet. */
struct forward {
	struct board *board;
	uint64_t number;
	struct request *request;
	struct ident owner;
	struct handle timer;
};

static void free_forward(void *data)
{
	struct forward *forward = data;

	timer_cancel(&forward->board->timers, forward->timer);
	g_free(forward);
}

/* Frees FORWARD and returns its request. */
static struct request *finish_forward(struct forward *forward)
{
	struct request *request = forward->request;

	g_hash_table_remove(forward->board->forwards, &forward->number);
	return request;
}

static void reply_timed_out(void *context, int64_t now_us)
{
	entry_admission_refuse(finish_forward(context), STATUS_OWNER_UNREACHABLE, OUTCOME_UNKNOWN,
			       "the entry that owns the request did not reply in time");
}

static enum status send_forward(struct board *board, struct peer *peer,
				const struct request *request, uint64_t number)
{
	Gg__Forward message = GG__FORWARD__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	message.request = number;
	message.method = (char *)request->method;
	message.path = request->path;
	message.body.data = (uint8_t *)(request->body ? request->body->text : request->text);
	message.body.len = request->body ? request->body->length : request->text_length;
	message.wait_ms = (uint64_t)request->route.wait_ms;
	envelope.body_case = GG__ENVELOPE__BODY_FORWARD;
	envelope.forward = &message;
	return entry_peers_send(board, peer, &envelope);
}

static void forward_to_peer(struct board *board, struct request *request, struct peer *peer)
{
	int64_t limit_ms = request->route.wait_ms + board->settings->forward_limit_ms;
	struct forward *forward;

	if (send_forward(board, peer, request, board->last_forward_number + 1) != STATUS_OK) {
		entry_admission_refuse(request, STATUS_OWNER_UNREACHABLE, OUTCOME_UNKNOWN,
				       "the entry that owns the request cannot be reached");
		return;
	}
	metric_add(METRIC_FORWARDS, 1);
	forward = g_new0(struct forward, 1);
	forward->board = board;
	forward->number = ++board->last_forward_number;
	forward->request = request;
	forward->owner = peer->incarnation;
	forward->timer = timer_subscribe(&board->timers, board->now_us + limit_ms * US_PER_MS, 0,
					 reply_timed_out, forward);
	g_hash_table_insert(board->forwards, &forward->number, forward);
}

void entry_forward_to_owner(struct board *board, struct request *request, const struct ident *owner)
{
	struct peer *peer = NULL;

	/* The other entry forwarded the request to the owner's address, but this incarnation is
	 * not the owner. The owner's incarnation has therefore ended. */
	if (request->forwarded) {
		entry_admission_refuse(request, STATUS_OWNER_LOST, OUTCOME_UNKNOWN,
				       "the entry that owned the request has ended");
		return;
	}
	switch (entry_peers_find_owner(board, owner, &peer)) {
	case OWNER_REACHABLE:
		forward_to_peer(board, request, peer);
		break;
	case OWNER_UNREACHABLE:
		entry_admission_refuse(request, STATUS_OWNER_UNREACHABLE, OUTCOME_UNKNOWN,
				       "the entry that owns the request does not answer");
		break;
	case OWNER_ENDED:
		entry_admission_refuse(request, STATUS_OWNER_LOST, OUTCOME_UNKNOWN,
				       "the entry that owned the request has ended");
		break;
	}
}

static void send_reply_to_origin(struct request *request)
{
	Gg__ForwardReply message = GG__FORWARD_REPLY__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	gsize length;

	message.request = request->origin_request;
	message.http_status = (uint32_t)request->reply.http_status;
	message.body.data = (uint8_t *)g_bytes_get_data(request->reply.body, &length);
	message.body.len = length;
	message.session = request->reply.session;
	envelope.body_case = GG__ENVELOPE__BODY_FORWARD_REPLY;
	envelope.forward_reply = &message;
	/* If the connection is lost, the other entry refuses the request with owner_unreachable at
	 * the end of its time limit. */
	entry_peers_send_on_inbound(request->board, &request->origin, &envelope);
}

/* Returns whether REQUEST names a job by session and key and the session does not have this key.
 * In that case, no job was admitted under the key. */
static bool refers_to_unknown_job(struct board *board, const struct request *request)
{
	const struct route *route = &request->route;
	struct handle job;

	return route->has_session && entry_route_names_job(route->kind) &&
	       session_find_key(board->sessions, route->session.serial, route->key, board->now_us,
				&job, NULL) == STATUS_NOT_FOUND;
}

static void run_forwarded(struct board *board, struct command *command)
{
	struct request *request = (struct request *)command;

	if (!request->parse_failed) {
		entry_admission_handle_request(board, command);
		return;
	}
	/* Unless its job is known not to exist, the refused request may repeat an earlier one whose
	 * job runs, so the outcome is unknown. */
	if (!refers_to_unknown_job(board, request))
		request->parse_error.outcome = OUTCOME_UNKNOWN;
	entry_request_refuse(request, &request->parse_error);
}

/* Parses a forwarded request on a thread of the pool, since parsing a large body on the dispatcher
 * thread would delay all other work. */
static void parse_forwarded(void *data, void *context)
{
	struct request *request = data;
	struct board *board = context;
	const struct daemon_settings *settings = board->settings;
	int64_t wait_ms;

	TSAN_ACQUIRE(request);
	wait_ms = request->route.wait_ms;
	request->parse_failed =
		entry_route_parse(request->method, request->path, NULL, settings->http_wait_max_ms,
				  &request->route, &request->parse_error) != STATUS_OK;
	request->route.wait_ms = wait_ms;
	if (!request->parse_failed && request->route.kind == ROUTE_JOB_SUBMIT) {
		request->parse_failed =
			entry_body_parse(request->text, request->text_length,
					 (uint32_t)settings->max_tasks_per_job, &request->body,
					 &request->parse_error) != STATUS_OK;
		request->text = NULL;
	}
	mailbox_send(&board->mailbox, &request->command.node);
}

void entry_forward_receive(struct board *board, const struct ident *origin,
			   const Gg__Forward *forward)
{
	struct request *request = entry_request_new();
	int64_t wait_max_ms = board->settings->http_wait_max_ms;

	request->command.run = run_forwarded;
	request->board = board;
	request->forwarded = true;
	request->origin = *origin;
	request->origin_request = forward->request;
	request->deliver = send_reply_to_origin;
	g_strlcpy(request->method, forward->method, sizeof(request->method));
	request->path = g_strdup(forward->path);
	request->route.wait_ms = (int64_t)MIN(forward->wait_ms, (uint64_t)wait_max_ms);
	request->text_length = forward->body.len;
	request->text = malloc(forward->body.len + 1);
	if (forward->body.len > 0)
		memcpy(request->text, forward->body.data, forward->body.len);
	TSAN_RELEASE(request);
	g_thread_pool_push(board->forward_parsers, request, NULL);
}

void entry_forward_receive_reply(struct board *board, const Gg__ForwardReply *reply)
{
	struct forward *forward = g_hash_table_lookup(board->forwards, &reply->request);
	struct request *request;
	GBytes *body;

	if (!forward) {
		entry_key_query_receive_reply(board, reply);
		return;
	}
	request = finish_forward(forward);
	g_strlcpy(request->reply.session, reply->session, sizeof(request->reply.session));
	body = g_bytes_new(reply->body.data, reply->body.len);
	entry_request_finish(request, (int)reply->http_status, body);
	g_bytes_unref(body);
}

/* Refuses every request forwarded to OWNER, or to any entry when OWNER is NULL, with STATUS. */
static void fail_forwards(struct board *board, const struct ident *owner, enum status status,
			  const char *reason)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, board->forwards);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct forward *forward = value;
		struct request *request = forward->request;

		if (owner && !ident_equal(&forward->owner, owner))
			continue;
		g_hash_table_iter_remove(&iter);
		entry_admission_refuse(request, status, OUTCOME_UNKNOWN, reason);
	}
}

void entry_forward_fail_for_owner(struct board *board, const struct ident *owner)
{
	fail_forwards(board, owner, STATUS_OWNER_LOST,
		      "the entry that owned the request has ended");
}

void entry_forward_fail_all(struct board *board)
{
	fail_forwards(board, NULL, STATUS_DRAINING, "this entry was stopped");
}

void entry_forward_init(struct board *board)
{
	board->forwards = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_forward);
	board->forward_parsers =
		g_thread_pool_new(parse_forwarded, board, PARSER_THREADS, FALSE, NULL);
}

void entry_forward_free(struct board *board)
{
	g_thread_pool_free(board->forward_parsers, FALSE, TRUE);
	g_hash_table_destroy(board->forwards);
}
