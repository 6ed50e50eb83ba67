/* Client of the platform's store: a log with topics, some of which keep the newest record of each
 * key. */
#ifndef GG_STORE_H
#define GG_STORE_H

#include <glib.h>

#include "http_client.h"
#include "status.h"

/* Topics with a single partition that keep the newest record of each key. */
#define STORE_TOPIC_OPERATOR "keyed.op"	    /* written by the operator only */
#define STORE_TOPIC_MEMBERS "keyed.members" /* addresses of the entries */

/* Key of the operator's record that contains the whole configuration. */
#define STORE_KEY_CONFIG "config"

/* Keys of the operator's records of evacuated zones: this prefix and the name of the zone. Whatever
 * their value, the zone is evacuated while the record exists. */
#define STORE_KEY_EVACUATE "evacuate/"

struct store_record {
	uint64_t offset; /* of a record from store_read; 0 in a list of newest records */
	const char *key; /* NULL for an empty record */
	size_t key_length;
	/* NULL if empty, which marks the key as deleted. A list of newest records lacks the deleted
	 * ones; there it is NULL if it cannot be read. */
	const char *value;
	size_t value_length;
};

/*
 * The result of a read or an append, valid during the callback. RECORDS and NEXT are meaningful
 * only after a read with STATUS_OK. STATUS_LOG_TRUNCATED: the requested records have been dropped,
 * or the log ends before them, and the caller must read the newest ones again.
 * STATUS_LOG_UNAVAILABLE: there was no usable answer; an append may have taken effect, or may still
 * do so.
 */
struct store_result {
	enum status status;
	const char *reason; /* error message; NULL with STATUS_OK */
	const struct store_record *records;
	size_t count;
	uint64_t next;	 /* offset at which to continue reading; 0 for an append or a failure */
	bool incomplete; /* a list of newest records lacks some whose key is not readable */
};

typedef void (*store_callback)(void *context, const struct store_result *result);

struct store;

/* Creates a client of the store at ADDRESS, "IP:port". */
struct store *store_new(struct net_loop *loop, const char *address);
/* Frees the client. The callbacks of operations in progress are not called. */
void store_free(struct store *store);

/* Reads the newest record of every key of TOPIC, in as many requests as needed. Keys without a
 * value are omitted. */
void store_read_newest(struct store *store, const char *topic, store_callback callback,
		       void *context);

/* Reads the records from offset FROM on. If there are none, the store waits up to WAIT_MS
 * for one. The read fails if there is no answer within ANSWER_MS after that. */
void store_read(struct store *store, const char *topic, uint64_t from, int64_t wait_ms,
		int64_t answer_ms, store_callback callback, void *context);

/* Appends one record to TOPIC. */
void store_append(struct store *store, const char *topic, const char *key, const char *value,
		  store_callback callback, void *context);

/* Returns whether RECORD has KEY and a value. A record without a value drops its key. */
bool store_record_has_key(const struct store_record *record, const char *key);

/* Returns whether the key of RECORD, which may be without a value, begins with PREFIX, and copies
 * the rest to NAME, of SIZE bytes. *VALID tells whether it is a name: not empty, not too long and
 * without a NUL byte. */
bool store_record_get_name(const struct store_record *record, const char *prefix, char *name,
			   size_t size, bool *valid);

#endif
