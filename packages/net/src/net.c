#include "net.h"

#include <arpa/inet.h>
#include <string.h>
#include <time.h>

enum {
	LISTEN_BACKLOG = 511,
	READ_BYTES = 65536,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	US_PER_MS = 1000,
	STOP_FLUSH_LIMIT_US = 200000, /* after net_loop_stop, for bytes still queued */
	FIRST_MULTICAST = 224,	      /* first byte of an IPv4 address */
	MAX_POLL_MS = 1000	      /* an idle loop reads the clocks at least this often */
};

struct net_listener {
	uv_tcp_t tcp;
	struct net_loop *loop;
	net_accept_callback on_accept;
	void *context;
};

struct net_conn {
	uv_tcp_t tcp;
	uv_connect_t connect_request;
	uv_write_t write_request;
	struct net_loop *loop;
	const struct net_conn_callbacks *callbacks;
	void *context;
	GByteArray *queued;  /* bytes not yet passed to libuv */
	GByteArray *writing; /* bytes of the uv_write in progress */
	bool connected;
	bool in_unsent; /* the connection is in loop->unsent */
	bool closing_after_send;
	bool closing;
};

/* Shared by all connections, because each read is handled before the next one starts. */
static char read_buffer[READ_BYTES];

/* Returns how long the host has been suspended since boot. NOW_US is the monotonic time. */
static int64_t read_suspended_us(int64_t now_us)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * US_PER_S + ts.tv_nsec / NS_PER_US - now_us;
}

static void update_time(struct net_loop *loop);

static void on_timer(uv_timer_t *timer)
{
	update_time(timer->data);
}

static void flush_conn(struct net_conn *conn);

static void flush_unsent(struct net_loop *loop)
{
	for (guint i = 0; i < loop->unsent->len; i++) {
		struct net_conn *conn = loop->unsent->pdata[i];

		if (!conn)
			continue; /* closed in the meantime */
		conn->in_unsent = false;
		flush_conn(conn);
	}
	g_ptr_array_set_size(loop->unsent, 0);
}

static void before_poll(uv_prepare_t *prepare)
{
	struct net_loop *loop = prepare->data;
	int64_t next_us, wait_ms;

	update_time(loop);
	if (loop->on_iteration)
		loop->on_iteration(loop->iteration_context, loop->now_us);
	flush_unsent(loop);
	if (loop->stopping && (loop->pending_writes == 0 ||
			       timer_clock_us() - loop->stop_requested_us > STOP_FLUSH_LIMIT_US)) {
		uv_stop(&loop->uv);
		return;
	}

	next_us = timer_next_us(&loop->timers);
	wait_ms = MAX_POLL_MS;
	if (next_us != INT64_MAX)
		wait_ms = CLAMP((next_us - timer_clock_us() + US_PER_MS - 1) / US_PER_MS, 0,
				MAX_POLL_MS);
	loop->poll_deadline_us = timer_clock_us() + wait_ms * US_PER_MS;
	loop->time_updated = false;
	uv_update_time(&loop->uv);
	uv_timer_start(&loop->timer, on_timer, (uint64_t)wait_ms, 0);
}

/*
 * Reads the clocks before the first input of an iteration, and whenever a freeze is detected. While
 * the host is suspended, boot time advances and the monotonic time does not. If the process is
 * stopped while it polls, the poll returns long after its timeout. It may also be stopped while it
 * handles input, so the clocks are checked before each further input and before the next poll.
 */
static void update_time(struct net_loop *loop)
{
	int64_t due_us = loop->time_updated ? loop->now_us : loop->poll_deadline_us;
	int64_t now_us = timer_clock_us();
	int64_t suspended_us = read_suspended_us(now_us);
	int64_t gap_us = MAX(suspended_us - loop->suspended_us, now_us - due_us);
	bool frozen = gap_us > NET_FREEZE_MIN_US;

	if (loop->time_updated && !frozen)
		return;
	loop->time_updated = true;
	loop->input_since_us = loop->now_us + loop->suspended_us;
	loop->now_us = now_us;
	loop->suspended_us = suspended_us;
	if (frozen && loop->on_freeze)
		loop->on_freeze(loop->freeze_context, gap_us);
}

static void after_poll(uv_check_t *check)
{
	struct net_loop *loop = check->data;

	update_time(loop);
	timer_run(&loop->timers, loop->now_us);
}

void net_loop_init(struct net_loop *loop)
{
	*loop = (struct net_loop){.unsent = g_ptr_array_new()};
	uv_loop_init(&loop->uv);
	timer_init(&loop->timers);
	uv_timer_init(&loop->uv, &loop->timer);
	uv_prepare_init(&loop->uv, &loop->prepare);
	uv_check_init(&loop->uv, &loop->check);
	loop->timer.data = loop;
	loop->prepare.data = loop;
	loop->check.data = loop;
	uv_prepare_start(&loop->prepare, before_poll);
	uv_check_start(&loop->check, after_poll);
	loop->now_us = timer_clock_us();
	loop->poll_deadline_us = loop->now_us + US_PER_S;
	loop->suspended_us = read_suspended_us(loop->now_us);
	loop->input_since_us = loop->now_us + loop->suspended_us;
}

void net_loop_run(struct net_loop *loop)
{
	uv_run(&loop->uv, UV_RUN_DEFAULT);
	/* After uv_stop, libuv polls once more, so further requests may have been answered. */
	flush_unsent(loop);
}

void net_loop_stop(struct net_loop *loop)
{
	if (loop->stopping)
		return;
	loop->stopping = true;
	loop->stop_requested_us = timer_clock_us();
}

void net_loop_free(struct net_loop *loop)
{
	timer_free(&loop->timers);
	g_ptr_array_free(loop->unsent, TRUE);
}

const char *net_address_parse(const char *address, struct sockaddr_in *parsed)
{
	const char *colon = strchr(address, ':');
	char host[NET_ADDRESS_BYTES];
	guint64 port;

	if (!colon)
		return "no port";
	if ((size_t)(colon - address) >= sizeof(host))
		return "the host is not an IPv4 address";
	memcpy(host, address, (size_t)(colon - address));
	host[colon - address] = '\0';
	/* Another spelling of an address would count as another address. */
	if (colon[1] == '0' ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port, NULL))
		return "the port is not a number from 1 to 65535";
	if (uv_ip4_addr(host, (int)port, parsed) != 0)
		return "the host is not an IPv4 address";
	return NULL;
}

const char *net_address_check_remote(const char *address)
{
	struct sockaddr_in parsed;
	const char *reason = net_address_parse(address, &parsed);
	uint8_t first;

	if (reason)
		return reason;
	/* A connection to 0.0.0.0 would lead to this host. */
	first = (uint8_t)(ntohl(parsed.sin_addr.s_addr) >> 24);
	return first == 0 || first >= FIRST_MULTICAST ? "the host is not a unicast address" : NULL;
}

static void free_conn(uv_handle_t *handle)
{
	struct net_conn *conn = handle->data;

	g_byte_array_free(conn->queued, TRUE);
	g_byte_array_free(conn->writing, TRUE);
	g_free(conn);
}

void net_conn_close(struct net_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	for (guint i = 0; conn->in_unsent && i < conn->loop->unsent->len; i++) {
		if (conn->loop->unsent->pdata[i] != conn)
			continue;
		conn->loop->unsent->pdata[i] = NULL;
		conn->in_unsent = false;
	}
	uv_close((uv_handle_t *)&conn->tcp, free_conn);
}

static void fail_conn(struct net_conn *conn, const char *reason)
{
	const struct net_conn_callbacks *callbacks = conn->callbacks;
	void *context = conn->context;

	if (conn->closing)
		return;
	net_conn_close(conn);
	if (callbacks && !conn->closing_after_send)
		callbacks->on_closed(context, reason);
}

static struct net_conn *new_conn(struct net_loop *loop)
{
	struct net_conn *conn = g_new0(struct net_conn, 1);

	conn->loop = loop;
	conn->queued = g_byte_array_new();
	conn->writing = g_byte_array_new();
	uv_tcp_init(&loop->uv, &conn->tcp);
	conn->tcp.data = conn;
	conn->connect_request.data = conn;
	conn->write_request.data = conn;
	return conn;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_read(uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
	struct net_conn *conn = stream->data;

	update_time(conn->loop);
	/* Other errors may come from this host. */
	if (length >= 0 || length == UV_EOF || length == UV_ECONNRESET)
		conn->loop->last_input_us = conn->loop->now_us;
	if (conn->closing)
		return;
	if (length < 0)
		fail_conn(conn, length == UV_EOF ? "closed by the peer" : uv_strerror((int)length));
	else if (length > 0 && conn->callbacks && !conn->closing_after_send)
		conn->callbacks->on_data(conn->context, buffer->base, (size_t)length);
}

static void start_reading(struct net_conn *conn)
{
	conn->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void on_accept(uv_stream_t *stream, int uv_error)
{
	struct net_listener *listener = stream->data;
	struct net_conn *conn;

	if (uv_error < 0)
		return;
	update_time(listener->loop);
	conn = new_conn(listener->loop);
	if (uv_accept(stream, (uv_stream_t *)&conn->tcp) != 0) {
		net_conn_close(conn);
		return;
	}
	listener->on_accept(listener->context, conn);
	if (!conn->callbacks)
		net_conn_close(conn);
	else
		start_reading(conn);
}

enum status net_listen(struct net_loop *loop, const char *address, net_accept_callback accept,
		       void *context, struct net_listener **listener, struct error *err)
{
	struct sockaddr_in parsed;
	struct net_listener *new_listener;
	int uv_error;

	if (net_address_parse(address, &parsed))
		return error_set(err, STATUS_INVALID_REQUEST,
				 "%s is not an IPv4 address with a port", address);
	new_listener = g_new0(struct net_listener, 1);
	new_listener->loop = loop;
	new_listener->on_accept = accept;
	new_listener->context = context;
	uv_tcp_init(&loop->uv, &new_listener->tcp);
	new_listener->tcp.data = new_listener;
	uv_error = uv_tcp_bind(&new_listener->tcp, (const struct sockaddr *)&parsed, 0);
	if (uv_error == 0)
		uv_error = uv_listen((uv_stream_t *)&new_listener->tcp, LISTEN_BACKLOG, on_accept);
	if (uv_error != 0) {
		net_listener_close(new_listener);
		return error_set(err, STATUS_NETWORK, "cannot listen on %s: %s", address,
				 uv_strerror(uv_error));
	}
	*listener = new_listener;
	return STATUS_OK;
}

static void free_listener(uv_handle_t *handle)
{
	g_free(handle->data);
}

void net_listener_close(struct net_listener *listener)
{
	uv_close((uv_handle_t *)&listener->tcp, free_listener);
}

static void on_connect(uv_connect_t *request, int uv_error)
{
	struct net_conn *conn = request->data;

	update_time(conn->loop);
	if (conn->closing)
		return;
	if (uv_error < 0) {
		fail_conn(conn, uv_strerror(uv_error));
		return;
	}
	start_reading(conn);
	if (conn->callbacks->on_opened)
		conn->callbacks->on_opened(conn->context);
	if (!conn->closing)
		flush_conn(conn);
}

struct net_conn *net_connect(struct net_loop *loop, const char *address,
			     const struct net_conn_callbacks *callbacks, void *context,
			     struct error *err)
{
	struct sockaddr_in parsed;
	struct net_conn *conn;
	int uv_error;

	if (net_address_parse(address, &parsed)) {
		error_set(err, STATUS_INVALID_REQUEST, "%s is not an IPv4 address with a port",
			  address);
		return NULL;
	}
	conn = new_conn(loop);
	net_conn_set_callbacks(conn, callbacks, context);
	uv_error = uv_tcp_connect(&conn->connect_request, &conn->tcp,
				  (const struct sockaddr *)&parsed, on_connect);
	if (uv_error < 0) {
		net_conn_close(conn);
		error_set(err, STATUS_NETWORK, "cannot connect to %s: %s", address,
			  uv_strerror(uv_error));
		return NULL;
	}
	return conn;
}

void net_conn_set_callbacks(struct net_conn *conn, const struct net_conn_callbacks *callbacks,
			    void *context)
{
	conn->callbacks = callbacks;
	conn->context = context;
}

static void on_written(uv_write_t *request, int uv_error)
{
	struct net_conn *conn = request->data;

	conn->loop->pending_writes--;
	g_byte_array_set_size(conn->writing, 0);
	if (conn->closing)
		return;
	if (uv_error < 0)
		fail_conn(conn, uv_strerror(uv_error));
	else
		flush_conn(conn);
}

/* Writes the queued bytes to the socket. Bytes that the kernel does not accept at once are passed
 * to uv_write. */
static void flush_conn(struct net_conn *conn)
{
	uv_stream_t *stream = (uv_stream_t *)&conn->tcp;
	uv_buf_t buffer;
	GByteArray *swapped;
	int sent;

	if (conn->closing || !conn->connected || conn->writing->len > 0)
		return;
	if (conn->queued->len > 0) {
		buffer = uv_buf_init((char *)conn->queued->data, conn->queued->len);
		sent = uv_try_write(stream, &buffer, 1);
		if (sent < 0 && sent != UV_EAGAIN) {
			fail_conn(conn, uv_strerror(sent));
			return;
		}
		if (sent > 0)
			g_byte_array_remove_range(conn->queued, 0, (guint)sent);
	}
	if (conn->queued->len > 0) {
		swapped = conn->queued;
		conn->queued = conn->writing;
		conn->writing = swapped;
		buffer = uv_buf_init((char *)conn->writing->data, conn->writing->len);
		conn->loop->pending_writes++;
		uv_write(&conn->write_request, stream, &buffer, 1, on_written);
	} else if (conn->closing_after_send) {
		net_conn_close(conn);
	}
}

void net_conn_send(struct net_conn *conn, const void *bytes, size_t length)
{
	if (conn->closing)
		return;
	g_byte_array_append(conn->queued, bytes, (guint)length);
	if (!conn->in_unsent) {
		conn->in_unsent = true;
		g_ptr_array_add(conn->loop->unsent, conn);
	}
}

size_t net_conn_unsent(const struct net_conn *conn)
{
	return conn->queued->len + conn->writing->len;
}

void net_conn_close_after_send(struct net_conn *conn)
{
	conn->closing_after_send = true;
	net_conn_send(conn, "", 0);
}
