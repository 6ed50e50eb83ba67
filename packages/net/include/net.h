/* Single-threaded event loop and TCP connections on top of libuv. */
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
	NET_ADDRESS_BYTES = 32,	   /* "255.255.255.255:65535" and its terminating NUL byte */
	NET_FREEZE_MIN_US = 300000 /* a longer pause of the process counts as a freeze */
};

/* Called once per loop iteration, after all input of the iteration has been handled. */
typedef void (*net_iteration_callback)(void *context, int64_t now_us);

/*
 * Called when the process has not run for GAP_US, because its host was suspended or the process was
 * stopped. Input that arrived in the meantime is handled after the callback.
 */
typedef void (*net_freeze_callback)(void *context, int64_t gap_us);

struct net_loop {
	uv_loop_t uv;
	uv_timer_t timer;
	uv_prepare_t prepare;
	uv_check_t check;
	struct timer_service timers;
	int64_t now_us; /* monotonic time of this iteration, or of a later freeze */
	/* Boot time since which the input of this iteration may have been waiting to be read. */
	int64_t input_since_us;
	/* Monotonic time at which bytes or the end of a connection last arrived, 0 before. A
	 * connection that is merely established says nothing of its peer, which may stand still. */
	int64_t last_input_us;
	bool time_updated;	  /* now_us has been read in this iteration */
	int64_t poll_deadline_us; /* latest time at which the poll should have returned */
	int64_t suspended_us; /* total time suspended since boot: boot time minus monotonic time */
	net_iteration_callback on_iteration;
	void *iteration_context;
	net_freeze_callback on_freeze;
	void *freeze_context;
	GPtrArray *unsent; /* connections with bytes to send at the end of the iteration */
	uint64_t connections_opened; /* by net_connect, in the order of their establishment */
	uint32_t pending_writes; /* connections with a write that the kernel has not completed */
	bool stopping;
	int64_t stop_requested_us;
};

void net_loop_init(struct net_loop *loop);

/* Runs until net_loop_stop. */
void net_loop_run(struct net_loop *loop);

/* Makes net_loop_run return once the kernel has accepted the queued bytes of all open connections,
 * or at the end of the first iteration after 0.2 s. */
void net_loop_stop(struct net_loop *loop);

/* Frees the loop's timers and memory. Open connections are not closed. */
void net_loop_free(struct net_loop *loop);

/* Parses ADDRESS, an IPv4 address in dotted form, a colon and a port from 1 to 65535 without
 * leading zeros, and nothing behind it. Returns NULL, or the reason why ADDRESS is invalid. */
const char *net_address_parse(const char *address, struct sockaddr_in *parsed);

/* Returns NULL if ADDRESS is valid and its host may be another one, or the reason why not. */
const char *net_address_check_remote(const char *address);

struct net_conn;

/* Events of a connection. The connection must not be used after on_closed, which is not called
 * after net_conn_close. */
struct net_conn_callbacks {
	void (*on_opened)(void *context); /* net_connect has succeeded; may be NULL */
	/* Bytes have been received; they are valid during the callback. */
	void (*on_data)(void *context, const char *bytes, size_t length);
	void (*on_closed)(void *context, const char *reason);
};

/* Called for each connection that a listener accepts. The connection is closed unless this function
 * calls net_conn_set_callbacks. */
typedef void (*net_accept_callback)(void *context, struct net_conn *conn);

struct net_listener;

/* Listens on ADDRESS ("10.1.0.4:8161"). Returns STATUS_INVALID_REQUEST if ADDRESS is malformed and
 * STATUS_NETWORK if the port cannot be bound. */
enum status net_listen(struct net_loop *loop, const char *address, net_accept_callback accept,
		       void *context, struct net_listener **listener, struct error *err);

/* Closes the listening socket; accepted connections stay open. */
void net_listener_close(struct net_listener *listener);

/* Starts to connect to ADDRESS. Returns NULL and sets ERR if the address is malformed or the
 * connect fails at once; later failures are reported by on_closed. */
struct net_conn *net_connect(struct net_loop *loop, const char *address,
			     const struct net_conn_callbacks *callbacks, void *context,
			     struct error *err);

/* Sets the callbacks of an accepted connection. */
void net_conn_set_callbacks(struct net_conn *conn, const struct net_conn_callbacks *callbacks,
			    void *context);

/* Queues bytes, which are sent at the end of the loop iteration. */
void net_conn_send(struct net_conn *conn, const void *bytes, size_t length);

/* Returns the number of queued bytes that the kernel has not accepted yet. A libuv write in
 * progress counts in full. */
size_t net_conn_unsent(const struct net_conn *conn);

/* Closes the connection at once. Bytes that the kernel has not accepted yet are lost. */
void net_conn_close(struct net_conn *conn);

/* Closes the connection once the kernel has accepted all queued bytes. The callbacks are not called
 * any more. */
void net_conn_close_after_send(struct net_conn *conn);

#endif
