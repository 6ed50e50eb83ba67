/* Controller of jobs that are named by a key alone: claims in the log stream. */
#ifndef GG_ENTRY_CLAIMS_H
#define GG_ENTRY_CLAIMS_H

#include "entry_board.h"

void entry_claims_init(struct board *board);
void entry_claims_free(struct board *board);

/* Handles a request for a job by key alone. */
void entry_claims_handle_request(struct board *board, struct request *request);

/* Appends the claims requested since the last append, unless one is on its way. */
void entry_claims_flush(struct board *board);

/* Takes a record of the stream. */
void entry_claims_apply_record(struct board *board, const struct log_record *record);

/* Takes the end of the append REQUEST. */
void entry_claims_handle_append_result(struct board *board, uint64_t request,
				       const struct error *err);

/* Drops claims past the window. Called periodically. */
void entry_claims_tick(struct board *board);

/* Refuses all requests that wait for a claim, for a forced stop. */
void entry_claims_fail_all(struct board *board);

#endif
