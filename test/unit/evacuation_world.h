/*
 * Adds evacuations of zones to the simulated connections of session_world.h. The operator's records
 * lie in a simulated log. Entries and agents read it with the product's modules (node_config,
 * node_config_relay) from a store that may refuse single processes, answer late and out of order,
 * or drop its history. Entries pass evacuations on to each other and to agents.
 *
 * The world computes how far each process must have read the log, from the connections that it had:
 * - an entry must know what was in the log READ_US ago if the store has answered it since then;
 * - an entry must know what was in the log RELAY_US ago if it was linked since then to an agent
 *   that the store has answered;
 * - a process must know what an entry had to know PASS_US ago if that entry's messages have reached
 *   it since then.
 * Only time in which the process ran without a pause counts. What a process must know once, it must
 * know until it ends.
 *
 * Checked are the starts that agents send to their servers, not those that servers carry out late:
 * - none in a zone EVACUATE_US after its record and before its removal, by an agent that must know
 *   the record;
 * - none in a zone by an agent that knows the record;
 * - none in a zone that was ordered by an entry which has known the record for OWNER_KNOWS_US,
 *   whatever connections there are.
 * Checked as well: each process knows what it must know; the zones that it holds evacuated are
 * those of the log at its version; and in the end servers are open or closed as the log says.
 */
#ifndef GG_TEST_EVACUATION_WORLD_H
#define GG_TEST_EVACUATION_WORLD_H

#include "node_config.h"
#include "node_config_relay.h"
#include "node_evacuations.h"
#include "session_world.h"

enum {
	ZONES = 3,
	NO_ZONE = ZONES, /* of a record of another key */
	EVACUATE_US = 5000000,
	/* A read that gets no answer fails after at most 1,400 ms, and the next one starts up to
	 * 250 ms later. */
	READ_US = 2000000,
	/* A poll that fails after 1,400 ms, the interval of 1,000 ms after the last answer of an
	 * agent, and three agents asked at 300 ms of which the store refuses two. */
	RELAY_US = 4000000,
	/* What a connection holds back arrives up to 300 ms after the end of a cut. */
	PASS_US = 500000,
	PASS_TICKS = PASS_US / LINK_TICK_US,
	/* The silence timeout, after which an agent gives up the starts that wait, with the drift
	 * of the clocks and some ticks. */
	OWNER_KNOWS_US = SIMULATION_OWNER_TIMEOUT_US + 125000,
	STORE_DELAY_US = 4000,	     /* longest way of a request or an answer */
	LATE_ANSWER_US = 1600000,    /* some are later than the limit of a poll */
	NEWEST_TIMEOUT_US = 1000000, /* as in store.c */
	CONFIG_APPLY_MS = 2000,	     /* as the default of limits.config_apply_ms */
	SIDES = 2,		     /* AT_ENTRY and AT_AGENT */
	MAX_PROCESSES = MAX(MAX_ENTRIES, MAX_SERVERS)
};

static const char zone_names[ZONES][NAME_BYTES] = {"zone-0", "zone-1", "zone-2"};
static const char config_text[] = "{\"version\":1,\"routes\":[]}";

struct operator_record {
	int64_t at_us;
	uint32_t zone; /* NO_ZONE: the configuration */
	bool evacuated;
};

/* The store as one process reaches it. Defined in place of that of store.c. */
struct store {
	struct evacuation_world *evacuation;
	enum side side;
	uint32_t index;
	int64_t refused_until_us;
	int64_t late_until_us;
};

struct store_call {
	struct store *store;
	uint32_t incarnation; /* of the process */
	bool newest;
	uint64_t from;
	uint64_t end; /* of the log when the store read it */
	enum status status;
	store_callback callback;
	void *context;
	bool waits; /* at the store, for a record */
	bool done;
};

/* How far a process must know the log. Times are those since which a condition holds, or -1. */
struct process_view {
	uint64_t must_know;		      /* the records before this offset */
	uint64_t had_to_know[PASS_TICKS];     /* at the last ticks */
	int64_t store_since_us;		      /* the store answers it */
	int64_t relay_since_us[MAX_SERVERS];  /* it may have this agent read */
	int64_t linked_since_us[MAX_ENTRIES]; /* it hears this entry */
	int64_t zone_known_us[ZONES];	      /* it holds the zone evacuated */
	uint64_t version, set_changes;	      /* when the zones were last compared */
};

struct evacuation_world {
	struct world *world;
	GArray *records;  /* struct operator_record, by offset */
	uint64_t first;	  /* offset of the first record that is not dropped */
	GPtrArray *calls; /* struct store_call *, until the end of the history */
	GPtrArray *news;  /* struct news *, likewise */
	struct store stores[SIDES][MAX_PROCESSES];
	struct process_view views[SIDES][MAX_PROCESSES];
	struct node_config_relay relays[MAX_SERVERS];
	uint32_t server_zones[MAX_SERVERS];	      /* as the servers name them */
	uint32_t agent_zones[MAX_SERVERS];	      /* in the settings of the agents */
	uint64_t news_sent[MAX_ENTRIES][MAX_ENTRIES]; /* version, by sender and receiver */
	uint32_t ticks;
	const char *broken;
	int64_t last_start_us[MAX_SERVERS];
	/* For the power of the checks. */
	uint32_t late_starts; /* EVACUATE_US after the record, by agents that need not know it */
	uint32_t returned_starts; /* in zones that were taken back */
};

static inline struct evacuation_world *evacuation_of(struct world *world)
{
	return world->hook_context;
}

static inline void break_history(struct evacuation_world *evacuation, const char *reason,
				 enum side side, uint32_t index)
{
	struct simulation *sim = &evacuation->world->sim;

	if (sim->trace)
		g_test_message("%8.3f ms  %s %u: BROKEN: %s", (double)sim->now_us / US_PER_MS,
			       side == AT_AGENT ? "agent" : "entry", index, reason);
	if (!evacuation->broken)
		evacuation->broken = reason;
}

static inline struct simulation_process *process_at(struct simulation *sim, enum side side,
						    uint32_t index)
{
	return side == AT_AGENT ? &sim->agents[index].process : &sim->entries[index].process;
}

static inline bool is_up(const struct simulation *sim, enum side side, uint32_t index)
{
	return side == AT_AGENT ? sim->agents[index].up : sim->entries[index].up;
}

static inline bool is_running(struct simulation *sim, enum side side, uint32_t index)
{
	return is_up(sim, side, index) && !simulation_frozen(sim, process_at(sim, side, index));
}

static inline struct evacuations *evacuations_at(struct world *world, enum side side,
						 uint32_t index)
{
	return side == AT_AGENT ? &world->owners[index].evacuations
				: &world->sim.entries[index].node.evacuations;
}

/* ---- the log ---- */

static inline const struct operator_record *record_at(const struct evacuation_world *evacuation,
						      uint64_t offset)
{
	return &g_array_index(evacuation->records, struct operator_record, (guint)offset);
}

/* Returns whether ZONE is evacuated by the records before END. */
static inline bool log_evacuates(const struct evacuation_world *evacuation, uint32_t zone,
				 uint64_t end)
{
	while (end-- > 0) {
		if (record_at(evacuation, end)->zone == zone)
			return record_at(evacuation, end)->evacuated;
	}
	return false;
}

/* Returns whether ZONE is evacuated now, and by which record since it last was not. */
static inline bool find_evacuation(const struct evacuation_world *evacuation, uint32_t zone,
				   uint64_t *offset)
{
	bool evacuated = false;

	for (uint64_t i = 0; i < evacuation->records->len; i++) {
		const struct operator_record *record = record_at(evacuation, i);

		if (record->zone != zone)
			continue;
		if (record->evacuated && !evacuated)
			*offset = i;
		evacuated = record->evacuated;
	}
	return evacuated;
}

/* Returns the end of the log at AT_US. */
static inline uint64_t log_end_at(const struct evacuation_world *evacuation, int64_t at_us)
{
	uint64_t end = evacuation->records->len;

	while (end > 0 && record_at(evacuation, end - 1)->at_us > at_us)
		end--;
	return end;
}

/* ---- the store ---- */

static inline void free_call(gpointer data)
{
	struct store_call *call = data;

	/* The contexts of all reads are plain memory, which their callbacks free. */
	if (!call->done)
		g_free(call->context);
	g_free(call);
}

static inline bool call_is_current(const struct store_call *call)
{
	const struct simulation *sim = &call->store->evacuation->world->sim;
	uint32_t index = call->store->index;

	if (call->done || !is_up(sim, call->store->side, index))
		return false;
	return call->incarnation == (call->store->side == AT_AGENT
					     ? sim->agents[index].incarnation
					     : sim->entries[index].incarnation);
}

/* Returns whether requests and answers arrive. The store is reached as the clients are. */
static inline bool store_reached(const struct store *store)
{
	const struct simulation *sim = &store->evacuation->world->sim;

	return store->side == AT_AGENT ||
	       sim->now_us >= sim->entries[store->index].unreachable_until_us;
}

static inline int64_t store_delay_us(const struct store *store)
{
	struct simulation *sim = &store->evacuation->world->sim;
	bool is_late = sim->now_us < store->late_until_us;

	return g_rand_int_range(sim->rand, 200, is_late ? LATE_ANSWER_US : STORE_DELAY_US);
}

static inline void add_record(GArray *records, const struct operator_record *record,
			      uint64_t offset, bool newest)
{
	struct store_record row = {.offset = newest ? 0 : offset};

	if (record->zone == NO_ZONE) {
		row.key = g_strdup(STORE_KEY_CONFIG);
		row.value = config_text;
	} else {
		row.key = g_strconcat(STORE_KEY_EVACUATE, zone_names[record->zone], NULL);
		row.value = record->evacuated ? "?" : NULL;
	}
	row.key_length = strlen(row.key);
	row.value_length = row.value ? strlen(row.value) : 0;
	g_array_append_val(records, row);
}

/* Collects what CALL reads of the log before call->end. */
static inline GArray *collect_records(const struct store_call *call)
{
	const struct evacuation_world *evacuation = call->store->evacuation;
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct store_record));
	bool listed[ZONES + 1] = {false};

	for (uint64_t i = call->newest ? 0 : call->from; i < call->end && !call->newest; i++)
		add_record(records, record_at(evacuation, i), i, false);
	for (uint64_t i = call->end; i-- > 0 && call->newest;) {
		const struct operator_record *record = record_at(evacuation, i);

		if (!listed[record->zone] && (record->zone == NO_ZONE || record->evacuated))
			add_record(records, record, i, true);
		listed[record->zone] = true;
	}
	return records;
}

static inline void end_call(struct store_call *call)
{
	GArray *records = call->status == STATUS_OK
				  ? collect_records(call)
				  : g_array_new(FALSE, FALSE, sizeof(struct store_record));
	const struct store_result result = {
		.status = call->status,
		.reason = call->status == STATUS_OK ? NULL : "simulated",
		.records = (const struct store_record *)(void *)records->data,
		.count = records->len,
		.next = call->status == STATUS_OK ? call->end : 0,
	};

	call->done = true;
	call->waits = false;
	update_clocks(call->store->evacuation->world);
	call->callback(call->context, &result);
	for (guint i = 0; i < records->len; i++)
		g_free((char *)g_array_index(records, struct store_record, i).key);
	g_array_free(records, TRUE);
}

static inline void on_call_answered(struct simulation *sim, void *data)
{
	struct store_call *call = data;

	if (!call_is_current(call) ||
	    simulation_postpone(sim, process_at(sim, call->store->side, call->store->index),
				on_call_answered, call))
		return;
	if (!store_reached(call->store))
		return;
	if (call->store->side == AT_ENTRY)
		hear(call->store->evacuation->world, call->store->index);
	end_call(call);
}

static inline void on_call_timeout(struct simulation *sim, void *data)
{
	struct store_call *call = data;

	if (!call_is_current(call) ||
	    simulation_postpone(sim, process_at(sim, call->store->side, call->store->index),
				on_call_timeout, call))
		return;
	call->status = STATUS_LOG_UNAVAILABLE;
	end_call(call);
}

static inline void answer_call(struct store_call *call, enum status status)
{
	struct simulation *sim = &call->store->evacuation->world->sim;

	call->waits = false;
	call->status = status;
	call->end = call->store->evacuation->records->len;
	simulation_schedule(sim, sim->now_us + store_delay_us(call->store), on_call_answered, call);
}

static inline void on_poll_wait_over(struct simulation *sim, void *data)
{
	struct store_call *call = data;

	if (call->waits && call_is_current(call))
		answer_call(call, STATUS_OK);
}

static inline void on_call_arrived(struct simulation *sim, void *data)
{
	struct store_call *call = data;
	const struct evacuation_world *evacuation = call->store->evacuation;
	uint64_t end = evacuation->records->len;

	if (!call_is_current(call) || !store_reached(call->store))
		return;
	if (sim->now_us < call->store->refused_until_us) {
		/* Some refused calls get no answer at all. */
		if (g_rand_boolean(sim->rand))
			answer_call(call, STATUS_LOG_UNAVAILABLE);
	} else if (!call->newest && (call->from < evacuation->first || call->from > end)) {
		answer_call(call, STATUS_LOG_TRUNCATED);
	} else if (call->newest || call->from < end) {
		answer_call(call, STATUS_OK);
	} else {
		call->waits = true;
	}
}

static inline struct store_call *start_call(struct store *store, store_callback callback,
					    void *context)
{
	struct simulation *sim = &store->evacuation->world->sim;
	struct store_call *call = g_new0(struct store_call, 1);

	*call = (struct store_call){
		.store = store,
		.incarnation = store->side == AT_AGENT ? sim->agents[store->index].incarnation
						       : sim->entries[store->index].incarnation,
		.callback = callback,
		.context = context,
	};
	g_ptr_array_add(store->evacuation->calls, call);
	return call;
}

/* In place of those of store.c. */
void store_read_newest(struct store *store, const char *topic, store_callback callback,
		       void *context)
{
	struct simulation *sim = &store->evacuation->world->sim;
	struct store_call *call = start_call(store, callback, context);

	call->newest = true;
	simulation_schedule(sim, sim->now_us + NEWEST_TIMEOUT_US, on_call_timeout, call);
	simulation_schedule(sim, sim->now_us + store_delay_us(store), on_call_arrived, call);
}

void store_read(struct store *store, const char *topic, uint64_t from, int64_t wait_ms,
		int64_t answer_ms, store_callback callback, void *context)
{
	struct simulation *sim = &store->evacuation->world->sim;
	struct store_call *call = start_call(store, callback, context);
	int64_t arrives_us = sim->now_us + store_delay_us(store);

	call->from = from;
	simulation_schedule(sim, sim->now_us + (wait_ms + answer_ms) * US_PER_MS, on_call_timeout,
			    call);
	simulation_schedule(sim, arrives_us, on_call_arrived, call);
	simulation_schedule(sim, arrives_us + wait_ms * US_PER_MS, on_poll_wait_over, call);
}

void store_append(struct store *store, const char *topic, const char *key, const char *value,
		  store_callback callback, void *context)
{
	g_assert_not_reached();
}

/* The store acknowledges a record of the operator. */
static inline void append_record(struct evacuation_world *evacuation, uint32_t zone, bool evacuated)
{
	struct simulation *sim = &evacuation->world->sim;
	const struct operator_record record = {
		.at_us = sim->now_us, .zone = zone, .evacuated = evacuated};

	if (sim->trace)
		g_test_message("%8.3f ms  record %u: %s %s", (double)sim->now_us / US_PER_MS,
			       evacuation->records->len,
			       zone == NO_ZONE ? "configuration" : zone_names[zone],
			       evacuated ? "evacuated" : "not evacuated");
	g_array_append_val(evacuation->records, record);
	for (guint i = 0; i < evacuation->calls->len; i++) {
		struct store_call *call = evacuation->calls->pdata[i];

		/* A refused poll gets no answer. */
		if (call->waits && call_is_current(call) &&
		    sim->now_us >= call->store->refused_until_us)
			answer_call(call, STATUS_OK);
	}
}

/* ---- entries ---- */

static inline void on_config_applied(void *context, const struct route_table *table)
{
}

static inline void on_store_recovered(void *context)
{
}

static inline void on_entry_read(void *context)
{
	node_agent_links_evacuations_changed(context);
}

static inline void forget_view(struct process_view *view)
{
	*view = (struct process_view){.store_since_us = -1};
	for (uint32_t i = 0; i < MAX_SERVERS; i++)
		view->relay_since_us[i] = -1;
	for (uint32_t i = 0; i < MAX_ENTRIES; i++)
		view->linked_since_us[i] = -1;
	for (uint32_t i = 0; i < ZONES; i++)
		view->zone_known_us[i] = -1;
}

static inline void on_entry_started(struct world *world, uint32_t index)
{
	struct evacuation_world *evacuation = evacuation_of(world);
	struct node_entry *node = &world->sim.entries[index].node;

	forget_view(&evacuation->views[AT_ENTRY][index]);
	for (uint32_t i = 0; i < world->sim.entry_count; i++)
		evacuation->news_sent[index][i] = evacuation->news_sent[i][index] = 0;
	timer_init(&node->loop.timers);
	node->config_relay = (struct config_relay){.apply_limit_us = CONFIG_APPLY_MS * US_PER_MS};
	node->config_relay_agent = 0;
	node->config = (struct node_config){
		.loop = &node->loop,
		.store = &evacuation->stores[AT_ENTRY][index],
		.apply_limit_ms = CONFIG_APPLY_MS,
		.evacuations = &node->evacuations,
		.applied = on_config_applied,
		.evacuations_read = on_entry_read,
		.store_recovered = on_store_recovered,
		.context = node,
	};
	node_config_read_newest(&node->config);
}

static inline void on_entry_ends(struct world *world, uint32_t index)
{
	struct node_entry *node = &world->sim.entries[index].node;

	timer_free(&node->loop.timers);
	route_table_free(node->config.table);
	if (node->config.document)
		g_bytes_unref(node->config.document);
	node->config = (struct node_config){0};
}

/* A state of an entry that is on its way to another one. */
struct news {
	uint32_t from, to;
	uint32_t from_incarnation, to_incarnation;
	uint8_t *bytes; /* Ggd__PeerState */
	size_t length;
	bool has_config;
};

static inline void free_news(gpointer data)
{
	g_free(((struct news *)data)->bytes);
	g_free(data);
}

static inline void on_news(struct simulation *sim, void *data)
{
	struct news *news = data;
	struct evacuation_world *evacuation = evacuation_of(world_of(sim));
	struct simulation_entry *entry = &sim->entries[news->to];

	if (simulation_postpone(sim, &entry->process, on_news, news))
		return;
	update_clocks(world_of(sim));
	if (entry->up && entry->incarnation == news->to_incarnation &&
	    sim->entries[news->from].incarnation == news->from_incarnation) {
		struct node_entry *node = &entry->node;
		Ggd__PeerState *state = ggd__peer_state__unpack(NULL, news->length, news->bytes);

		if (!peer_reaches(world_of(sim), news->from, news->to))
			evacuation->news_sent[news->from][news->to] = 0;
		/* As receive_evacuations in node_peers.c, before the configuration. */
		else if (node_evacuations_receive(&node->evacuations, state->evacuations, "peer"))
			node_agent_links_evacuations_changed(node);
		if (news->has_config && peer_reaches(world_of(sim), news->from, news->to))
			node_config_apply(&node->config, config_text, strlen(config_text), "peer");
		ggd__peer_state__free_unpacked(state, NULL);
	}
}

/* As is_state_due in node_peers.c, to an entry that hears this one. */
static inline void send_news(struct evacuation_world *evacuation, uint32_t from, uint32_t to)
{
	struct simulation *sim = &evacuation->world->sim;
	struct node_entry *node = &sim->entries[from].node;
	Ggd__PeerState state = GGD__PEER_STATE__INIT;
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;
	struct news *news;

	if (!evacuation->world->peers[to][from].up) {
		evacuation->news_sent[from][to] = 0;
		return;
	}
	if (!runs_entry(sim, from) || node->evacuations.version == evacuation->news_sent[from][to])
		return;
	evacuation->news_sent[from][to] = node->evacuations.version;
	node_evacuations_fill(&node->evacuations, &evacuations);
	state.evacuations = &evacuations;
	news = g_new0(struct news, 1);
	*news = (struct news){
		.from = from,
		.to = to,
		.from_incarnation = sim->entries[from].incarnation,
		.to_incarnation = sim->entries[to].incarnation,
		.length = ggd__peer_state__get_packed_size(&state),
		.has_config = node_config_version(&node->config) > 0,
	};
	g_ptr_array_add(evacuation->news, news);
	news->bytes = g_malloc(news->length);
	ggd__peer_state__pack(&state, news->bytes);
	simulation_schedule(sim,
			    sim->now_us + g_rand_int_range(sim->rand, MIN_DELAY_US, MAX_DELAY_US),
			    on_news, news);
}

/* An entry answers clients once it has a configuration. */
static inline bool entry_accepts(struct simulation *sim, uint32_t index)
{
	return node_config_version(&sim->entries[index].node.config) > 0;
}

/* ---- agents ---- */

static inline void on_agent_read(void *context)
{
	const struct simulation_agent *agent = context;

	owners_update_evacuated(&world_of(agent->sim)->owners[agent->index]);
}

static inline void on_relay_answer(void *context, uint32_t entry, uint64_t version,
				   const char *document, size_t length)
{
	const struct simulation_agent *agent = context;

	owners_send_config(&world_of(agent->sim)->owners[agent->index], entry, version, document,
			   length);
}

static inline void on_config_requested(struct world *world, uint32_t server, uint32_t owner,
				       uint64_t version)
{
	node_config_relay_read(&evacuation_of(world)->relays[server], owner, version);
}

/* Returns since when the entry that ordered RUN has held ZONE evacuated, or -1. */
static inline int64_t owner_knows_since_us(const struct evacuation_world *evacuation,
					   uint32_t server, const struct run *run, uint32_t zone)
{
	struct world *world = evacuation->world;
	const struct owner *owner = owners_find(&world->owners[server], run->owner);

	for (uint32_t i = 0; owner && i < world->sim.entry_count; i++) {
		if (world->sim.entries[i].up &&
		    ident_equal(&owner->incarnation, &world->entry_incarnations[i]))
			return evacuation->views[AT_ENTRY][i].zone_known_us[zone];
	}
	return -1;
}

static inline void check_start(struct evacuation_world *evacuation, uint32_t server,
			       const struct run *run, uint32_t zone)
{
	struct world *world = evacuation->world;
	int64_t now_us = world->sim.now_us;
	const struct process_view *view = &evacuation->views[AT_AGENT][server];
	int64_t known_us = owner_knows_since_us(evacuation, server, run, zone);
	uint64_t offset = 0;
	int64_t since_us;

	if (!find_evacuation(evacuation, zone, &offset))
		return;
	since_us = record_at(evacuation, offset)->at_us;
	if (evacuations_contains(&world->owners[server].evacuations, zone_names[zone]))
		break_history(evacuation, "an agent that knows of an evacuation starts a task",
			      AT_AGENT, server);
	if (known_us >= 0 && now_us - MAX(known_us, since_us) > OWNER_KNOWS_US)
		break_history(evacuation, "a task starts for an entry that knows of an evacuation",
			      AT_AGENT, server);
	if (now_us - since_us <= EVACUATE_US)
		return;
	if (view->must_know > offset)
		break_history(evacuation, "a task starts in an evacuated zone", AT_AGENT, server);
	else
		evacuation->late_starts++;
}

static inline void order_checked_start(void *context, struct handle handle)
{
	struct simulation_agent *agent = context;
	struct evacuation_world *evacuation = evacuation_of(world_of(agent->sim));
	const struct run *run = table_get(&agent->backend.runs.table, handle);
	uint32_t zone = evacuation->server_zones[agent->index];
	uint32_t agent_zone = evacuation->agent_zones[agent->index];

	check_start(evacuation, agent->index, run, zone);
	if (agent_zone != zone)
		check_start(evacuation, agent->index, run, agent_zone);
	evacuation->last_start_us[agent->index] = agent->sim->now_us;
	for (guint i = evacuation->records->len; i-- > 0;) {
		if (record_at(evacuation, i)->zone != zone)
			continue;
		evacuation->returned_starts += !record_at(evacuation, i)->evacuated;
		break;
	}
	simulation_request_start(context, handle);
}

static inline void on_agent_started(struct world *world, uint32_t index)
{
	struct evacuation_world *evacuation = evacuation_of(world);
	struct simulation_agent *agent = &world->sim.agents[index];

	forget_view(&evacuation->views[AT_AGENT][index]);
	world->owners[index].zone = zone_names[evacuation->agent_zones[index]];
	g_strlcpy(agent->backend.presence.identity.zone,
		  zone_names[evacuation->server_zones[index]], NAME_BYTES);
	agent->backend.runs.callbacks.order_start = order_checked_start;
	evacuation->relays[index] = (struct node_config_relay){
		.store = &evacuation->stores[AT_AGENT][index],
		.evacuations = &world->owners[index].evacuations,
		.evacuations_read = on_agent_read,
		.answer = on_relay_answer,
		.context = agent,
	};
}

/* ---- what processes must know ---- */

static inline bool store_answers(const struct store *store)
{
	int64_t now_us = store->evacuation->world->sim.now_us;

	return now_us >= store->refused_until_us && now_us >= store->late_until_us &&
	       store_reached(store);
}

static inline void follow(int64_t *since_us, bool holds, int64_t now_us)
{
	if (!holds)
		*since_us = -1;
	else if (*since_us < 0)
		*since_us = now_us;
}

static inline bool holds_for(int64_t since_us, int64_t time_us, int64_t now_us)
{
	return since_us >= 0 && now_us - since_us >= time_us;
}

/* Returns whether what an entry sends arrives at an agent, over a link that both ends use. */
static inline bool is_linked(const struct world *world, uint32_t entry, uint32_t server)
{
	const struct path *path = &world->paths[entry][server];
	const struct node_link *link = path->link;

	return link && link->up && !link->closed && link->peer->up && !link->peer->closed &&
	       world->sim.now_us >= path->cut_until_us[AT_ENTRY];
}

/* Returns whether an agent's answers arrive at an entry as well. */
static inline bool may_relay(struct evacuation_world *evacuation, uint32_t entry, uint32_t server)
{
	struct world *world = evacuation->world;

	return is_linked(world, entry, server) &&
	       world->sim.now_us >= world->paths[entry][server].cut_until_us[AT_AGENT] &&
	       is_running(&world->sim, AT_AGENT, server) &&
	       store_answers(&evacuation->stores[AT_AGENT][server]);
}

/* Returns whether the messages of an entry arrive at a process. */
static inline bool hears_entry(struct world *world, enum side side, uint32_t index, uint32_t entry)
{
	if (!runs_entry(&world->sim, entry) || (side == AT_ENTRY && index == entry))
		return false;
	return side == AT_AGENT
		       ? is_linked(world, entry, index)
		       : world->peers[index][entry].up && peer_reaches(world, entry, index);
}

static inline void follow_entry_reads(struct evacuation_world *evacuation, uint32_t index,
				      bool running)
{
	struct process_view *view = &evacuation->views[AT_ENTRY][index];
	const struct store *store = &evacuation->stores[AT_ENTRY][index];
	int64_t now_us = evacuation->world->sim.now_us;

	follow(&view->store_since_us, running && store_answers(store), now_us);
	if (holds_for(view->store_since_us, READ_US, now_us))
		view->must_know = MAX(view->must_know, log_end_at(evacuation, now_us - READ_US));
	for (uint32_t i = 0; i < evacuation->world->sim.server_count; i++) {
		follow(&view->relay_since_us[i], running && may_relay(evacuation, index, i),
		       now_us);
		if (holds_for(view->relay_since_us[i], RELAY_US, now_us))
			view->must_know =
				MAX(view->must_know, log_end_at(evacuation, now_us - RELAY_US));
	}
}

static inline void follow_process(struct evacuation_world *evacuation, enum side side,
				  uint32_t index)
{
	struct world *world = evacuation->world;
	struct process_view *view = &evacuation->views[side][index];
	bool running = is_running(&world->sim, side, index);
	int64_t now_us = world->sim.now_us;
	uint32_t oldest = evacuation->ticks % PASS_TICKS;

	if (side == AT_ENTRY)
		follow_entry_reads(evacuation, index, running);
	for (uint32_t i = 0; i < world->sim.entry_count; i++) {
		follow(&view->linked_since_us[i], running && hears_entry(world, side, index, i),
		       now_us);
		if (holds_for(view->linked_since_us[i], PASS_US, now_us))
			view->must_know = MAX(view->must_know,
					      evacuation->views[AT_ENTRY][i].had_to_know[oldest]);
	}
	if (running && evacuations_at(world, side, index)->version < view->must_know)
		break_history(evacuation, "a process in touch does not know a record", side, index);
}

static inline void follow_processes(struct evacuation_world *evacuation)
{
	const struct simulation *sim = &evacuation->world->sim;

	for (uint32_t i = 0; i < sim->entry_count; i++)
		follow_process(evacuation, AT_ENTRY, i);
	for (uint32_t i = 0; i < sim->server_count; i++)
		follow_process(evacuation, AT_AGENT, i);
	for (uint32_t i = 0; i < sim->entry_count; i++) {
		struct process_view *view = &evacuation->views[AT_ENTRY][i];

		view->had_to_know[evacuation->ticks % PASS_TICKS] = view->must_know;
	}
	evacuation->ticks++;
}

static inline void on_tick(struct world *world)
{
	struct evacuation_world *evacuation = evacuation_of(world);

	for (uint32_t i = 0; i < world->sim.entry_count; i++) {
		struct node_entry *node = &world->sim.entries[i].node;

		for (uint32_t j = 0; j < world->sim.entry_count; j++) {
			if (i != j)
				send_news(evacuation, i, j);
		}
		if (!runs_entry(&world->sim, i))
			continue;
		timer_run(&node->loop.timers, node->loop.now_us);
		/* As tick_peers in node_entry.c. */
		if (node->config.store_unavailable || node_config_version(&node->config) == 0)
			node_agent_links_request_config(node, node->loop.now_us);
	}
	follow_processes(evacuation);
}

/* ---- what processes know ---- */

static inline void check_zones(struct evacuation_world *evacuation, enum side side, uint32_t index)
{
	struct world *world = evacuation->world;
	const struct evacuations *evacuations = evacuations_at(world, side, index);
	struct process_view *view = &evacuation->views[side][index];

	if (evacuations->version == view->version && evacuations->set_changes == view->set_changes)
		return;
	view->version = evacuations->version;
	view->set_changes = evacuations->set_changes;
	for (uint32_t i = 0; i < ZONES; i++) {
		bool known = evacuations_contains(evacuations, zone_names[i]);

		follow(&view->zone_known_us[i], known, world->sim.now_us);
		if (known != log_evacuates(evacuation, i, evacuations->version))
			break_history(evacuation, "the zones are not those of the log", side,
				      index);
	}
}

/* Called after each event, when the processes have sent what they have to say. */
static inline void on_exchanged(struct world *world)
{
	struct evacuation_world *evacuation = evacuation_of(world);

	for (uint32_t i = 0; i < world->sim.entry_count; i++) {
		if (world->sim.entries[i].up)
			check_zones(evacuation, AT_ENTRY, i);
	}
	for (uint32_t i = 0; i < world->sim.server_count; i++) {
		if (world->sim.agents[i].up)
			check_zones(evacuation, AT_AGENT, i);
	}
}

/* ---- the end of a history ---- */

/* Returns whether a server is closed by the whole log. */
static inline bool server_evacuated(const struct evacuation_world *evacuation, uint32_t server)
{
	uint64_t end = evacuation->records->len;

	return log_evacuates(evacuation, evacuation->server_zones[server], end) ||
	       log_evacuates(evacuation, evacuation->agent_zones[server], end);
}

/* Returns when the last record of a zone of a server was written, or 0. */
static inline int64_t last_record_us(const struct evacuation_world *evacuation, uint32_t server)
{
	for (uint64_t i = evacuation->records->len; i-- > 0;) {
		const struct operator_record *record = record_at(evacuation, i);

		if (record->zone == evacuation->server_zones[server] ||
		    record->zone == evacuation->agent_zones[server])
			return record->at_us;
	}
	return 0;
}

/* Returns whether a process must know the whole log. */
static inline bool must_know_all(struct evacuation_world *evacuation, enum side side,
				 uint32_t index)
{
	return is_running(&evacuation->world->sim, side, index) &&
	       evacuation->views[side][index].must_know == evacuation->records->len;
}

struct server_check {
	struct evacuation_world *evacuation;
	uint32_t entry;
};

static inline void check_listed_server(void *context, const struct agent_state *agent)
{
	const struct server_check *check = context;
	struct evacuation_world *evacuation = check->evacuation;
	struct node_entry *node = &evacuation->world->sim.entries[check->entry].node;
	const struct fleet_server *server = fleet_get(&node->dispatch.fleet, agent->server);
	uint32_t index = (uint32_t)strtoul(agent->name + strlen("agent-"), NULL, 10);

	if (agent->lost_us != 0 || !server || !must_know_all(evacuation, AT_AGENT, index) ||
	    !holds_for(evacuation->views[AT_AGENT][index].linked_since_us[check->entry], PASS_US,
		       evacuation->world->sim.now_us))
		return;
	if (server->evacuated != server_evacuated(evacuation, index))
		break_history(evacuation, "an entry does not place tasks as the log says", AT_ENTRY,
			      check->entry);
}

/* Compares the servers with the log. Returns how many agents must know all of it. */
static inline uint32_t check_servers(struct evacuation_world *evacuation)
{
	const struct simulation *sim = &evacuation->world->sim;
	uint32_t count = 0;

	for (uint32_t i = 0; i < sim->server_count; i++) {
		if (!must_know_all(evacuation, AT_AGENT, i))
			continue;
		count++;
		if (sim->agents[i].backend.runs.evacuated != server_evacuated(evacuation, i))
			break_history(evacuation, "a server is not open or closed as the log says",
				      AT_AGENT, i);
	}
	for (uint32_t i = 0; i < sim->entry_count; i++) {
		struct server_check check = {.evacuation = evacuation, .entry = i};

		if (must_know_all(evacuation, AT_ENTRY, i))
			node_agent_links_foreach(&sim->entries[i].node, check_listed_server,
						 &check);
	}
	return count;
}

/* ---- */

static const struct world_hooks evacuation_hooks = {
	.entry_started = on_entry_started,
	.entry_ends = on_entry_ends,
	.agent_started = on_agent_started,
	.config_requested = on_config_requested,
	.tick = on_tick,
	.exchanged = on_exchanged,
};

/* Adds an empty log, but for a configuration, to WORLD, which is to be started. The caller sets the
 * zones. */
static inline struct evacuation_world *add_evacuations(struct world *world)
{
	struct evacuation_world *evacuation = g_new0(struct evacuation_world, 1);
	const struct operator_record config = {.zone = NO_ZONE};

	evacuation->world = world;
	evacuation->records = g_array_new(FALSE, FALSE, sizeof(struct operator_record));
	g_array_append_val(evacuation->records, config);
	evacuation->calls = g_ptr_array_new_with_free_func(free_call);
	evacuation->news = g_ptr_array_new_with_free_func(free_news);
	for (uint32_t i = 0; i < MAX_PROCESSES; i++) {
		for (int side = 0; side < SIDES; side++)
			evacuation->stores[side][i] = (struct store){
				.evacuation = evacuation, .side = (enum side)side, .index = i};
	}
	world->hooks = &evacuation_hooks;
	world->hook_context = evacuation;
	return evacuation;
}

/* Frees the log after the world was freed. */
static inline void free_evacuations(struct evacuation_world *evacuation)
{
	g_array_free(evacuation->records, TRUE);
	g_ptr_array_free(evacuation->calls, TRUE);
	g_ptr_array_free(evacuation->news, TRUE);
	g_free(evacuation);
}

#endif
