/* The dispatcher thread: it owns the board and runs the controllers. */
#ifndef GG_ENTRY_LOOP_H
#define GG_ENTRY_LOOP_H

#include "entry_board.h"

/* Makes the board's tables and sockets. STATUS_NETWORK, STATUS_RESOURCE. */
enum status entry_loop_init(struct board *board, const struct daemon_settings *settings,
			    struct error *err);

/*
 * The thread's main function, with a struct board. After the shutdown is finished it goes on to
 * refuse requests until entry_loop_close.
 */
void *entry_loop_run(void *board);

/* Ends the thread once the shutdown is finished and no request can come any more. */
void entry_loop_close(struct board *board);

/* Frees the board. All threads that post to it must have ended. */
void entry_loop_free(struct board *board);

#endif
