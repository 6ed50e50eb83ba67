/* Connection of the log client, whose callbacks come on its own thread, to the dispatcher. */
#ifndef GG_ENTRY_LOG_H
#define GG_ENTRY_LOG_H

#include "entry_board.h"

/* Starts the client when the settings name a service. STATUS_RESOURCE. */
enum status entry_log_start(struct board *board, struct error *err);

/* Stops the client. */
void entry_log_stop(struct board *board);

#endif
