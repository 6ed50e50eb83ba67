#include "node_agent.h"

#include <string.h>

#include "agent_backend.h"
#include "agent_owner.h"
#include "client_api.h"
#include "event.h"
#include "node_link.h"
#include "node_members.h"
#include "node_reload.h"
#include "node_signals.h"
#include "subset.h"

enum {
	TICK_MS = 25,
	/* Between two reports that only change the free room, for each entry, and at least. Many
	 * entries share the room, so each can do with rarer news; the reports of all servers would
	 * else take most of the time of a small entry host. */
	ROOM_INTERVAL_MS = 1,
	ROOM_INTERVAL_MIN_MS = 5,
	LOST_ENTRIES_MS = 1500, /* without any entry for so long, the store is asked */
	ABSENT_MS = 2000, /* an entry out of reach for so long is made up for by another one */
	RETIRE_MS = 1000, /* between the last order of a surplus entry and the end of its link */
	SIZE_INTERVAL_MS = 1000,
	ALIAS_RETRY_MS = 10000, /* another address of an entry that is linked already */
	PERMILLE = 1000,
	STOP_MARGIN_MS = 300 /* kept free at the end of the grace period */
};

/* An address at which an entry listens, or did. */
struct dial {
	struct node_agent *agent;
	char *address;
	struct node_link *link;
	struct owner *owner; /* last one met there */
	struct node_retry retry;
	uint64_t rank;
	bool wanted;	    /* one of the entries that this agent serves */
	int64_t reached_us; /* when it was last linked, or became wanted */
};

struct node_agent {
	struct net_loop loop;
	const struct node_settings *settings;
	struct node_links links;
	struct node_members members;
	struct store *store;
	struct node_signals signals;
	struct node_reload reload;
	struct backend backend;
	GPtrArray *dials;     /* by falling rank */
	uint32_t subset_size; /* entries to serve */
	GPtrArray *owners;
	uint32_t next_owner;
	int64_t connected_us; /* when an entry was last connected */
	int64_t stop_by_us;   /* 0 unless shutting down */
	bool flush_planned;
};

static struct owner *find_owner(const struct node_agent *agent, uint32_t number)
{
	for (guint i = 0; i < agent->owners->len; i++) {
		struct owner *owner = agent->owners->pdata[i];

		if (owner->number == number)
			return owner;
	}
	return NULL;
}

static void forget_owner(struct node_agent *agent, struct owner *owner)
{
	char text[IDENT_HEX_BYTES];

	event_log(EVENT_OWNER_LOST, EV_S("entry", ident_format(&owner->incarnation, text)),
		  EV_I("silent_ms", (agent->loop.now_us - owner->heard_us) / US_PER_MS));
	for (guint i = 0; i < agent->dials->len; i++) {
		struct dial *dial = agent->dials->pdata[i];

		if (dial->owner == owner)
			dial->owner = NULL;
	}
	runs_owner_gone(&agent->backend.runs, owner->number, agent->loop.now_us);
	g_ptr_array_remove_fast(agent->owners, owner);
	owner_free(owner);
}

static struct owner *find_or_add_owner(struct node_agent *agent, const struct ident *incarnation)
{
	struct owner *owner;

	for (guint i = 0; i < agent->owners->len; i++) {
		owner = agent->owners->pdata[i];
		if (ident_equal(&owner->incarnation, incarnation))
			return owner;
	}
	owner = owner_new(++agent->next_owner, incarnation);
	g_ptr_array_add(agent->owners, owner);
	return owner;
}

static void take_starts(struct node_agent *agent, struct owner *owner, const Ggd__StartBatch *batch)
{
	size_t count = MIN(batch->n_runs, MIN(batch->n_indexes, batch->n_attempts));
	GBytes *spec = g_bytes_new(batch->spec.data, batch->spec.len);

	for (size_t i = 0; i < count; i++) {
		char *task = client_task_name(batch->job, batch->step, batch->indexes[i]);
		const struct run_request request = {
			.task = task,
			.attempt = batch->attempts[i],
			.owner = owner->number,
			.number = batch->runs[i],
			.need = {.cpu = batch->cpu,
				 .memory_mb = batch->memory_mb,
				 .gpus = batch->gpus},
			.estimate_us = (int64_t)batch->estimate_ms * US_PER_MS,
			.priority = batch->priority,
			.urgent_us =
				agent->loop.now_us + (int64_t)batch->urgent_within_ms * US_PER_MS,
			.start_by_us =
				agent->loop.now_us + (int64_t)batch->start_within_ms * US_PER_MS,
			.spec = spec,
		};

		runs_start(&agent->backend.runs, &request, agent->loop.now_us);
		g_free(task);
	}
	g_bytes_unref(spec);
}

static void mark_room_dirty(void *context)
{
	struct node_agent *agent = context;

	for (guint i = 0; i < agent->owners->len; i++)
		((struct owner *)agent->owners->pdata[i])->room_dirty = true;
}

static void take_orders(struct node_agent *agent, struct owner *owner, const Ggd__Orders *orders)
{
	owner_acknowledge(owner, orders->report_ack);
	for (size_t i = 0; i < orders->n_stops; i++)
		runs_stop(&agent->backend.runs, owner->number, orders->stops[i],
			  agent->loop.now_us);
	for (size_t i = 0; i < orders->n_starts; i++)
		take_starts(agent, owner, orders->starts[i]);
	for (size_t i = 0; i < orders->n_entries; i++)
		node_members_add(&agent->members, orders->entries[i]);
	if (orders->service_servers > 0)
		owner->service_servers = orders->service_servers;
	if (orders->number > owner->orders_ack) {
		owner->orders_ack = orders->number;
		mark_room_dirty(agent);
	}
}

static void on_frame(void *context, struct node_link *link, const Ggd__Frame *frame)
{
	struct dial *dial = context;

	if (frame->body_case == GGD__FRAME__BODY_ORDERS && dial->owner)
		take_orders(dial->agent, dial->owner, frame->orders);
}

static bool on_up(void *context, struct node_link *link, const Ggd__Hello *hello)
{
	struct dial *dial = context;
	struct node_agent *agent = dial->agent;
	struct ident incarnation;
	struct owner *owner;

	memcpy(incarnation.bytes, hello->incarnation.data, IDENT_BYTES);
	owner = find_or_add_owner(agent, &incarnation);
	/* Another process at the same address has replaced the one met there before. */
	if (dial->owner && dial->owner != owner && !dial->owner->link)
		forget_owner(agent, dial->owner);
	if (owner->link) {
		/* The same process under two addresses; the link is closed without a call of down.
		 */
		dial->link = NULL;
		dial->retry.next_attempt_us = agent->loop.now_us + ALIAS_RETRY_MS * US_PER_MS;
		return false;
	}
	dial->owner = owner;
	owner->retiring_us = 0;
	owner->link = link;
	owner->orders_ack = 0;
	owner->identity_version = 0;
	event_log(EVENT_CHANNEL_OPENED, EV_S("entry", hello->name), EV_S("address", dial->address));
	owner_send_inventory(owner, &agent->backend);
	return true;
}

static void on_heartbeat(void *context, struct node_link *link)
{
	struct dial *dial = context;

	if (dial->owner)
		owner_send_room(dial->owner, &dial->agent->backend);
}

static void on_down(void *context, struct node_link *link, const char *reason)
{
	struct dial *dial = context;
	struct owner *owner = dial->owner;

	if (owner && owner->link == link) {
		event_log(EVENT_CHANNEL_LOST, EV_S("address", dial->address),
			  EV_S("reason", reason));
		owner->link = NULL;
		owner->heard_us = node_link_last_received_us(link);
	}
	dial->link = NULL;
	if (node_link_is_up(link))
		dial->reached_us = dial->agent->loop.now_us;
	node_retry_schedule(&dial->retry, node_link_is_up(link), dial->agent->loop.now_us);
}

static const struct node_link_callbacks link_callbacks = {
	.up = on_up,
	.frame = on_frame,
	.heartbeat = on_heartbeat,
	.down = on_down,
};

static void on_member(void *context, const char *address)
{
	struct node_agent *agent = context;
	struct dial *dial = g_new0(struct dial, 1);
	guint at = 0;

	dial->agent = agent;
	dial->address = g_strdup(address);
	dial->rank = subset_rank(agent->settings->name, address);
	node_retry_init(&dial->retry, agent->loop.now_us);
	while (at < agent->dials->len &&
	       ((struct dial *)agent->dials->pdata[at])->rank > dial->rank)
		at++;
	g_ptr_array_insert(agent->dials, (gint)at, dial);
}

static bool is_linked(const struct dial *dial)
{
	return dial->link && dial->owner && dial->owner->link == dial->link;
}

/* An entry that is not wanted has not been tried, and counts as reachable. */
static bool is_reachable(const struct dial *dial, int64_t now_us)
{
	return is_linked(dial) || !dial->wanted ||
	       now_us - dial->reached_us < ABSENT_MS * US_PER_MS;
}

static void choose_entries(struct node_agent *agent, int64_t now_us)
{
	struct subset_entry *rows = g_new(struct subset_entry, agent->dials->len);

	for (guint i = 0; i < agent->dials->len; i++) {
		const struct dial *dial = agent->dials->pdata[i];

		rows[i] = (struct subset_entry){.reachable = is_reachable(dial, now_us)};
	}
	subset_select(rows, agent->dials->len, agent->subset_size);
	for (guint i = 0; i < agent->dials->len; i++) {
		struct dial *dial = agent->dials->pdata[i];

		if (rows[i].selected && !dial->wanted)
			dial->reached_us = now_us;
		dial->wanted = rows[i].selected;
	}
	g_free(rows);
}

/* Ends the link to an entry that serves elsewhere, once it has no run here. */
static void retire(struct node_agent *agent, struct dial *dial, int64_t now_us)
{
	struct owner *owner = dial->owner;
	struct node_link *link = dial->link;

	if (owner->retiring_us == 0) {
		owner->retiring_us = now_us;
		owner->room_dirty = true;
		return;
	}
	if (now_us - owner->retiring_us < RETIRE_MS * US_PER_MS || owner_has_unread_ends(owner) ||
	    runs_count_owned(&agent->backend.runs, owner->number) > 0)
		return;
	event_log(EVENT_CHANNEL_LOST, EV_S("address", dial->address),
		  EV_S("reason", "this agent serves other entries"));
	dial->link = NULL;
	owner->link = NULL;
	owner->heard_us = now_us;
	node_link_close(link);
	forget_owner(agent, owner);
}

/* Ends links to entries that are not wanted, while as many as wanted are linked. */
static void retire_surplus(struct node_agent *agent, int64_t now_us)
{
	uint32_t linked = 0;

	for (guint i = 0; i < agent->dials->len; i++) {
		const struct dial *dial = agent->dials->pdata[i];

		linked += dial->wanted && is_linked(dial);
	}
	for (guint i = 0; i < agent->dials->len; i++) {
		struct dial *dial = agent->dials->pdata[i];

		if (!is_linked(dial))
			continue;
		if (!dial->wanted && linked >= agent->subset_size) {
			retire(agent, dial, now_us);
		} else if (dial->owner->retiring_us != 0) {
			dial->owner->retiring_us = 0;
			dial->owner->room_dirty = true;
		}
	}
}

static void adapt_subset(void *context, int64_t now_us)
{
	struct node_agent *agent = context;
	double servers = 0;
	uint32_t known = 0;

	for (guint i = 0; i < agent->owners->len; i++) {
		const struct owner *owner = agent->owners->pdata[i];

		if (!owner->link || owner->service_servers == 0)
			continue;
		servers += owner->service_servers;
		known++;
	}
	agent->subset_size =
		subset_size(agent->subset_size, known > 0 ? servers / known : 0, agent->dials->len);
}

static void dial_entries(struct node_agent *agent, int64_t now_us)
{
	struct error err;
	bool connected = false;

	for (guint i = 0; i < agent->dials->len; i++) {
		struct dial *dial = agent->dials->pdata[i];

		connected = connected || (dial->owner && dial->owner->link);
		/* An entry that has runs here is dialled again to hear of their ends. */
		if (dial->link || now_us < dial->retry.next_attempt_us ||
		    !(dial->wanted || dial->owner))
			continue;
		dial->link = node_link_connect(&agent->links, dial->address, &link_callbacks, dial,
					       &err);
		if (!dial->link)
			node_retry_schedule(&dial->retry, false, now_us);
	}
	if (connected) {
		agent->connected_us = now_us;
	} else if (now_us - agent->connected_us > LOST_ENTRIES_MS * US_PER_MS) {
		agent->connected_us = now_us;
		node_members_refresh(&agent->members);
	}
}

/* An owner that is out of reach loses its runs before its client may send the job again. */
static void forget_silent_owners(struct node_agent *agent, int64_t now_us)
{
	for (guint i = agent->owners->len; i-- > 0;) {
		struct owner *owner = agent->owners->pdata[i];

		if (!owner->link &&
		    now_us - owner->heard_us > agent->links.silence_timeout_ms * US_PER_MS)
			forget_owner(agent, owner);
	}
}

static void stop_when_idle(struct node_agent *agent, int64_t now_us)
{
	if (agent->stop_by_us == 0)
		return;
	if (table_count(&agent->backend.runs.table) == 0 || now_us >= agent->stop_by_us)
		net_loop_stop(&agent->loop);
}

static void tick(void *context, int64_t now_us)
{
	struct node_agent *agent = context;

	choose_entries(agent, now_us);
	dial_entries(agent, now_us);
	retire_surplus(agent, now_us);
	forget_silent_owners(agent, now_us);
	stop_when_idle(agent, now_us);
}

static void on_ended(void *context, const struct run *run, enum run_outcome outcome,
		     int64_t elapsed_us)
{
	struct node_agent *agent = context;
	struct owner *owner = find_owner(agent, run->owner);

	if (owner)
		owner_note_end(owner, run, outcome, elapsed_us);
}

static void on_behind(void *context, const struct run *run, int64_t elapsed_us)
{
	struct node_agent *agent = context;
	struct owner *owner = find_owner(agent, run->owner);

	if (owner)
		owner_note_behind(owner, run, elapsed_us);
}

static void on_flush(void *context, int64_t now_us)
{
	struct node_agent *agent = context;

	agent->flush_planned = false;
}

static int64_t room_interval_us(const struct node_agent *agent)
{
	return MAX(agent->owners->len * ROOM_INTERVAL_MS, ROOM_INTERVAL_MIN_MS) * US_PER_MS;
}

/* Ends go out at once; a mere change of the free room waits for its interval. */
static void on_turn(void *context, int64_t now_us)
{
	struct node_agent *agent = context;
	int64_t next_us = INT64_MAX;

	backend_turn(&agent->backend);
	runs_start_waiting(&agent->backend.runs, now_us);
	for (guint i = 0; i < agent->owners->len; i++) {
		struct owner *owner = agent->owners->pdata[i];
		int64_t due_us = owner->room_sent_us + room_interval_us(agent);

		if (!owner->link)
			continue;
		if (owner->ends->len > 0)
			owner_send_ends(owner, &agent->backend);
		else if (owner->behind->len > 0 || (owner->room_dirty && now_us >= due_us))
			owner_send_room(owner, &agent->backend);
		else if (owner->room_dirty)
			next_us = MIN(next_us, due_us);
	}
	if (next_us != INT64_MAX && !agent->flush_planned) {
		agent->flush_planned = true;
		timer_subscribe(&agent->loop.timers, next_us, 0, on_flush, agent);
	}
}

static void on_freeze(void *context, int64_t gap_us)
{
	struct node_agent *agent = context;

	event_log(EVENT_PROCESS_FROZEN, EV_I("gap_ms", gap_us / US_PER_MS));
	/* Orders that waited in the connections may be of owners that others have replaced. */
	for (guint i = 0; i < agent->dials->len; i++) {
		struct dial *dial = agent->dials->pdata[i];

		if (!dial->link)
			continue;
		node_link_close(dial->link);
		on_down(dial, dial->link, "this process was frozen");
		dial->retry.next_attempt_us = 0;
	}
	backend_reset(&agent->backend);
}

static void on_terminate(void *context)
{
	struct node_agent *agent = context;

	if (agent->stop_by_us != 0)
		return;
	event_log(EVENT_DRAIN_STARTED, EV_I("runs", table_count(&agent->backend.runs.table)));
	agent->backend.leaving = true;
	agent->stop_by_us =
		agent->loop.now_us +
		((int64_t)(agent->settings->grace_s * PERMILLE) - STOP_MARGIN_MS) * US_PER_MS;
	mark_room_dirty(agent);
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
	agent->loop.turn = on_turn;
	agent->loop.turn_context = agent;
	agent->loop.freeze = on_freeze;
	agent->loop.freeze_context = agent;
	agent->dials = g_ptr_array_new();
	agent->owners = g_ptr_array_new();
	agent->subset_size = SUBSET_MIN_ENTRIES;
	agent->connected_us = agent->loop.now_us;
	agent->store = store_new(&agent->loop, settings->store_address);
	node_links_init(&agent->links, &agent->loop, &identity, node_settings_silence_ms(settings));
	node_members_init(&agent->members, &(struct node_members_options){
						   .loop = &agent->loop,
						   .store = agent->store,
						   .seeds = settings->seeds,
						   .peer_port = settings->peer_port,
						   .own_address = "",
						   .name = settings->name,
						   .address_added = on_member,
						   .context = agent,
					   });
	/* The seeds are some of the entries only, and may be down or start last. */
	node_members_refresh(&agent->members);
	node_reload_start(&agent->reload, &agent->loop, settings_file, &agent->members);
	node_signals_start(&agent->signals, &agent->loop, on_terminate, on_reload, agent);
	agent->backend = (struct backend){
		.loop = &agent->loop,
		.settings = settings,
		.callbacks = {.context = agent,
			      .changed = mark_room_dirty,
			      .ended = on_ended,
			      .behind = on_behind},
	};
	if (backend_start(&agent->backend, &err) != STATUS_OK) {
		event_log_error(EVENT_PROCESS_FAILED, &err);
		return EXIT_CODE_RUNTIME;
	}
	timer_subscribe(&agent->loop.timers, agent->loop.now_us, TICK_MS * US_PER_MS, tick, agent);
	timer_subscribe(&agent->loop.timers, agent->loop.now_us, SIZE_INTERVAL_MS * US_PER_MS,
			adapt_subset, agent);
	net_loop_run(&agent->loop);
	event_log(EVENT_DRAIN_FINISHED, EV_I("runs", table_count(&agent->backend.runs.table)));
	return EXIT_CODE_OK;
}
