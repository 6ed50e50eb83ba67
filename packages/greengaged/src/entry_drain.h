/* Graceful shutdown of the entry. */
#ifndef GG_ENTRY_DRAIN_H
#define GG_ENTRY_DRAIN_H

#include "entry_board.h"

/* Asks the dispatcher thread to start the graceful shutdown, or to shut down at once if FORCED. May
 * be called from any thread. */
void entry_drain_request(struct board *board, bool forced);

/* Finishes the shutdown once all admitted jobs have ended and no request is open, but not before
 * drain.grace_ms after its start. While answers have not been fetched, the shutdown continues until
 * drain.grace_ms after the end of the last job. Called in each iteration of the loop. */
void entry_drain_finish_if_idle(struct board *board);

#endif
