/* Addresses of entries: from the settings, from other daemons and from the store. */
#ifndef GG_NODE_MEMBERS_H
#define GG_NODE_MEMBERS_H

#include "node_link.h"
#include "store.h"

/* Called for each address that becomes known. */
typedef void (*node_member_added_callback)(void *context, const char *address);

struct node_members {
	struct net_loop *loop;
	struct store *store;
	GPtrArray *addresses;	 /* char * */
	const char *own_address; /* this process's address, empty for an agent */
	char *own_record;
	node_member_added_callback address_added;
	void *context;
	bool request_pending;
	bool refresh_needed;
	bool publish_wanted;
	bool store_unavailable;
};

struct node_members_options {
	struct net_loop *loop;
	struct store *store;
	char **seeds;
	int64_t peer_port;
	const char *own_address;
	const char *name;
	node_member_added_callback address_added;
	void *context;
};

void node_members_init(struct node_members *members, const struct node_members_options *options);

/* Adds the entries on the hosts of SEEDS, a list that ends in NULL or NULL itself. */
void node_members_add_seeds(struct node_members *members, char **seeds, int64_t peer_port);

/* Adds an address heard from another daemon. */
void node_members_add(struct node_members *members, const char *address);

/* Returns the addresses after the first *TOLD, *COUNT of them, and counts them as told. They stay
 * the property of MEMBERS. */
char **node_members_unsent(const struct node_members *members, guint *sent, size_t *count);

/* Reads the addresses that the store holds, and writes this process's own if it is missing there.
 * Repeated until it succeeds. */
void node_members_refresh(struct node_members *members);

#endif
