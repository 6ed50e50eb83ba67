/* Connects the log client to the dispatcher. The client runs its callbacks on its own thread; they
 * copy their arguments into commands for the dispatcher thread. */
#ifndef GG_ENTRY_LOG_H
#define GG_ENTRY_LOG_H

#include "entry_board.h"

/* Starts the log client when the settings have a log.url. Returns STATUS_RESOURCE when the client
 * cannot be started. */
enum status entry_log_start(struct board *board, struct error *err);

/* Stops the log client, if it was started, and frees it. */
void entry_log_stop(struct board *board);

#endif
