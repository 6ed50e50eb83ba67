#include "agent_peer.h"

#include <string.h>
#include <zmq.h>

#include "agent_dispatch.h"
#include "agent_metrics.h"
#include "agent_server.h"
#include "event.h"

enum {
	RECONNECT_DELAY_MIN_US = 50 * US_PER_MS,
	RECONNECT_DELAY_MAX_US = US_PER_SECOND,
	/* Limit for each entry in one iteration of the event loop, so that one entry does not delay
	 * the others. */
	MESSAGES_PER_RECEIVE = 200,
	PEERS_MAX = 1000,
	GOODBYE_LINGER_MS = 500,
	MONITOR_ADDRESS_BYTES = 48,
};

static struct agent_peer *peer_at(const struct agent_board *board, guint i)
{
	return g_ptr_array_index(board->peers, i);
}

static void update_entries_metric(const struct agent_board *board)
{
	int64_t count = 0;

	for (guint i = 0; i < board->peers->len; i++)
		count += peer_at(board, i)->message_received && !peer_at(board, i)->disconnected;
	agent_metric_set(AGENT_METRIC_ENTRIES, count);
}

static void close_connection(struct agent_board *board, struct agent_peer *peer)
{
	if (peer->channel.socket) {
		zmq_socket_monitor(peer->channel.socket, NULL, 0);
		channel_close(&peer->channel);
	}
	if (peer->monitor_socket)
		zmq_close(peer->monitor_socket);
	peer->monitor_socket = NULL;
	board->poll_items_stale = true;
}

/* Makes ZeroMQ report the end of the connection. Without the report, ZeroMQ would reconnect
 * unnoticed, and the agent would not start the reconciliation that recovers messages lost in
 * transit. */
static void open_monitor(struct agent_board *board, struct agent_peer *peer)
{
	char address[MONITOR_ADDRESS_BYTES];
	int no_linger = 0;

	g_snprintf(address, sizeof(address), "inproc://monitor-%" G_GUINT64_FORMAT, peer->epoch);
	if (zmq_socket_monitor(peer->channel.socket, address, ZMQ_EVENT_DISCONNECTED) != 0)
		return;
	peer->monitor_socket = zmq_socket(board->zmq_context, ZMQ_PAIR);
	if (!peer->monitor_socket)
		return;
	zmq_setsockopt(peer->monitor_socket, ZMQ_LINGER, &no_linger, sizeof(no_linger));
	zmq_connect(peer->monitor_socket, address);
}

static void send_hello(struct agent_board *board, struct agent_peer *peer);

static void open_connection(struct agent_board *board, struct agent_peer *peer)
{
	struct error err;

	close_connection(board, peer);
	peer->epoch = ++board->last_epoch;
	peer->message_received = false;
	peer->last_connect_us = board->now_us;
	peer->last_result_sent = 0;
	peer->credits_to_reclaim = 0;
	peer->requested_config_version = 0;
	peer->disconnected = channel_connect(board->zmq_context, peer->address, &peer->channel,
					     &err) != STATUS_OK;
	if (peer->disconnected) {
		peer->reconnect_delay_us =
			MIN(peer->reconnect_delay_us * 2, RECONNECT_DELAY_MAX_US);
		event_log_error(EVENT_CHANNEL_FAILED, &err);
		return;
	}
	open_monitor(board, peer);
	agent_metric_add(AGENT_METRIC_CONNECTIONS, 1);
	send_hello(board, peer);
	update_entries_metric(board);
}

static void free_peer(struct agent_board *board, struct agent_peer *peer)
{
	close_connection(board, peer);
	g_free(peer->address);
	g_free(peer);
}

void agent_peer_add(struct agent_board *board, const char *address, const struct ident *advertised)
{
	struct agent_peer *peer;

	for (guint i = 0; i < board->peers->len; i++) {
		if (strcmp(peer_at(board, i)->address, address) == 0)
			return;
	}
	if (board->peers->len >= PEERS_MAX)
		return;
	peer = g_new0(struct agent_peer, 1);
	peer->address = g_strdup(address);
	peer->from_settings = !advertised;
	if (advertised)
		peer->advertised_incarnation = *advertised;
	peer->reconnect_delay_us = RECONNECT_DELAY_MIN_US;
	peer->last_received_us = board->now_us;
	g_ptr_array_add(board->peers, peer);
	open_connection(board, peer);
}

void agent_peer_free_all(struct agent_board *board)
{
	for (guint i = 0; i < board->peers->len; i++)
		free_peer(board, peer_at(board, i));
	g_ptr_array_free(board->peers, TRUE);
}

bool agent_peer_send(struct agent_board *board, struct agent_peer *peer, Gg__Envelope *envelope)
{
	if (peer->disconnected)
		return false;
	envelope->sender = channel_ident_field(&board->agent_incarnation);
	envelope->epoch = peer->epoch;
	envelope->sent_us = timer_clock_us();
	envelope->config_version = config_version(board->config);
	/* Before the first message on a connection, the address may belong to another incarnation.
	 * Credits are therefore sent only in the Hello, which names the incarnation they are for.
	 */
	if (peer->message_received ||
	    (peer->incarnation_known && envelope->body_case == GG__ENVELOPE__BODY_HELLO))
		envelope->granted = gate_granted_total(board->gate, peer->gate_channel);
	if (channel_send(&peer->channel, NULL, envelope, NULL) != STATUS_OK) {
		agent_metric_add(AGENT_METRIC_SEND_FAILED, 1);
		return false;
	}
	peer->last_sent_us = board->now_us;
	peer->credits_changed = false;
	peer->announce_credits = false;
	agent_metric_add(AGENT_METRIC_MESSAGES_SENT, 1);
	if (envelope->body_case != GG__ENVELOPE__BODY_RESULT_BATCH)
		agent_metric_add(AGENT_METRIC_MESSAGES_CONTROL, 1);
	return true;
}

/* The protobuf message of the server's state, with the arrays that it points to. */
struct server_info {
	Gg__ServerInfo info;
	Gg__ServerInfo__LabelsEntry *labels;
	Gg__ServerInfo__LabelsEntry **label_list;
};

static void fill_server_info(const struct agent_board *board, struct server_info *out)
{
	const struct agent_server *server = &board->server;
	size_t count = json_object_size(server->labels);
	const char *key;
	json_t *value;
	size_t i = 0;

	gg__server_info__init(&out->info);
	out->labels = g_new(Gg__ServerInfo__LabelsEntry, count);
	out->label_list = g_new(Gg__ServerInfo__LabelsEntry *, count);
	json_object_foreach (server->labels, key, value) {
		gg__server_info__labels_entry__init(&out->labels[i]);
		out->labels[i].key = (char *)key;
		out->labels[i].value = (char *)json_string_value(value);
		out->label_list[i] = &out->labels[i];
		i++;
	}
	out->info.id = (char *)server->announcement.id;
	/* Entries use the number of slots to decide whether a job could ever run here. It must
	 * therefore be positive even while the configuration allows no slots. */
	out->info.slots =
		server->usable_slots > 0 ? server->usable_slots : server->announcement.slots;
	out->info.connections = server->announcement.connections;
	out->info.n_labels = count;
	out->info.labels = out->label_list;
	out->info.open = agent_server_is_available(board) && server->usable_slots > 0;
	out->info.quarantined = server->health.state == HEALTH_QUARANTINED;
}

static void free_server_info_labels(struct server_info *info)
{
	g_free(info->labels);
	g_free(info->label_list);
}

static void send_hello(struct agent_board *board, struct agent_peer *peer)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Hello hello = GG__HELLO__INIT;
	struct server_info server = {0};

	fill_server_info(board, &server);
	hello.role = GG__HELLO__ROLE__AGENT;
	hello.zone = board->settings->zone;
	hello.host = board->settings->host;
	if (board->server.state != AGENT_SERVER_NONE)
		hello.server = &server.info;
	hello.next_seq =
		peer->incarnation_known ? gate_next_seq(board->gate, peer->gate_channel) : 1;
	if (peer->incarnation_known)
		hello.entry = channel_ident_field(&peer->incarnation);
	peer->hello_next_seq = hello.next_seq;
	envelope.body_case = GG__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	if (agent_peer_send(board, peer, &envelope))
		peer->server_changed = false;
	free_server_info_labels(&server);
}

static void send_heartbeat(struct agent_board *board, struct agent_peer *peer)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Heartbeat heartbeat = GG__HEARTBEAT__INIT;
	struct server_info server = {0};

	if (peer->server_changed && board->server.state != AGENT_SERVER_NONE) {
		fill_server_info(board, &server);
		heartbeat.server = &server.info;
	}
	envelope.body_case = GG__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	if (agent_peer_send(board, peer, &envelope))
		peer->server_changed = false;
	free_server_info_labels(&server);
}

static void send_reclaim(struct agent_board *board, struct agent_peer *peer)
{
	Gg__Envelope envelope = GG__ENVELOPE__INIT;
	Gg__Reclaim reclaim = GG__RECLAIM__INIT;

	reclaim.count = peer->credits_to_reclaim;
	envelope.body_case = GG__ENVELOPE__BODY_RECLAIM;
	envelope.reclaim = &reclaim;
	if (agent_peer_send(board, peer, &envelope))
		peer->credits_to_reclaim = 0;
}

/*
 * Returns whether a heartbeat must be sent before its regular time. New credits of an entry without
 * queued tasks are sent with the next result or heartbeat: a separate message for each slot that
 * moved between entries made up the larger part of all wasted messages.
 */
static bool needs_heartbeat(const struct agent_board *board, const struct agent_peer *peer)
{
	if (peer->announce_credits || peer->server_changed)
		return true;
	return peer->credits_changed && gate_has_demand(board->gate, peer->gate_channel);
}

void agent_peer_send_pending(struct agent_board *board)
{
	int64_t heartbeat_us = board->settings->heartbeat_ms * US_PER_MS;

	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *peer = peer_at(board, i);

		if (peer->disconnected)
			continue;
		/* Until the entry's first message on this connection, only the Hello and heartbeats
		 * are sent. */
		if (peer->message_received) {
			agent_dispatch_send_results(board, peer);
			if (peer->credits_to_reclaim > 0)
				send_reclaim(board, peer);
			if (needs_heartbeat(board, peer))
				send_heartbeat(board, peer);
		}
		if (board->now_us - peer->last_sent_us >= heartbeat_us)
			send_heartbeat(board, peer);
	}
}

void agent_peer_send_goodbyes(struct agent_board *board, const char *reason)
{
	int linger = GOODBYE_LINGER_MS;

	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *peer = peer_at(board, i);
		Gg__Envelope envelope = GG__ENVELOPE__INIT;
		Gg__Goodbye goodbye = GG__GOODBYE__INIT;

		if (!peer->message_received || peer->disconnected)
			continue;
		goodbye.reason = (char *)reason;
		envelope.body_case = GG__ENVELOPE__BODY_GOODBYE;
		envelope.goodbye = &goodbye;
		agent_peer_send(board, peer, &envelope);
		zmq_setsockopt(peer->channel.socket, ZMQ_LINGER, &linger, sizeof(linger));
	}
}

static void close_and_mark_disconnected(struct agent_board *board, struct agent_peer *peer)
{
	peer->disconnected = true;
	/* A connection on which a message was received is replaced soon; otherwise the delay
	 * doubles. */
	peer->reconnect_delay_us =
		peer->message_received ? RECONNECT_DELAY_MIN_US
				       : MIN(peer->reconnect_delay_us * 2, RECONNECT_DELAY_MAX_US);
	close_connection(board, peer);
	update_entries_metric(board);
}

void agent_peer_check_monitor(struct agent_board *board, struct agent_peer *peer)
{
	bool event_received = false;

	if (!peer->monitor_socket)
		return;
	/* Each event has two frames. Only ZMQ_EVENT_DISCONNECTED is subscribed to. */
	while (zmq_recv(peer->monitor_socket, NULL, 0, ZMQ_DONTWAIT) >= 0)
		event_received = true;
	if (event_received && !peer->disconnected)
		close_and_mark_disconnected(board, peer);
}

/* Returns another peer whose address led to the same entry incarnation, or NULL. */
static struct agent_peer *find_alias(const struct agent_board *board, const struct agent_peer *peer,
				     const struct ident *incarnation)
{
	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *other = peer_at(board, i);

		if (other != peer && other->incarnation_known &&
		    ident_equal(&other->incarnation, incarnation))
			return other;
	}
	return NULL;
}

/* Closes the connection of DROPPED, whose address leads to the same entry as that of KEPT, and
 * marks it for removal unless it is from the settings. The entry uses only the connection with the
 * highest epoch; if that was DROPPED's, KEPT reconnects to get a higher one. */
static void drop_alias(struct agent_board *board, struct agent_peer *dropped,
		       struct agent_peer *kept)
{
	dropped->incarnation_known = false;
	dropped->discarded = true;
	close_and_mark_disconnected(board, dropped);
	if (dropped->epoch > kept->epoch && !kept->disconnected)
		close_and_mark_disconnected(board, kept);
}

/* Keeps one of two addresses of the same entry: the address of PEER if it is from the settings,
 * otherwise the address of OTHER. */
static void resolve_alias(struct agent_board *board, struct agent_peer *peer,
			  struct agent_peer *other)
{
	if (peer->from_settings)
		drop_alias(board, other, peer);
	else
		drop_alias(board, peer, other);
}

/*
 * Drops the discovered addresses of the entry that PEER is connected to. The entry answers only on
 * its newest connection, so connections to these addresses would appear silent, and each
 * reconnection to one of them would make the entry stop answering PEER.
 */
static void drop_discovered_aliases(struct agent_board *board, struct agent_peer *peer)
{
	for (guint i = 0; i < board->peers->len; i++) {
		struct agent_peer *other = peer_at(board, i);

		if (other != peer && !other->from_settings && !other->discarded &&
		    ident_equal(&other->advertised_incarnation, &peer->incarnation))
			drop_alias(board, other, peer);
	}
}

/* Identifies the entry by the first message on a connection and checks the sender of later ones.
 * Returns false when the message must not be handled. */
static bool accept_sender(struct agent_board *board, struct agent_peer *peer,
			  const Gg__Envelope *envelope)
{
	struct agent_peer *alias;
	struct ident incarnation;

	if (!channel_get_ident(&envelope->sender, &incarnation))
		return false;
	if (peer->message_received)
		return ident_equal(&peer->incarnation, &incarnation);
	alias = find_alias(board, peer, &incarnation);
	if (alias) {
		resolve_alias(board, peer, alias);
		if (peer->disconnected || peer->discarded)
			return false;
	}
	/* The previous incarnation has terminated, since another one uses its address. */
	if (peer->incarnation_known && !ident_equal(&peer->incarnation, &incarnation))
		gate_close_channel(board->gate, peer->gate_channel);
	peer->incarnation = incarnation;
	peer->incarnation_known = true;
	peer->message_received = true;
	peer->discarded = false;
	peer->reconnect_delay_us = RECONNECT_DELAY_MIN_US;
	peer->gate_channel =
		gate_open_channel(board->gate, &incarnation, peer->epoch, board->now_us);
	peer->announce_credits = true;
	/*
	 * The Hello of this connection contained a lower sequence number than the gate now expects
	 * from this entry. An entry that has discarded its state of this agent would then number
	 * its starts from 1 again, and the gate would ignore them as duplicates. The next
	 * connection sends the right number.
	 */
	if (peer->hello_next_seq < gate_next_seq(board->gate, peer->gate_channel)) {
		close_and_mark_disconnected(board, peer);
		return false;
	}
	drop_discovered_aliases(board, peer);
	if (peer->disconnected)
		return false;
	event_log(EVENT_CHANNEL_OPENED, EV_S("address", peer->address),
		  EV_I("epoch", (int64_t)peer->epoch));
	update_entries_metric(board);
	return true;
}

static void handle_message(struct agent_board *board, struct agent_peer *peer,
			   Gg__Envelope *envelope)
{
	const struct gate_header header = {
		.sent_us = envelope->sent_us,
		.demand = envelope->demand,
		.consumed = envelope->consumed,
		.result_ack = envelope->result_ack,
	};

	agent_metric_add(AGENT_METRIC_MESSAGES_RECEIVED, 1);
	if (envelope->body_case != GG__ENVELOPE__BODY_START_BATCH)
		agent_metric_add(AGENT_METRIC_MESSAGES_CONTROL, 1);
	if (envelope->epoch != peer->epoch || !accept_sender(board, peer, envelope) ||
	    !gate_receive_header(board->gate, peer->gate_channel, envelope->epoch, &header,
				 board->now_us)) {
		agent_metric_add(AGENT_METRIC_MESSAGES_STALE, 1);
		return;
	}
	peer->last_received_us = board->now_us;
	/* A ConfigState contains the configuration itself. If that is invalid, the agent requests
	 * it again on a later message, at the earliest CONFIG_REQUEST_RETRY_US after the last
	 * request. */
	if (envelope->body_case != GG__ENVELOPE__BODY_CONFIG_STATE)
		agent_dispatch_check_config_version(board, peer, envelope->config_version);
	agent_dispatch_handle_message(board, peer, envelope);
}

void agent_peer_receive_messages(struct agent_board *board, struct agent_peer *peer)
{
	Gg__Envelope *envelope;
	struct error err;

	for (int i = 0; i < MESSAGES_PER_RECEIVE && !peer->disconnected; i++) {
		enum status status = channel_receive(&peer->channel, NULL, &envelope, &err);

		if (status == STATUS_NOT_FOUND)
			return;
		if (status != STATUS_OK) {
			agent_metric_add(AGENT_METRIC_MESSAGES_INVALID, 1);
			event_log_error(EVENT_MESSAGE_INVALID, &err);
			continue;
		}
		handle_message(board, peer, envelope);
		channel_free_envelope(envelope);
	}
}

/* Replaces the connection if it is silent, or if it ended and the reconnect delay has passed. */
static void maintain_connection(struct agent_board *board, struct agent_peer *peer)
{
	int64_t limit_us = board->settings->heartbeat_limit_ms * US_PER_MS;
	int64_t silent_us = board->now_us - MAX(peer->last_connect_us, peer->last_received_us);

	if (peer->disconnected) {
		if (board->now_us - peer->last_connect_us >= peer->reconnect_delay_us)
			open_connection(board, peer);
		return;
	}
	if (silent_us <= limit_us)
		return;
	if (peer->message_received)
		event_log(EVENT_CHANNEL_SILENT, EV_S("address", peer->address),
			  EV_I("epoch", (int64_t)peer->epoch));
	open_connection(board, peer);
}

/* Discards the results and credits of an entry that has been silent for too long. During a drain
 * the limit is agent_lost_ms, after which the entry considers this agent lost and no longer expects
 * its results. */
static void forget_if_silent(struct agent_board *board, struct agent_peer *peer)
{
	int64_t limit_ms =
		board->draining ? board->settings->agent_lost_ms : board->settings->entry_forget_ms;

	if (peer->discarded || board->now_us - peer->last_received_us < limit_ms * US_PER_MS)
		return;
	peer->discarded = true;
	if (!peer->incarnation_known)
		return;
	gate_close_channel(board->gate, peer->gate_channel);
	event_log(EVENT_MEMBER_LOST, EV_S("address", peer->address));
}

void agent_peer_maintain(struct agent_board *board)
{
	for (guint i = board->peers->len; i-- > 0;) {
		struct agent_peer *peer = peer_at(board, i);

		forget_if_silent(board, peer);
		if (peer->discarded && !peer->from_settings) {
			g_ptr_array_remove_index_fast(board->peers, i);
			free_peer(board, peer);
			continue;
		}
		maintain_connection(board, peer);
	}
}

int64_t agent_peer_next_reconnect_us(const struct agent_board *board)
{
	int64_t next_us = INT64_MAX;

	for (guint i = 0; i < board->peers->len; i++) {
		const struct agent_peer *peer = peer_at(board, i);

		if (peer->disconnected)
			next_us = MIN(next_us, peer->last_connect_us + peer->reconnect_delay_us);
	}
	return next_us;
}
