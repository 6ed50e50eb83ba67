#include "entry_admission.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "entry_claims.h"
#include "entry_config.h"
#include "entry_forward.h"
#include "entry_progress.h"
#include "entry_report.h"

enum {
	MAX_EXPIRED_KEYS_PER_TICK = 10000,
	MAX_RENEWALS = 100000 /* at this size the table of renewals is emptied; later requests of a
				 session are then offered another new session */
};

void entry_admission_refuse(struct request *request, enum status status, enum outcome outcome,
			    const char *message)
{
	struct error err;

	error_set(&err, status, "%s", message);
	err.outcome = outcome;
	entry_request_refuse(request, &err);
}

void entry_admission_refuse_expired(struct request *request)
{
	entry_admission_refuse(request, STATUS_ANSWER_EXPIRED, OUTCOME_UNKNOWN,
			       "the job ended and its answer is no longer kept");
}

struct ident entry_admission_digest(const struct session_token *token, const char *key)
{
	char text[SESSION_TOKEN_BYTES + KEY_MAX_BYTES] = "";
	char formatted[SESSION_TOKEN_BYTES];

	g_snprintf(text, sizeof(text), "%s/%s", token ? session_format_token(token, formatted) : "",
		   key);
	return ident_digest(text, strlen(text));
}

static uint64_t random_serial(void)
{
	uint64_t serial;

	randombytes_buf(&serial, sizeof(serial));
	return serial;
}

static void open_session(struct board *board, struct request *request)
{
	char text[SESSION_TOKEN_BYTES];
	struct session_token token;
	struct error err;

	if (board->draining) {
		entry_admission_refuse(request, STATUS_DRAINING, OUTCOME_NOT_RUN,
				       "this entry is shutting down");
		return;
	}
	if (session_open(board->sessions, random_serial(), board->now_us, &token, &err) !=
	    STATUS_OK) {
		entry_request_refuse(request, &err);
		return;
	}
	entry_request_finish_json(
		request, 201,
		json_pack("{s:s, s:I}", "session", session_format_token(&token, text), "expires_ms",
			  (json_int_t)board->settings->session_lifetime_s * 1000));
}

static void close_session(struct board *board, struct request *request)
{
	struct error err;

	if (session_close(board->sessions, request->route.session.serial, &err) != STATUS_OK)
		entry_request_refuse(request, &err);
	else
		entry_request_finish_json(request, 200, json_pack("{s:b}", "closed", 1));
}

/*
 * Adds the token of a new session to the reply once half of the lifetime of the current session has
 * passed. All requests of the same session get the same new token.
 */
static void offer_renewal(struct board *board, struct request *request)
{
	uint64_t serial = request->route.session.serial;
	struct session_token token;
	const char *token_text;

	if (board->draining || !session_needs_renewal(board->sessions, serial, board->now_us))
		return;
	token_text = g_hash_table_lookup(board->session_renewals, &serial);
	if (!token_text) {
		if (session_open(board->sessions, random_serial(), board->now_us, &token, NULL) !=
		    STATUS_OK)
			return;
		if (g_hash_table_size(board->session_renewals) >= MAX_RENEWALS)
			g_hash_table_remove_all(board->session_renewals);
		token_text = session_format_token(&token, g_malloc(SESSION_TOKEN_BYTES));
		g_hash_table_insert(board->session_renewals, g_memdup2(&serial, sizeof(serial)),
				    (char *)token_text);
	}
	g_strlcpy(request->reply.session, token_text, sizeof(request->reply.session));
}

void entry_admission_serve_job(struct board *board, struct request *request, struct job *job)
{
	if (request->route.kind == ROUTE_JOB_CANCEL)
		entry_progress_cancel(board, job);
	entry_progress_reply_when_ended(board, request, job);
}

static void serve_job_or_refuse(struct board *board, struct request *request, struct handle handle)
{
	struct job *job = entry_jobs_get(&board->jobs, handle);

	if (job)
		entry_admission_serve_job(board, request, job);
	else
		entry_admission_refuse_expired(request);
}

static void submit_by_session(struct board *board, struct request *request)
{
	const struct route *route = &request->route;
	struct ident digest = entry_admission_digest(&route->session, route->key);
	enum session_key_state state;
	struct handle *job_handle;
	struct error err;
	struct job *job;

	if (board->draining &&
	    session_find_key(board->sessions, route->session.serial, route->key, board->now_us,
			     &(struct handle){0}, &err) == STATUS_NOT_FOUND) {
		entry_admission_refuse(request, STATUS_DRAINING, OUTCOME_NOT_RUN,
				       "this entry is shutting down");
		return;
	}
	if (session_register_key(board->sessions, route->session.serial, route->key,
				 &request->body->digest, board->now_us, &state, &job_handle,
				 &err) != STATUS_OK) {
		entry_request_refuse(request, &err);
		return;
	}
	if (state == SESSION_KEY_KNOWN) {
		serve_job_or_refuse(board, request, *job_handle);
		return;
	}
	job = entry_progress_admit(board, request, &digest, &err);
	if (!job) {
		session_remove_key(board->sessions, route->session.serial, route->key);
		entry_request_refuse(request, &err);
		return;
	}
	*job_handle = job->self;
	entry_progress_reply_when_ended(board, request, job);
}

static void find_by_session(struct board *board, struct request *request)
{
	const struct route *route = &request->route;
	struct handle handle;
	struct error err;

	if (session_find_key(board->sessions, route->session.serial, route->key, board->now_us,
			     &handle, &err) != STATUS_OK)
		entry_request_refuse(request, &err);
	else
		serve_job_or_refuse(board, request, handle);
}

static void handle_session_request(struct board *board, struct request *request)
{
	if (!ident_equal(&request->route.session.incarnation, &board->incarnation)) {
		entry_forward_to_owner(board, request, &request->route.session.incarnation);
		return;
	}
	if (request->route.kind == ROUTE_SESSION_CLOSE) {
		close_session(board, request);
		return;
	}
	offer_renewal(board, request);
	if (request->route.kind == ROUTE_JOB_SUBMIT)
		submit_by_session(board, request);
	else
		find_by_session(board, request);
}

void entry_admission_handle_request(struct board *board, struct command *command)
{
	struct request *request = (struct request *)command;

	request->board = board;
	if (board->shutdown_finished) {
		entry_admission_refuse(request, STATUS_DRAINING, OUTCOME_UNKNOWN,
				       "this entry has shut down");
		return;
	}
	switch (request->route.kind) {
	case ROUTE_SESSION_OPEN:
		open_session(board, request);
		break;
	case ROUTE_SESSION_CLOSE:
		handle_session_request(board, request);
		break;
	case ROUTE_JOB_SUBMIT:
	case ROUTE_JOB_GET:
	case ROUTE_JOB_CANCEL:
		if (request->route.has_session)
			handle_session_request(board, request);
		else
			entry_claims_handle_request(board, request);
		break;
	case ROUTE_CONFIG_PATCH:
		entry_config_handle_patch(board, request);
		break;
	case ROUTE_CONFIG_HISTORY:
		entry_config_handle_history(board, request);
		break;
	case ROUTE_MEMBERS:
		entry_report_handle_members(board, request);
		break;
	case ROUTE_REPORT:
		entry_report_handle_burn(board, request);
		break;
	default:
		entry_admission_refuse(request, STATUS_INTERNAL, OUTCOME_NOT_RUN,
				       "the dispatcher does not handle this request");
	}
}

void entry_admission_expire(struct board *board)
{
	session_expire(board->sessions, board->now_us, MAX_EXPIRED_KEYS_PER_TICK);
	entry_jobs_expire(&board->jobs, board->now_us);
}
