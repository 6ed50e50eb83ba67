/* Controller of jobs that are named by a key alone: claims in the log stream. */
#ifndef GG_ENTRY_CLAIMS_H
#define GG_ENTRY_CLAIMS_H

#include "entry_board.h"

void claims_init(struct board *board);
void claims_end(struct board *board);

/* Handles a request for a job by key alone. */
void claims_run(struct board *board, struct request *request);

/* Appends the claims requested since the last append, unless one is on its way. */
void claims_flush(struct board *board);

/* Takes a record of the stream. */
void claims_take_record(struct board *board, const struct log_record *record);

/* Takes the end of the append REQUEST. */
void claims_take_appended(struct board *board, uint64_t request, const struct error *err);

/* Drops claims past the window. Called periodically. */
void claims_tick(struct board *board);

/* Refuses all requests that wait for a claim, for a forced stop. */
void claims_fail_all(struct board *board);

#endif
