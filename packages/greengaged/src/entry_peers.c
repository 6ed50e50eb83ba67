#include "entry_peers.h"

#include <string.h>

#include "entry_config.h"
#include "entry_forward.h"
#include "entry_members.h"
#include "event.h"

enum {
	/* When board->ended_entries reaches this size, it is emptied. Session tokens of the dropped
	 * incarnations are then treated as those of unknown entries. */
	MAX_ENDED_INCARNATIONS = 100000
};

static void send_hello(struct board *board, struct peer *peer)
{
	Gg__Hello hello = GG__HELLO__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	hello.role = GG__HELLO__ROLE__ENTRY;
	hello.zone = board->settings->zone;
	hello.host = board->settings->host;
	hello.address = board->settings->channel_address;
	envelope.body_case = GG__ENVELOPE__BODY_HELLO;
	envelope.hello = &hello;
	entry_peers_send(board, peer, &envelope);
}

/* Opens a new connection to PEER in place of the old one, which may stay silent permanently even if
 * a new one works. */
static void connect_peer(struct board *board, struct peer *peer)
{
	struct error err;

	channel_close(&peer->channel);
	peer->epoch++;
	peer->connected = false;
	peer->last_received_us = board->now_us;
	if (channel_connect(board->zmq_context, peer->address, &peer->channel, &err) != STATUS_OK) {
		event_log_error(EVENT_CHANNEL_SILENT, &err);
		return;
	}
	send_hello(board, peer);
}

static struct peer *add_peer(struct board *board, const char *address)
{
	struct peer *peer = g_new0(struct peer, 1);

	peer->address = g_strdup(address);
	peer->last_contact_us = board->now_us;
	g_ptr_array_add(board->peers, peer);
	connect_peer(board, peer);
	return peer;
}

static struct peer *find_by_address(struct board *board, const char *address)
{
	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(board->peers, i);

		if (strcmp(peer->address, address) == 0)
			return peer;
	}
	return NULL;
}

static void free_peer(void *data)
{
	struct peer *peer = data;

	channel_close(&peer->channel);
	g_free(peer->address);
	g_free(peer->zone);
	g_free(peer);
}

void entry_peers_init(struct board *board)
{
	board->peers = g_ptr_array_new_with_free_func(free_peer);
	board->inbound_channels = g_hash_table_new_full(ident_hash, ident_equal_func, NULL, g_free);
	board->ended_entries = g_hash_table_new_full(ident_hash, ident_equal_func, g_free, NULL);
	for (char **address = board->settings->peers; address && *address; address++) {
		if (strcmp(*address, board->settings->channel_address) != 0 &&
		    !find_by_address(board, *address))
			add_peer(board, *address);
	}
}

void entry_peers_free(struct board *board)
{
	g_ptr_array_free(board->peers, TRUE);
	g_hash_table_destroy(board->inbound_channels);
	g_hash_table_destroy(board->ended_entries);
}

static bool has_ended(const struct board *board, const struct ident *incarnation)
{
	return g_hash_table_contains(board->ended_entries, incarnation);
}

/* Records that the entry INCARNATION has ended. Its sessions and claims then have no owner. Refuses
 * the requests forwarded to it. */
static void mark_ended(struct board *board, const struct ident *incarnation)
{
	if (has_ended(board, incarnation))
		return;
	if (g_hash_table_size(board->ended_entries) >= MAX_ENDED_INCARNATIONS)
		g_hash_table_remove_all(board->ended_entries);
	g_hash_table_add(board->ended_entries, g_memdup2(incarnation, sizeof(*incarnation)));
	board->last_entry_ended_us = board->now_us;
	g_hash_table_remove(board->inbound_channels, incarnation);
	entry_forward_fail_for_owner(board, incarnation);
	board->entries_changed = true;
}

/* Records that INCARNATION now answers at the address of PEER. If a different incarnation was
 * known at this address before, that one has ended. */
static void update_incarnation(struct board *board, struct peer *peer,
			       const struct ident *incarnation)
{
	struct ident previous = peer->incarnation;
	bool replaced = peer->incarnation_known;

	if (peer->incarnation_known && ident_equal(&previous, incarnation))
		return;
	peer->incarnation_known = true;
	peer->incarnation = *incarnation;
	board->entries_changed = true;
	if (replaced)
		mark_ended(board, &previous);
	event_log(EVENT_MEMBER_JOINED, EV_S("entry", peer->address), EV_I("replaced", replaced));
}

/* Returns whether PEER is not connected but may still be running: its last message, or its
 * addition, is less than channel.entry_forget_ms ago. */
static bool may_still_be_running(const struct board *board, const struct peer *peer)
{
	int64_t silent_us = board->now_us - peer->last_contact_us;

	return !(peer->incarnation_known && peer->connected) &&
	       silent_us < board->settings->entry_forget_ms * US_PER_MS;
}

/*
 * An incarnation has ended when it sent a Goodbye, when another one answers at its address, or when
 * its address has not answered for channel.entry_forget_ms. An unknown incarnation may be running
 * at an address that does not answer this entry, for example after a restart that this entry has
 * not noticed yet. It therefore counts as unreachable while any peer may be running without a
 * connection, and as ended otherwise.
 */
enum owner_state entry_peers_find_owner(struct board *board, const struct ident *incarnation,
					struct peer **peer)
{
	bool any_may_be_running = false;

	if (has_ended(board, incarnation))
		return OWNER_ENDED;
	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *candidate = g_ptr_array_index(board->peers, i);
		bool may_be_running = may_still_be_running(board, candidate);

		if (candidate->incarnation_known &&
		    ident_equal(&candidate->incarnation, incarnation)) {
			*peer = candidate;
			if (candidate->connected)
				return OWNER_REACHABLE;
			return may_be_running ? OWNER_UNREACHABLE : OWNER_ENDED;
		}
		any_may_be_running = any_may_be_running || may_be_running;
	}
	return any_may_be_running ? OWNER_UNREACHABLE : OWNER_ENDED;
}

enum status entry_peers_send(struct board *board, struct peer *peer, Gg__Envelope *envelope)
{
	if (!peer->channel.socket)
		return STATUS_NETWORK;
	entry_members_fill_header(board, envelope, peer->epoch);
	if (channel_send(&peer->channel, NULL, envelope, NULL) != STATUS_OK) {
		metric_add(METRIC_SEND_FAILED, 1);
		return STATUS_NETWORK;
	}
	entry_metrics_count_sent((int)envelope->body_case);
	peer->last_sent_us = board->now_us;
	return STATUS_OK;
}

static enum status send_inbound(struct board *board, struct inbound_channel *inbound,
				Gg__Envelope *envelope)
{
	entry_members_fill_header(board, envelope, inbound->epoch);
	if (channel_send(&board->router, &inbound->route, envelope, NULL) != STATUS_OK) {
		metric_add(METRIC_SEND_FAILED, 1);
		return STATUS_NETWORK;
	}
	entry_metrics_count_sent((int)envelope->body_case);
	inbound->last_sent_us = board->now_us;
	return STATUS_OK;
}

enum status entry_peers_send_on_inbound(struct board *board, const struct ident *incarnation,
					Gg__Envelope *envelope)
{
	struct inbound_channel *inbound = g_hash_table_lookup(board->inbound_channels, incarnation);

	return inbound ? send_inbound(board, inbound, envelope) : STATUS_NETWORK;
}

/* Sends the configuration in force to PEER or, if that is NULL, on INBOUND. */
static void send_config(struct board *board, struct peer *peer, struct inbound_channel *inbound)
{
	Gg__ConfigState state = GG__CONFIG_STATE__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_STATE;
	envelope.config_state = &state;
	entry_config_fill_state(board, &state);
	if (peer)
		entry_peers_send(board, peer, &envelope);
	else
		send_inbound(board, inbound, &envelope);
}

/* Requests the configuration of PEER if RECEIVED, a message from it, has a higher configuration
 * version in its header and is not itself a configuration. */
static void request_newer_config(struct board *board, struct peer *peer,
				 const Gg__Envelope *received)
{
	Gg__ConfigRequest request = GG__CONFIG_REQUEST__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	if (received->config_version <= config_version(board->config) ||
	    received->body_case == GG__ENVELOPE__BODY_CONFIG_STATE)
		return;
	request.have_version = config_version(board->config);
	envelope.body_case = GG__ENVELOPE__BODY_CONFIG_REQUEST;
	envelope.config_request = &request;
	entry_peers_send(board, peer, &envelope);
}

/* INCARNATION is passed by value, since this function may free the struct that holds it. */
static void receive_goodbye(struct board *board, struct ident incarnation)
{
	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(board->peers, i);

		if (!peer->incarnation_known || !ident_equal(&peer->incarnation, &incarnation))
			continue;
		event_log(EVENT_MEMBER_LEFT, EV_S("entry", peer->address));
		peer->incarnation_known = false;
		peer->connected = false;
	}
	mark_ended(board, &incarnation);
}

void entry_peers_receive(struct board *board, struct peer *peer, Gg__Envelope *envelope)
{
	struct ident sender;

	entry_metrics_count_received((int)envelope->body_case);
	if (!channel_get_ident(&envelope->sender, &sender) || has_ended(board, &sender) ||
	    envelope->epoch != peer->epoch) {
		metric_add(METRIC_MESSAGES_STALE, 1);
		return;
	}
	update_incarnation(board, peer, &sender);
	peer->connected = true;
	peer->last_received_us = board->now_us;
	peer->last_contact_us = board->now_us;
	request_newer_config(board, peer, envelope);
	switch (envelope->body_case) {
	case GG__ENVELOPE__BODY_WELCOME:
		g_free(peer->zone);
		peer->zone = g_strdup(envelope->welcome->zone);
		board->entries_changed = true;
		break;
	case GG__ENVELOPE__BODY_FORWARD_REPLY:
		entry_forward_receive_reply(board, envelope->forward_reply);
		break;
	case GG__ENVELOPE__BODY_CONFIG_REQUEST:
		send_config(board, peer, NULL);
		break;
	case GG__ENVELOPE__BODY_CONFIG_STATE:
		entry_config_adopt(board, envelope->config_state);
		break;
	case GG__ENVELOPE__BODY_GOODBYE:
		receive_goodbye(board, sender);
		break;
	default:
		break;
	}
}

static void send_welcome(struct board *board, struct inbound_channel *inbound)
{
	Gg__Welcome welcome = GG__WELCOME__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	welcome.zone = board->settings->zone;
	envelope.body_case = GG__ENVELOPE__BODY_WELCOME;
	envelope.welcome = &welcome;
	send_inbound(board, inbound, &envelope);
}

/* Updates the peer at the address in HELLO. An entry that is not in the settings is added as a new
 * peer. */
static void update_peer_from_hello(struct board *board, const struct ident *sender,
				   const Gg__Hello *hello)
{
	struct peer *peer;

	if (hello->address[0] == '\0')
		return;
	peer = find_by_address(board, hello->address);
	if (!peer)
		peer = add_peer(board, hello->address);
	else if (!peer->incarnation_known || !ident_equal(&peer->incarnation, sender))
		connect_peer(board, peer);
	update_incarnation(board, peer, sender);
	peer->last_contact_us = board->now_us;
}

static void receive_hello(struct board *board, const struct channel_route *route,
			  const struct ident *sender, const Gg__Envelope *envelope)
{
	struct inbound_channel *inbound = g_hash_table_lookup(board->inbound_channels, sender);

	if (inbound && envelope->epoch <= inbound->epoch) {
		metric_add(METRIC_MESSAGES_STALE, 1);
		return;
	}
	if (!inbound) {
		inbound = g_new0(struct inbound_channel, 1);
		inbound->incarnation = *sender;
		g_hash_table_insert(board->inbound_channels, &inbound->incarnation, inbound);
	}
	inbound->route = *route;
	inbound->epoch = envelope->epoch;
	inbound->last_received_us = board->now_us;
	update_peer_from_hello(board, sender, envelope->hello);
	send_welcome(board, inbound);
}

static void handle_inbound_message(struct board *board, struct inbound_channel *inbound,
				   Gg__Envelope *envelope)
{
	switch (envelope->body_case) {
	case GG__ENVELOPE__BODY_FORWARD:
		entry_forward_receive(board, &inbound->incarnation, envelope->forward);
		break;
	case GG__ENVELOPE__BODY_CONFIG_REQUEST:
		send_config(board, NULL, inbound);
		break;
	case GG__ENVELOPE__BODY_CONFIG_STATE:
		entry_config_adopt(board, envelope->config_state);
		break;
	case GG__ENVELOPE__BODY_GOODBYE:
		receive_goodbye(board, inbound->incarnation);
		break;
	default:
		break;
	}
}

void entry_peers_receive_inbound(struct board *board, const struct channel_route *route,
				 const struct ident *sender, Gg__Envelope *envelope)
{
	struct inbound_channel *inbound;

	if (has_ended(board, sender)) {
		metric_add(METRIC_MESSAGES_STALE, 1);
		return;
	}
	if (envelope->body_case == GG__ENVELOPE__BODY_HELLO) {
		receive_hello(board, route, sender, envelope);
		return;
	}
	inbound = g_hash_table_lookup(board->inbound_channels, sender);
	if (!inbound || envelope->epoch != inbound->epoch) {
		metric_add(METRIC_MESSAGES_STALE, 1);
		return;
	}
	inbound->route = *route;
	inbound->last_received_us = board->now_us;
	handle_inbound_message(board, inbound, envelope);
}

/* Sends a heartbeat to PEER or, if that is NULL, on INBOUND. */
static void send_heartbeat(struct board *board, struct peer *peer, struct inbound_channel *inbound)
{
	Gg__Heartbeat heartbeat = GG__HEARTBEAT__INIT;
	Gg__Envelope envelope = GG__ENVELOPE__INIT;

	envelope.body_case = GG__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	if (peer)
		entry_peers_send(board, peer, &envelope);
	else
		send_inbound(board, inbound, &envelope);
}

static void check_peer(struct board *board, struct peer *peer)
{
	int64_t silent_us = board->now_us - peer->last_received_us;

	if (silent_us >= board->settings->heartbeat_limit_ms * US_PER_MS) {
		if (peer->connected)
			event_log(EVENT_CHANNEL_SILENT, EV_S("entry", peer->address));
		connect_peer(board, peer);
		return;
	}
	if (board->now_us - peer->last_sent_us >= board->settings->heartbeat_ms * US_PER_MS)
		send_heartbeat(board, peer, NULL);
}

void entry_peers_tick(struct board *board)
{
	const struct daemon_settings *settings = board->settings;
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < board->peers->len; i++)
		check_peer(board, g_ptr_array_index(board->peers, i));
	g_hash_table_iter_init(&iter, board->inbound_channels);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct inbound_channel *inbound = value;

		if (board->now_us - inbound->last_received_us >=
		    settings->entry_forget_ms * US_PER_MS)
			g_hash_table_iter_remove(&iter);
		else if (board->now_us - inbound->last_sent_us >=
			 settings->heartbeat_ms * US_PER_MS)
			send_heartbeat(board, NULL, inbound);
	}
}

void entry_peers_exclude_pause(struct board *board, int64_t pause_us)
{
	GHashTableIter iter;
	void *value;

	for (guint i = 0; i < board->peers->len; i++) {
		struct peer *peer = g_ptr_array_index(board->peers, i);

		peer->last_received_us += pause_us;
		peer->last_contact_us += pause_us;
	}
	g_hash_table_iter_init(&iter, board->inbound_channels);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct inbound_channel *)value)->last_received_us += pause_us;
}

bool entry_peers_all_known(const struct board *board)
{
	for (guint i = 0; i < board->peers->len; i++) {
		const struct peer *peer = g_ptr_array_index(board->peers, i);

		if (!peer->incarnation_known)
			return false;
	}
	return true;
}

void entry_peers_send_goodbyes(struct board *board)
{
	Gg__Goodbye goodbye = GG__GOODBYE__INIT;

	goodbye.reason = "shutdown";
	for (guint i = 0; i < board->peers->len; i++) {
		Gg__Envelope envelope = GG__ENVELOPE__INIT;

		envelope.body_case = GG__ENVELOPE__BODY_GOODBYE;
		envelope.goodbye = &goodbye;
		entry_peers_send(board, g_ptr_array_index(board->peers, i), &envelope);
	}
}
