/* Handles SIGTERM, SIGINT and SIGHUP in the event loop. */
#ifndef GG_NODE_SIGNALS_H
#define GG_NODE_SIGNALS_H

#include "net.h"

struct node_signals {
	uv_signal_t terminate;
	uv_signal_t interrupt;
	uv_signal_t hang_up;
	void (*on_terminate)(void *context);
	void (*on_reload)(void *context);
	void *context;
};

/* Starts to call ON_TERMINATE after SIGTERM or SIGINT, and ON_RELOAD after SIGHUP. Ignores SIGPIPE.
 */
void node_signals_start(struct node_signals *signals, struct net_loop *loop,
			void (*on_terminate)(void *context), void (*on_reload)(void *context),
			void *context);

#endif
