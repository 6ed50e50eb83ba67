/* HTTP listener of the entry. It limits the size, duration and number of requests, passes them
 * to the dispatcher and writes the replies. */
#ifndef GG_ENTRY_HTTP_H
#define GG_ENTRY_HTTP_H

#include "entry_board.h"

struct http_listener; /* opaque */

/* Starts the listener, whose threads send commands to the mailbox of BOARD. Returns STATUS_NETWORK
 * if it cannot listen on the address in the settings. */
enum status entry_http_start(struct board *board, struct http_listener **listener,
			     struct error *err);

/* Closes the listener and waits for its threads. The threads end only once every waiting request
 * has been answered or has timed out, so the dispatcher must still be running. */
void entry_http_stop(struct http_listener *listener);

#endif
