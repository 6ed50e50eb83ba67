#include "node_members.h"

#include <string.h>

#include "event.h"
#include "net.h"
#include "store_page.h"

enum {
	US_PER_MS = 1000,
	CHECK_INTERVAL_MS = 500, /* also the retry interval while the store does not answer */
	/* Limits on the number of addresses, many times the number of entries: anyone who writes to
	 * the store decides what this process connects to. What entries tell comes from entries
	 * that they know, and finds room when the store lists too many. */
	MAX_STORED_ADDRESSES = 1000,
	MAX_ADDRESSES = 2000,
	LOG_INTERVAL_MS = 60000 /* minimum time between two log lines on ignored addresses */
};

static const char *const source_names[] = {
	[MEMBER_SOURCE_SETTINGS] = "settings",
	[MEMBER_SOURCE_STORE] = "store",
	[MEMBER_SOURCE_ENTRY] = "entry",
};

static void ignore_address(struct node_members *members, const char *address,
			   enum node_member_source source, const char *reason)
{
	int64_t now_us = members->loop->now_us;
	char *text;

	members->ignored++;
	if (members->ignored_logged_us != 0 &&
	    now_us - members->ignored_logged_us < LOG_INTERVAL_MS * US_PER_MS)
		return;
	text = store_printable(address, strlen(address));
	event_log(EVENT_ADDRESS_INVALID, EV_S("address", text),
		  EV_S("source", source_names[source]), EV_S("reason", reason),
		  EV_I("ignored", members->ignored));
	g_free(text);
	members->ignored = 0;
	members->ignored_logged_us = now_us;
}

void node_members_add(struct node_members *members, const char *address,
		      enum node_member_source source)
{
	guint limit = source == MEMBER_SOURCE_STORE ? MAX_STORED_ADDRESSES : MAX_ADDRESSES;
	const char *reason;
	char *copy;

	if (strcmp(address, members->own_address) == 0 ||
	    g_hash_table_contains(members->known, address))
		return;
	reason = net_address_check_remote(address);
	if (!reason && members->addresses->len >= limit)
		reason = "too many addresses";
	if (reason) {
		ignore_address(members, address, source, reason);
		return;
	}
	copy = g_strdup(address);
	g_ptr_array_add(members->addresses, copy);
	g_hash_table_add(members->known, copy);
	members->address_added(members->context, address);
}

char **node_members_unsent(const struct node_members *members, guint *sent, size_t *count)
{
	char **unsent = (char **)members->addresses->pdata + *sent;

	*count = members->addresses->len - *sent;
	*sent = members->addresses->len;
	return unsent;
}

/* A seed names a host. A port in it is ignored, because entries listen at the same port on all
 * hosts. */
void node_members_add_seeds(struct node_members *members, char **seeds, int64_t peer_port)
{
	for (char **seed = seeds; seed && *seed; seed++) {
		char *host = g_strndup(*seed, strcspn(*seed, ":"));
		char *address = g_strdup_printf("%s:%" G_GINT64_FORMAT, host, peer_port);

		node_members_add(members, address, MEMBER_SOURCE_SETTINGS);
		g_free(host);
		g_free(address);
	}
}

static void on_append_done(void *context, const struct store_result *result)
{
	struct node_members *members = context;

	members->request_pending = false;
	if (result->status != STATUS_OK)
		members->refresh_needed = true;
}

/* Adds the address in a record of the store. Returns whether it is this process's own address. */
static bool add_record(struct node_members *members, const struct store_record *record)
{
	char *address = g_strndup(record->key, record->key_length);
	bool own = false;

	if (strlen(address) < record->key_length) {
		ignore_address(members, address, MEMBER_SOURCE_STORE,
			       "the key contains a NUL byte");
	} else {
		own = strcmp(address, members->own_address) == 0;
		node_members_add(members, address, MEMBER_SOURCE_STORE);
	}
	g_free(address);
	return own;
}

static void on_read_done(void *context, const struct store_result *result)
{
	struct node_members *members = context;
	bool own_address_stored = *members->own_address == '\0';

	members->request_pending = false;
	if (result->status != STATUS_OK) {
		if (!members->store_unavailable)
			event_log(EVENT_LOG_UNAVAILABLE, EV_S("topic", STORE_TOPIC_MEMBERS),
				  EV_S("reason", result->reason));
		members->store_unavailable = true;
		members->refresh_needed = true;
		return;
	}
	if (members->store_unavailable)
		event_log(EVENT_LOG_AVAILABLE, EV_S("topic", STORE_TOPIC_MEMBERS));
	members->store_unavailable = false;
	/* A record whose value cannot be read is written again. */
	for (size_t i = 0; i < result->count; i++) {
		bool own = result->records[i].value && add_record(members, &result->records[i]);

		own_address_stored = own_address_stored || own;
	}
	if (!own_address_stored) {
		members->request_pending = true;
		store_append(members->store, STORE_TOPIC_MEMBERS, members->own_address,
			     members->own_record_json, on_append_done, members);
	}
}

static void read_if_needed(void *context, int64_t now_us)
{
	struct node_members *members = context;

	if (!members->refresh_needed || members->request_pending)
		return;
	members->refresh_needed = false;
	members->request_pending = true;
	store_read_newest(members->store, STORE_TOPIC_MEMBERS, on_read_done, members);
}

void node_members_refresh(struct node_members *members)
{
	members->refresh_needed = true;
}

void node_members_init(struct node_members *members, const struct node_members_options *options)
{
	*members = (struct node_members){
		.loop = options->loop,
		.store = options->store,
		.addresses = g_ptr_array_new_with_free_func(g_free),
		.known = g_hash_table_new(g_str_hash, g_str_equal),
		.own_address = options->own_address,
		.own_record_json = g_strdup_printf("{\"name\":\"%s\"}", options->name),
		.address_added = options->address_added,
		.context = options->context,
	};
	node_members_add_seeds(members, options->seeds, options->peer_port);
	timer_subscribe(&options->loop->timers, options->loop->now_us,
			CHECK_INTERVAL_MS * US_PER_MS, read_if_needed, members);
}
