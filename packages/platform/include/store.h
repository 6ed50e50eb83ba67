/* Client of the platform's store: a log of topics, some of which keep the newest record of each
 * key. */
#ifndef GG_STORE_H
#define GG_STORE_H

#include <glib.h>

#include "http_client.h"
#include "status.h"

/* Topics of one partition that keep the newest record of each key. */
#define STORE_TOPIC_OPERATOR "keyed.op"	    /* written by the operator only */
#define STORE_TOPIC_MEMBERS "keyed.members" /* the addresses of entries */

/* The operator's record that holds the whole configuration. */
#define STORE_KEY_CONFIG "config"

struct store_record {
	const char *key;
	size_t key_length;
	const char *value; /* NULL when the key was dropped */
	size_t value_length;
};

/*
 * What a read brings. With STATUS_OK, RECORDS and the offset to go on from. STATUS_LOG_TRUNCATED:
 * the records asked for are gone; read the newest ones again. STATUS_LOG_UNAVAILABLE: no usable
 * answer; an append may have been carried out, or may be later.
 */
struct store_result {
	enum status status;
	const char *reason; /* of a failure */
	const struct store_record *records;
	size_t count;
	uint64_t next; /* offset after the last record */
};

typedef void (*store_callback)(void *context, const struct store_result *result);

struct store;

struct store *store_new(struct net_loop *loop, const char *address);
void store_free(struct store *store);

/* Reads the newest record of every key of TOPIC, over as many calls as it takes. */
void store_read_newest(struct store *store, const char *topic, store_callback callback,
		       void *context);

/* Reads what follows offset FROM; answers when there is something, or after WAIT_MS. */
void store_read(struct store *store, const char *topic, uint64_t from, int64_t wait_ms,
		store_callback callback, void *context);

/* Appends one record to TOPIC. */
void store_append(struct store *store, const char *topic, const char *key, const char *value,
		  store_callback callback, void *context);

#endif
