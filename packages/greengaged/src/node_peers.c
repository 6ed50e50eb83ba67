#include "node_peers.h"

#include <string.h>

#include "event.h"
#include "node_agent_links.h"
#include "node_evacuations.h"
#include "node_holds.h"
#include "node_run_records.h"
#include "subset.h"

/*
 * Load pattern: dozens of entries, each connected to all others. With the periods of a small
 * deployment, heartbeats and states alone would take a third of a small host's processor time, so
 * the periods grow with the number of entries.
 */
enum {
	PERMILLE = 1000,
	/* Minimum time between two states sent to a peer while work is queued. */
	MIN_STATE_INTERVAL_MS = 50,
	STATE_INTERVAL_PER_PEER_MS = 5,
	/* The backlog in a peer's state counts for this time or for two state intervals, whichever
	 * is longer. */
	MIN_STATE_TIMEOUT_MS = 400,
	HEARTBEAT_INTERVAL_PER_PEER_MS = 5,
	/* Less than the silence timeout with the default limits, 575 ms. A peer that knows fewer
	 * entries has shorter heartbeat periods and does not extend its silence timeout for this
	 * entry's longer ones. */
	MAX_HEARTBEAT_MS = 500,
	/* Retry interval for an address of this entry itself, or a second one of a connected entry.
	 */
	ALIAS_RETRY_MS = 10000,
	/* Limit on the wait for the holds of other entries: an address at which nobody answers is
	 * given up after 200 ms, and attempts are made every 50 ms. */
	HOLDS_WAIT_MS = 250,
	/* Before this time, the other entries may not be known yet. */
	MIN_HOLDS_WAIT_MS = 50,
	/* Entries that each entry tells of its runs. With one of them, its end beside that of the
	 * entry would lose the records. */
	WITNESSES = 2
};

/* An entry that this one connects to, at one address. */
struct outgoing_peer {
	struct node_entry *entry;
	char *address;
	struct node_link *link;	  /* NULL while there is none */
	bool connected;		  /* the hello message has been received on the link */
	bool witness;		  /* it is told of this entry's runs */
	uint64_t witness_rank;	  /* the connected ones with the highest ranks are the witnesses */
	bool holds_awaited;	  /* it has not answered since node_peers_await_holds */
	int64_t heard_us;	  /* when it was last heard on the last connection; 0 before */
	int64_t lost_us;	  /* the same, if it does not answer since; else 0 */
	struct ident incarnation; /* of the entry process last connected at this address */
	struct node_retry retry;
	int64_t last_state_sent_us;
	guint members_sent;	       /* number of entry addresses sent on this connection */
	uint64_t last_backlog_core_ms; /* sum over all priorities in the last state sent */
	uint64_t last_ended_sequence;  /* sequence of the last ended job sent on this connection */
	uint64_t last_crash_sequence;  /* sequence of the last crash sent on this connection */
	uint64_t last_bulkhead_change; /* bulkhead.changes when a state was last sent */
	uint64_t last_evacuations;     /* version sent last on this connection; 0 before */
	uint64_t last_holds_change;    /* agent_holds_changes when a state was last sent */
	uint64_t last_lost_agents;     /* lost_agents when a state was last sent */
};

/* An entry that has connected to this one, and the last state that it sent. */
struct incoming_peer {
	struct node_entry *entry;
	char name[NAME_BYTES];
	char *address; /* at which it accepts connections */
	struct node_link *link;
	double backlog_core_us[PRIORITY_LEVELS];
	int64_t last_state_received_us;
	uint64_t config_version;
	int64_t last_config_request_us; /* time of the last request to it for its configuration */
	GHashTable *pending_by_queue;	/* queue name -> count, stored in the pointer */
	struct passed_holds *holds;
	struct run_records *run_records;
};

/* The periods depend on the peers that are connected: the list of addresses may hold hundreds at
 * which no entry is. */
static int64_t state_interval_us(const struct node_entry *entry)
{
	return MAX(MIN_STATE_INTERVAL_MS, entry->linked_peers * STATE_INTERVAL_PER_PEER_MS) *
	       US_PER_MS;
}

static int64_t heartbeat_ms(const struct node_entry *entry)
{
	return CLAMP((int64_t)entry->linked_peers * HEARTBEAT_INTERVAL_PER_PEER_MS,
		     NODE_HEARTBEAT_MS, MAX_HEARTBEAT_MS);
}

/* Returns entry->incoming_peers, which is created on first use. */
static GPtrArray *get_incoming_peers(struct node_entry *entry)
{
	if (!entry->incoming_peers)
		entry->incoming_peers = g_ptr_array_new();
	return entry->incoming_peers;
}

/* Sets the fields queues and queued of STATE from COUNTS, which dispatch_count_pending_by_queue
 * filled. STATE borrows the names. */
static void set_pending_counts(Ggd__PeerState *state, GHashTable *counts)
{
	guint size = g_hash_table_size(counts);
	GHashTableIter iter;
	gpointer name, count;

	state->queues = g_new(char *, size + 1);
	state->queued = g_new(uint32_t, size + 1);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &count)) {
		state->queues[state->n_queues++] = name;
		state->queued[state->n_queued++] = GPOINTER_TO_UINT(count);
	}
}

/* Sets the fields completed and failed of STATE to the jobs that ended at this entry since the last
 * state sent to PEER. The ids are stored in the arrays COMPLETED and FAILED, which must outlive
 * STATE. */
static void set_ended_jobs(struct outgoing_peer *peer, Ggd__PeerState *state, GArray *completed,
			   GArray *failed)
{
	peer->last_ended_sequence = ended_jobs_since(&peer->entry->ended_jobs,
						     peer->last_ended_sequence, completed, failed);
	state->completed = (uint64_t *)(void *)completed->data;
	state->n_completed = completed->len;
	state->failed = (uint64_t *)(void *)failed->data;
	state->n_failed = failed->len;
}

/* Sets the fields crashed_tasks and crashed_servers of STATE to the crashes seen at this entry
 * since the last state sent to PEER, or to all that it knows in the first state on a connection: an
 * entry that has restarted has lost its own. The caller frees both arrays; STATE borrows the names.
 */
static void set_crashes(struct outgoing_peer *peer, Ggd__PeerState *state)
{
	GPtrArray *records = g_ptr_array_new();
	GPtrArray *tasks = g_ptr_array_new();
	GPtrArray *servers = g_ptr_array_new();

	peer->last_crash_sequence = crash_history_since(&peer->entry->dispatch.crashes,
							peer->last_crash_sequence, records);
	for (guint i = 0; i < records->len; i++) {
		const struct crash_record *record = records->pdata[i];

		for (guint j = 0; j < record->servers->len; j++) {
			g_ptr_array_add(tasks, record->task);
			g_ptr_array_add(servers, record->servers->pdata[j]);
		}
	}
	state->n_crashed_tasks = state->n_crashed_servers = tasks->len;
	state->crashed_tasks = (char **)g_ptr_array_free(tasks, FALSE);
	state->crashed_servers = (char **)g_ptr_array_free(servers, FALSE);
	g_ptr_array_free(records, TRUE);
}

/* Sets the fields suspect_queues and suspect_shares of STATE. The caller frees both arrays; STATE
 * borrows the names. */
static void set_suspects(struct outgoing_peer *peer, Ggd__PeerState *state, int64_t now_us)
{
	const struct bulkhead *bulkhead = &peer->entry->dispatch.bulkhead;
	GArray *reports = g_array_new(FALSE, FALSE, sizeof(struct bulkhead_report));

	bulkhead_seen_here(bulkhead, reports, now_us);
	state->suspect_queues = g_new(char *, reports->len);
	state->suspect_shares = g_new(uint32_t, reports->len);
	for (guint i = 0; i < reports->len; i++) {
		const struct bulkhead_report *report =
			&g_array_index(reports, struct bulkhead_report, i);

		state->suspect_queues[i] = (char *)report->queue;
		state->suspect_shares[i] = (uint32_t)(report->share * PERMILLE);
	}
	state->n_suspect_queues = state->n_suspect_shares = reports->len;
	peer->last_bulkhead_change = bulkhead->changes;
	g_array_free(reports, TRUE);
}

/* Sends the state of this entry with its HOLDS, as node_holds_collect returns them. */
static void send_state(struct outgoing_peer *peer, const GPtrArray *holds, bool config_wanted,
		       int64_t now_us)
{
	struct node_entry *entry = peer->entry;
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__PeerState state = GGD__PEER_STATE__INIT;
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *completed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *failed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;
	double core_us[PRIORITY_LEVELS];
	uint64_t backlog[PRIORITY_LEVELS];
	uint64_t sum = 0;

	state.config_version = node_config_version(&entry->config);
	state.config_wanted = config_wanted;
	if (peer->last_evacuations != entry->evacuations.version) {
		node_evacuations_fill(&entry->evacuations, &evacuations);
		state.evacuations = &evacuations;
		peer->last_evacuations = entry->evacuations.version;
	}
	dispatch_backlog(&entry->dispatch, core_us);
	for (int i = 0; i < PRIORITY_LEVELS; i++) {
		backlog[i] = (uint64_t)(core_us[i] / US_PER_MS);
		sum += backlog[i];
	}
	state.backlog_core_ms = backlog;
	state.n_backlog_core_ms = PRIORITY_LEVELS;
	state.leaving = entry->stopping;
	dispatch_count_pending_by_queue(&entry->dispatch, counts);
	set_pending_counts(&state, counts);
	set_ended_jobs(peer, &state, completed, failed);
	set_crashes(peer, &state);
	set_suspects(peer, &state, now_us);
	state.holds = (Ggd__Holds **)holds->pdata;
	state.n_holds = holds->len;
	peer->last_holds_change = entry->agent_holds_changes;
	peer->last_lost_agents = entry->lost_agents;
	state.entries = node_members_unsent(&entry->members, &peer->members_sent, &state.n_entries);
	frame.body_case = GGD__FRAME__BODY_PEER;
	frame.peer = &state;
	node_link_send(peer->link, &frame);
	peer->last_state_sent_us = now_us;
	peer->last_backlog_core_ms = sum;
	g_free(state.crashed_tasks);
	g_free(state.crashed_servers);
	g_free(state.queues);
	g_free(state.queued);
	g_free(state.suspect_queues);
	g_free(state.suspect_shares);
	g_array_free(completed, TRUE);
	g_array_free(failed, TRUE);
	g_hash_table_destroy(counts);
}

static void send_state_now(struct outgoing_peer *peer, bool config_wanted)
{
	GPtrArray *holds = node_holds_collect(peer->entry);

	send_state(peer, holds, config_wanted, peer->entry->loop.now_us);
	g_ptr_array_free(holds, TRUE);
}

/* Sends a state to the connected entries that IS_DUE returns. */
static void send_states(struct node_entry *entry,
			bool (*is_due)(const struct outgoing_peer *peer, int64_t now_us),
			int64_t now_us)
{
	GPtrArray *holds = NULL;

	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (!peer->connected || !is_due(peer, now_us))
			continue;
		/* Once for all: there may be dozens of entries. */
		if (!holds)
			holds = node_holds_collect(entry);
		send_state(peer, holds, false, now_us);
	}
	if (holds)
		g_ptr_array_free(holds, TRUE);
}

static void send_run_records(struct outgoing_peer *peer, const GPtrArray *records, bool replace)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__RunRecords message = GGD__RUN_RECORDS__INIT;

	message.replace = replace;
	message.records = (Ggd__RunRecord **)records->pdata;
	message.n_records = records->len;
	frame.body_case = GGD__FRAME__BODY_RUN_RECORDS;
	frame.run_records = &message;
	node_link_send(peer->link, &frame);
}

/* Tells PEER, which becomes a witness, of all unsettled runs, or of none if it is one no more. */
static void set_witness(struct outgoing_peer *peer, bool witness)
{
	GPtrArray *records;

	if (peer->witness == witness)
		return;
	peer->witness = witness;
	records = witness ? node_run_records_collect(peer->entry) : g_ptr_array_new();
	send_run_records(peer, records, true);
	g_ptr_array_free(records, TRUE);
}

/* Returns the number of connected peers that come before PEER in the choice of witnesses. */
static uint32_t witness_position(const struct outgoing_peer *peer)
{
	const GPtrArray *peers = peer->entry->outgoing_peers;
	uint32_t position = 0;

	for (guint i = 0; i < peers->len; i++) {
		const struct outgoing_peer *other = peers->pdata[i];

		position += other->connected && other->witness_rank > peer->witness_rank;
	}
	return position;
}

static void choose_witnesses(struct node_entry *entry)
{
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (peer->connected)
			set_witness(peer, witness_position(peer) < WITNESSES);
	}
}

static void send_new_records(struct node_entry *entry)
{
	GPtrArray *records = node_run_records_take(entry);

	if (!records)
		return;
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (peer->witness)
			send_run_records(peer, records, false);
	}
	g_ptr_array_free(records, TRUE);
}

void node_peers_send_run_records(struct node_entry *entry)
{
	if (node_run_records_urgent(entry))
		send_new_records(entry);
}

/* Sends the configuration over LINK, unless VERSION, which the requesting entry has, is at least as
 * high as this entry's version. */
static void send_config(struct node_entry *entry, struct node_link *link, uint64_t version)
{
	const struct node_config *config = &entry->config;
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__ConfigDocument document = GGD__CONFIG_DOCUMENT__INIT;
	gsize length;

	if (version >= node_config_version(config))
		return;
	document.version = node_config_version(config);
	document.document.data = (uint8_t *)g_bytes_get_data(config->document, &length);
	document.document.len = length;
	frame.body_case = GGD__FRAME__BODY_CONFIG;
	frame.config = &document;
	node_link_send(link, &frame);
}

/* Answers a request for the configuration, or applies a received configuration. Both sides of a
 * link may send them. SOURCE names the peer in the log. */
static void handle_config_frame(struct node_entry *entry, struct node_link *link,
				const Ggd__Frame *frame, const char *source)
{
	if (frame->body_case == GGD__FRAME__BODY_PEER && frame->peer->config_wanted)
		send_config(entry, link, frame->peer->config_version);
	else if (frame->body_case == GGD__FRAME__BODY_CONFIG &&
		 frame->config->version > node_config_version(&entry->config))
		node_config_apply(&entry->config, (const char *)frame->config->document.data,
				  frame->config->document.len, source);
}

/* Returns whether this entry has no configuration yet and should request it from the peer whose
 * outgoing link has just come up. Records the time of the request if so. A starting entry thus asks
 * the first peer that it reaches. */
static bool claim_first_config_request(struct node_entry *entry)
{
	uint64_t version = node_config_version(&entry->config);

	return version == 0 &&
	       config_pull_due(&entry->config_pull, version, version + 1, entry->loop.now_us);
}

/* Returns whether INCARNATION is that of this entry, or of one that is connected at another
 * address. Over a second connection its peer would count the same queued work again. */
static bool is_alias(const struct node_entry *entry, const struct ident *incarnation)
{
	if (ident_equal(incarnation, &entry->links.identity.incarnation))
		return true;
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		const struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (peer->connected && ident_equal(incarnation, &peer->incarnation))
			return true;
	}
	return false;
}

/* Ends the wait for the holds of the other entries if none is awaited any more. */
static void check_holds_awaited(struct node_entry *entry)
{
	if (!entry->holds_awaited)
		return;
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		const struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (peer->holds_awaited)
			return;
	}
	entry->holds_awaited = false;
	dispatch_holds_known(&entry->dispatch);
}

/* Records that PEER has told its holds or can't be reached. */
static void stop_awaiting_holds(struct outgoing_peer *peer)
{
	peer->holds_awaited = false;
	check_holds_awaited(peer->entry);
}

void node_peers_await_holds(struct node_entry *entry)
{
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		peer->holds_awaited = peer->connected;
	}
	entry->holds_awaited = true;
	entry->holds_awaited_since_us = entry->loop.now_us;
	dispatch_await_holds(&entry->dispatch, entry->loop.now_us + HOLDS_WAIT_MS * US_PER_MS);
}

static bool on_outgoing_up(void *context, struct node_link *link, const Ggd__Hello *hello)
{
	struct outgoing_peer *peer = context;

	memcpy(peer->incarnation.bytes, hello->incarnation.data, IDENT_BYTES);
	if (is_alias(peer->entry, &peer->incarnation)) {
		/* Returning false closes this link without a call of `down`. */
		peer->link = NULL;
		peer->retry.next_attempt_us = peer->entry->loop.now_us + ALIAS_RETRY_MS * US_PER_MS;
		stop_awaiting_holds(peer);
		return false;
	}
	peer->connected = true;
	peer->lost_us = 0;
	peer->members_sent = 0;
	peer->last_ended_sequence = 0;
	peer->last_crash_sequence = 0;
	peer->last_evacuations = 0;
	event_log(EVENT_CHANNEL_OPENED, EV_S("entry", hello->name), EV_S("address", peer->address));
	node_link_set_heartbeat(link, heartbeat_ms(peer->entry));
	choose_witnesses(peer->entry);
	send_state_now(peer, claim_first_config_request(peer->entry));
	return true;
}

static void handle_answer(struct outgoing_peer *peer, const Ggd__PeerState *state)
{
	for (size_t i = 0; i < state->n_entries; i++)
		node_members_add(&peer->entry->members, state->entries[i], MEMBER_SOURCE_ENTRY);
	passed_holds_apply_once(peer->entry, &peer->incarnation, state->holds, state->n_holds);
	stop_awaiting_holds(peer);
}

static void receive_evacuations(struct node_entry *entry, const Ggd__Frame *frame,
				const char *source)
{
	if (frame->body_case == GGD__FRAME__BODY_PEER &&
	    node_evacuations_receive(&entry->evacuations, frame->peer->evacuations, source))
		node_agent_links_evacuations_changed(entry);
}

static void on_outgoing_frame(void *context, struct node_link *link, const Ggd__Frame *frame)
{
	struct outgoing_peer *peer = context;

	/* Before a configuration, with which the first tasks may be placed. */
	receive_evacuations(peer->entry, frame, peer->address);
	handle_config_frame(peer->entry, link, frame, peer->address);
	if (frame->body_case == GGD__FRAME__BODY_PEER && frame->peer->answer)
		handle_answer(peer, frame->peer);
}

static void on_outgoing_heartbeat(void *context, struct node_link *link)
{
	struct outgoing_peer *peer = context;

	send_state_now(peer, false);
}

static void schedule_retry(struct outgoing_peer *peer, bool was_up)
{
	const struct node_entry *entry = peer->entry;

	node_retry_schedule(&peer->retry, was_up, entry->outgoing_peers->len, entry->loop.now_us);
}

static void on_outgoing_down(void *context, struct node_link *link, const char *reason)
{
	struct outgoing_peer *peer = context;

	if (node_link_is_up(link)) {
		event_log(EVENT_CHANNEL_LOST, EV_S("address", peer->address),
			  EV_S("reason", reason));
		peer->heard_us = node_link_last_received_us(link);
	}
	if (node_link_was_silent(link))
		peer->lost_us = peer->heard_us;
	peer->link = NULL;
	peer->connected = false;
	peer->witness = false;
	choose_witnesses(peer->entry);
	schedule_retry(peer, node_link_is_up(link));
	stop_awaiting_holds(peer);
}

static const struct node_link_callbacks outgoing_callbacks = {
	.up = on_outgoing_up,
	.frame = on_outgoing_frame,
	.heartbeat = on_outgoing_heartbeat,
	.down = on_outgoing_down,
};

void node_peers_add(void *context, const char *address)
{
	struct node_entry *entry = context;
	struct outgoing_peer *peer = g_new0(struct outgoing_peer, 1);

	peer->entry = entry;
	peer->address = g_strdup(address);
	peer->witness_rank = subset_rank(entry->own_address, address);
	peer->holds_awaited = entry->holds_awaited;
	node_retry_init(&peer->retry, entry->loop.now_us);
	g_ptr_array_add(entry->outgoing_peers, peer);
}

static void record_ended_jobs(struct node_entry *entry, const Ggd__PeerState *state)
{
	for (size_t i = 0; i < state->n_completed; i++)
		ended_jobs_record(&entry->ended_jobs, state->completed[i], true, false,
				  entry->loop.now_us);
	for (size_t i = 0; i < state->n_failed; i++)
		ended_jobs_record(&entry->ended_jobs, state->failed[i], false, false,
				  entry->loop.now_us);
}

static void record_crashes(struct node_entry *entry, const Ggd__PeerState *state)
{
	for (size_t i = 0; i < state->n_crashed_tasks && i < state->n_crashed_servers; i++)
		crash_history_merge(&entry->dispatch.crashes, state->crashed_tasks[i],
				    state->crashed_servers[i], entry->loop.now_us);
	for (size_t i = 0; i < state->n_suspect_queues && i < state->n_suspect_shares; i++)
		dispatch_suspect_reported(&entry->dispatch, state->suspect_queues[i],
					  (double)state->suspect_shares[i] / PERMILLE,
					  entry->loop.now_us);
}

static void on_incoming_frame(void *context, struct node_link *link, const Ggd__Frame *frame)
{
	struct incoming_peer *peer = context;
	const Ggd__PeerState *state = frame->peer;

	receive_evacuations(peer->entry, frame, peer->name);
	handle_config_frame(peer->entry, link, frame, peer->name);
	if (frame->body_case == GGD__FRAME__BODY_RUN_RECORDS)
		run_records_apply(peer->run_records, frame->run_records);
	if (frame->body_case != GGD__FRAME__BODY_PEER)
		return;
	peer->config_version = state->config_version;
	peer->last_state_received_us = peer->entry->loop.now_us;
	for (size_t i = 0; i < PRIORITY_LEVELS; i++)
		peer->backlog_core_us[i] = i < state->n_backlog_core_ms
						   ? (double)state->backlog_core_ms[i] * US_PER_MS
						   : 0;
	record_ended_jobs(peer->entry, state);
	record_crashes(peer->entry, state);
	passed_holds_apply(peer->holds, state->holds, state->n_holds);
	g_hash_table_remove_all(peer->pending_by_queue);
	for (size_t i = 0; i < state->n_queues && i < state->n_queued; i++)
		g_hash_table_insert(peer->pending_by_queue, g_strdup(state->queues[i]),
				    GUINT_TO_POINTER(state->queued[i]));
	for (size_t i = 0; i < state->n_entries; i++)
		node_members_add(&peer->entry->members, state->entries[i], MEMBER_SOURCE_ENTRY);
}

static void on_incoming_heartbeat(void *context, struct node_link *link)
{
	Ggd__Frame frame = GGD__FRAME__INIT;

	node_link_send(link, &frame);
}

static void remove_incoming_peer(struct incoming_peer *peer)
{
	g_ptr_array_remove_fast(get_incoming_peers(peer->entry), peer);
	passed_holds_abandon(peer->holds);
	run_records_abandon(peer->run_records);
	g_hash_table_destroy(peer->pending_by_queue);
	g_free(peer->address);
	g_free(peer);
}

/* Closes the links of the entry processes that were at ADDRESS before: they have ended, and what
 * they have told is their last word. */
static void close_former_processes(struct node_entry *entry, const char *address)
{
	for (guint i = get_incoming_peers(entry)->len; i-- > 0;) {
		struct incoming_peer *peer = entry->incoming_peers->pdata[i];

		if (strcmp(peer->address, address) != 0)
			continue;
		node_link_close(peer->link);
		remove_incoming_peer(peer);
	}
}

static void on_incoming_down(void *context, struct node_link *link, const char *reason)
{
	remove_incoming_peer(context);
}

static const struct node_link_callbacks incoming_callbacks = {
	.frame = on_incoming_frame,
	.heartbeat = on_incoming_heartbeat,
	.down = on_incoming_down,
};

/* Tells an entry that has connected, which may have just started, what it must not start. */
static void send_answer(struct node_entry *entry, struct node_link *link)
{
	GPtrArray *holds = node_holds_collect(entry);
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__PeerState state = GGD__PEER_STATE__INIT;
	Ggd__Evacuations evacuations = GGD__EVACUATIONS__INIT;
	guint sent = 0;

	state.answer = true;
	node_evacuations_fill(&entry->evacuations, &evacuations);
	state.evacuations = &evacuations;
	state.holds = (Ggd__Holds **)holds->pdata;
	state.n_holds = holds->len;
	state.entries = node_members_unsent(&entry->members, &sent, &state.n_entries);
	frame.body_case = GGD__FRAME__BODY_PEER;
	frame.peer = &state;
	node_link_send(link, &frame);
	g_ptr_array_free(holds, TRUE);
}

/* Makes an attempt to connect to the entry at ADDRESS due, which is known to be back. */
static void retry_now(struct node_entry *entry, const char *address)
{
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (!peer->link && strcmp(peer->address, address) == 0)
			peer->retry.next_attempt_us = entry->loop.now_us;
	}
}

bool node_peers_link_up(struct node_entry *entry, struct node_link *link, const Ggd__Hello *hello)
{
	struct incoming_peer *peer = g_new0(struct incoming_peer, 1);
	struct ident incarnation;

	memcpy(incarnation.bytes, hello->incarnation.data, IDENT_BYTES);
	close_former_processes(entry, hello->address);
	peer->entry = entry;
	peer->link = link;
	peer->address = g_strdup(hello->address);
	g_strlcpy(peer->name, hello->name, sizeof(peer->name));
	peer->pending_by_queue = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peer->holds = passed_holds_new(entry, &incarnation);
	peer->run_records = run_records_new(entry, &incarnation);
	g_ptr_array_add(get_incoming_peers(entry), peer);
	node_link_set_callbacks(link, &incoming_callbacks, peer);
	node_link_set_heartbeat(link, heartbeat_ms(entry));
	node_members_add(&entry->members, hello->address, MEMBER_SOURCE_ENTRY);
	retry_now(entry, hello->address);
	send_answer(entry, link);
	return true;
}

/* Tells the dispatcher how much work queued at other entries competes for the same servers as this
 * entry's work. */
static void update_peer_backlog(struct node_entry *entry, int64_t now_us)
{
	int64_t timeout_us = MAX(MIN_STATE_TIMEOUT_MS * US_PER_MS, 2 * state_interval_us(entry));
	double overlap = subset_overlap(get_incoming_peers(entry)->len + 1);
	double sum[PRIORITY_LEVELS] = {0};

	for (guint i = 0; i < get_incoming_peers(entry)->len; i++) {
		const struct incoming_peer *peer = entry->incoming_peers->pdata[i];

		if (now_us - peer->last_state_received_us > timeout_us)
			continue;
		for (int j = 0; j < PRIORITY_LEVELS; j++)
			sum[j] += overlap * peer->backlog_core_us[j];
	}
	dispatch_set_peer_backlog(&entry->dispatch, sum);
}

static void send_config_request(struct incoming_peer *peer, int64_t now_us)
{
	Ggd__Frame frame = GGD__FRAME__INIT;
	Ggd__PeerState state = GGD__PEER_STATE__INIT;

	peer->last_config_request_us = now_us;
	state.config_version = node_config_version(&peer->entry->config);
	state.config_wanted = true;
	frame.body_case = GGD__FRAME__BODY_PEER;
	frame.peer = &state;
	node_link_send(peer->link, &frame);
}

/* Requests the configuration, if that is due, from an entry with a higher version: the one that was
 * asked longest ago. */
static void request_config_if_due(struct node_entry *entry, int64_t now_us)
{
	uint64_t own_version = node_config_version(&entry->config);
	uint64_t highest_version = 0;
	struct incoming_peer *chosen_peer = NULL;

	for (guint i = 0; i < get_incoming_peers(entry)->len; i++) {
		struct incoming_peer *peer = entry->incoming_peers->pdata[i];

		highest_version = MAX(highest_version, peer->config_version);
		if (peer->config_version > own_version &&
		    (!chosen_peer ||
		     peer->last_config_request_us < chosen_peer->last_config_request_us))
			chosen_peer = peer;
	}
	if (config_pull_due(&entry->config_pull, own_version, highest_version, now_us) &&
	    chosen_peer)
		send_config_request(chosen_peer, now_us);
}

static void count_linked_peers(struct node_entry *entry)
{
	entry->linked_peers = 0;
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		const struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		entry->linked_peers += peer->connected;
	}
}

/* Updates the heartbeat periods, which depend on the number of entries. Called on each tick,
 * because that number may change at any time. */
static void update_heartbeat_periods(struct node_entry *entry)
{
	count_linked_peers(entry);
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (peer->link)
			node_link_set_heartbeat(peer->link, heartbeat_ms(entry));
	}
	for (guint i = 0; i < get_incoming_peers(entry)->len; i++) {
		struct incoming_peer *peer = entry->incoming_peers->pdata[i];

		node_link_set_heartbeat(peer->link, heartbeat_ms(entry));
	}
}

/* Returns whether to send PEER a state before the next heartbeat: at once when a queue has become a
 * suspect or the evacuated zones may have changed, and at intervals while work is queued or when
 * the agents hold other tasks. */
static bool is_state_due(const struct outgoing_peer *peer, int64_t now_us)
{
	const struct node_entry *entry = peer->entry;

	if (peer->last_bulkhead_change != entry->dispatch.bulkhead.changes ||
	    peer->last_evacuations != entry->evacuations.version)
		return true;
	return now_us - peer->last_state_sent_us >= state_interval_us(entry) &&
	       (entry->dispatch.queue->len > 0 || peer->last_backlog_core_ms > 0 ||
		peer->last_holds_change != entry->agent_holds_changes);
}

void node_peers_tick(struct node_entry *entry, int64_t now_us)
{
	uint32_t attempts = node_links_free_attempts(&entry->links);
	struct error err;

	update_heartbeat_periods(entry);
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (!peer->link && now_us >= peer->retry.next_attempt_us && attempts > 0) {
			attempts--;
			peer->link = node_link_connect(&entry->links, peer->address,
						       &outgoing_callbacks, peer, &err);
			if (!peer->link) {
				schedule_retry(peer, false);
				stop_awaiting_holds(peer);
			}
		}
	}
	send_states(entry, is_state_due, now_us);
	send_new_records(entry);
	if (now_us >= entry->holds_awaited_since_us + HOLDS_WAIT_MS * US_PER_MS)
		entry->holds_awaited = false; /* as in the dispatcher */
	else if (now_us >= entry->holds_awaited_since_us + MIN_HOLDS_WAIT_MS * US_PER_MS)
		check_holds_awaited(entry);
	request_config_if_due(entry, now_us);
	update_peer_backlog(entry, now_us);
}

static bool has_lost_agents(const struct outgoing_peer *peer, int64_t now_us)
{
	return peer->last_lost_agents != peer->entry->lost_agents;
}

void node_peers_tell_lost_agents(struct node_entry *entry, int64_t now_us)
{
	send_states(entry, has_lost_agents, now_us);
}

uint32_t node_peers_count_pending(const struct node_entry *entry, const char *queue)
{
	uint32_t pending = 0;

	for (guint i = 0; entry->incoming_peers && i < entry->incoming_peers->len; i++) {
		const struct incoming_peer *peer = entry->incoming_peers->pdata[i];

		pending += GPOINTER_TO_UINT(g_hash_table_lookup(peer->pending_by_queue, queue));
	}
	return pending;
}

void node_peers_census(const struct node_entry *entry, int64_t silence_us,
		       struct isolation_census *census)
{
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		const struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];
		int64_t heard_us =
			peer->connected ? node_link_last_received_us(peer->link) : peer->lost_us;

		if (peer->connected || peer->lost_us != 0)
			isolation_count(census, true, heard_us, silence_us, entry->loop.now_us);
	}
}

void node_peers_close_links(struct node_entry *entry)
{
	for (guint i = 0; i < entry->outgoing_peers->len; i++) {
		struct outgoing_peer *peer = entry->outgoing_peers->pdata[i];

		if (!peer->link)
			continue;
		node_link_close(peer->link);
		peer->link = NULL;
		if (peer->connected)
			peer->heard_us = entry->loop.now_us;
		peer->connected = false;
		peer->witness = false;
		peer->lost_us = 0;
		peer->retry.next_attempt_us = 0;
	}
	for (guint i = get_incoming_peers(entry)->len; i-- > 0;) {
		struct incoming_peer *peer = entry->incoming_peers->pdata[i];

		node_link_close(peer->link);
		remove_incoming_peer(peer);
	}
}
