/* The dispatcher thread, which owns the board and runs the other entry_* modules. */
#ifndef GG_ENTRY_LOOP_H
#define GG_ENTRY_LOOP_H

#include "entry_board.h"

/* Initializes the tables, sockets and timers of BOARD. Returns STATUS_NETWORK if the channel
 * address cannot be bound, or STATUS_RESOURCE if no file descriptor is available. */
enum status entry_loop_init(struct board *board, const struct daemon_settings *settings,
			    struct error *err);

/*
 * Main function of the dispatcher thread; BOARD points to a struct board. After the shutdown has
 * finished, the thread refuses requests until entry_loop_request_exit is called.
 */
void *entry_loop_run(void *board);

/* Makes the dispatcher thread exit. The caller must first wait for the shutdown to finish and stop
 * the HTTP listener, since a request sent after this call gets no reply. */
void entry_loop_request_exit(struct board *board);

/* Frees the contents of BOARD. The dispatcher thread and all threads that send commands to it must
 * have ended. */
void entry_loop_free(struct board *board);

#endif
