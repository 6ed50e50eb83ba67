#include "store.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

enum {
	CODE_OK = 200,
	CODE_GONE = 410,
	MAX_CONNECTIONS = 6,
	IDLE_LIMIT_MS = 10000,
	ANSWER_MAX_BYTES = 8 << 20,
	CALL_TIMEOUT_MS = 1000, /* an answer usually takes 4 ms */
	KEY_MAX_BYTES = 255,
	RECORD_LENGTH_BYTES = 4, /* length before each record, big-endian */
	/* Size of one offset, big-endian. A read's answer begins with two: the end of the log and
	 * its first record. */
	READ_OFFSET_BYTES = 8
};

struct store {
	struct http_client *client;
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
	GArray *records;
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
	return store;
}

void store_free(struct store *store)
{
	http_client_free(store->client);
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

static void request_page(struct operation *operation, const char *after_key);

static void add_record(struct operation *operation, const json_t *item)
{
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *value = json_string_value(json_object_get(item, "value"));
	struct store_record record = {0};
	gsize length = 0;
	char *text;

	if (!key || !value)
		return;
	text = g_strdup(key);
	g_ptr_array_add(operation->strings, text);
	record.key = text;
	record.key_length = strlen(text);
	text = (char *)g_base64_decode(value, &length);
	g_ptr_array_add(operation->strings, text);
	record.value = text;
	record.value_length = length;
	g_array_append_val(operation->records, record);
}

static void on_page(void *context, const struct http_response *reply)
{
	struct operation *operation = context;
	json_t *document, *items, *item;
	const char *last_key = NULL;
	size_t i;

	if (!reply_succeeded(reply)) {
		fail_operation(operation, reply);
		return;
	}
	document = json_loadb(reply->body, reply->length, 0, NULL);
	items = json_object_get(document, "items");
	if (!json_is_array(items)) {
		json_decref(document);
		complete_operation(operation, STATUS_LOG_UNAVAILABLE, "answer without items", 0);
		return;
	}
	json_array_foreach (items, i, item) {
		add_record(operation, item);
		last_key = json_string_value(json_object_get(item, "key"));
	}
	/* The pages are not a snapshot: a later one may miss changes of earlier keys. The following
	 * read must therefore start at the end offset in the first page. */
	if (operation->next_offset == 0)
		operation->next_offset =
			(uint64_t)json_integer_value(json_object_get(document, "endOffset"));
	if (json_is_true(json_object_get(document, "hasMore")) && last_key)
		request_page(operation, last_key);
	else
		complete_operation(operation, STATUS_OK, NULL, operation->next_offset);
	json_decref(document);
}

/* Requests the page after AFTER_KEY, the last key of the previous page, or the first page when it
 * is NULL. The store's API calls this parameter dependsOn; it has nothing to do with the field
 * dependsOn of a step. */
static void request_page(struct operation *operation, const char *after_key)
{
	char *escaped = after_key ? g_uri_escape_string(after_key, NULL, FALSE) : NULL;
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

/* Parses the records of a read. Each consists of its length (4 bytes), the length of the key (1
 * byte), the key and the value. Returns false when they are malformed. */
static bool parse_records(struct operation *operation, const char *bytes, size_t length)
{
	size_t offset = 0;

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
		if (size > 0) {
			record.key_length = (uint8_t)bytes[offset];
			if (record.key_length + 1 > size)
				return false;
			record.key = bytes + offset + 1;
			record.value_length = size - 1 - record.key_length;
			if (record.value_length > 0)
				record.value = record.key + record.key_length;
		}
		g_array_append_val(operation->records, record);
		offset += size;
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

bool store_record_has_key(const struct store_record *record, const char *key)
{
	return record->value && record->key_length == strlen(key) &&
	       memcmp(record->key, key, record->key_length) == 0;
}
