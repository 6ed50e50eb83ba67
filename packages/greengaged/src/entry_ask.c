#include "entry_ask.h"

#include <string.h>

#include "entry_admission.h"
#include "entry_forward.h"
#include "entry_peers.h"

enum {
	/* Of a read beyond the time it may be held open, as in the log client, and of the hand-over
	 * of its failure. */
	READ_GRACE_MS = 3000
};

static const char reason[] = "the log service, which holds the claims on keys, is not available";

/* A submission whose key the other entries are asked for. */
struct ask {
	struct board *board;
	struct request *request;
	unsigned open;	 /* questions without a reply */
	unsigned asked;	 /* peers at the beginning */
	bool undecided;	 /* an entry could not be asked or did not say what it holds */
	int64_t read_us; /* the claims stream was read to its end not before this time */
	struct handle timer;
};

struct question {
	uint64_t number;
	struct ask *ask;
	struct ident incarnation;
};

void entry_ask_init(struct board *board)
{
	board->key_queries = g_hash_table_new(NULL, NULL);
	board->peer_queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void entry_ask_free(struct board *board)
{
	g_hash_table_destroy(board->peer_queries);
	g_hash_table_destroy(board->key_queries);
}

static gboolean belongs_to(void *number, void *value, void *ask)
{
	return ((const struct question *)value)->ask == ask;
}

/* Forgets ASK and its questions. Returns its request. */
static struct request *end_ask(struct ask *ask)
{
	struct request *request = ask->request;

	g_hash_table_foreach_remove(ask->board->peer_queries, belongs_to, ask);
	g_hash_table_remove(ask->board->key_queries, ask);
	timer_cancel(&ask->board->timers, ask->timer);
	g_free(ask);
	return request;
}

static void refuse(struct ask *ask, enum outcome outcome)
{
	entry_admission_refuse(end_ask(ask), STATUS_LOG_UNAVAILABLE, outcome, reason);
}

static void limit_reached(void *context, int64_t now_us)
{
	refuse(context, OUTCOME_UNKNOWN);
}

/* A read that fails may have been without answer for as long as its time limit, so the last good
 * one lies that much earlier. */
static int64_t last_read_us(const struct board *board)
{
	const struct daemon_settings *settings = board->settings;
	int64_t read_ms = settings->log_connect_ms + settings->log_poll_ms + READ_GRACE_MS;
	int64_t behind_us =
		board->claims_stale_since_us ? board->claims_stale_since_us : board->now_us;

	return behind_us - read_ms * US_PER_MS;
}

/*
 * Every entry that may hold the key said that it does not. One that has ended may have claimed the
 * key since the claims stream was last read, and one that came since was not asked.
 */
static bool is_proven(const struct ask *ask)
{
	const struct board *board = ask->board;
	bool some_ended = board->last_entry_ended_us && board->last_entry_ended_us >= ask->read_us;

	return board->claims_synced && !ask->undecided && !some_ended &&
	       board->peers->len == ask->asked;
}

static void refuse_unclaimed(struct ask *ask)
{
	refuse(ask, is_proven(ask) ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN);
}

static bool send_question(struct ask *ask, struct peer *peer)
{
	struct board *board = ask->board;
	Gg__Forward message = GG__FORWARD__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	struct question *question;

	message.request = ++board->last_forward_number;
	message.method = (char *)"GET";
	message.path = ask->request->path;
	envelope.body_case = GG__ENVELOPE__BODY_FORWARD;
	envelope.forward = &message;
	if (entry_peers_send(board, peer, &envelope) != STATUS_OK)
		return false;
	question = g_new0(struct question, 1);
	question->number = message.request;
	question->ask = ask;
	question->incarnation = peer->incarnation;
	g_hash_table_insert(board->peer_queries, &question->number, question);
	ask->open++;
	return true;
}

void entry_ask_others(struct board *board, struct request *request)
{
	struct ask *ask = g_new0(struct ask, 1);

	ask->board = board;
	ask->request = request;
	ask->asked = board->peers->len;
	ask->read_us = last_read_us(board);
	g_hash_table_add(board->key_queries, ask);
	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(board->peers, i);

		if (!peer->incarnation_known || !peer->connected || !send_question(ask, peer))
			ask->undecided = true;
	}
	if (ask->open == 0) {
		refuse_unclaimed(ask);
		return;
	}
	ask->timer = timer_subscribe(&board->timers,
				     board->now_us + board->settings->claim_wait_ms * US_PER_MS, 0,
				     limit_reached, ask);
}

static bool does_not_hold(json_t *body)
{
	json_t *error = json_object_get(body, "error");

	/* Outcome "not_run" would be told by an entry that holds a claim without a job. */
	return g_strcmp0(json_string_value(json_object_get(error, "type")), "not_found") == 0 &&
	       g_strcmp0(json_string_value(json_object_get(error, "outcome")), "unknown") == 0;
}

static bool holds(json_t *body)
{
	json_t *error = json_object_get(body, "error");

	return json_is_string(json_object_get(body, "job")) ||
	       g_strcmp0(json_string_value(json_object_get(error, "type")), "answer_expired") == 0;
}

static void take_reply(struct board *board, struct question *question,
		       const Gg__ForwardReply *reply)
{
	json_t *body = json_loadb((const char *)reply->body.data, reply->body.len, 0, NULL);
	struct ident incarnation = question->incarnation;
	struct ask *ask = question->ask;

	g_hash_table_remove(board->peer_queries, &question->number);
	ask->open--;
	ask->undecided = ask->undecided || !does_not_hold(body);
	if (holds(body)) /* it compares the bodies, and never starts the job again */
		entry_forward_to_owner(board, end_ask(ask), &incarnation);
	else if (ask->open == 0)
		refuse_unclaimed(ask);
	json_decref(body);
}

void entry_ask_receive_reply(struct board *board, const Gg__ForwardReply *reply)
{
	struct question *question = g_hash_table_lookup(board->peer_queries, &reply->request);

	if (question)
		take_reply(board, question, reply);
}

void entry_ask_fail_all(struct board *board)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, board->key_queries);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		entry_admission_refuse(end_ask(value), STATUS_DRAINING, OUTCOME_UNKNOWN,
				       "this entry was stopped");
		g_hash_table_iter_init(&iter, board->key_queries);
	}
}
