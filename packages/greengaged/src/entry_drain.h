/* Controller of the graceful shutdown. */
#ifndef GG_ENTRY_DRAIN_H
#define GG_ENTRY_DRAIN_H

#include "entry_board.h"

/* Asks the dispatcher to begin the shutdown, or with FORCED to cut it short. Any thread. */
void entry_drain_request(struct board *board, bool forced);

/* Ends the shutdown once all admitted work is finished and answered. Called each loop iteration. */
void entry_drain_finish_if_idle(struct board *board);

#endif
