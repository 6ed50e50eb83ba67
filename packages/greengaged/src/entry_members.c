#include "entry_members.h"

#include <string.h>

#include "entry_agent.h"
#include "entry_config.h"
#include "entry_dispatch.h"
#include "entry_peers.h"
#include "event.h"

enum {
	/* The counters of a lost agent's link are kept for one day, in case the agent returns. */
	LOST_AGENT_RETENTION_MS = 86400000
};

void entry_members_fill_header(struct board *board, Gg__Envelope *envelope, uint64_t epoch)
{
	envelope->sender = channel_ident_field(&board->incarnation);
	envelope->epoch = epoch;
	envelope->sent_us = timer_clock_us();
	envelope->config_version = config_version(board->config);
}

enum status entry_members_send(struct board *board, struct agent *agent, Gg__Envelope *envelope)
{
	struct error err;

	entry_members_fill_header(board, envelope, agent->epoch);
	if (!handle_is_none(agent->server))
		envelope->demand = sched_server_demand(board->sched, agent->server);
	envelope->consumed = agent->link.consumed_total;
	envelope->result_ack = agent->link.result_ack;
	if (channel_send(&board->router, &agent->route, envelope, &err) != STATUS_OK) {
		metric_add(METRIC_SEND_FAILED, 1);
		return STATUS_NETWORK;
	}
	entry_metrics_count_sent((int)envelope->body_case);
	agent->last_sent_us = board->now_us;
	agent->last_sent_demand = envelope->demand;
	return STATUS_OK;
}

void entry_members_send_heartbeat(struct board *board, struct agent *agent)
{
	Gg__Heartbeat heartbeat = GG__HEARTBEAT__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	envelope.body_case = GG__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	entry_members_send(board, agent, &envelope);
}

static void add_entry_info(GPtrArray *infos, const struct ident *incarnation, const char *address,
			   const char *zone)
{
	Gg__PeerInfo *info = g_new(Gg__PeerInfo, 1);

	gg__peer_info__init(info);
	info->incarnation = channel_ident_field(incarnation);
	info->address = (char *)address;
	info->zone = (char *)zone;
	g_ptr_array_add(infos, info);
}

static void send_welcome(struct board *board, struct agent *agent)
{
	GPtrArray *infos = g_ptr_array_new_with_free_func(g_free);
	Gg__Welcome welcome = GG__WELCOME__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	add_entry_info(infos, &board->incarnation, board->settings->channel_address,
		       board->settings->zone);
	for (guint i = 0; i < board->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(board->peers, i);

		if (peer->incarnation_known)
			add_entry_info(infos, &peer->incarnation, peer->address,
				       peer->zone ? peer->zone : "");
	}
	welcome.zone = board->settings->zone;
	welcome.entries = (Gg__PeerInfo **)infos->pdata;
	welcome.n_entries = infos->len;
	envelope.body_case = GG__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &welcome;
	entry_members_send(board, agent, &envelope);
	g_ptr_array_free(infos, TRUE);
}

void entry_members_send_welcomes(struct board *board)
{
	uint32_t cursor = 0;
	struct agent *agent;

	while ((agent = table_next(&board->agents, &cursor, NULL))) {
		if (agent->connected)
			send_welcome(board, agent);
	}
}

/* Asks the agent about all outstanding starts, if there are any. No start is sent to it until it
 * has answered. */
static void begin_reconcile(struct board *board, struct agent *agent)
{
	uint32_t count = link_outstanding(&agent->link, NULL, 0);
	Gg__Reconcile reconcile = GG__RECONCILE__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	struct link_start *starts;
	uint64_t *seqs;

	agent->reconciling = count > 0;
	agent->reconcile_sent_us = board->now_us;
	entry_dispatch_update_credits(board, agent);
	if (count == 0)
		return;
	starts = g_new(struct link_start, count);
	seqs = g_new(uint64_t, count);
	link_outstanding(&agent->link, starts, count);
	for (uint32_t i = 0; i < count; i++)
		seqs[i] = starts[i].seq;
	reconcile.next_seq = agent->link.next_seq;
	reconcile.outstanding = seqs;
	reconcile.n_outstanding = count;
	envelope.body_case = GG__ENVELOPE__BODY_RECONCILE;
	envelope.reconcile = &reconcile;
	entry_members_send(board, agent, &envelope);
	g_free(starts);
	g_free(seqs);
}

static void connect_agent(struct board *board, struct agent *agent,
			  const struct channel_route *route, const Gg__Envelope *envelope)
{
	agent->route = *route;
	agent->epoch = envelope->epoch;
	agent->last_received_us = board->now_us;
	agent->connected = true;
	agent->lost = false;
	entry_agent_update(board, agent, envelope->hello->server);
	send_welcome(board, agent);
	begin_reconcile(board, agent);
	event_log(EVENT_CHANNEL_OPENED, EV_S("agent", agent->id), EV_I("epoch", agent->epoch));
}

static void receive_hello(struct board *board, const struct channel_route *route,
			  const struct ident *sender, const Gg__Envelope *envelope)
{
	struct agent *agent = entry_agent_find(board, sender);
	bool is_new = !agent;
	struct ident addressee;

	if (agent && envelope->epoch <= agent->epoch && !agent->lost) {
		metric_add(METRIC_MESSAGES_STALE, 1);
		return;
	}
	if (is_new)
		agent = entry_agent_add(board, sender, envelope->hello);
	/* The counters in the Hello are only valid if the Hello is addressed to this incarnation
	 * of the entry. The agent may still expect a previous incarnation at this address. */
	if (channel_get_ident(&envelope->hello->entry, &addressee) &&
	    ident_equal(&addressee, &board->incarnation)) {
		link_resume(&agent->link, envelope->hello->next_seq, envelope->granted);
		link_grant(&agent->link, envelope->granted);
	}
	connect_agent(board, agent, route, envelope);
	if (!is_new)
		return;
	board->last_agent_joined_us = board->now_us;
	event_log(EVENT_MEMBER_JOINED, EV_S("agent", agent->id), EV_S("host", agent->host),
		  EV_S("zone", agent->zone));
}

/*
 * ZeroMQ replaces a broken connection without notice, and messages in transit on it are lost. The
 * new connection has a different route, which shows that outstanding starts must be reconciled.
 */
static void update_route(struct board *board, struct agent *agent,
			 const struct channel_route *route)
{
	bool same_route = route->length == agent->route.length &&
			  memcmp(route->bytes, agent->route.bytes, route->length) == 0;

	if (same_route && agent->connected)
		return;
	agent->connected = true;
	if (!same_route) {
		agent->route = *route;
		begin_reconcile(board, agent);
	}
	entry_dispatch_update_credits(board, agent);
}

static void receive_reclaim(struct board *board, struct agent *agent, const Gg__Reclaim *reclaim)
{
	if (link_return_credits(&agent->link, reclaim->count) == 0)
		return;
	entry_dispatch_update_credits(board, agent);
	entry_members_send_heartbeat(board, agent);
}

static void receive_goodbye(struct board *board, struct agent *agent)
{
	event_log(EVENT_MEMBER_LEFT, EV_S("agent", agent->id), EV_S("host", agent->host));
	entry_dispatch_fail_outstanding(board, agent, "the agent shut down");
	entry_agent_remove(board, agent);
}

static void handle_agent_message(struct board *board, struct agent *agent, Gg__Envelope *envelope)
{
	switch (envelope->body_case) {
	case GG__ENVELOPE__BODY_HEARTBEAT:
		if (envelope->heartbeat->server)
			entry_agent_update(board, agent, envelope->heartbeat->server);
		break;
	case GG__ENVELOPE__BODY_RESULT_BATCH:
		entry_dispatch_receive_results(board, agent, envelope->result_batch);
		break;
	case GG__ENVELOPE__BODY_RECLAIM:
		receive_reclaim(board, agent, envelope->reclaim);
		break;
	case GG__ENVELOPE__BODY_RECONCILED:
		entry_dispatch_receive_reconciled(board, agent, envelope->reconciled);
		break;
	case GG__ENVELOPE__BODY_CONFIG_REQUEST:
		entry_config_send_to_agent(board, agent);
		break;
	case GG__ENVELOPE__BODY_CONFIG_STATE:
		entry_config_adopt(board, envelope->config_state);
		break;
	case GG__ENVELOPE__BODY_GOODBYE:
		receive_goodbye(board, agent);
		break;
	default:
		metric_add(METRIC_MESSAGES_INVALID, 1);
	}
}

static void receive_from_agent(struct board *board, struct agent *agent,
			       const struct channel_route *route, Gg__Envelope *envelope)
{
	if (envelope->epoch != agent->epoch || agent->lost) {
		metric_add(METRIC_MESSAGES_STALE, 1);
		return;
	}
	agent->last_received_us = board->now_us;
	agent->config_version = envelope->config_version;
	update_route(board, agent, route);
	if (envelope->granted > agent->link.granted_total) {
		link_grant(&agent->link, envelope->granted);
		entry_dispatch_update_credits(board, agent);
	}
	if (envelope->config_version > config_version(board->config) &&
	    envelope->body_case != GG__ENVELOPE__BODY_CONFIG_STATE)
		entry_config_request_from_agent(board, agent);
	handle_agent_message(board, agent, envelope);
}

void entry_members_receive(struct board *board, const struct channel_route *route,
			   Gg__Envelope *envelope)
{
	struct agent *agent;
	struct ident sender;

	entry_metrics_count_received((int)envelope->body_case);
	if (!channel_get_ident(&envelope->sender, &sender))
		return;
	if (envelope->body_case == GG__ENVELOPE__BODY_HELLO &&
	    envelope->hello->role == GG__HELLO__ROLE__AGENT) {
		receive_hello(board, route, &sender, envelope);
		return;
	}
	agent = entry_agent_find(board, &sender);
	if (agent)
		receive_from_agent(board, agent, route, envelope);
	else
		entry_peers_receive_inbound(board, route, &sender, envelope);
}

static void handle_agent_loss(struct board *board, struct agent *agent)
{
	event_log(EVENT_MEMBER_LOST, EV_S("agent", agent->id), EV_S("host", agent->host));
	entry_dispatch_fail_outstanding(board, agent, "the agent stopped responding");
	entry_agent_detach(board, agent);
	agent->lost = true;
}

/* Returns whether a start has been outstanding for longer than the task limit plus
 * channel.heartbeat_limit_ms. If so, a message was lost or the agent has a fault. */
static bool has_overdue_start(const struct board *board, const struct agent *agent)
{
	const struct daemon_settings *settings = board->settings;
	int64_t limit_ms = settings->task_limit_ms + settings->heartbeat_limit_ms;

	return entry_dispatch_has_start_before(agent, board->now_us - limit_ms * US_PER_MS);
}

static void check_agent(struct board *board, struct agent *agent)
{
	const struct daemon_settings *settings = board->settings;
	int64_t silent_ms = (board->now_us - agent->last_received_us) / US_PER_MS;
	int64_t since_reconcile_ms = (board->now_us - agent->reconcile_sent_us) / US_PER_MS;

	if (agent->lost) {
		if (silent_ms > LOST_AGENT_RETENTION_MS)
			entry_agent_remove(board, agent);
		return;
	}
	if (silent_ms >= settings->agent_lost_ms) {
		handle_agent_loss(board, agent);
		return;
	}
	if (agent->connected && silent_ms >= settings->heartbeat_limit_ms) {
		event_log(EVENT_CHANNEL_SILENT, EV_S("agent", agent->id));
		agent->connected = false;
		entry_dispatch_update_credits(board, agent);
	}
	if (!agent->connected)
		return;
	if (since_reconcile_ms >= settings->heartbeat_limit_ms &&
	    (agent->reconciling || has_overdue_start(board, agent)))
		begin_reconcile(board, agent);
	if (board->now_us - agent->last_sent_us >= settings->heartbeat_ms * US_PER_MS)
		entry_members_send_heartbeat(board, agent);
}

void entry_members_tick(struct board *board)
{
	uint32_t cursor = 0;
	struct agent *agent;

	while ((agent = table_next(&board->agents, &cursor, NULL)))
		check_agent(board, agent);
}

void entry_members_exclude_pause(struct board *board, int64_t pause_us)
{
	uint32_t cursor = 0;
	struct agent *agent;

	while ((agent = table_next(&board->agents, &cursor, NULL)))
		agent->last_received_us += pause_us;
}

void entry_members_return_credits(struct board *board)
{
	uint32_t cursor = 0;
	struct agent *agent;

	while ((agent = table_next(&board->agents, &cursor, NULL))) {
		if (agent->connected && link_return_credits(&agent->link, UINT64_MAX) > 0) {
			entry_dispatch_update_credits(board, agent);
			entry_members_send_heartbeat(board, agent);
		}
	}
}

void entry_members_send_goodbyes(struct board *board)
{
	Gg__Goodbye goodbye = GG__GOODBYE__INIT;
	uint32_t cursor = 0;
	struct agent *agent;

	goodbye.reason = "shutdown";
	while ((agent = table_next(&board->agents, &cursor, NULL))) {
		Gg__Envelope envelope = GG__ENVELOPE__INIT;

		envelope.body_case = GG__ENVELOPE__BODY_GOODBYE;
		envelope.goodbye = &goodbye;
		if (agent->connected)
			entry_members_send(board, agent, &envelope);
	}
}

void entry_members_free(struct board *board)
{
	uint32_t cursor = 0;
	struct agent *agent;

	while ((agent = table_next(&board->agents, &cursor, NULL)))
		entry_agent_remove(board, agent);
}
