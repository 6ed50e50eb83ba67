#include "entry_key_query.h"

#include <string.h>

#include "entry_admission.h"
#include "entry_forward.h"
#include "entry_peers.h"

enum {
	/* An unanswered read has failed, and the dispatcher knows of the failure, this long after
	 * log.connect_ms and log.poll_ms have passed. The value includes the allowance that the log
	 * client adds to its own time limit. */
	READ_GRACE_MS = 3000
};

static const char unavailable_message[] =
	"the log service, which holds the claims on keys, is not available";

/* A submission for whose key the other entries are queried. */
struct key_query {
	struct board *board;
	struct request *request;
	unsigned pending_replies; /* peer queries without a reply */
	unsigned peers_at_start; /* number of peers when the query began, including those that could
				    not be queried */
	bool inconclusive; /* an entry could not be queried, or its reply left open whether it owns
			      the key */
	int64_t claims_read_us; /* the claims stream was last read to its end at this time or later
				 */
	struct handle timer;
};

/* A query sent to one peer. */
struct peer_query {
	uint64_t number;
	struct key_query *query;
	struct ident incarnation;
};

void entry_key_query_init(struct board *board)
{
	board->key_queries = g_hash_table_new(NULL, NULL);
	board->peer_queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void entry_key_query_free(struct board *board)
{
	g_hash_table_destroy(board->peer_queries);
	g_hash_table_destroy(board->key_queries);
}

static gboolean is_query_of(void *number, void *value, void *query)
{
	return ((const struct peer_query *)value)->query == query;
}

/* Frees QUERY and its peer queries. Returns its request, which is still unanswered. */
static struct request *end_key_query(struct key_query *query)
{
	struct request *request = query->request;

	g_hash_table_foreach_remove(query->board->peer_queries, is_query_of, query);
	g_hash_table_remove(query->board->key_queries, query);
	timer_cancel(&query->board->timers, query->timer);
	g_free(query);
	return request;
}

static void refuse(struct key_query *query, enum outcome outcome)
{
	entry_admission_refuse(end_key_query(query), STATUS_LOG_UNAVAILABLE, outcome,
			       unavailable_message);
}

static void handle_timeout(void *context, int64_t now_us)
{
	refuse(context, OUTCOME_UNKNOWN);
}

/* Returns a time not later than the last successful read of the claims stream to its end. A read
 * may have gone unanswered for its whole time limit before it failed, so the last successful read
 * may be earlier than the failure by that time limit. */
static int64_t last_claims_read_us(const struct board *board)
{
	const struct daemon_settings *settings = board->settings;
	int64_t read_ms = settings->log_connect_ms + settings->log_poll_ms + READ_GRACE_MS;
	int64_t failed_since_us =
		board->claims_stale_since_us ? board->claims_stale_since_us : board->now_us;

	return failed_since_us - read_ms * US_PER_MS;
}

/*
 * Returns whether it is certain that no entry owns the key. Called when no reply is pending. The
 * result is false if the claims stream was never read to its end or if a peer did not reply that it
 * does not own the key. It is also false if an entry has ended since the stream was last read, as
 * that entry may have claimed the key in between, or if a peer was added since the query began, as
 * that peer was not queried.
 */
static bool is_surely_unclaimed(const struct key_query *query)
{
	const struct board *board = query->board;
	bool some_ended =
		board->last_entry_ended_us && board->last_entry_ended_us >= query->claims_read_us;

	return board->claims_synced && !query->inconclusive && !some_ended &&
	       board->peers->len == query->peers_at_start;
}

static void refuse_unclaimed(struct key_query *query)
{
	refuse(query, is_surely_unclaimed(query) ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN);
}

static bool send_peer_query(struct key_query *query, struct peer *peer)
{
	struct board *board = query->board;
	Gg__Forward message = GG__FORWARD__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	struct peer_query *peer_query;

	message.request = ++board->last_forward_number;
	message.method = (char *)"GET";
	message.path = query->request->path;
	envelope.body_case = GG__ENVELOPE__BODY_FORWARD;
	envelope.forward = &message;
	if (entry_peers_send(board, peer, &envelope) != STATUS_OK)
		return false;
	peer_query = g_new0(struct peer_query, 1);
	peer_query->number = message.request;
	peer_query->query = query;
	peer_query->incarnation = peer->incarnation;
	g_hash_table_insert(board->peer_queries, &peer_query->number, peer_query);
	query->pending_replies++;
	return true;
}

void entry_key_query_others(struct board *board, struct request *request)
{
	struct key_query *query = g_new0(struct key_query, 1);

	query->board = board;
	query->request = request;
	query->peers_at_start = board->peers->len;
	query->claims_read_us = last_claims_read_us(board);
	g_hash_table_add(board->key_queries, query);
	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(board->peers, i);

		if (!peer->incarnation_known || !peer->connected || !send_peer_query(query, peer))
			query->inconclusive = true;
	}
	if (query->pending_replies == 0) {
		refuse_unclaimed(query);
		return;
	}
	query->timer = timer_subscribe(&board->timers,
				       board->now_us + board->settings->claim_wait_ms * US_PER_MS,
				       0, handle_timeout, query);
}

static bool reply_denies_key(json_t *body)
{
	json_t *error = json_object_get(body, "error");

	/* The outcome must be "unknown": an entry that owns the claim but has no job also replies
	 * "not_found", but with the outcome "not_run". */
	return g_strcmp0(json_string_value(json_object_get(error, "type")), "not_found") == 0 &&
	       g_strcmp0(json_string_value(json_object_get(error, "outcome")), "unknown") == 0;
}

static bool reply_confirms_key(json_t *body)
{
	json_t *error = json_object_get(body, "error");

	return json_is_string(json_object_get(body, "job")) ||
	       g_strcmp0(json_string_value(json_object_get(error, "type")), "answer_expired") == 0;
}

static void handle_reply(struct board *board, struct peer_query *peer_query,
			 const Gg__ForwardReply *reply)
{
	json_t *body = json_loadb((const char *)reply->body.data, reply->body.len, 0, NULL);
	struct ident incarnation = peer_query->incarnation;
	struct key_query *query = peer_query->query;

	g_hash_table_remove(board->peer_queries, &peer_query->number);
	query->pending_replies--;
	query->inconclusive = query->inconclusive || !reply_denies_key(body);
	/* The owner compares the request bodies and never starts the job a second time, so the
	 * submission can be forwarded to it. */
	if (reply_confirms_key(body))
		entry_forward_to_owner(board, end_key_query(query), &incarnation);
	else if (query->pending_replies == 0)
		refuse_unclaimed(query);
	json_decref(body);
}

void entry_key_query_receive_reply(struct board *board, const Gg__ForwardReply *reply)
{
	struct peer_query *peer_query = g_hash_table_lookup(board->peer_queries, &reply->request);

	if (peer_query)
		handle_reply(board, peer_query, reply);
}

void entry_key_query_refuse_all(struct board *board)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, board->key_queries);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		entry_admission_refuse(end_key_query(value), STATUS_DRAINING, OUTCOME_UNKNOWN,
				       "this entry was stopped");
		g_hash_table_iter_init(&iter, board->key_queries);
	}
}
