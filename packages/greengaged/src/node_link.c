#include "node_link.h"

#include "event.h"
#include "frame.h"

enum {
	US_PER_MS = 1000,
	CHECK_INTERVAL_MS = 25,
	/* Silence timeout before the hello message; the address is then connected to again. */
	HELLO_TIMEOUT_MS = 200,
	FAST_RETRY_MS = 50,
	SLOW_RETRY_MS = 2000,
	/* Retries are fast for this long after the start or the last connection, then slow. */
	FAST_RETRY_PERIOD_MS = 10000,
	/* Connection attempts in progress at a time. Each takes a socket, and anyone who writes to
	 * the list of entries can add addresses at which nobody answers. */
	MAX_ATTEMPTS = 64,
	/* Added to the retry interval for each address, if there are more than MAX_ATTEMPTS: the
	 * time that an attempt without an answer takes, divided by MAX_ATTEMPTS. */
	RETRY_PER_ADDRESS_MS = 4,
	/* The silence timeout is at least this many heartbeat periods. */
	MIN_SILENCE_HEARTBEATS = 3,
	/* A link with more unsent bytes is closed, because its peer does not read. */
	MAX_UNSENT_BYTES = 4 << 20
};

struct node_link {
	struct node_links *links;
	uint64_t number;
	struct net_conn *conn;
	struct frame_reader reader;
	const struct node_link_callbacks *callbacks;
	void *context;
	int64_t last_received_us;
	struct message_times frame_times;
	int64_t last_sent_us;
	int64_t heartbeat_ms;
	int64_t silence_timeout_ms;
	bool outgoing;
	bool up;
	bool silent;
	bool closed; /* freed by the next call of check_links */
};

static void free_link(struct node_link *link)
{
	frame_reader_free(&link->reader);
	g_free(link);
}

void node_link_close(struct node_link *link)
{
	if (link->closed)
		return;
	link->closed = true;
	net_conn_close(link->conn);
}

void node_link_fail(struct node_link *link, const char *reason)
{
	if (link->closed)
		return;
	node_link_close(link);
	link->callbacks->down(link->context, link, reason);
}

static void send_hello(struct node_link *link)
{
	const struct node_identity *identity = &link->links->identity;
	Ggd__Hello hello = GGD__HELLO__INIT;
	Ggd__Frame frame = GGD__FRAME__INIT;

	hello.incarnation.data = (uint8_t *)identity->incarnation.bytes;
	hello.incarnation.len = IDENT_BYTES;
	hello.name = (char *)identity->name;
	hello.zone = (char *)identity->zone;
	hello.address = (char *)identity->address;
	hello.protocol = NODE_PROTOCOL_VERSION;
	frame.body_case = GGD__FRAME__BODY_HELLO;
	frame.hello = &hello;
	node_link_send(link, &frame);
}

/* Handles the first frame of a link. Returns false when the link is closed. */
static bool handle_hello(struct node_link *link, const Ggd__Frame *frame)
{
	if (frame->body_case != GGD__FRAME__BODY_HELLO ||
	    frame->hello->incarnation.len != IDENT_BYTES) {
		node_link_fail(link, "the peer sent no valid hello message");
		return false;
	}
	if (frame->hello->protocol != NODE_PROTOCOL_VERSION) {
		node_link_fail(link, "the peer speaks another version of the protocol");
		return false;
	}
	link->up = true;
	if (!link->callbacks->up(link->context, link, frame->hello)) {
		node_link_close(link);
		return false;
	}
	return !link->closed;
}

/* The time of the loop may be that of input which was handled before. */
static int64_t boot_time_us(const struct net_loop *loop)
{
	return timer_clock_us() + loop->suspended_us;
}

static bool on_frame(void *context, const uint8_t *content, size_t length)
{
	struct node_link *link = context;
	Ggd__Frame *frame = ggd__frame__unpack(NULL, length, content);
	bool link_open = true;

	if (!frame) {
		event_log(EVENT_MESSAGE_INVALID, EV_I("bytes", length));
		node_link_fail(link, "the peer sent a malformed frame");
		return false;
	}
	link->frame_times.sent_us = message_sent_us(frame->sent_ms);
	link->frame_times.received_us = boot_time_us(link->links->loop);
	if (!link->up)
		link_open = handle_hello(link, frame);
	else
		link->callbacks->frame(link->context, link, frame);
	ggd__frame__free_unpacked(frame, NULL);
	return link_open && !link->closed;
}

static void on_data(void *context, const char *bytes, size_t length)
{
	struct node_link *link = context;

	link->last_received_us = link->links->loop->now_us;
	if (frame_reader_append(&link->reader, bytes, length, on_frame, link) != STATUS_OK)
		node_link_fail(link, "the peer sent an oversized frame");
}

static void on_closed(void *context, const char *reason)
{
	struct node_link *link = context;

	if (link->closed)
		return;
	/* The connection is already closed, so node_link_close is not called. */
	link->closed = true;
	link->callbacks->down(link->context, link, reason);
}

static const struct net_conn_callbacks conn_callbacks = {
	.on_data = on_data,
	.on_closed = on_closed,
};

/* Closes links whose peer is silent or does not read, sends heartbeats, and frees closed links. */
static void check_links(void *context, int64_t now_us)
{
	struct node_links *links = context;

	for (guint i = links->links->len; i-- > 0;) {
		struct node_link *link = links->links->pdata[i];
		int64_t timeout_ms = link->up ? link->silence_timeout_ms : HELLO_TIMEOUT_MS;

		if (!link->closed && now_us - link->last_received_us > timeout_ms * US_PER_MS) {
			if (link->up)
				links->last_silent_us = now_us;
			link->silent = true;
			node_link_fail(link, "silent");
		} else if (!link->closed && net_conn_unsent(link->conn) > MAX_UNSENT_BYTES) {
			node_link_fail(link, "the peer does not read what is sent to it");
		} else if (link->up && !link->closed &&
			   now_us - link->last_sent_us >= link->heartbeat_ms * US_PER_MS) {
			link->callbacks->heartbeat(link->context, link);
		}
	}
	for (guint i = links->links->len; i-- > 0;) {
		struct node_link *link = links->links->pdata[i];

		if (!link->closed)
			continue;
		g_ptr_array_remove_index_fast(links->links, i);
		free_link(link);
	}
}

void node_links_init(struct node_links *links, struct net_loop *loop,
		     const struct node_identity *identity, int64_t silence_timeout_ms)
{
	*links = (struct node_links){
		.loop = loop,
		.identity = *identity,
		.silence_timeout_ms = silence_timeout_ms,
		.links = g_ptr_array_new(),
	};
	timer_subscribe(&loop->timers, loop->now_us, CHECK_INTERVAL_MS * US_PER_MS, check_links,
			links);
}

static struct node_link *new_link(struct node_links *links,
				  const struct node_link_callbacks *callbacks, void *context)
{
	struct node_link *link = g_new0(struct node_link, 1);

	link->links = links;
	link->number = ++links->last_number;
	link->callbacks = callbacks;
	link->context = context;
	link->last_received_us = links->loop->now_us;
	link->last_sent_us = links->loop->now_us;
	link->heartbeat_ms = NODE_HEARTBEAT_MS;
	link->silence_timeout_ms = links->silence_timeout_ms;
	frame_reader_init(&link->reader);
	return link;
}

struct node_link *node_link_connect(struct node_links *links, const char *address,
				    const struct node_link_callbacks *callbacks, void *context,
				    struct error *err)
{
	struct node_link *link = new_link(links, callbacks, context);

	link->conn = net_connect(links->loop, address, &conn_callbacks, link, err);
	if (!link->conn) {
		free_link(link);
		return NULL;
	}
	link->outgoing = true;
	/* An accepted connection may have waited, with frames in it. */
	link->frame_times.earliest_us = links->loop->now_us + links->loop->suspended_us;
	g_ptr_array_add(links->links, link);
	send_hello(link);
	return link;
}

struct node_link *node_link_accept(struct node_links *links, struct net_conn *conn,
				   const struct node_link_callbacks *callbacks, void *context)
{
	struct node_link *link = new_link(links, callbacks, context);

	link->conn = conn;
	net_conn_set_callbacks(conn, &conn_callbacks, link);
	g_ptr_array_add(links->links, link);
	send_hello(link);
	return link;
}

void node_link_set_callbacks(struct node_link *link, const struct node_link_callbacks *callbacks,
			     void *context)
{
	link->callbacks = callbacks;
	link->context = context;
}

void node_link_set_heartbeat(struct node_link *link, int64_t heartbeat_ms)
{
	link->heartbeat_ms = heartbeat_ms;
	link->silence_timeout_ms =
		MAX(link->links->silence_timeout_ms, MIN_SILENCE_HEARTBEATS * heartbeat_ms);
}

void node_link_send(struct node_link *link, const Ggd__Frame *frame)
{
	Ggd__Frame named = *frame;
	size_t length;
	uint8_t *bytes;

	named.sent_ms = (uint64_t)(boot_time_us(link->links->loop) / US_PER_MS);
	length = ggd__frame__get_packed_size(&named);
	bytes = g_malloc(length);
	ggd__frame__pack(&named, bytes);
	frame_send(link->conn, bytes, length);
	g_free(bytes);
	link->last_sent_us = link->links->loop->now_us;
}

bool node_link_is_up(const struct node_link *link)
{
	return link->up;
}

uint64_t node_link_number(const struct node_link *link)
{
	return link->number;
}

int64_t node_link_last_received_us(const struct node_link *link)
{
	return link->last_received_us;
}

struct message_times node_link_frame_times(const struct node_link *link)
{
	return link->frame_times;
}

bool node_link_was_silent(const struct node_link *link)
{
	return link->silent;
}

void node_retry_init(struct node_retry *retry, int64_t now_us)
{
	*retry = (struct node_retry){.next_attempt_us = now_us, .last_connected_us = now_us};
}

void node_retry_schedule(struct node_retry *retry, bool was_up, uint32_t addresses, int64_t now_us)
{
	int64_t round_ms = addresses > MAX_ATTEMPTS ? addresses * RETRY_PER_ADDRESS_MS : 0;
	bool retry_fast;

	if (was_up)
		retry->last_connected_us = now_us;
	retry_fast = now_us - retry->last_connected_us < FAST_RETRY_PERIOD_MS * US_PER_MS;
	retry->next_attempt_us =
		now_us + MAX(retry_fast ? FAST_RETRY_MS : SLOW_RETRY_MS, round_ms) * US_PER_MS;
}

uint32_t node_links_free_attempts(const struct node_links *links)
{
	uint32_t attempts = 0;

	for (guint i = 0; i < links->links->len; i++) {
		const struct node_link *link = links->links->pdata[i];

		attempts += link->outgoing && !link->up && !link->closed;
	}
	return attempts < MAX_ATTEMPTS ? MAX_ATTEMPTS - attempts : 0;
}
