/* Handles client requests: opens and closes sessions, resolves the keys of sessions to jobs, and
 * passes other requests on to the modules that handle them. */
#ifndef GG_ENTRY_ADMISSION_H
#define GG_ENTRY_ADMISSION_H

#include "entry_board.h"

/* Handles the request that contains COMMAND. This function is the run callback of COMMAND; the
 * dispatcher thread calls it. */
void entry_admission_handle_request(struct board *board, struct command *command);

/* Finishes REQUEST with an error that has STATUS, OUTCOME and MESSAGE. */
void entry_admission_refuse(struct request *request, enum status status, enum outcome outcome,
			    const char *message);

/* Handles a request for JOB, which this entry holds. A cancel request first cancels the job. The
 * reply follows as described at entry_progress_reply_when_ended. */
void entry_admission_serve_job(struct board *board, struct request *request, struct job *job);

/* Refuses a request whose key is still known after the answer of its job has expired. */
void entry_admission_refuse_expired(struct request *request);

/* Returns the digest of the session token and KEY. TOKEN is NULL for a key without a session. */
struct ident entry_admission_digest(const struct session_token *token, const char *key);

/* Removes sessions, keys and answers whose retention period has ended. Called periodically. */
void entry_admission_expire(struct board *board);

#endif
