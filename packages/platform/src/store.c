#include "store.h"

#include <arpa/inet.h>
#include <string.h>

#include "event.h"
#include "store_page.h"

enum {
	CODE_OK = 200,
	CODE_GONE = 410,
	MAX_CONNECTIONS = 6,
	IDLE_LIMIT_MS = 10000,
	ANSWER_MAX_BYTES = 8 << 20,
	CALL_TIMEOUT_MS = 1000, /* an answer usually takes 4 ms */
	KEY_MAX_BYTES = 255,
	/* Pages read of a list of newest records, 500 keys or 1 MB each: every page is a call, and
	 * anyone who writes to a topic decides on the length of its list. */
	NEWEST_MAX_PAGES = 16,
	LOG_INTERVAL_MS = 60000, /* minimum time between two log lines on a topic's records */
	US_PER_MS = 1000,
	RECORD_LENGTH_BYTES = 4, /* length before each record, big-endian */
	/* Size of one offset, big-endian. A read's answer begins with two: the end of the log and
	 * its first record. */
	READ_OFFSET_BYTES = 8
};

struct store {
	struct http_client *client;
	struct net_loop *loop;
	GHashTable
		*logged_us; /* topic -> int64_t *, when its unreadable records were last logged */
};

/* A read or append in progress. */
struct operation {
	struct store *store;
	char *topic;
	uint64_t next_offset; /* for store_read: offset of the first record; for
				 store_read_newest: end offset stated in the first page, 0
				 before that page */
	store_callback callback;
	void *context;
	GPtrArray *strings; /* keys and values of the pages read so far */
	unsigned pages;	    /* pages read so far */
	GArray *records;
	bool incomplete; /* records were left out */
};

struct store *store_new(struct net_loop *loop, const char *address)
{
	const struct http_client_options options = {
		.address = address,
		.max_connections = MAX_CONNECTIONS,
		.idle_limit_ms = IDLE_LIMIT_MS,
		.response_max_bytes = ANSWER_MAX_BYTES,
		.close_idle_on_timeout = true,
	};
	struct store *store = g_new0(struct store, 1);

	store->client = http_client_new(loop, &options);
	store->loop = loop;
	store->logged_us = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return store;
}

void store_free(struct store *store)
{
	http_client_free(store->client);
	g_hash_table_destroy(store->logged_us);
	g_free(store);
}

static struct operation *operation_new(struct store *store, const char *topic,
				       store_callback callback, void *context)
{
	struct operation *operation = g_new0(struct operation, 1);

	operation->store = store;
	operation->topic = g_strdup(topic);
	operation->callback = callback;
	operation->context = context;
	operation->strings = g_ptr_array_new_with_free_func(g_free);
	operation->records = g_array_new(FALSE, FALSE, sizeof(struct store_record));
	return operation;
}

static void complete_operation(struct operation *operation, enum status status, const char *reason,
			       uint64_t next)
{
	const struct store_result result = {
		.status = status,
		.reason = reason,
		.records = (const struct store_record *)(void *)operation->records->data,
		.count = operation->records->len,
		.next = next,
		.incomplete = operation->incomplete,
	};

	operation->callback(operation->context, &result);
	g_ptr_array_free(operation->strings, TRUE);
	g_array_free(operation->records, TRUE);
	g_free(operation->topic);
	g_free(operation);
}

static void fail_operation(struct operation *operation, const struct http_response *reply)
{
	char reason[64];

	if (reply->status == STATUS_OK)
		g_snprintf(reason, sizeof(reason), "HTTP code %d", reply->code);
	else
		g_strlcpy(reason, reply->reason, sizeof(reason));
	complete_operation(operation,
			   reply->status == STATUS_OK && reply->code == CODE_GONE
				   ? STATUS_LOG_TRUNCATED
				   : STATUS_LOG_UNAVAILABLE,
			   reason, 0);
}

static bool reply_succeeded(const struct http_response *reply)
{
	return reply->status == STATUS_OK && reply->code == CODE_OK;
}

/* Logs that COUNT records of the operation's topic were ignored. TEXT is the first of them. */
static void log_unreadable(const struct operation *operation, const char *text, const char *reason,
			   unsigned count)
{
	struct store *store = operation->store;
	int64_t now_us = store->loop->now_us;
	const int64_t *logged_us = g_hash_table_lookup(store->logged_us, operation->topic);

	if (logged_us && now_us - *logged_us < LOG_INTERVAL_MS * US_PER_MS)
		return;
	g_hash_table_replace(store->logged_us, g_strdup(operation->topic),
			     g_memdup2(&now_us, sizeof(now_us)));
	event_log(EVENT_RECORD_INVALID, EV_S("topic", operation->topic), EV_S("record", text),
		  EV_S("reason", reason), EV_I("records", count));
}

/* Takes over ITEMS. */
static void add_items(struct operation *operation, GArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		struct store_page_item *item = &g_array_index(items, struct store_page_item, i);
		const struct store_record record = {
			.key = item->key,
			.key_length = item->key_length,
			.value = item->value,
			.value_length = item->value_length,
		};

		g_array_append_val(operation->records, record);
		g_ptr_array_add(operation->strings, g_steal_pointer(&item->key));
		g_ptr_array_add(operation->strings, g_steal_pointer(&item->value));
	}
}

/* Takes the records of PAGE over. */
static void add_records(struct operation *operation, struct store_page *page)
{
	add_items(operation, page->items);
	add_items(operation, page->unreadable_values);
	if (page->unreadable > page->unreadable_values->len)
		operation->incomplete = true;
	if (page->unreadable > 0)
		log_unreadable(operation, page->first_unreadable, page->reason, page->unreadable);
}

static void request_page(struct operation *operation, const struct store_page *previous);

/* Returns whether to request the page after PAGE. A page without a readable key cannot be
 * continued. */
static bool is_continued(struct operation *operation, const struct store_page *page)
{
	if (!page->has_more)
		return false;
	if (page->last_key && operation->pages < NEWEST_MAX_PAGES)
		return true;
	operation->incomplete = true;
	log_unreadable(operation, page->first_unreadable,
		       page->last_key ? "the list is too long" : "a page without a readable key",
		       page->unreadable);
	return false;
}

static void on_page(void *context, const struct http_response *reply)
{
	struct operation *operation = context;
	struct store_page page;

	if (!reply_succeeded(reply)) {
		fail_operation(operation, reply);
		return;
	}
	if (!store_page_parse(reply->body, reply->length, &page)) {
		store_page_clear(&page);
		complete_operation(operation, STATUS_LOG_UNAVAILABLE, "answer without items", 0);
		return;
	}
	operation->pages++;
	add_records(operation, &page);
	/* The pages are not a snapshot: a later one may miss changes of earlier keys. The following
	 * read must therefore start at the end offset in the first page. */
	if (operation->next_offset == 0)
		operation->next_offset = page.end_offset;
	if (is_continued(operation, &page))
		request_page(operation, &page);
	else
		complete_operation(operation, STATUS_OK, NULL, operation->next_offset);
	store_page_clear(&page);
}

/* Requests the page after the last key of PREVIOUS, or the first page when it is NULL. The store's
 * API calls this parameter dependsOn; it has nothing to do with the field dependsOn of a step. */
static void request_page(struct operation *operation, const struct store_page *previous)
{
	char *escaped = previous ? g_uri_escape_bytes((const guint8 *)previous->last_key,
						      previous->last_key_length, NULL)
				 : NULL;
	char *path =
		g_strdup_printf("/greengagefront/log-newest?topic=%s&part=0%s%s", operation->topic,
				escaped ? "&dependsOn=" : "", escaped ? escaped : "");

	http_client_call(operation->store->client, &(struct http_call){
							   .method = "GET",
							   .path = path,
							   .timeout_ms = CALL_TIMEOUT_MS,
							   .callback = on_page,
							   .context = operation,
						   });
	g_free(escaped);
	g_free(path);
}

void store_read_newest(struct store *store, const char *topic, store_callback callback,
		       void *context)
{
	request_page(operation_new(store, topic, callback, context), NULL);
}

/* Parses the content of a record: the length of the key (1 byte), the key and the value. Returns
 * false when the key is longer than the record. */
static bool parse_record(const char *bytes, size_t size, struct store_record *record)
{
	size_t key_length = size > 0 ? (uint8_t)bytes[0] : 0;

	if (size == 0 || key_length + 1 > size)
		return false;
	record->key = bytes + 1;
	record->key_length = key_length;
	record->value_length = size - 1 - key_length;
	if (record->value_length > 0)
		record->value = record->key + key_length;
	return true;
}

/* Parses the records of a read. Each consists of its length (4 bytes) and its content. A record
 * whose content cannot be read is empty. Returns false when the records do not fill the answer. */
static bool parse_records(struct operation *operation, const char *bytes, size_t length)
{
	size_t offset = 0;
	unsigned unreadable = 0;
	size_t first_unreadable = 0;

	while (offset < length) {
		struct store_record record = {0};
		uint32_t size;

		if (length - offset < RECORD_LENGTH_BYTES)
			return false;
		memcpy(&size, bytes + offset, sizeof(size));
		size = ntohl(size);
		offset += RECORD_LENGTH_BYTES;
		if (size > length - offset)
			return false;
		if (!parse_record(bytes + offset, size, &record) && unreadable++ == 0)
			first_unreadable = offset;
		record.offset = operation->next_offset + operation->records->len;
		g_array_append_val(operation->records, record);
		offset += size;
	}
	if (unreadable > 0) {
		char *text = store_printable(bytes + first_unreadable, length - first_unreadable);

		log_unreadable(operation, text, "a record without a key", unreadable);
		g_free(text);
	}
	return true;
}

static uint64_t parse_offset(const char *bytes)
{
	uint64_t offset;

	memcpy(&offset, bytes, sizeof(offset));
	return GUINT64_FROM_BE(offset);
}

static void on_read(void *context, const struct http_response *reply)
{
	struct operation *operation = context;
	size_t header_bytes = (size_t)2 * READ_OFFSET_BYTES;

	if (!reply_succeeded(reply))
		fail_operation(operation, reply);
	else if (reply->length < header_bytes ||
		 !parse_records(operation, reply->body + header_bytes,
				reply->length - header_bytes))
		complete_operation(operation, STATUS_LOG_UNAVAILABLE, "malformed records", 0);
	else if (parse_offset(reply->body) < operation->next_offset)
		complete_operation(operation, STATUS_LOG_TRUNCATED, "the log ends before the read",
				   0);
	else
		complete_operation(operation, STATUS_OK, NULL,
				   operation->next_offset + operation->records->len);
}

void store_read(struct store *store, const char *topic, uint64_t from, int64_t wait_ms,
		int64_t answer_ms, store_callback callback, void *context)
{
	struct operation *operation = operation_new(store, topic, callback, context);
	char *path =
		g_strdup_printf("/greengagefront/log-read?topic=%s&part=0&from=%" G_GUINT64_FORMAT
				"&waitMs=%" G_GINT64_FORMAT,
				topic, from, wait_ms);

	operation->next_offset = from;
	http_client_call(store->client, &(struct http_call){
						.method = "GET",
						.path = path,
						.timeout_ms = wait_ms + answer_ms,
						.callback = on_read,
						.context = operation,
					});
	g_free(path);
}

static void on_appended(void *context, const struct http_response *reply)
{
	if (reply_succeeded(reply))
		complete_operation(context, STATUS_OK, NULL, 0);
	else
		fail_operation(context, reply);
}

void store_append(struct store *store, const char *topic, const char *key, const char *value,
		  store_callback callback, void *context)
{
	size_t key_length = MIN(strlen(key), KEY_MAX_BYTES);
	uint32_t size = htonl((uint32_t)(1 + key_length + strlen(value)));
	GByteArray *body = g_byte_array_new();
	guint8 key_length_byte = (guint8)key_length;
	char *path = g_strdup_printf("/greengagefront/log-append?topic=%s&part=0", topic);

	g_byte_array_append(body, (const guint8 *)&size, sizeof(size));
	g_byte_array_append(body, &key_length_byte, 1);
	g_byte_array_append(body, (const guint8 *)key, (guint)key_length);
	g_byte_array_append(body, (const guint8 *)value, (guint)strlen(value));
	http_client_call(store->client,
			 &(struct http_call){
				 .method = "POST",
				 .path = path,
				 .body = body->data,
				 .length = body->len,
				 .timeout_ms = CALL_TIMEOUT_MS,
				 .callback = on_appended,
				 .context = operation_new(store, topic, callback, context),
			 });
	g_byte_array_free(body, TRUE);
	g_free(path);
}
