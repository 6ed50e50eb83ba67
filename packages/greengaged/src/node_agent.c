/* The agent role of mode "platform", on one event loop. agent.c is the agent role of settings
 * without "mode". */
#include "node_agent.h"

#include <string.h>

#include "agent_backend.h"
#include "agent_owners.h"
#include "event.h"
#include "node_config_relay.h"
#include "node_link.h"
#include "node_members.h"
#include "node_reload.h"
#include "node_signals.h"
#include "subset.h"

enum {
	TICK_MS = 25,
	/* The store is asked for addresses after this time without any connected entry. */
	NO_ENTRY_TIMEOUT_MS = 1500,
	/* An entry that has been unreachable this long is replaced by another one. */
	UNREACHABLE_TIMEOUT_MS = 2000,
	/* Minimum time between the request to a surplus entry to send no more orders and the
	 * closing of its link. */
	RETIRE_DELAY_MS = 1000,
	SUBSET_SIZE_INTERVAL_MS = 1000,
	/* Retry interval for a second address of an entry that is connected already. */
	ALIAS_RETRY_MS = 10000,
	MS_PER_S = 1000,
	STOP_MARGIN_MS = 300 /* reserved at the end of the grace period */
};

/* An address at which an entry listens, or used to listen. */
struct endpoint {
	struct node_agent *agent;
	char *address;
	struct node_link *link;
	struct owner *owner; /* entry process last connected at this address; NULL once removed */
	struct node_retry retry;
	uint64_t rank;
	bool selected;		      /* one of the entries that this agent is to serve */
	bool was_up;		      /* an entry has been connected here */
	bool failed;		      /* the last connection attempt failed */
	int64_t unreachable_since_us; /* end of the last connection, or time of the selection */
};

struct node_agent {
	struct net_loop loop;
	const struct node_settings *settings;
	struct node_links links;
	struct node_members members;
	struct store *store;
	struct node_config_relay config_relay;
	struct node_signals signals;
	struct node_reload reload;
	struct backend backend;
	GPtrArray *endpoints; /* struct endpoint *, in descending order of rank */
	uint32_t subset_size; /* number of entries to serve */
	struct owners owners;
	int64_t no_entry_since_us; /* when an entry was last connected, or the addresses were last
				      read again, whichever is later */
	int64_t stop_deadline_us;  /* 0 unless shutting down */
	bool wakeup_scheduled;	   /* a timer is set for the next report that is due */
};

/* Forgets an entry process that the agent has removed. */
static void on_owner_removed(void *context, struct owner *owner)
{
	struct node_agent *agent = context;

	for (guint i = 0; i < agent->endpoints->len; i++) {
		struct endpoint *endpoint = agent->endpoints->pdata[i];

		if (endpoint->owner == owner)
			endpoint->owner = NULL;
	}
}

static void on_evacuations_read(void *context)
{
	struct node_agent *agent = context;

	owners_update_evacuated(&agent->owners);
}

static void on_state_changed(void *context)
{
	struct node_agent *agent = context;

	owners_update_evacuated(&agent->owners);
	owners_mark_status_changed(&agent->owners);
}

static void handle_orders(struct endpoint *endpoint, struct node_link *link,
			  const Ggd__Orders *orders)
{
	struct node_agent *agent = endpoint->agent;
	const struct message_times times = node_link_frame_times(link);

	if (!owners_handle_orders(&agent->owners, endpoint->owner, orders, &times,
				  endpoint->address)) {
		node_link_fail(link, "the entry sent orders twice, left some out, took them from "
				     "another session, or they are too old");
		return;
	}
	for (size_t i = 0; i < orders->n_entries; i++)
		node_members_add(&agent->members, orders->entries[i], MEMBER_SOURCE_ENTRY);
}

static void on_frame(void *context, struct node_link *link, const Ggd__Frame *frame)
{
	struct endpoint *endpoint = context;

	if (!endpoint->owner)
		return;
	if (frame->body_case == GGD__FRAME__BODY_ORDERS)
		handle_orders(endpoint, link, frame->orders);
	else if (frame->body_case == GGD__FRAME__BODY_CONFIG_REQUEST)
		node_config_relay_read(&endpoint->agent->config_relay, endpoint->owner->number,
				       frame->config_request->version);
}

static void send_config(void *context, uint32_t entry, uint64_t version, const char *document,
			size_t length)
{
	struct node_agent *agent = context;

	owners_send_config(&agent->owners, entry, version, document, length);
}

static bool on_up(void *context, struct node_link *link, const Ggd__Hello *hello)
{
	struct endpoint *endpoint = context;
	struct node_agent *agent = endpoint->agent;
	struct ident incarnation;
	struct owner *owner;

	memcpy(incarnation.bytes, hello->incarnation.data, IDENT_BYTES);
	owner = owners_find_or_add(&agent->owners, &incarnation);
	/* Another process has replaced the one that was connected at this address before, so the
	 * runs of the earlier one are stopped. */
	if (endpoint->owner && endpoint->owner != owner && !endpoint->owner->link)
		owners_remove(&agent->owners, endpoint->owner);
	if (owner->link) {
		/* The process is connected at another of its addresses already. Returning false
		 * closes this link without a call of `down`. */
		endpoint->link = NULL;
		endpoint->retry.next_attempt_us = agent->loop.now_us + ALIAS_RETRY_MS * US_PER_MS;
		return false;
	}
	endpoint->was_up = true;
	endpoint->failed = false;
	endpoint->owner = owner;
	event_log(EVENT_CHANNEL_OPENED, EV_S("entry", hello->name),
		  EV_S("address", endpoint->address));
	owners_connect(&agent->owners, owner, link);
	return true;
}

static void on_heartbeat(void *context, struct node_link *link)
{
	struct endpoint *endpoint = context;

	if (endpoint->owner)
		owner_send_status(endpoint->owner, &endpoint->agent->backend);
}

static void schedule_retry(struct endpoint *endpoint, bool was_up)
{
	const struct node_agent *agent = endpoint->agent;

	endpoint->failed = !was_up;
	node_retry_schedule(&endpoint->retry, was_up, agent->endpoints->len, agent->loop.now_us);
}

static void on_down(void *context, struct node_link *link, const char *reason)
{
	struct endpoint *endpoint = context;
	struct owner *owner = endpoint->owner;

	if (owner && owner->link == link) {
		event_log(EVENT_CHANNEL_LOST, EV_S("address", endpoint->address),
			  EV_S("reason", reason));
		owner->link = NULL;
	}
	endpoint->link = NULL;
	if (node_link_is_up(link))
		endpoint->unreachable_since_us = endpoint->agent->loop.now_us;
	schedule_retry(endpoint, node_link_is_up(link));
}

static const struct node_link_callbacks link_callbacks = {
	.up = on_up,
	.frame = on_frame,
	.heartbeat = on_heartbeat,
	.down = on_down,
};

/* Inserts a new address at its position in the order of ranks. */
static void add_endpoint(void *context, const char *address)
{
	struct node_agent *agent = context;
	struct endpoint *endpoint = g_new0(struct endpoint, 1);
	guint position = 0;

	endpoint->agent = agent;
	endpoint->address = g_strdup(address);
	endpoint->rank = subset_rank(agent->settings->name, address);
	node_retry_init(&endpoint->retry, agent->loop.now_us);
	while (position < agent->endpoints->len &&
	       ((struct endpoint *)agent->endpoints->pdata[position])->rank > endpoint->rank)
		position++;
	g_ptr_array_insert(agent->endpoints, (gint)position, endpoint);
}

static bool is_connected(const struct endpoint *endpoint)
{
	return endpoint->link && endpoint->owner && endpoint->owner->link == endpoint->link;
}

/* An entry that is not selected counts as reachable, because this agent may never have tried to
 * connect to it. An entry that was connected may just restart, but an address at which none ever
 * was takes no entry's place: the list may hold hundreds of them. */
static bool is_reachable(const struct endpoint *endpoint, int64_t now_us)
{
	if (is_connected(endpoint))
		return true;
	if (endpoint->failed && !endpoint->was_up)
		return false;
	return !endpoint->selected ||
	       now_us - endpoint->unreachable_since_us < UNREACHABLE_TIMEOUT_MS * US_PER_MS;
}

/* Selects the entries to serve: the reachable ones with the highest ranks, and unreachable ones
 * that rank among them, so that connection attempts to these continue. */
static void select_endpoints(struct node_agent *agent, int64_t now_us)
{
	struct subset_entry *candidates = g_new(struct subset_entry, agent->endpoints->len);

	for (guint i = 0; i < agent->endpoints->len; i++) {
		const struct endpoint *endpoint = agent->endpoints->pdata[i];

		candidates[i] = (struct subset_entry){.reachable = is_reachable(endpoint, now_us)};
	}
	subset_select(candidates, agent->endpoints->len, agent->subset_size);
	for (guint i = 0; i < agent->endpoints->len; i++) {
		struct endpoint *endpoint = agent->endpoints->pdata[i];

		if (candidates[i].selected && !endpoint->selected)
			endpoint->unreachable_since_us = now_us;
		endpoint->selected = candidates[i].selected;
	}
	g_free(candidates);
}

/* Closes the link to an entry that this agent no longer serves, over several calls. The first call
 * requests the entry to send no more orders. The link is closed by the first call after
 * RETIRE_DELAY_MS at which the entry has no runs here and has acknowledged the ends of all its
 * runs. Called at each tick until the link is closed. */
static void retire_link(struct node_agent *agent, struct endpoint *endpoint, int64_t now_us)
{
	struct owner *owner = endpoint->owner;
	struct node_link *link = endpoint->link;

	if (owner->retiring_since_us == 0) {
		owner->retiring_since_us = now_us;
		owner->status_changed = true;
		return;
	}
	if (now_us - owner->retiring_since_us < RETIRE_DELAY_MS * US_PER_MS ||
	    owner_has_unacknowledged_ends(owner) ||
	    runs_count_owned(&agent->backend.runs, owner->number) > 0)
		return;
	event_log(EVENT_CHANNEL_LOST, EV_S("address", endpoint->address),
		  EV_S("reason", "this agent serves other entries"));
	endpoint->link = NULL;
	owner->link = NULL;
	node_link_close(link);
	owners_remove(&agent->owners, owner);
}

/* Retires the links to entries that are not selected while at least subset_size selected entries
 * are connected. Ends the retirement of all other connected entries, which may then send orders
 * again. */
static void retire_surplus_links(struct node_agent *agent, int64_t now_us)
{
	uint32_t connected = 0;

	for (guint i = 0; i < agent->endpoints->len; i++) {
		const struct endpoint *endpoint = agent->endpoints->pdata[i];

		connected += endpoint->selected && is_connected(endpoint);
	}
	for (guint i = 0; i < agent->endpoints->len; i++) {
		struct endpoint *endpoint = agent->endpoints->pdata[i];

		if (!is_connected(endpoint))
			continue;
		if (!endpoint->selected && connected >= agent->subset_size) {
			retire_link(agent, endpoint, now_us);
		} else if (endpoint->owner->retiring_since_us != 0) {
			endpoint->owner->retiring_since_us = 0;
			endpoint->owner->status_changed = true;
		}
	}
}

/* Updates the number of entries to serve from the average number of servers of this agent's service
 * that a connected entry reaches. */
static void update_subset_size(void *context, int64_t now_us)
{
	struct node_agent *agent = context;
	double total_servers = 0;
	uint32_t entry_count = 0;

	for (guint i = 0; i < agent->owners.list->len; i++) {
		const struct owner *owner = agent->owners.list->pdata[i];

		if (!owner->link || owner->service_server_count == 0)
			continue;
		total_servers += owner->service_server_count;
		entry_count++;
	}
	agent->subset_size =
		subset_size(agent->subset_size, entry_count > 0 ? total_servers / entry_count : 0,
			    agent->endpoints->len);
}

/* Starts the connection attempts that are due. Reads the addresses from the store again when no
 * entry has been connected for too long. */
static void connect_endpoints(struct node_agent *agent, int64_t now_us)
{
	uint32_t attempts = node_links_free_attempts(&agent->links);
	struct error err;
	bool connected = false;

	for (guint i = 0; i < agent->endpoints->len; i++) {
		struct endpoint *endpoint = agent->endpoints->pdata[i];

		connected = connected || (endpoint->owner && endpoint->owner->link);
		/* An entry that may have runs here is connected again even if it is not selected,
		 * so that it learns how they ended. */
		if (endpoint->link || now_us < endpoint->retry.next_attempt_us ||
		    !(endpoint->selected || endpoint->owner) || attempts == 0)
			continue;
		attempts--;
		endpoint->link = node_link_connect(&agent->links, endpoint->address,
						   &link_callbacks, endpoint, &err);
		if (!endpoint->link)
			schedule_retry(endpoint, false);
	}
	if (connected) {
		agent->no_entry_since_us = now_us;
	} else if (now_us - agent->no_entry_since_us > NO_ENTRY_TIMEOUT_MS * US_PER_MS) {
		agent->no_entry_since_us = now_us;
		node_members_refresh(&agent->members);
	}
}

static void stop_when_idle(struct node_agent *agent, int64_t now_us)
{
	if (agent->stop_deadline_us == 0)
		return;
	if (table_count(&agent->backend.runs.table) == 0 || now_us >= agent->stop_deadline_us)
		net_loop_stop(&agent->loop);
}

static void tick(void *context, int64_t now_us)
{
	struct node_agent *agent = context;

	select_endpoints(agent, now_us);
	connect_endpoints(agent, now_us);
	retire_surplus_links(agent, now_us);
	owners_abandon_silent(&agent->owners);
	if (runs_is_returning(&agent->backend.runs, now_us))
		owners_mark_status_changed(&agent->owners);
	stop_when_idle(agent, now_us);
}

static void on_run_ended(void *context, const struct run *run, enum run_outcome outcome,
			 int64_t elapsed_us)
{
	struct node_agent *agent = context;
	struct owner *owner = owners_find(&agent->owners, run->owner);

	if (owner)
		owner_add_end(owner, run, outcome, elapsed_us);
}

static void on_run_behind(void *context, const struct run *run, int64_t elapsed_us)
{
	struct node_agent *agent = context;
	struct owner *owner = owners_find(&agent->owners, run->owner);

	if (owner)
		owner_add_progress(owner, run, elapsed_us);
}

/* Only wakes up the event loop, so that on_iteration sends the reports that are due. */
static void on_wakeup(void *context, int64_t now_us)
{
	struct node_agent *agent = context;

	agent->wakeup_scheduled = false;
}

static void on_iteration(void *context, int64_t now_us)
{
	struct node_agent *agent = context;
	int64_t wakeup_us;

	backend_send_requested_poll(&agent->backend);
	runs_start_waiting(&agent->backend.runs, now_us);
	wakeup_us = owners_send_reports(&agent->owners);
	if (wakeup_us != INT64_MAX && !agent->wakeup_scheduled) {
		agent->wakeup_scheduled = true;
		timer_subscribe(&agent->loop.timers, wakeup_us, 0, on_wakeup, agent);
	}
}

static void on_freeze(void *context, int64_t gap_us)
{
	struct node_agent *agent = context;

	event_log(EVENT_PROCESS_FROZEN, EV_I("gap_ms", gap_us / US_PER_MS));
	/* First, as the stops of abandoned runs are to go out on the next connections. */
	backend_close_connections(&agent->backend);
	owners_abandon_silent(&agent->owners);
	/* Orders buffered in the connections may be out of date, because other entries may have
	 * replaced their owners meanwhile. Closing the links discards them. */
	for (guint i = 0; i < agent->endpoints->len; i++) {
		struct endpoint *endpoint = agent->endpoints->pdata[i];

		if (!endpoint->link)
			continue;
		node_link_close(endpoint->link);
		on_down(endpoint, endpoint->link, "this process was frozen");
		endpoint->retry.next_attempt_us = 0;
	}
}

static void on_terminate(void *context)
{
	struct node_agent *agent = context;

	if (agent->stop_deadline_us != 0)
		return;
	event_log(EVENT_DRAIN_STARTED, EV_I("runs", table_count(&agent->backend.runs.table)));
	agent->backend.agent_shutting_down = true;
	agent->stop_deadline_us =
		agent->loop.now_us +
		((int64_t)(agent->settings->grace_s * MS_PER_S) - STOP_MARGIN_MS) * US_PER_MS;
	owners_mark_status_changed(&agent->owners);
}

static void on_reload(void *context)
{
	struct node_agent *agent = context;

	node_reload_now(&agent->reload);
}

enum exit_code node_agent_run(const char *settings_file, const struct node_settings *settings)
{
	struct node_agent *agent = g_new0(struct node_agent, 1);
	const struct node_identity identity = {
		.incarnation = ident_random(),
		.name = settings->name,
		.zone = settings->zone,
		.address = "",
	};
	struct error err;

	agent->settings = settings;
	net_loop_init(&agent->loop);
	agent->loop.on_iteration = on_iteration;
	agent->loop.iteration_context = agent;
	agent->loop.on_freeze = on_freeze;
	agent->loop.freeze_context = agent;
	agent->endpoints = g_ptr_array_new();
	agent->owners = (struct owners){
		.backend = &agent->backend,
		.silence_timeout_us = node_settings_silence_timeout_ms(settings) * US_PER_MS,
		.stop_wait_us = NODE_STOP_WAIT_MS * US_PER_MS,
		.zone = settings->zone,
		.removed = on_owner_removed,
		.context = agent,
	};
	owners_init(&agent->owners);
	agent->subset_size = SUBSET_MIN_ENTRIES;
	agent->no_entry_since_us = agent->loop.now_us;
	agent->store = store_new(&agent->loop, settings->store_address);
	agent->config_relay = (struct node_config_relay){
		.store = agent->store,
		.evacuations = &agent->owners.evacuations,
		.evacuations_read = on_evacuations_read,
		.answer = send_config,
		.context = agent,
	};
	node_links_init(&agent->links, &agent->loop, &identity,
			node_settings_silence_timeout_ms(settings));
	node_members_init(&agent->members, &(struct node_members_options){
						   .loop = &agent->loop,
						   .store = agent->store,
						   .seeds = settings->seeds,
						   .peer_port = settings->peer_port,
						   .own_address = "",
						   .name = settings->name,
						   .address_added = add_endpoint,
						   .context = agent,
					   });
	/* The store is read as well, because the seeds are only some of the entries and may be down
	 * or start last. */
	node_members_refresh(&agent->members);
	node_reload_start(&agent->reload, &agent->loop, settings_file, &agent->members);
	node_signals_start(&agent->signals, &agent->loop, on_terminate, on_reload, agent);
	agent->backend = (struct backend){
		.loop = &agent->loop,
		.settings = settings,
		.callbacks = {.context = agent,
			      .state_changed = on_state_changed,
			      .run_ended = on_run_ended,
			      .run_behind = on_run_behind},
	};
	if (backend_start(&agent->backend, &err) != STATUS_OK) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
		return EXIT_CODE_RUNTIME;
	}
	timer_subscribe(&agent->loop.timers, agent->loop.now_us, TICK_MS * US_PER_MS, tick, agent);
	timer_subscribe(&agent->loop.timers, agent->loop.now_us,
			SUBSET_SIZE_INTERVAL_MS * US_PER_MS, update_subset_size, agent);
	net_loop_run(&agent->loop);
	event_log(EVENT_DRAIN_FINISHED, EV_I("runs", table_count(&agent->backend.runs.table)));
	return EXIT_CODE_OK;
}
