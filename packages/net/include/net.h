/* Event loop and TCP connections of one thread, over libuv. */
#ifndef GG_NET_H
#define GG_NET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "status.h"
#include "timer.h"

enum {
	NET_ADDRESS_BYTES = 32,	   /* "255.255.255.255:65535" and its terminating zero */
	NET_FREEZE_MIN_US = 300000 /* a longer pause of the process counts as a freeze */
};

/* Called once a turn, after all input of the turn has been handled. */
typedef void (*net_iteration_callback)(void *context, int64_t now_us);

/*
 * Called when the process has not run for GAP_US, because its host was suspended or it was stopped,
 * and before any input that arrived meanwhile is handled.
 */
typedef void (*net_freeze_callback)(void *context, int64_t gap_us);

struct net_loop {
	uv_loop_t uv;
	uv_timer_t timer;
	uv_prepare_t prepare;
	uv_check_t check;
	struct timer_service timers;
	int64_t now_us;		  /* monotonic, of this turn */
	bool time_updated;	  /* now_us is of this turn */
	int64_t poll_deadline_us; /* latest time at which the poll should have returned */
	int64_t suspended_us;	  /* boot time less monotonic time */
	net_iteration_callback on_iteration;
	void *iteration_context;
	net_freeze_callback on_freeze;
	void *freeze_context;
	GPtrArray *unsent;	 /* connections with bytes to send at the end of the turn */
	uint32_t pending_writes; /* connections whose bytes the kernel has not taken yet */
	bool stopping;
	int64_t stop_requested_us;
};

void net_loop_init(struct net_loop *loop);

/* Runs until net_loop_stop. */
void net_loop_run(struct net_loop *loop);

/* Ends net_loop_run once the bytes queued so far have been handed to the kernel, or after 0.2 s. */
void net_loop_stop(struct net_loop *loop);

/* Closes what is left and frees the loop's memory. */
void net_loop_free(struct net_loop *loop);

struct net_conn;

/* What a connection reports. After CLOSED the connection is gone; it is not called after
 * net_conn_close. */
struct net_conn_callbacks {
	void (*opened)(void *context); /* a connection made by net_connect is up */
	void (*data)(void *context, const char *bytes, size_t length);
	void (*closed)(void *context, const char *reason);
};

/* Called for each connection that a listener accepts. The connection is closed unless the callback
 * sets it up with net_conn_set_callbacks. */
typedef void (*net_accept_callback)(void *context, struct net_conn *conn);

struct net_listener;

/* Listens at ADDRESS ("10.1.0.4:8161"). STATUS_INVALID_REQUEST for text that is no address,
 * STATUS_NETWORK when the port cannot be bound. */
enum status net_listen(struct net_loop *loop, const char *address, net_accept_callback accept,
		       void *context, struct net_listener **listener, struct error *err);

/* Stops accepting. */
void net_listener_close(struct net_listener *listener);

/* Starts to connect to ADDRESS. Returns NULL with ERR when the address is invalid or no socket can
 * be had; later failures are reported by the callback `closed`. */
struct net_conn *net_connect(struct net_loop *loop, const char *address,
			     const struct net_conn_callbacks *callbacks, void *context,
			     struct error *err);

/* Sets who hears of an accepted connection. */
void net_conn_set_callbacks(struct net_conn *conn, const struct net_conn_callbacks *callbacks,
			    void *context);

/* Queues bytes; they are sent at the end of the turn. */
void net_conn_send(struct net_conn *conn, const void *bytes, size_t length);

/* Returns the number of bytes queued and not yet taken by the kernel. */
size_t net_conn_unsent(const struct net_conn *conn);

/* Closes at once; bytes not yet taken by the kernel are lost. */
void net_conn_close(struct net_conn *conn);

/* Closes once all queued bytes have been sent. The callbacks are not called any more. */
void net_conn_close_after_send(struct net_conn *conn);

#endif
