/* Framed connections between daemons: greeting, heartbeats, and detection of silent peers. */
#ifndef GG_NODE_LINK_H
#define GG_NODE_LINK_H

#include "dispatch.pb-c.h"
#include "ident.h"
#include "net.h"

enum {
	NODE_PROTOCOL_VERSION = 1,
	NODE_HEARTBEAT_MS = 150,
};

/* Who this process is. */
struct node_identity {
	struct ident incarnation;
	const char *name;
	const char *zone;
	const char *address; /* where entries accept links; empty for an agent */
};

struct node_link;

struct node_link_callbacks {
	/* The peer has greeted. Returns false to close the link. */
	bool (*up)(void *context, struct node_link *link, const Ggd__Hello *hello);
	void (*frame)(void *context, struct node_link *link, const Ggd__Frame *frame);
	/* Nothing was sent for a heartbeat period. */
	void (*heartbeat)(void *context, struct node_link *link);
	/* The link is gone and must not be used any more. Not called after node_link_close. */
	void (*down)(void *context, struct node_link *link, const char *reason);
};

/* All links of a process. */
struct node_links {
	struct net_loop *loop;
	struct node_identity identity;
	int64_t silence_timeout_ms; /* a peer not heard of for so long is out of reach */
	GPtrArray *links;
};

void node_links_init(struct node_links *links, struct net_loop *loop,
		     const struct node_identity *identity, int64_t silence_timeout_ms);

/* Connects to ADDRESS. `down` is called when that fails later; NULL with ERR when it fails now. */
struct node_link *node_link_connect(struct node_links *links, const char *address,
				    const struct node_link_callbacks *callbacks, void *context,
				    struct error *err);

/* Sets the period of heartbeats, NODE_HEARTBEAT_MS at first. Longer ones let the peer be silent for
 * longer. */
void node_link_set_heartbeat(struct node_link *link, int64_t heartbeat_ms);

/* Takes an accepted connection. */
struct node_link *node_link_accept(struct node_links *links, struct net_conn *conn,
				   const struct node_link_callbacks *callbacks, void *context);

void node_link_set_callbacks(struct node_link *link, const struct node_link_callbacks *callbacks,
			     void *context);

/* Queues FRAME; it is sent at the end of the turn. */
void node_link_send(struct node_link *link, const Ggd__Frame *frame);

/* Returns whether the peer has greeted. */
bool node_link_is_up(const struct node_link *link);

/* Returns when the peer was last heard of. */
int64_t node_link_last_received_us(const struct node_link *link);

void node_link_close(struct node_link *link);

/* When to dial an address again: often at first, seldom when it has not answered for a while. */
struct node_retry {
	int64_t next_attempt_us;
	int64_t last_connected_us; /* when it was last connected */
};

void node_retry_init(struct node_retry *retry, int64_t now_us);

/* A connection could not be made, or was lost. WAS_UP: the peer had greeted. */
void node_retry_schedule(struct node_retry *retry, bool was_up, int64_t now_us);

#endif
