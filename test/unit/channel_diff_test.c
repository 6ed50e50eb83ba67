/* Tests the links of several entries and the gate of one agent: messages are randomly lost,
 * delayed, reordered and duplicated, and connections are reopened. A model records what happened to
 * each start. */
#include <glib.h>
#include <stdlib.h>

#include "gate.h"
#include "link.h"
#include "sequence.h"

enum {
	MAX_PEERS = 6,
	MAX_MESSAGES = 256,
	MAX_STARTS = 256,
	MAX_LIST = 32,
	SEED = 20261204,
	SEQUENCE_COUNT = 100000,
	RECOVERY_ROUNDS = 40, /* rounds of message exchange after the last loss within which all
				 results and credits must be recovered */
	MAX_START_DELAY_US = 2000000,
};

enum step_kind {
	STEP_START,
	STEP_ENTRY_SEND,
	STEP_SET_DEMAND,
	STEP_RETURN_CREDITS,
	STEP_RECONCILE,
	STEP_DELIVER_TO_AGENT,
	STEP_DELIVER_TO_ENTRY,
	STEP_LOSE_MESSAGE,
	STEP_DUPLICATE_MESSAGE,
	STEP_FINISH,
	STEP_DISTRIBUTE_CREDITS,
	STEP_AGENT_SEND,
	STEP_RECONNECT,
	STEP_SET_SLOTS,
	STEP_REPLACE_ENTRY,
	STEP_CLOSE_CHANNEL,
	STEP_FORGET_AGENT,
	STEP_ADVANCE_TIME,
	STEP_RAISE_CONFIG,
	STEP_SET_LEAVING,
};

static const struct sequence_kind step_kinds[] = {
	[STEP_START] = {"start", 30},
	[STEP_ENTRY_SEND] = {"entry-send", 8},
	[STEP_SET_DEMAND] = {"set-demand", 6},
	[STEP_RETURN_CREDITS] = {"return-credits", 2},
	[STEP_RECONCILE] = {"reconcile", 3},
	[STEP_DELIVER_TO_AGENT] = {"deliver-to-agent", 40},
	[STEP_DELIVER_TO_ENTRY] = {"deliver-to-entry", 40},
	[STEP_LOSE_MESSAGE] = {"lose-message", 5},
	[STEP_DUPLICATE_MESSAGE] = {"duplicate-message", 5},
	[STEP_FINISH] = {"finish", 20},
	[STEP_DISTRIBUTE_CREDITS] = {"distribute-credits", 20},
	[STEP_AGENT_SEND] = {"agent-send", 20},
	[STEP_RECONNECT] = {"reconnect", 6},
	[STEP_SET_SLOTS] = {"set-slots", 3},
	[STEP_REPLACE_ENTRY] = {"replace-entry", 2},
	[STEP_CLOSE_CHANNEL] = {"close-channel", 2},
	[STEP_FORGET_AGENT] = {"forget-agent", 2},
	[STEP_ADVANCE_TIME] = {"advance-time", 8},
	[STEP_RAISE_CONFIG] = {"raise-config", 2},
	[STEP_SET_LEAVING] = {"set-leaving", 1},
};

struct result {
	uint64_t number;
	uint64_t seq;
	enum status status;
	bool not_started;
};

struct message {
	uint64_t epoch;
	int64_t sent_us;
	uint64_t config_version;
	uint64_t demand;
	uint64_t consumed_total;
	uint64_t result_ack;
	uint64_t granted_total;
	uint64_t reclaim;
	uint64_t start_seq; /* sequence number of a start, or 0 */
	uint64_t next_seq;  /* set in Reconcile and Hello messages, otherwise 0 */
	bool hello;
	uint32_t count;
	uint64_t seqs[MAX_LIST]; /* outstanding starts in Reconcile, starts that were not admitted
				    in Reconciled */
	uint32_t result_count;
	struct result results[MAX_LIST];
};

struct queue {
	struct message *messages[MAX_MESSAGES];
	uint32_t count;
};

/* What the model knows about a start. */
struct start_record {
	bool sent;
	bool seen; /* the start arrived, was skipped or was reported as not admitted, so it can no
		      longer be admitted */
	bool admitted;
	bool running;
	bool result_discarded; /* the agent closed the channel, or the entry abandoned the start, so
				  the result need not be accepted */
	bool reported_not_run; /* the entry learned that the start did not run */
	uint8_t accepted_count;
	uint8_t unknown_count; /* times the start ended with an unknown outcome (STATUS_AGENT_LOST
				  or abandoned) */
};

/* One entry incarnation and its channel to the agent. */
struct peer {
	struct link link;
	struct handle channel;
	uint64_t agent_epoch;	   /* epoch of the newest connection at the agent */
	uint64_t entry_epoch;	   /* epoch of the newest Hello that the entry received, or 0 */
	uint64_t last_sent_result; /* highest result number sent on this connection */
	int64_t clock_offset_us;   /* clock of the entry minus clock of the agent */
	int64_t min_delay_us;	   /* smallest delay (receive time - send time, both on the agent's
				      clock)      of the messages received so far */
	uint64_t demand;
	uint64_t config;
	bool has_min_delay;
	bool alive;
	bool closed;
	bool link_freed; /* the entry has no link until the next Hello */
	struct queue to_agent;
	struct queue to_entry;
	struct start_record starts[MAX_STARTS];
};

struct simulation {
	struct gate *gate;
	struct gate_limits limits;
	struct peer peers[MAX_PEERS];
	uint32_t peer_count;
	int64_t now_us;
	uint64_t config;
	uint32_t slots;
	uint32_t running;
	bool leaving;
	bool in_order; /* messages of one connection are delivered in order */
	const char *failure;
};

static void expect(struct simulation *sim, bool condition, const char *text)
{
	if (!condition && !sim->failure)
		sim->failure = text;
}

/* Returns the slots of the agent plus the starts it may prefetch. */
static uint64_t start_limit(const struct simulation *sim)
{
	return (uint64_t)sim->slots * (1 + sim->limits.prefetch);
}

static void queue_push(struct queue *queue, const struct message *message)
{
	if (queue->count < MAX_MESSAGES)
		queue->messages[queue->count++] = g_memdup2(message, sizeof(*message));
}

static struct message *queue_remove(struct queue *queue, uint32_t index)
{
	struct message *message = queue->messages[index];

	queue->count--;
	for (uint32_t i = index; i < queue->count; i++)
		queue->messages[i] = queue->messages[i + 1];
	return message;
}

static void queue_insert(struct queue *queue, uint32_t index, struct message *message)
{
	for (uint32_t i = queue->count; i > index; i--)
		queue->messages[i] = queue->messages[i - 1];
	queue->messages[index] = message;
	queue->count++;
}

/* Removes and returns the message at INDEX or, if messages are delivered in order, the first one of
 * the same connection. */
static struct message *take_message(struct simulation *sim, struct queue *queue, uint32_t index)
{
	if (queue->count == 0)
		return NULL;
	index %= queue->count;
	for (uint32_t i = 0; sim->in_order && i < index; i++) {
		if (queue->messages[i]->epoch == queue->messages[index]->epoch)
			index = i;
	}
	return queue_remove(queue, index);
}

static void queue_clear(struct queue *queue)
{
	while (queue->count > 0)
		g_free(queue->messages[--queue->count]);
}

static void reconnect(struct simulation *sim, struct peer *peer)
{
	struct ident entry = {{(uint8_t)(peer - sim->peers + 1)}};
	struct message hello = {.hello = true};

	hello.epoch = ++peer->agent_epoch;
	peer->last_sent_result = 0;
	peer->channel = gate_open_channel(sim->gate, &entry, peer->agent_epoch, sim->now_us);
	peer->closed = false;
	hello.granted_total = gate_granted_total(sim->gate, peer->channel);
	hello.next_seq = gate_next_seq(sim->gate, peer->channel);
	queue_push(&peer->to_entry, &hello);
}

static void add_peer(struct simulation *sim, uint64_t sequence_seed)
{
	struct peer *peer = &sim->peers[sim->peer_count++];

	link_init(&peer->link);
	peer->alive = true;
	peer->clock_offset_us = (int64_t)(sequence_seed * (2 * (uint64_t)sim->peer_count + 1));
	reconnect(sim, peer);
}

static void entry_send(struct simulation *sim, struct peer *peer, struct message *message)
{
	message->epoch = peer->entry_epoch;
	message->sent_us = (int64_t)((uint64_t)sim->now_us + (uint64_t)peer->clock_offset_us);
	message->config_version = peer->config;
	message->demand = peer->demand;
	message->consumed_total = peer->link.consumed_total;
	message->result_ack = peer->link.result_ack;
	if (peer->entry_epoch > 0)
		queue_push(&peer->to_agent, message);
}

static void send_start(struct simulation *sim, struct peer *peer)
{
	struct handle job = {1, 1};
	struct message message = {0};

	if (!peer->alive || peer->entry_epoch == 0 || peer->link.next_seq == MAX_STARTS)
		return;
	message.start_seq = link_record_start(&peer->link, job, 0, sim->now_us);
	if (message.start_seq == 0)
		return;
	/* Resets the record: an entry that freed its link reuses sequence numbers that never
	 * reached the agent. */
	peer->starts[message.start_seq] = (struct start_record){.sent = true};
	entry_send(sim, peer, &message);
}

/* Adds the results with numbers above AFTER to ANSWER and sends it. */
static void agent_send(struct simulation *sim, struct peer *peer, uint64_t after,
		       struct message *answer)
{
	const struct gate_result *result = NULL;

	answer->epoch = peer->agent_epoch;
	answer->granted_total = gate_granted_total(sim->gate, peer->channel);
	while (answer->result_count < MAX_LIST &&
	       (result = gate_next_result(sim->gate, peer->channel, after))) {
		answer->results[answer->result_count++] = (struct result){
			result->number, result->seq, result->status, result->not_started};
		after = result->number;
		peer->last_sent_result = after;
	}
	queue_push(&peer->to_entry, answer);
}

/* Marks all sequence numbers up to SEQ as seen. */
static void mark_seen(struct peer *peer, uint64_t seq)
{
	for (uint64_t i = 1; i <= seq && i < MAX_STARTS; i++)
		peer->starts[i].seen = true;
}

static enum status expected_status(const struct simulation *sim, const struct peer *peer,
				   const struct message *message, int64_t delay_us)
{
	if (peer->starts[message->start_seq].seen)
		return STATUS_DUPLICATE_START;
	if (sim->leaving)
		return STATUS_SERVER_LEAVING;
	if (delay_us - peer->min_delay_us > MAX_START_DELAY_US)
		return STATUS_START_LATE;
	if (message->config_version < sim->config)
		return STATUS_STALE_CONFIG;
	return sim->running >= start_limit(sim) ? STATUS_NO_SLOT : STATUS_OK;
}

static void admit(struct simulation *sim, struct peer *peer, const struct message *message,
		  int64_t delay_us)
{
	struct gate_start arrived = {message->start_seq, message->sent_us, message->config_version};
	struct gate_result refusal = {.seq = message->start_seq};
	enum status expected = expected_status(sim, peer, message, delay_us);
	struct start_record *record = &peer->starts[message->start_seq];

	refusal.status = gate_admit(sim->gate, peer->channel, &arrived, sim->now_us);
	expect(sim, refusal.status == expected, "the gate and the model disagree on a start");
	mark_seen(peer, message->start_seq);
	if (refusal.status == STATUS_OK) {
		expect(sim, !record->admitted, "a sequence number was admitted twice");
		expect(sim, !record->reported_not_run, "a start reported as not run was admitted");
		record->admitted = record->running = true;
		expect(sim, ++sim->running <= start_limit(sim),
		       "more starts run than slots and prefetch allow");
	} else if (refusal.status != STATUS_DUPLICATE_START) {
		gate_store_refusal(sim->gate, peer->channel, &refusal);
	}
	expect(sim, gate_admitted_count(sim->gate) == sim->running,
	       "the gate reports a wrong number of admitted starts");
}

static void reconcile(struct simulation *sim, struct peer *peer, const struct message *message)
{
	struct message answer = {0};

	mark_seen(peer, message->next_seq - 1);
	for (uint32_t i = 0; i < message->count; i++) {
		uint64_t seq = message->seqs[i];
		enum gate_start_state state =
			gate_reconcile(sim->gate, peer->channel, message->next_seq, seq);

		expect(sim, (state == GATE_START_RUNNING) == peer->starts[seq].running,
		       "gate_reconcile and the model disagree on whether a start runs");
		if (state == GATE_START_NOT_ADMITTED)
			answer.seqs[answer.count++] = seq;
	}
	agent_send(sim, peer, 0, &answer);
}

static void agent_receive(struct simulation *sim, struct peer *peer, const struct message *message)
{
	struct gate_header header = {message->sent_us, message->demand, message->consumed_total,
				     message->result_ack};
	int64_t delay_us = (int64_t)((uint64_t)sim->now_us - (uint64_t)message->sent_us);
	bool current = !peer->closed && message->epoch >= peer->agent_epoch;

	expect(sim,
	       gate_receive_header(sim->gate, peer->channel, message->epoch, &header,
				   sim->now_us) == current,
	       "a message of an old connection was accepted, or a current one ignored");
	if (!current)
		return;
	/* The clock offset is added so that both times are on the agent's clock. Without it, the
	 * difference of two delays could overflow 64 bits. */
	delay_us = (int64_t)((uint64_t)delay_us + (uint64_t)peer->clock_offset_us);
	peer->min_delay_us = peer->has_min_delay ? MIN(peer->min_delay_us, delay_us) : delay_us;
	peer->has_min_delay = true;
	if (message->start_seq != 0)
		admit(sim, peer, message, delay_us);
	if (message->next_seq != 0)
		reconcile(sim, peer, message);
}

/* Ends the start SEQ at the entry, which has learned that the start did not run. */
static void record_not_run(struct simulation *sim, struct peer *peer, uint64_t seq)
{
	struct link_start ended;

	if (!link_end_start(&peer->link, seq, &ended))
		return;
	expect(sim, !peer->starts[seq].admitted, "an admitted start was reported as not run");
	peer->starts[seq].reported_not_run = true;
}

static void entry_take_result(struct simulation *sim, struct peer *peer,
			      const struct result *result)
{
	struct start_record *record = &peer->starts[result->seq];
	struct link_start ended;

	if (!link_accept_result(&peer->link, result->number))
		return;
	if (result->not_started) {
		record_not_run(sim, peer, result->seq);
		return;
	}
	if (!link_end_start(&peer->link, result->seq, &ended))
		return;
	expect(sim, ended.seq == result->seq, "the link ended the wrong start");
	expect(sim, !record->running, "a result arrived for a running start");
	if (result->status == STATUS_AGENT_LOST) {
		expect(sim, record->result_discarded || !record->admitted,
		       "a result was lost although neither side discarded it");
		record->unknown_count++;
		return;
	}
	expect(sim, record->admitted, "a result arrived for a start that was not admitted");
	record->accepted_count++;
}

/* Sends a Reconcile message with all outstanding starts. */
static void send_reconcile(struct simulation *sim, struct peer *peer)
{
	struct message request = {.next_seq = peer->link.next_seq};
	struct link_start starts[MAX_LIST];

	request.count = MIN(link_outstanding(&peer->link, starts, MAX_LIST), MAX_LIST);
	for (uint32_t i = 0; i < request.count; i++)
		request.seqs[i] = starts[i].seq;
	entry_send(sim, peer, &request);
}

static void entry_receive(struct simulation *sim, struct peer *peer, const struct message *message)
{
	if (!peer->alive)
		return;
	if (message->hello && message->epoch > peer->entry_epoch) {
		peer->entry_epoch = message->epoch;
		link_resume(&peer->link, message->next_seq, message->granted_total);
		peer->link_freed = false;
		send_reconcile(sim, peer);
	}
	if (message->epoch != peer->entry_epoch)
		return;
	link_grant(&peer->link, message->granted_total);
	for (uint32_t i = 0; i < message->count; i++)
		record_not_run(sim, peer, message->seqs[i]);
	for (uint32_t i = 0; i < message->result_count; i++)
		entry_take_result(sim, peer, &message->results[i]);
	if (message->reclaim > 0) {
		link_return_credits(&peer->link, message->reclaim);
		entry_send(sim, peer, &(struct message){0});
	}
}

static void deliver(struct simulation *sim, struct peer *peer, bool to_agent, uint32_t index)
{
	struct message *message =
		take_message(sim, to_agent ? &peer->to_agent : &peer->to_entry, index);

	if (!message)
		return;
	if (to_agent)
		agent_receive(sim, peer, message);
	else
		entry_receive(sim, peer, message);
	g_free(message);
}

static void finish_start(struct simulation *sim, uint32_t index)
{
	for (uint32_t i = 0; i < sim->peer_count * MAX_STARTS; i++) {
		struct peer *peer = &sim->peers[i / MAX_STARTS];
		struct start_record *record = &peer->starts[i % MAX_STARTS];
		struct gate_result result = {.seq = i % MAX_STARTS, .body = malloc(1)};

		if (!record->running || index-- > 0) {
			free(result.body);
			continue;
		}
		gate_finish(sim->gate, peer->channel, &result);
		record->running = false;
		record->result_discarded |= peer->closed;
		sim->running--;
		return;
	}
}

/* Returns the largest number of starts that may run: those running, those in transit that may still
 * be admitted, and those that unused credits allow. */
static uint64_t possible_starts(const struct simulation *sim)
{
	uint64_t possible = sim->running;

	for (uint32_t i = 0; i < sim->peer_count; i++) {
		const struct peer *peer = &sim->peers[i];
		uint64_t last = 0;

		if (peer->closed || peer->link_freed)
			continue;
		possible +=
			gate_granted_total(sim->gate, peer->channel) - peer->link.consumed_total;
		for (uint32_t j = 0; j < peer->to_agent.count; j++) {
			const struct message *message = peer->to_agent.messages[j];

			if (message->start_seq <= last || message->epoch < peer->agent_epoch)
				continue;
			last = message->start_seq;
			possible += !peer->starts[last].seen;
		}
	}
	return possible;
}

static uint64_t total_granted(const struct simulation *sim)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < sim->peer_count; i++)
		total += gate_granted_total(sim->gate, sim->peers[i].channel);
	return total;
}

static void distribute_credits(struct simulation *sim, uint32_t capacity)
{
	struct gate_credit_change changes[MAX_PEERS];
	uint64_t before = total_granted(sim);
	uint32_t count = gate_distribute_credits(sim->gate, changes, capacity);

	for (uint32_t i = 0; i < count; i++) {
		struct message message = {.granted_total = changes[i].granted,
					  .reclaim = changes[i].reclaim};
		struct peer *peer = sim->peers;

		while (!handle_equal(peer->channel, changes[i].channel))
			peer++;
		message.epoch = peer->agent_epoch;
		queue_push(&peer->to_entry, &message);
	}
	/* The bound is checked only if messages stay in order and silent entries keep their
	 * credits. */
	if (sim->in_order && sim->limits.silence_timeout_us == 0 && total_granted(sim) > before)
		expect(sim, possible_starts(sim) <= start_limit(sim),
		       "more credits are granted than slots and prefetch allow");
}

static void close_channel(struct simulation *sim, struct peer *peer)
{
	gate_close_channel(sim->gate, peer->channel);
	peer->closed = true;
	for (uint32_t i = 1; i < MAX_STARTS; i++)
		peer->starts[i].result_discarded |=
			peer->starts[i].admitted && !peer->starts[i].running;
}

/* Simulates an entry that considers the agent lost: abandons its starts, drops the messages sent to
 * it and frees its link. */
static void forget_agent(struct peer *peer)
{
	struct link_start ended;

	while (link_abandon_start(&peer->link, &ended)) {
		peer->starts[ended.seq].unknown_count++;
		peer->starts[ended.seq].result_discarded = true;
	}
	link_free(&peer->link);
	queue_clear(&peer->to_entry);
	peer->entry_epoch = 0;
	peer->link_freed = true;
}

static void lose_or_duplicate(struct simulation *sim, struct queue *queue, uint32_t index,
			      bool duplicate)
{
	struct message *copy;

	if (queue->count == 0 || queue->count == MAX_MESSAGES)
		return;
	index %= queue->count;
	if (!duplicate) {
		g_free(queue_remove(queue, index));
		return;
	}
	copy = g_memdup2(queue->messages[index], sizeof(*copy));
	queue_insert(queue, sim->in_order ? index : queue->count, copy);
}

static void apply_network_step(struct simulation *sim, struct peer *peer,
			       const struct sequence_step *step)
{
	struct queue *queue = step->c % 2 ? &peer->to_agent : &peer->to_entry;

	switch ((enum step_kind)step->kind) {
	case STEP_DELIVER_TO_AGENT:
		deliver(sim, peer, true, step->b);
		break;
	case STEP_DELIVER_TO_ENTRY:
		deliver(sim, peer, false, step->b);
		break;
	case STEP_LOSE_MESSAGE:
	case STEP_DUPLICATE_MESSAGE:
		lose_or_duplicate(sim, queue, step->b, step->kind == STEP_DUPLICATE_MESSAGE);
		break;
	case STEP_RECONNECT:
		if (peer->alive)
			reconnect(sim, peer);
		break;
	case STEP_CLOSE_CHANNEL:
		close_channel(sim, peer);
		break;
	case STEP_ADVANCE_TIME:
		sim->now_us += step->a < 200 ? step->b * 1000 : 1500000 + step->b * 10000;
		break;
	default:
		break;
	}
}

static void apply_entry_step(struct simulation *sim, struct peer *peer,
			     const struct sequence_step *step, uint64_t sequence_seed)
{
	if (!peer->alive)
		return;
	switch ((enum step_kind)step->kind) {
	case STEP_START:
		send_start(sim, peer);
		break;
	case STEP_ENTRY_SEND:
		peer->config = step->c % 2 ? sim->config : peer->config;
		entry_send(sim, peer, &(struct message){0});
		break;
	case STEP_SET_DEMAND:
		peer->demand = step->b % 2 ? step->c : 0;
		break;
	case STEP_RETURN_CREDITS:
		link_return_credits(&peer->link, step->b % 4);
		break;
	case STEP_FORGET_AGENT:
		forget_agent(peer);
		break;
	case STEP_RECONCILE:
		send_reconcile(sim, peer);
		break;
	case STEP_REPLACE_ENTRY:
		peer->alive = sim->peer_count == MAX_PEERS;
		if (!peer->alive)
			add_peer(sim, sequence_seed);
		break;
	default:
		break;
	}
}

static void apply_agent_step(struct simulation *sim, struct peer *peer,
			     const struct sequence_step *step)
{
	switch ((enum step_kind)step->kind) {
	case STEP_FINISH:
		finish_start(sim, sim->running ? step->b % sim->running : 0);
		break;
	case STEP_DISTRIBUTE_CREDITS:
		distribute_credits(sim, 1 + step->b % MAX_PEERS);
		break;
	case STEP_AGENT_SEND:
		if (!peer->closed)
			agent_send(sim, peer, peer->last_sent_result, &(struct message){0});
		break;
	case STEP_SET_SLOTS:
		sim->slots = step->b % 9;
		gate_set_slots(sim->gate, sim->slots);
		break;
	case STEP_RAISE_CONFIG:
		gate_set_config_version(sim->gate, ++sim->config);
		break;
	case STEP_SET_LEAVING:
		sim->leaving = step->b % 4 == 0;
		gate_set_leaving(sim->gate, sim->leaving);
		break;
	default:
		break;
	}
}

/* Returns whether no live entry has an outstanding start, all results are acknowledged and, if an
 * entry is alive, the entries hold credits for all slots and prefetched starts. */
static bool is_recovered(const struct simulation *sim)
{
	uint64_t credits = 0;
	bool any_alive = false;

	for (uint32_t i = 0; i < sim->peer_count; i++) {
		const struct peer *peer = &sim->peers[i];

		if (!peer->alive)
			continue;
		any_alive = true;
		credits += link_credits(&peer->link);
		if (link_outstanding(&peer->link, NULL, 0) > 0)
			return false;
	}
	return gate_unacknowledged_count(sim->gate) == 0 &&
	       (credits == start_limit(sim) || !any_alive);
}

static void deliver_all(struct simulation *sim, struct peer *peer)
{
	while (peer->to_agent.count + peer->to_entry.count > 0) {
		deliver(sim, peer, true, 0);
		deliver(sim, peer, false, 0);
	}
}

static void exchange_messages(struct simulation *sim, struct peer *peer, bool new_connection)
{
	if (new_connection || peer->entry_epoch < peer->agent_epoch || peer->closed)
		reconnect(sim, peer);
	else
		send_reconcile(sim, peer);
	deliver_all(sim, peer);
	agent_send(sim, peer, 0, &(struct message){0});
	deliver_all(sim, peer);
	entry_send(sim, peer, &(struct message){0});
	deliver_all(sim, peer);
}

/* Drops all queued messages, closes the channels of entries that are gone, then exchanges messages
 * without losses until all results and credits are recovered, at most RECOVERY_ROUNDS times. With
 * NEW_CONNECTIONS, all entries reconnect first. */
static void recover(struct simulation *sim, bool new_connections)
{
	sim->in_order = true;
	sim->leaving = false;
	sim->slots = MAX(sim->slots, 1);
	gate_set_leaving(sim->gate, false);
	gate_set_slots(sim->gate, sim->slots);
	for (uint32_t i = 0; i < sim->peer_count; i++) {
		struct peer *peer = &sim->peers[i];

		queue_clear(&peer->to_agent);
		queue_clear(&peer->to_entry);
		peer->demand = 0;
		peer->config = sim->config;
		if (!peer->alive)
			close_channel(sim, peer);
	}
	for (uint32_t round = 0; round < RECOVERY_ROUNDS && !sim->failure; round++) {
		while (sim->running > 0)
			finish_start(sim, 0);
		for (uint32_t i = 0; i < sim->peer_count; i++) {
			if (sim->peers[i].alive)
				exchange_messages(sim, &sim->peers[i],
						  new_connections && round == 0);
		}
		if (is_recovered(sim))
			return;
		distribute_credits(sim, MAX_PEERS);
		sim->now_us += 1000000;
	}
	expect(sim, false, "slots or results are still missing after message losses ended");
}

static void check_outcomes(struct simulation *sim)
{
	for (uint32_t i = 0; i < sim->peer_count * MAX_STARTS; i++) {
		const struct peer *peer = &sim->peers[i / MAX_STARTS];
		const struct start_record *record = &peer->starts[i % MAX_STARTS];

		if (!peer->alive || !record->sent)
			continue;
		expect(sim,
		       record->reported_not_run + record->accepted_count + record->unknown_count ==
			       1,
		       "a start does not have exactly one outcome");
		expect(sim,
		       !record->admitted || record->result_discarded || record->accepted_count == 1,
		       "the result of an admitted start was not accepted");
	}
}

static const char *run_steps(const struct sequence_step *steps, size_t count,
			     uint64_t sequence_seed)
{
	/* Bits of the sequence seed select the configuration. */
	struct simulation sim = {
		.now_us = 1000000000,
		.limits = {.max_start_delay_us = MAX_START_DELAY_US,
			   .prefetch = sequence_seed >> 8 & 1,
			   .silence_timeout_us = sequence_seed >> 9 & 1 ? 3000000 : 0},
		.slots = 4,
		.in_order = sequence_seed >> 10 & 1};

	sim.gate = gate_new(&sim.limits);
	gate_set_slots(sim.gate, sim.slots);
	for (uint64_t i = 0; i <= (sequence_seed >> 11) % 3; i++)
		add_peer(&sim, sequence_seed);
	for (size_t i = 0; i < count && !sim.failure; i++) {
		struct peer *peer = &sim.peers[steps[i].a % sim.peer_count];

		apply_network_step(&sim, peer, &steps[i]);
		apply_entry_step(&sim, peer, &steps[i], sequence_seed);
		apply_agent_step(&sim, peer, &steps[i]);
	}
	if (!sim.failure)
		recover(&sim, sequence_seed >> 16 & 1);
	if (!sim.failure)
		check_outcomes(&sim);
	for (uint32_t i = 0; i < sim.peer_count; i++) {
		queue_clear(&sim.peers[i].to_agent);
		queue_clear(&sim.peers[i].to_entry);
		link_free(&sim.peers[i].link);
	}
	gate_free(sim.gate);
	return sim.failure;
}

/* Guards against starts that are admitted twice or after being reported as not run, credits that
 * are lost or exceed the slots, and results that are lost or accepted twice. */
static void test_against_model(void)
{
	const struct sequence_test test = {step_kinds, G_N_ELEMENTS(step_kinds), run_steps};

	sequence_check(&test, SEED, SEQUENCE_COUNT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/channel-diff/against-model", test_against_model);
	return g_test_run();
}
