#include "entry_claims.h"

#include <stdlib.h>
#include <string.h>

#include "entry_admission.h"
#include "entry_forward.h"
#include "entry_key_query.h"
#include "entry_progress.h"
#include "event.h"

static const char stream_name[] = "claims";

enum {
	MS_PER_SECOND = 1000
};

/* A key that this entry has claimed or is claiming. */
struct claim_key {
	struct board *board;
	struct ident digest;
	struct ident body_digest;
	struct handle job;
	bool job_admitted; /* a job was admitted under the key; the job may have been removed since
			    */
	struct request *waiting; /* requests that wait for the claim, newest first */
	struct handle timer;
};

static void free_claim_key(void *data)
{
	struct claim_key *key = data;

	timer_cancel(&key->board->timers, key->timer);
	g_free(key);
}

void entry_claims_init(struct board *board)
{
	board->claims =
		claims_new(&board->incarnation, board->settings->claim_window_s * MS_PER_SECOND);
	board->claim_keys =
		g_hash_table_new_full(ident_hash, ident_equal_func, NULL, free_claim_key);
	board->decided_claims = g_array_new(FALSE, FALSE, sizeof(struct ident));
}

void entry_claims_free(struct board *board)
{
	g_hash_table_destroy(board->claim_keys);
	g_array_free(board->decided_claims, TRUE);
	claims_free(board->claims);
	free(board->claims_record);
}

static struct claim_key *get_or_add_key(struct board *board, const struct ident *digest)
{
	struct claim_key *key = g_hash_table_lookup(board->claim_keys, digest);

	if (key)
		return key;
	key = g_new0(struct claim_key, 1);
	key->board = board;
	key->digest = *digest;
	g_hash_table_insert(board->claim_keys, &key->digest, key);
	return key;
}

/* Removes and returns the list of waiting requests, newest first, and cancels their timer. */
static struct request *take_waiting(struct claim_key *key)
{
	struct request *waiting = key->waiting;

	key->waiting = NULL;
	timer_cancel(&key->board->timers, key->timer);
	key->timer = (struct handle){0};
	return waiting;
}

/*
 * Returns the outcome of a submission whose key this entry could not claim. While the claims stream
 * cannot be read, another entry may hold the key and run its job. The outcome is therefore "not
 * run" only if no other entry was ever known and, where a log is configured, the stream was read to
 * its end at least once.
 */
static enum outcome unclaimed_outcome(const struct board *board)
{
	bool alone = board->peers->len == 0 && g_hash_table_size(board->ended_entries) == 0;

	return alone && (board->claims_synced || !board->log) ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
}

static void refuse_waiting(struct claim_key *key, enum status status, const char *reason)
{
	struct request *request = take_waiting(key);

	while (request) {
		struct request *next = request->next;
		bool submits = request->route.kind == ROUTE_JOB_SUBMIT;

		entry_admission_refuse(request, status,
				       submits ? unclaimed_outcome(key->board) : OUTCOME_UNKNOWN,
				       reason);
		request = next;
	}
}

/* Called when a claim was not read back within claims.wait_ms. Its record may still appear; this
 * entry then owns the key and starts the job only if it is submitted again. */
static void handle_claim_timeout(void *context, int64_t now_us)
{
	struct claim_key *key = context;

	claims_abandon(key->board->claims, &key->digest);
	event_log(EVENT_CLAIM_ABANDONED, EV_I("wait_ms", key->board->settings->claim_wait_ms));
	refuse_waiting(key, STATUS_LOG_UNAVAILABLE, "the claim was not read back in time");
}

static void wait_for_claim(struct board *board, struct claim_key *key, struct request *request)
{
	if (!key->waiting)
		key->timer = timer_subscribe(
			&board->timers, board->now_us + board->settings->claim_wait_ms * US_PER_MS,
			0, handle_claim_timeout, key);
	request->next = key->waiting;
	key->waiting = request;
}

static bool body_differs(const struct claim_key *key, const struct request *request)
{
	return request->route.kind == ROUTE_JOB_SUBMIT &&
	       !ident_equal(&key->body_digest, &request->body->digest);
}

static void refuse_conflict(struct request *request)
{
	entry_admission_refuse(request, STATUS_KEY_CONFLICT, OUTCOME_UNKNOWN,
			       "the key was used with another body");
}

static void serve_claimed_job(struct board *board, struct request *request, struct claim_key *key)
{
	struct job *job = entry_jobs_get(&board->jobs, key->job);

	if (body_differs(key, request))
		refuse_conflict(request);
	else if (!job)
		entry_admission_refuse_expired(request);
	else
		entry_admission_serve_job(board, request, job);
}

/* Handles a request under a claim that this entry owns and under which no job was admitted. A
 * submission admits the job; any other request, or any request while the entry drains, is refused.
 * Nothing ran, so these refusals have the outcome "not run". */
static void admit_or_refuse(struct board *board, struct request *request, struct claim_key *key)
{
	struct error err;
	struct job *job;

	if (request->route.kind != ROUTE_JOB_SUBMIT) {
		entry_admission_refuse(request, STATUS_NOT_FOUND, OUTCOME_NOT_RUN,
				       "no job was admitted under this key");
		return;
	}
	if (board->draining) {
		entry_admission_refuse(request, STATUS_DRAINING, OUTCOME_NOT_RUN,
				       "this entry is shutting down");
		return;
	}
	key->body_digest = request->body->digest;
	job = entry_progress_admit(board, request, &key->digest, &err);
	if (!job) {
		claims_set_unstarted(board->claims, &key->digest);
		entry_request_refuse(request, &err);
		return;
	}
	key->job_admitted = true;
	key->job = job->self;
	entry_progress_reply_when_ended(board, request, job);
}

static void handle_owned(struct board *board, struct request *request, const struct ident *digest)
{
	struct claim_key *key = get_or_add_key(board, digest);

	if (key->job_admitted)
		serve_claimed_job(board, request, key);
	else
		admit_or_refuse(board, request, key);
}

static void handle_pending(struct board *board, struct request *request, const struct ident *digest)
{
	struct claim_key *key = get_or_add_key(board, digest);

	if (body_differs(key, request))
		refuse_conflict(request);
	else
		wait_for_claim(board, key, request);
}

/*
 * Returns false if the log service is available and the claims stream has been read. Otherwise
 * refuses the request, or queries the other entries for the key of a submission, and returns true.
 */
static bool refuse_if_log_unavailable(struct board *board, struct request *request)
{
	if (board->log_available && board->claims_synced)
		return false;
	if (request->route.kind == ROUTE_JOB_SUBMIT && !request->forwarded && board->peers->len > 0)
		entry_key_query_others(board, request);
	else
		entry_admission_refuse(
			request, STATUS_LOG_UNAVAILABLE,
			request->route.kind == ROUTE_JOB_SUBMIT ? unclaimed_outcome(board)
								: OUTCOME_UNKNOWN,
			"the log service, which holds the claims on keys, is not available");
	return true;
}

static void handle_unclaimed(struct board *board, struct request *request,
			     const struct ident *digest)
{
	struct claim_key *key;
	bool is_query = request->forwarded && request->route.kind == ROUTE_JOB_GET;

	/* With a forwarded GET, another entry asks whether this entry holds the key. The answer
	 * does not require the log service. */
	if (!is_query && refuse_if_log_unavailable(board, request))
		return;
	if (request->route.kind != ROUTE_JOB_SUBMIT) {
		entry_admission_refuse(request, STATUS_NOT_FOUND, OUTCOME_UNKNOWN,
				       "no entry holds this key");
		return;
	}
	if (board->draining) {
		entry_admission_refuse(request, STATUS_DRAINING, OUTCOME_NOT_RUN,
				       "this entry is shutting down");
		return;
	}
	key = get_or_add_key(board, digest);
	key->body_digest = request->body->digest;
	claims_request(board->claims, digest);
	wait_for_claim(board, key, request);
}

/* Handles a request for a key whose claim this entry abandoned or under which no job was started. A
 * submission resumes the claim; admit_or_refuse refuses other requests, and all requests while the
 * entry drains. */
static void retry_claim(struct board *board, struct request *request, const struct ident *digest)
{
	struct claim_key *key = get_or_add_key(board, digest);
	bool startable = false;

	if (request->route.kind != ROUTE_JOB_SUBMIT || board->draining) {
		admit_or_refuse(board, request, key);
		return;
	}
	claims_resume(board->claims, digest, &startable);
	key->body_digest = request->body->digest;
	if (startable)
		admit_or_refuse(board, request, key);
	else
		wait_for_claim(board, key, request);
}

static void handle_by_claim_state(struct board *board, struct request *request,
				  const struct ident *digest)
{
	struct ident owner;

	switch (claims_find(board->claims, digest, &owner)) {
	case CLAIM_NONE:
		handle_unclaimed(board, request, digest);
		break;
	case CLAIM_PENDING:
		handle_pending(board, request, digest);
		break;
	case CLAIM_OWNED:
		handle_owned(board, request, digest);
		break;
	case CLAIM_OWNED_BY_OTHER:
		entry_forward_to_owner(board, request, &owner);
		break;
	case CLAIM_ABANDONED:
	case CLAIM_UNSTARTED:
		retry_claim(board, request, digest);
		break;
	}
}

void entry_claims_handle_request(struct board *board, struct request *request)
{
	struct ident digest = claims_key_digest(request->route.key);
	struct error err;

	if (claims_check_key(request->route.key, timer_wall_ms(),
			     board->settings->claim_window_s * MS_PER_SECOND, &err) != STATUS_OK) {
		entry_request_refuse(request, &err);
		return;
	}
	handle_by_claim_state(board, request, &digest);
}

static void append_record(struct board *board)
{
	board->claims_append_number = ++board->last_append_number;
	logclient_append(board->log, stream_name, board->claims_record,
			 strlen(board->claims_record), board->claims_append_number);
}

void entry_claims_flush(struct board *board)
{
	if (board->claims_record || !board->log)
		return;
	board->claims_record = claims_take_batch(board->claims);
	if (board->claims_record)
		append_record(board);
}

static void retry_append(void *context, int64_t now_us)
{
	append_record(context);
}

/*
 * A failed append is retried until one succeeds. The record may then appear twice in the
 * stream. This is harmless, as both occurrences name the same entry and the first one decides.
 */
void entry_claims_handle_append_result(struct board *board, uint64_t append_number,
				       const struct error *err)
{
	if (!board->claims_record || append_number != board->claims_append_number)
		return;
	if (err->status != STATUS_OK) {
		timer_subscribe(&board->timers,
				board->now_us + board->settings->log_retry_ms * US_PER_MS, 0,
				retry_append, board);
		return;
	}
	free(board->claims_record);
	board->claims_record = NULL;
}

static void add_decided_claim(void *context, const struct ident *key_digest, bool won,
			      const struct ident *owner)
{
	struct board *board = context;

	g_array_append_val(board->decided_claims, *key_digest);
}

/* Handles the requests that waited for the claim on the key with DIGEST, oldest first, in the same
 * way as new requests. Called when the owner of the key has been decided. */
static void handle_waiting_again(struct board *board, const struct ident *digest)
{
	struct claim_key *key = g_hash_table_lookup(board->claim_keys, digest);
	struct request *request = key ? take_waiting(key) : NULL;
	struct request *oldest = NULL;

	while (request) {
		struct request *next = request->next;

		request->next = oldest;
		oldest = request;
		request = next;
	}
	while (oldest) {
		struct request *next = oldest->next;

		handle_by_claim_state(board, oldest, digest);
		oldest = next;
	}
}

void entry_claims_apply_record(struct board *board, const struct log_record *record)
{
	struct error err;

	g_array_set_size(board->decided_claims, 0);
	if (claims_apply_record(board->claims, record->offset, record->data, record->length,
				record->time_ms, add_decided_claim, board, &err) != STATUS_OK)
		event_log_error(EVENT_MESSAGE_INVALID, &err);
	for (guint i = 0; i < board->decided_claims->len; i++)
		handle_waiting_again(board, &g_array_index(board->decided_claims, struct ident, i));
}

static gboolean is_unused(void *digest, void *value, void *context)
{
	const struct claim_key *key = value;
	struct board *board = context;
	struct ident owner;

	return !key->waiting && !entry_jobs_get(&board->jobs, key->job) &&
	       claims_find(board->claims, digest, &owner) == CLAIM_NONE;
}

void entry_claims_expire(struct board *board)
{
	claims_expire(board->claims, timer_wall_ms());
	g_hash_table_foreach_remove(board->claim_keys, is_unused, board);
}

void entry_claims_refuse_waiting(struct board *board)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, board->claim_keys);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct claim_key *key = value;

		claims_abandon(board->claims, &key->digest);
		refuse_waiting(key, STATUS_DRAINING, "this entry was stopped");
	}
}
