/* Controller of client requests: sessions, keys, and what each request asks of a job. */
#ifndef GG_ENTRY_ADMISSION_H
#define GG_ENTRY_ADMISSION_H

#include "entry_board.h"

/* Handles a request on the dispatcher thread; the run callback of its command. */
void entry_admission_handle_request(struct board *board, struct command *command);

/* Refuses REQUEST with STATUS, OUTCOME and MESSAGE. */
void entry_admission_refuse(struct request *request, enum status status, enum outcome outcome,
			    const char *message);

/* Answers a request for a job that is held here: wait, fetch or cancel. */
void entry_admission_serve_job(struct board *board, struct request *request, struct job *job);

/* Answers a request whose key is held while its answer has expired. */
void entry_admission_refuse_expired(struct request *request);

/* Returns the digest of session token and key; TOKEN is NULL for a key alone. */
struct ident entry_admission_digest(const struct session_token *token, const char *key);

/* Drops sessions and keys past their retention. */
void entry_admission_expire(struct board *board);

#endif
