/* Handles jobs that are identified by a key without a session. An entry claims such a key in the
 * claims stream of the log service before it admits the job, so that only one entry runs it. */
#ifndef GG_ENTRY_CLAIMS_H
#define GG_ENTRY_CLAIMS_H

#include "entry_board.h"

/* Create and free the tables of claims. */
void entry_claims_init(struct board *board);
void entry_claims_free(struct board *board);

/* Handles a request whose job is identified by a key without a session. */
void entry_claims_handle_request(struct board *board, struct request *request);

/* Appends a record with the claims requested since the last record, unless an append is in
 * progress. Called in each loop iteration. */
void entry_claims_flush(struct board *board);

/* Applies a record of the claims stream and handles the requests that waited for the keys whose
 * owner the record decides. */
void entry_claims_apply_record(struct board *board, const struct log_record *record);

/* Handles the result of the append APPEND_NUMBER; results of other appends are ignored. A failed
 * append is retried after log.retry_ms. */
void entry_claims_handle_append_result(struct board *board, uint64_t append_number,
				       const struct error *err);

/* Removes claims whose keys are older than claims.window_s, and keys that are no longer used.
 * Called periodically. */
void entry_claims_expire(struct board *board);

/* Refuses all requests that wait for a claim. Called when the shutdown is forced. */
void entry_claims_refuse_waiting(struct board *board);

#endif
