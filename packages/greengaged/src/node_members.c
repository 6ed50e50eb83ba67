#include "node_members.h"

#include <string.h>

#include "event.h"

enum {
	US_PER_MS = 1000,
	CHECK_INTERVAL_MS = 500 /* also the retry interval while the store does not answer */
};

static bool is_known(const struct node_members *members, const char *address)
{
	for (guint i = 0; i < members->addresses->len; i++) {
		if (strcmp(members->addresses->pdata[i], address) == 0)
			return true;
	}
	return false;
}

void node_members_add(struct node_members *members, const char *address)
{
	if (strchr(address, ':') == NULL || strcmp(address, members->own_address) == 0 ||
	    is_known(members, address))
		return;
	g_ptr_array_add(members->addresses, g_strdup(address));
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

		node_members_add(members, address);
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
	for (size_t i = 0; i < result->count; i++) {
		char *address = g_strndup(result->records[i].key, result->records[i].key_length);

		own_address_stored =
			own_address_stored || strcmp(address, members->own_address) == 0;
		node_members_add(members, address);
		g_free(address);
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
		.own_address = options->own_address,
		.own_record_json = g_strdup_printf("{\"name\":\"%s\"}", options->name),
		.address_added = options->address_added,
		.context = options->context,
	};
	node_members_add_seeds(members, options->seeds, options->peer_port);
	timer_subscribe(&options->loop->timers, options->loop->now_us,
			CHECK_INTERVAL_MS * US_PER_MS, read_if_needed, members);
}
