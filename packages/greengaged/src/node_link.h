/* Framed connections between daemons: hello messages, heartbeats, and detection of silent peers. */
#ifndef GG_NODE_LINK_H
#define GG_NODE_LINK_H

#include "dispatch.pb-c.h"
#include "ident.h"
#include "message_age.h"
#include "net.h"

enum {
	NODE_PROTOCOL_VERSION = 2,
	NODE_HEARTBEAT_MS = 150,
};

/* Identity of this process, sent to peers in the hello message. */
struct node_identity {
	struct ident incarnation;
	const char *name;
	const char *zone;
	const char *address; /* where an entry accepts links; empty for an agent */
};

struct node_link;

struct node_link_callbacks {
	/* The peer has sent its hello message. Returns false to close the link, without a call of
	 * `down`. */
	bool (*up)(void *context, struct node_link *link, const Ggd__Hello *hello);
	/* A frame other than the hello message has arrived. */
	void (*frame)(void *context, struct node_link *link, const Ggd__Frame *frame);
	/* Nothing was sent for a heartbeat period; the callback should send a frame. */
	void (*heartbeat)(void *context, struct node_link *link);
	/* The link has failed and must not be used after this callback. REASON is a text for the
	 * log. Not called after node_link_close. */
	void (*down)(void *context, struct node_link *link, const char *reason);
};

/* All links of a process. */
struct node_links {
	struct net_loop *loop;
	struct node_identity identity;
	/* Time without data after which a peer counts as unreachable. Initial value for each link;
	 * node_link_set_heartbeat may raise it. */
	int64_t silence_timeout_ms;
	uint64_t last_number;	/* of the link created last */
	int64_t last_silent_us; /* when the silence of a peer last ended a link; 0 if never */
	GPtrArray *links;
};

void node_links_init(struct node_links *links, struct net_loop *loop,
		     const struct node_identity *identity, int64_t silence_timeout_ms);

/* Starts to connect to ADDRESS. Returns NULL and sets ERR as net_connect does when this fails at
 * once; a later failure is reported by the `down` callback. */
struct node_link *node_link_connect(struct node_links *links, const char *address,
				    const struct node_link_callbacks *callbacks, void *context,
				    struct error *err);

/* Sets the heartbeat period, initially NODE_HEARTBEAT_MS. A longer period also allows the peer to
 * be silent for longer. */
void node_link_set_heartbeat(struct node_link *link, int64_t heartbeat_ms);

/* Creates a link on an accepted connection and takes ownership of CONN. */
struct node_link *node_link_accept(struct node_links *links, struct net_conn *conn,
				   const struct node_link_callbacks *callbacks, void *context);

/* Replaces the callbacks and their context. */
void node_link_set_callbacks(struct node_link *link, const struct node_link_callbacks *callbacks,
			     void *context);

/* Queues FRAME, which is sent at the end of the current turn of the event loop, and names the time
 * of this call in it. */
void node_link_send(struct node_link *link, const Ggd__Frame *frame);

/* Returns whether the peer has sent its hello message. */
bool node_link_is_up(const struct node_link *link);

/* Returns the number of the link, which is higher than those of all links created before it. */
uint64_t node_link_number(const struct node_link *link);

/* Returns the time at which data last arrived from the peer, or at which the link was created. */
int64_t node_link_last_received_us(const struct node_link *link);

/* Returns when the last frame was sent and arrived. To be called by the callbacks that handle it.
 */
struct message_times node_link_frame_times(const struct node_link *link);

/* Returns whether the link has failed because nothing arrived, or its first message did not. */
bool node_link_was_silent(const struct node_link *link);

/* Closes the link after an invalid message and reports REASON to the `down` callback. */
void node_link_fail(struct node_link *link, const char *reason);

/* Closes the link without a call of `down`. The link is freed later by a timer of the event
 * loop. */
void node_link_close(struct node_link *link);

/* Schedule of connection attempts to an address: frequent at first, infrequent once no connection
 * has succeeded for a while. */
struct node_retry {
	int64_t next_attempt_us;
	int64_t last_connected_us; /* initially the time of node_retry_init */
};

/* Makes the first attempt due at NOW_US. */
void node_retry_init(struct node_retry *retry, int64_t now_us);

/* Schedules the next attempt after a connection has failed or was lost. WAS_UP tells whether the
 * peer had sent its hello message. ADDRESSES is the number of addresses that this process knows:
 * when they are too many to try all at once, each is tried less often, so that all get their turn.
 */
void node_retry_schedule(struct node_retry *retry, bool was_up, uint32_t addresses, int64_t now_us);

/* Returns the number of connection attempts that may be started now. */
uint32_t node_links_free_attempts(const struct node_links *links);

#endif
