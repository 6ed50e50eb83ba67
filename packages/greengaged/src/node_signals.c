#include "node_signals.h"

#include <signal.h>

static void on_signal(uv_signal_t *handle, int number)
{
	struct node_signals *signals = handle->data;

	if (number == SIGHUP)
		signals->on_reload(signals->context);
	else
		signals->on_terminate(signals->context);
}

static void start_signal_handler(uv_signal_t *handle, struct node_signals *signals,
				 struct net_loop *loop, int number)
{
	uv_signal_init(&loop->uv, handle);
	handle->data = signals;
	uv_signal_start(handle, on_signal, number);
}

void node_signals_start(struct node_signals *signals, struct net_loop *loop,
			void (*on_terminate)(void *context), void (*on_reload)(void *context),
			void *context)
{
	signals->on_terminate = on_terminate;
	signals->on_reload = on_reload;
	signals->context = context;
	/* Otherwise, writing to a connection that the peer has closed would end the process. */
	(void)signal(SIGPIPE, SIG_IGN);
	start_signal_handler(&signals->terminate, signals, loop, SIGTERM);
	start_signal_handler(&signals->interrupt, signals, loop, SIGINT);
	start_signal_handler(&signals->hang_up, signals, loop, SIGHUP);
}
