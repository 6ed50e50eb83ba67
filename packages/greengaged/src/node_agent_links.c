#include "node_agent_links.h"

#include <string.h>

#include "event.h"
#include "node_evacuations.h"
#include "node_run_records.h"

enum {
	PERMILLE = 1000,
	/* Added to urgent_within_us, which may be negative, because the field in the message is
	 * unsigned. Only the order of the values matters. */
	URGENT_OFFSET_MS = 60000
};

static const double min_speed = 0.001; /* lower bound, because speeds are used as divisors */

/* State of one agent process. It is kept after a disconnect, so that the process can resume its
 * runs. */
struct agent_peer {
	struct node_entry *entry;
	struct ident incarnation;
	char name[NAME_BYTES];
	struct node_link *link;	     /* NULL while disconnected */
	int64_t lost_us;	     /* when it was last heard, if it was lost in silence; else 0 */
	uint64_t first_link_number;  /* later processes have higher ones */
	uint64_t last_link_number;   /* highest number of its links */
	int64_t connected_us;	     /* when the link was registered */
	struct handle server;	     /* its backend server in the dispatcher */
	bool has_server;	     /* `server` has been set in this session */
	char server_id[NAME_BYTES];  /* of its backend server, or empty */
	uint32_t session;	     /* of the last report; 0 before the first */
	bool awaiting_inventory;     /* no inventory has arrived on this connection yet */
	bool session_unconfirmed;    /* the agent was not told that its inventory has arrived */
	uint64_t last_orders_number; /* number of the last Orders message with starts on this
					connection */
	uint64_t last_report_number; /* highest number of the reports handled in this session */
	uint64_t evacuations_sent;   /* version last sent on this connection; 0 before */
	bool reported_evacuated;     /* the agent has reported that it accepts no starts */
	guint members_sent;	     /* number of entry addresses sent on this connection */
	uint32_t service_servers;    /* connected servers of its service; 0: not counted yet */
	uint32_t service_servers_sent; /* last value sent on this connection */
	bool abandon;		       /* order it to stop all runs as those of a lost entry */
	GPtrArray *starts; /* struct run_order *, copies of the starts queued in this turn */
	GArray *stops;	   /* uint64_t, runs to stop, queued in this turn */
	/* Handle under which the server was known before the agent dropped this entry, until the
	 * runs of that time are settled. A zero handle if none. */
	struct handle former_server;
	bool has_namesakes; /* other processes with its name were known when it was last checked */
	/* A later process with its name was known when it disconnected, so it may not have ended.
	 */
	bool was_overlapped;
	int64_t disconnected_us;   /* the end of its last connection on which it was served */
	bool config_requested;	   /* on this connection, and not answered yet */
	struct hold_source *holds; /* the tasks that it holds */
};

static void free_order(gpointer data)
{
	struct run_order *order = data;

	g_bytes_unref(order->spec);
	g_free((char *)order->job);
	g_free(order);
}

static void remove_agent(struct node_entry *entry, struct agent_peer *agent)
{
	task_holds_remove_source(&entry->dispatch.holds, agent->holds);
	entry->agent_holds_changes++;
	dispatch_holds_changed(&entry->dispatch);
	g_ptr_array_remove_fast(entry->agents, agent);
	g_ptr_array_free(agent->starts, TRUE);
	g_array_free(agent->stops, TRUE);
	g_free(agent);
}

static struct agent_peer *find_or_add_agent(struct node_entry *entry, const Ggd__Hello *hello,
					    uint64_t link_number)
{
	struct agent_peer *agent;

	for (guint i = 0; i < entry->agents->len; i++) {
		agent = entry->agents->pdata[i];
		if (memcmp(agent->incarnation.bytes, hello->incarnation.data, IDENT_BYTES) == 0)
			return agent;
	}
	agent = g_new0(struct agent_peer, 1);
	agent->entry = entry;
	agent->first_link_number = link_number;
	memcpy(agent->incarnation.bytes, hello->incarnation.data, IDENT_BYTES);
	g_strlcpy(agent->name, hello->name, sizeof(agent->name));
	agent->starts = g_ptr_array_new_with_free_func(free_order);
	agent->stops = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	agent->holds = task_holds_add_source(&entry->dispatch.holds);
	for (guint i = 0; i < entry->agents->len; i++) {
		struct agent_peer *other = entry->agents->pdata[i];

		if (strcmp(other->name, agent->name) == 0)
			agent->has_namesakes = other->has_namesakes = true;
	}
	g_ptr_array_add(entry->agents, agent);
	return agent;
}

/* Excludes the backend server of AGENT while its zone is evacuated, as this entry or the agent
 * knows. */
static void update_evacuated(struct agent_peer *agent)
{
	struct node_entry *entry = agent->entry;
	const struct fleet_server *server = fleet_get(&entry->dispatch.fleet, agent->server);

	if (!agent->has_server || !server)
		return;
	dispatch_server_evacuated(&entry->dispatch, agent->server,
				  agent->reported_evacuated ||
					  evacuations_contains(&entry->evacuations, server->zone));
}

void node_agent_links_evacuations_changed(struct node_entry *entry)
{
	for (guint i = 0; i < entry->agents->len; i++)
		update_evacuated(entry->agents->pdata[i]);
}

static void update_server(struct agent_peer *agent, const Ggd__Server *server)
{
	struct fleet_server *fleet_server = fleet_get(&agent->entry->dispatch.fleet, agent->server);

	g_strlcpy(fleet_server->id, server->id, sizeof(fleet_server->id));
	g_strlcpy(agent->server_id, server->id, sizeof(agent->server_id));
	g_strlcpy(fleet_server->service, server->service, sizeof(fleet_server->service));
	g_strlcpy(fleet_server->zone, server->zone, sizeof(fleet_server->zone));
	fleet_server->total = (struct resources){
		.cpu = server->cpu, .memory_mb = server->memory_mb, .gpus = server->gpus};
}

/* Returns whether SERVER is known and is another process than the backend server of AGENT. */
static bool is_elsewhere(const struct agent_peer *agent, struct handle server)
{
	const struct fleet *fleet = &agent->entry->dispatch.fleet;
	const struct fleet_server *former = fleet_get(fleet, server);

	return former && strcmp(former->id, fleet_get(fleet, agent->server)->id) != 0;
}

/* Settles the runs of PREDECESSOR, a disconnected earlier process with the agent's name, once the
 * agent is known to serve the same process of the backend server. Beside another one, the agent has
 * not seen these runs. Returns whether the predecessor was removed. */
static bool settle_predecessor(struct agent_peer *agent, struct agent_peer *predecessor,
			       int64_t now_us)
{
	struct dispatch *dispatch = &agent->entry->dispatch;

	if (is_elsewhere(agent, predecessor->server) ||
	    is_elsewhere(agent, predecessor->former_server))
		return false;
	/* A process that has not ended needs this time to give up its runs. */
	if (predecessor->was_overlapped &&
	    now_us <= predecessor->disconnected_us + dispatch->limits.settle_timeout_us)
		return false;
	dispatch_server_settled(dispatch, predecessor->server, now_us);
	dispatch_server_settled(dispatch, predecessor->former_server, now_us);
	remove_agent(agent->entry, predecessor);
	return true;
}

/* Settles the earlier processes with the agent's name. */
static void settle_predecessors(struct agent_peer *agent, int64_t now_us)
{
	const struct node_entry *entry = agent->entry;

	if (!agent->has_namesakes)
		return;
	agent->has_namesakes = false;
	for (guint i = entry->agents->len; i-- > 0;) {
		struct agent_peer *other = entry->agents->pdata[i];

		if (other == agent || strcmp(other->name, agent->name) != 0)
			continue;
		if (other->link || other->first_link_number > agent->first_link_number ||
		    !settle_predecessor(agent, other, now_us))
			agent->has_namesakes = true;
	}
}

/* Settles the agent's former server and those of its predecessors once the agent reports no
 * unsettled runs. By then the agent has stopped all runs that this entry had ordered from it or
 * from its predecessors at the same server. */
static void settle_former_servers(struct agent_peer *agent, const Ggd__Room *room, int64_t now_us)
{
	if (room->unsettled > 0)
		return;
	dispatch_server_settled(&agent->entry->dispatch, agent->former_server, now_us);
	agent->former_server = (struct handle){0};
	settle_predecessors(agent, now_us);
	if (task_holds_agent_settled(&agent->entry->dispatch.holds, agent->name,
				     &agent->incarnation, agent->server_id, agent->connected_us)) {
		agent->entry->agent_holds_changes++;
		dispatch_holds_changed(&agent->entry->dispatch);
	}
}

/* Begins a session in which the agent knows none of the runs that were ordered before. */
static void begin_session(struct agent_peer *agent, uint32_t session)
{
	if (agent->has_server) {
		event_log(EVENT_SESSION_REPLACED, EV_S("agent", agent->name),
			  EV_I("session", session));
		agent->former_server = agent->server;
	}
	agent->server = (struct handle){0};
	agent->has_server = false;
	agent->session = session;
	agent->last_report_number = 0;
}

/* Requests the agent to stop the runs that have been settled here without it. */
static void stop_settled_runs(struct agent_peer *agent, const Ggd__Inventory *inventory)
{
	for (size_t i = 0; i < inventory->n_runs; i++) {
		if (!dispatch_run_is_on(&agent->entry->dispatch, inventory->runs[i], agent->server))
			g_array_append_val(agent->stops, inventory->runs[i]);
	}
}

static void handle_inventory(struct agent_peer *agent, const Ggd__Inventory *inventory,
			     int64_t now_us)
{
	struct dispatch *dispatch = &agent->entry->dispatch;

	agent->awaiting_inventory = false;
	agent->session_unconfirmed = true;
	agent->last_report_number = inventory->last_report;
	if (agent->has_server && fleet_get(&dispatch->fleet, agent->server)) {
		dispatch_server_reconnected(dispatch, agent->server, agent, inventory->runs,
					    inventory->n_runs, now_us);
	} else {
		agent->server = dispatch_server_add(dispatch, agent);
		g_strlcpy(fleet_get(&dispatch->fleet, agent->server)->agent, agent->name,
			  NAME_BYTES);
		agent->has_server = true;
	}
	stop_settled_runs(agent, inventory);
}

static void handle_room(struct agent_peer *agent, const Ggd__Report *report, int64_t now_us)
{
	struct node_entry *entry = agent->entry;
	const Ggd__Room *room = report->room;
	struct fleet_server *fleet_server = fleet_get(&entry->dispatch.fleet, agent->server);
	bool was_ready = fleet_server->ready;
	struct fleet_report fleet_report = {
		.ready = room->ready && fleet_server->service[0] != '\0',
		.on_trial = room->suspect,
		.free = {.cpu = room->cpu, .memory_mb = room->memory_mb, .gpus = room->gpus},
		.speed = MAX((double)room->speed / PERMILLE, min_speed),
		.speed_known = room->samples > 0,
		.run_us = (int64_t)room->run_ms * US_PER_MS,
		.last_order_accounted = report->orders_ack,
		.settled_orders = report->settled_orders,
	};

	for (size_t i = 0; i < room->n_waiting_cpu && i < PRIORITY_LEVELS; i++)
		fleet_report.waiting_cpu[i] = room->waiting_cpu[i];
	agent->reported_evacuated = room->evacuated;
	update_evacuated(agent);
	dispatch_server_report(&entry->dispatch, agent->server, &fleet_report, now_us);
	if (was_ready != fleet_server->ready)
		event_log(EVENT_SERVER_STATE, EV_S("server", fleet_server->id),
			  EV_S("agent", agent->name),
			  EV_S("state", fleet_server->ready ? "ready" : "not_ready"),
			  EV_I("free_cpu", room->cpu), EV_I("speed_permille", room->speed));
}

/* Handles the reported end of a run. It is ignored if the outcome is invalid or the run is not at
 * this agent's server. */
static void handle_run_end(struct agent_peer *agent, const Ggd__RunEnd *end, int64_t now_us)
{
	struct dispatch *dispatch = &agent->entry->dispatch;
	enum run_outcome outcome = (enum run_outcome)end->outcome;

	if (end->outcome == 0 || end->outcome >= RUN_CRASHED ||
	    !dispatch_run_is_on(dispatch, end->run, agent->server))
		return;
	if (outcome == RUN_LOST && end->server_crashed)
		outcome = RUN_CRASHED;
	dispatch_run_ended(dispatch, end->run, outcome, (int64_t)end->elapsed_ms * US_PER_MS,
			   now_us);
}

/* Returns whether REPORT belongs to the agent's session, after beginning a later one that the first
 * report on a connection names, and does not leave out any report before it. Before the inventory,
 * it is unknown where the numbers of a session that has just begun stand. */
static bool is_in_session(struct agent_peer *agent, const Ggd__Report *report)
{
	if (agent->awaiting_inventory && report->session > agent->session)
		begin_session(agent, report->session);
	return report->session != 0 && report->session == agent->session &&
	       (!agent->has_server || report->number <= agent->last_report_number ||
		report->number - agent->last_report_number == 1);
}

static void handle_holds(struct agent_peer *agent, const Ggd__Holds *holds)
{
	struct dispatch *dispatch = &agent->entry->dispatch;
	const struct held_tasks tasks = {
		.runs = holds->runs,
		.run_count = holds->n_runs,
		.starts = holds->starts,
		.start_count = holds->n_starts,
	};

	task_holds_set_lost(agent->holds, 0);
	if (!task_holds_replace(&dispatch->holds, agent->holds, &tasks))
		return;
	agent->entry->agent_holds_changes++;
	dispatch_holds_changed(dispatch);
}

static void handle_report(struct agent_peer *agent, const Ggd__Report *report, int64_t now_us)
{
	struct dispatch *dispatch = &agent->entry->dispatch;

	if (!is_in_session(agent, report)) {
		node_link_fail(agent->link,
			       "the agent left out a report or sent one of another session");
		return;
	}
	/* A task whose run ends with this report may be held. */
	if (report->holds)
		handle_holds(agent, report->holds);
	/* The ends of a report that was sent again after a lost connection are handled only once.
	 */
	if (report->number == 0 || report->number > agent->last_report_number) {
		for (size_t i = 0; i < report->n_ends; i++)
			handle_run_end(agent, report->ends[i], now_us);
	}
	agent->last_report_number = MAX(agent->last_report_number, report->number);
	/* A second inventory on a connection is ignored: it would end the runs that were ordered
	 * on this connection. */
	if (report->inventory && agent->awaiting_inventory)
		handle_inventory(agent, report->inventory, now_us);
	if (agent->awaiting_inventory || !report->room)
		return;
	if (report->server)
		update_server(agent, report->server);
	handle_room(agent, report, now_us);
	for (size_t i = 0; i < report->n_late; i++) {
		if (dispatch_run_is_on(dispatch, report->late[i]->run, agent->server))
			dispatch_run_behind_estimate(
				dispatch, report->late[i]->run, report->late[i]->percent,
				(int64_t)report->late[i]->elapsed_ms * US_PER_MS, now_us);
	}
	settle_former_servers(agent, report->room, now_us);
	if (task_holds_agent_heard(&dispatch->holds, &agent->incarnation,
				   now_us - dispatch->limits.hold_timeout_us))
		dispatch_holds_changed(dispatch);
}

/* Handles the configuration that an agent has read for this entry. */
static void handle_config(struct agent_peer *agent, const Ggd__ConfigDocument *config)
{
	struct node_entry *entry = agent->entry;

	agent->config_requested = false;
	if (node_evacuations_receive(&entry->evacuations, config->evacuations, agent->name))
		node_agent_links_evacuations_changed(entry);
	if (config->version == 0)
		return;
	config_relay_answered(&entry->config_relay, entry->loop.now_us);
	if (config->version > node_config_version(&entry->config))
		node_config_apply(&entry->config, (const char *)config->document.data,
				  config->document.len, agent->name);
	if (config->version <= node_config_version(&entry->config))
		node_config_confirm(&entry->config);
}

static void on_frame(void *context, struct node_link *link, const Ggd__Frame *frame)
{
	struct agent_peer *agent = context;

	if (frame->body_case == GGD__FRAME__BODY_REPORT)
		handle_report(agent, frame->report, agent->entry->loop.now_us);
	else if (frame->body_case == GGD__FRAME__BODY_CONFIG && agent->config_requested)
		handle_config(agent, frame->config);
}

/* Fills BATCH, which must be initialized, with the consecutive orders for one job that begin at
 * FIRST. These differ only in run, index and attempt. Returns the number of orders taken. The
 * caller frees the arrays of the batch. */
static guint fill_batch(const GPtrArray *starts, guint first, Ggd__StartBatch *batch)
{
	const struct run_order *order = starts->pdata[first];
	guint count = 0;
	gsize length;

	batch->job = (char *)order->job;
	batch->step = order->step;
	batch->spec.data = (uint8_t *)g_bytes_get_data(order->spec, &length);
	batch->spec.len = length;
	batch->cpu = order->need.cpu;
	batch->memory_mb = order->need.memory_mb;
	batch->gpus = order->need.gpus;
	batch->start_within_ms = (uint32_t)(MAX(order->start_within_us, 0) / US_PER_MS);
	batch->urgent_within_ms =
		(uint32_t)(CLAMP(order->urgent_within_us + URGENT_OFFSET_MS * US_PER_MS, 0,
				 UINT32_MAX) /
			   US_PER_MS);
	batch->priority = order->priority;
	batch->estimate_ms = (uint32_t)(order->estimate_us / US_PER_MS);
	batch->runs = g_new(uint64_t, starts->len);
	batch->indexes = g_new(uint32_t, starts->len);
	batch->attempts = g_new(uint32_t, starts->len);
	while (first + count < starts->len) {
		const struct run_order *next = starts->pdata[first + count];

		if (strcmp(next->job, order->job) != 0)
			break;
		batch->runs[count] = next->run;
		batch->indexes[count] = next->index;
		batch->attempts[count] = next->attempt;
		count++;
	}
	batch->n_runs = batch->n_indexes = batch->n_attempts = count;
	return count;
}

/* Sends the queued starts and stops, which may be none, the acknowledgement of reports, new
 * addresses of entries, a changed number of servers and changed evacuated zones. */
static void send_orders(struct agent_peer *agent)
{
	struct node_entry *entry = agent->entry;
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__Orders orders = GGD__ORDERS__INIT;
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;
	Ggd__StartBatch *batches = g_new0(Ggd__StartBatch, agent->starts->len + 1);
	Ggd__StartBatch **pointers = g_new(Ggd__StartBatch *, agent->starts->len + 1);
	guint first = 0;

	while (first < agent->starts->len) {
		Ggd__StartBatch *batch = &batches[orders.n_starts];

		ggd__start_batch__init(batch);
		pointers[orders.n_starts++] = batch;
		first += fill_batch(agent->starts, first, batch);
	}
	if (agent->starts->len > 0)
		orders.number = ++agent->last_orders_number;
	orders.starts = pointers;
	orders.stops = (uint64_t *)(void *)agent->stops->data;
	orders.n_stops = agent->stops->len;
	if (!agent->awaiting_inventory) {
		orders.session = agent->session;
		orders.report_ack = agent->last_report_number;
	}
	agent->session_unconfirmed = false;
	orders.entries =
		node_members_unsent(&entry->members, &agent->members_sent, &orders.n_entries);
	orders.abandon = agent->abandon;
	agent->abandon = false;
	if (agent->service_servers != agent->service_servers_sent)
		orders.service_servers = agent->service_servers;
	agent->service_servers_sent = agent->service_servers;
	if (agent->evacuations_sent != entry->evacuations.version) {
		node_evacuations_fill(&entry->evacuations, &evacuations);
		orders.evacuations = &evacuations;
		agent->evacuations_sent = entry->evacuations.version;
	}
	frame.body_case = GGD__FRAME__BODY_ORDERS;
	frame.orders = &orders;
	node_link_send(agent->link, &frame);
	for (size_t i = 0; i < orders.n_starts; i++) {
		g_free(batches[i].runs);
		g_free(batches[i].indexes);
		g_free(batches[i].attempts);
	}
	g_free(batches);
	g_free(pointers);
	g_ptr_array_set_size(agent->starts, 0);
	g_array_set_size(agent->stops, 0);
}

static void on_heartbeat(void *context, struct node_link *link)
{
	send_orders(context);
}

/* Returns whether a later process with the name of AGENT is known. */
static bool has_successor(const struct agent_peer *agent)
{
	for (guint i = 0; i < agent->entry->agents->len; i++) {
		const struct agent_peer *other = agent->entry->agents->pdata[i];

		if (other->first_link_number > agent->first_link_number &&
		    strcmp(other->name, agent->name) == 0)
			return true;
	}
	return false;
}

static void disconnect_agent(struct agent_peer *agent, const char *reason)
{
	struct node_entry *entry = agent->entry;
	int64_t heard_us = node_link_last_received_us(agent->link);
	int64_t now_us = entry->loop.now_us;
	int64_t until_us = now_us + entry->dispatch.limits.host_return_us;

	event_log(EVENT_CHANNEL_LOST, EV_S("agent", agent->name), EV_S("reason", reason),
		  EV_I("silent_ms", (now_us - heard_us) / US_PER_MS));
	agent->lost_us = node_link_was_silent(agent->link) ? heard_us : 0;
	agent->abandon = false;
	agent->link = NULL;
	task_holds_limit(agent->holds, until_us, until_us);
	task_holds_set_lost(agent->holds, now_us);
	if (task_holds_agent_lost(&entry->dispatch.holds, &agent->incarnation, now_us))
		dispatch_holds_changed(&entry->dispatch);
	g_ptr_array_set_size(agent->starts, 0);
	g_array_set_size(agent->stops, 0);
	agent->was_overlapped = has_successor(agent);
	/* Before the inventory, an agent is not served. */
	if (agent->awaiting_inventory)
		return;
	agent->disconnected_us = now_us;
	dispatch_server_disconnected(&entry->dispatch, agent->server, now_us);
	if (fleet_get(&entry->dispatch.fleet, agent->server))
		entry->lost_agents++;
}

static void on_down(void *context, struct node_link *link, const char *reason)
{
	struct agent_peer *agent = context;

	if (agent->link == link)
		disconnect_agent(agent, reason);
}

static const struct node_link_callbacks link_callbacks = {
	.frame = on_frame,
	.heartbeat = on_heartbeat,
	.down = on_down,
};

bool node_agent_links_register(struct node_entry *entry, struct node_link *link,
			       const Ggd__Hello *hello)
{
	struct agent_peer *agent = find_or_add_agent(entry, hello, node_link_number(link));

	/* An agent connects again only after it has given up its last connection. The hello message
	 * and the inventory of that one may still be read, but do not cover the orders sent since.
	 */
	if (node_link_number(link) < agent->last_link_number)
		return false;
	agent->last_link_number = node_link_number(link);
	if (agent->link) {
		struct node_link *old = agent->link;

		disconnect_agent(agent, "replaced by a new connection");
		node_link_close(old);
	}
	event_log(EVENT_CHANNEL_OPENED, EV_S("agent", agent->name));
	agent->link = link;
	agent->connected_us = entry->loop.now_us;
	agent->lost_us = 0;
	agent->last_orders_number = 0;
	agent->awaiting_inventory = true;
	agent->session_unconfirmed = false;
	agent->config_requested = false;
	agent->members_sent = 0;
	agent->evacuations_sent = 0;
	agent->service_servers_sent = 0;
	node_link_set_callbacks(link, &link_callbacks, agent);
	return true;
}

static struct agent_state state_of(const struct agent_peer *agent)
{
	struct agent_state state = {
		.incarnation = &agent->incarnation,
		.name = agent->name,
		.server_id = agent->server_id,
		.holds = agent->holds,
	};

	if (agent->has_server)
		state.server = agent->server;
	if (!agent->link)
		state.lost_us = MAX(agent->disconnected_us, 1);
	return state;
}

uint64_t node_agent_links_start_run(void *context, void *link, const struct run_order *order)
{
	struct agent_peer *agent = link;
	const struct agent_state state = state_of(agent);
	struct run_order *copy = g_new(struct run_order, 1);

	*copy = *order;
	copy->job = g_strdup(order->job);
	copy->spec = g_bytes_ref(order->spec);
	g_ptr_array_add(agent->starts, copy);
	node_run_records_ordered(agent->entry, &state, order);
	return agent->last_orders_number + 1;
}

void node_agent_links_stop_run(void *context, void *link, uint64_t run)
{
	struct agent_peer *agent = link;

	g_array_append_val(agent->stops, run);
}

void node_agent_links_send_queued(struct node_entry *entry)
{
	for (guint i = 0; i < entry->agents->len; i++) {
		struct agent_peer *agent = entry->agents->pdata[i];

		if (agent->link && (agent->starts->len > 0 || agent->stops->len > 0 ||
				    agent->abandon || agent->session_unconfirmed ||
				    agent->evacuations_sent != entry->evacuations.version))
			send_orders(agent);
	}
}

static void send_config_request(struct agent_peer *agent)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__ConfigRequest request = GGD__CONFIG_REQUEST__INIT;

	request.version = node_config_version(&agent->entry->config);
	frame.body_case = GGD__FRAME__BODY_CONFIG_REQUEST;
	frame.config_request = &request;
	node_link_send(agent->link, &frame);
	agent->config_requested = true;
}

void node_agent_links_request_config(struct node_entry *entry, int64_t now_us)
{
	/* An agent that the store answers is asked again. */
	uint32_t first = entry->config_relay_agent + (entry->config_relay.unanswered > 0);

	for (guint i = 0; i < entry->agents->len; i++) {
		uint32_t index = (first + i) % entry->agents->len;
		struct agent_peer *agent = entry->agents->pdata[index];

		if (!agent->link)
			continue;
		if (config_relay_due(&entry->config_relay, now_us)) {
			entry->config_relay_agent = index;
			send_config_request(agent);
		}
		return;
	}
}

void node_agent_links_abandon_runs(struct node_entry *entry)
{
	for (guint i = 0; i < entry->agents->len; i++) {
		struct agent_peer *agent = entry->agents->pdata[i];

		agent->abandon = agent->link && !agent->awaiting_inventory;
	}
}

void node_agent_links_census(const struct node_entry *entry, int64_t silence_us,
			     struct isolation_census *census)
{
	for (guint i = 0; i < entry->agents->len; i++) {
		const struct agent_peer *agent = entry->agents->pdata[i];
		int64_t heard_us =
			agent->link ? node_link_last_received_us(agent->link) : agent->lost_us;

		if (agent->link || (agent->lost_us != 0 && !has_successor(agent)))
			isolation_count(census, false, heard_us, silence_us, entry->loop.now_us);
	}
}

void node_agent_links_close_all(struct node_entry *entry)
{
	for (guint i = 0; i < entry->agents->len; i++) {
		struct agent_peer *agent = entry->agents->pdata[i];
		struct node_link *link = agent->link;

		if (!link)
			continue;
		disconnect_agent(agent, "this process was frozen");
		node_link_close(link);
	}
}

void node_agent_links_free(struct node_entry *entry)
{
	while (entry->agents->len > 0)
		remove_agent(entry, entry->agents->pdata[0]);
	g_clear_pointer(&entry->run_changes, g_ptr_array_unref);
	g_ptr_array_free(entry->agents, TRUE);
}

void node_agent_links_foreach(const struct node_entry *entry,
			      void (*visit)(void *context, const struct agent_state *agent),
			      void *context)
{
	for (guint i = 0; i < entry->agents->len; i++) {
		const struct agent_state state = state_of(entry->agents->pdata[i]);

		visit(context, &state);
	}
}

enum agent_word node_agent_links_word(const struct node_entry *entry, const uint8_t *incarnation,
				      int64_t lost_us)
{
	for (guint i = 0; i < entry->agents->len; i++) {
		const struct agent_peer *agent = entry->agents->pdata[i];

		if (!agent->link || agent->awaiting_inventory ||
		    memcmp(agent->incarnation.bytes, incarnation, IDENT_BYTES) != 0)
			continue;
		if (lost_us == 0 || node_link_last_received_us(agent->link) >=
					    lost_us + entry->dispatch.limits.hold_timeout_us)
			return AGENT_WORD_FINAL;
		return AGENT_WORD_PENDING;
	}
	return AGENT_WORD_NONE;
}

/* Returns the agent's server, or NULL while the agent is disconnected or its server unknown. */
static const struct fleet_server *connected_server(const struct agent_peer *agent)
{
	if (!agent->link || !agent->has_server)
		return NULL;
	return fleet_get(&agent->entry->dispatch.fleet, agent->server);
}

void node_agent_links_count_servers(struct node_entry *entry)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	const struct fleet_server *server;
	struct agent_peer *agent;
	guint count;

	for (guint i = 0; i < entry->agents->len; i++) {
		server = connected_server(entry->agents->pdata[i]);
		if (!server)
			continue;
		count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, server->service));
		g_hash_table_insert(counts, (gpointer)server->service, GUINT_TO_POINTER(count + 1));
	}
	for (guint i = 0; i < entry->agents->len; i++) {
		agent = entry->agents->pdata[i];
		server = connected_server(agent);
		if (server)
			agent->service_servers =
				GPOINTER_TO_UINT(g_hash_table_lookup(counts, server->service));
	}
	g_hash_table_destroy(counts);
}

uint32_t node_agent_links_count_serving(const struct node_entry *entry)
{
	uint32_t serving = 0;

	for (guint i = 0; i < entry->agents->len; i++) {
		const struct fleet_server *server = connected_server(entry->agents->pdata[i]);

		serving += server && (server->ready || server->evacuated);
	}
	return serving;
}
