/* List of the addresses of entries, from the settings, from other daemons and from the store. */
#ifndef GG_NODE_MEMBERS_H
#define GG_NODE_MEMBERS_H

#include "node_link.h"
#include "store.h"

/* Origin of an address. */
enum node_member_source {
	MEMBER_SOURCE_SETTINGS,
	MEMBER_SOURCE_STORE,
	MEMBER_SOURCE_ENTRY /* told by an entry */
};

/* Called for each new address. */
typedef void (*node_member_added_callback)(void *context, const char *address);

struct node_members {
	struct net_loop *loop;
	struct store *store;
	GPtrArray *addresses;	   /* char *, in the order in which they were added */
	GHashTable *known;	   /* set of the addresses, which it borrows */
	uint32_t ignored;	   /* addresses ignored since the last log line on them */
	int64_t ignored_logged_us; /* 0 before that line */
	const char *own_address;   /* this process's address, empty for an agent */
	char *own_record_json;	   /* JSON record of this process in the store */
	node_member_added_callback address_added;
	void *context;
	bool request_pending; /* a read or an append is in progress */
	bool refresh_needed;  /* the addresses must be read from the store */
	bool publish_wanted;
	bool store_unavailable; /* the last read failed */
};

struct node_members_options {
	struct net_loop *loop;
	struct store *store;
	char **seeds; /* ends in NULL, or is NULL itself */
	int64_t peer_port;
	const char *own_address; /* empty for an agent */
	const char *name;
	node_member_added_callback address_added;
	void *context;
};

/* Adds the seeds. The store is read after node_members_refresh. */
void node_members_init(struct node_members *members, const struct node_members_options *options);

/* Adds the entries on the hosts of SEEDS at PEER_PORT. SEEDS ends in NULL, or is NULL itself. */
void node_members_add_seeds(struct node_members *members, char **seeds, int64_t peer_port);

/* Adds the address of an entry. Ignores this process's own address and known addresses, and, with a
 * log line at most once a minute, what is no address of another process and what exceeds the limits
 * on the number of addresses. */
void node_members_add(struct node_members *members, const char *address,
		      enum node_member_source source);

/* Returns the addresses from index *SENT on, stores their number in *COUNT and sets *SENT to the
 * total. They are owned by MEMBERS and valid until the next address is added. */
char **node_members_unsent(const struct node_members *members, guint *sent, size_t *count);

/* Requests a read of the addresses in the store, and adds this process's own address there if it is
 * missing. Both are retried until they succeed. */
void node_members_refresh(struct node_members *members);

#endif
