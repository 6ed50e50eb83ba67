/* Controller of the entry's graceful shutdown. */
#ifndef GG_ENTRY_DRAIN_H
#define GG_ENTRY_DRAIN_H

#include "entry_board.h"

/* Requests the dispatcher to start the graceful shutdown, or to shut down at once if FORCED. May be
 * called from any thread. */
void entry_drain_request(struct board *board, bool forced);

/* Finishes the shutdown once all admitted jobs have ended and no request is open. Called in each
 * iteration of the loop. */
void entry_drain_finish_if_idle(struct board *board);

#endif
